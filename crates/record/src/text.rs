//! JSON with comments, parsed together with the position of every value.

use crate::Map;
use crate::finding::{Finding, Position};
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::Value;

/// Allows comments and trailing commas, but no other extension of JSON.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A parsed text.
#[derive(Clone, Debug)]
pub struct Text {
    /// File that contains the text.
    pub origin: String,
    /// Value of the text, without comments.
    pub value: Value,
    /// Findings of the conversion, such as a duplicate field, of which the later one would silently
    /// win.
    pub findings: Vec<Finding>,
    positions: Map<String, Position>,
}

impl Text {
    /// Parses JSON with comments.
    ///
    /// # Errors
    ///
    /// A finding with its position, if the text is not JSON.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = record::Text::parse("{\n  // comment\n  \"id\": 7\n}", "a.jsonc").unwrap();
    /// assert_eq!(text.value["id"], 7);
    /// assert_eq!(text.position("id").line, 3);
    /// ```
    pub fn parse(text: &str, origin: &str) -> Result<Self, Finding> {
        let tree =
            parse_to_ast(text, &CollectOptions::default(), &OPTIONS).map_err(|error| Finding {
                position: Some(Position {
                    line: error.line_display(),
                    column: error.column_display(),
                }),
                ..Finding::new(origin, "", error.kind().to_string())
            })?;
        let root = tree
            .value
            .ok_or_else(|| Finding::new(origin, "", "there is no value in it"))?;
        let mut converter = Converter::new(text, origin);
        let value = converter.value(&root, "", root.start());
        Ok(Self {
            origin: origin.to_owned(),
            value,
            findings: converter.findings,
            positions: converter.positions,
        })
    }

    /// Position of a path, or of its nearest existing parent.
    #[must_use]
    pub fn position(&self, path: &str) -> Position {
        let mut path = path;
        loop {
            if let Some(position) = self.positions.get(path) {
                return *position;
            }
            if path.is_empty() {
                return Position { line: 1, column: 1 };
            }
            path = path.rfind(['.', '[']).map_or("", |end| &path[..end]);
        }
    }

    /// A finding about a path of this text.
    #[must_use]
    pub fn finding(&self, path: &str, message: impl Into<String>) -> Finding {
        Finding {
            position: Some(self.position(path)),
            ..Finding::new(&self.origin, path, message)
        }
    }
}

/// Path of a field below a parent.
pub(crate) fn field_path(parent: &str, field: &str) -> String {
    match parent {
        "" => field.to_owned(),
        _ => format!("{parent}.{field}"),
    }
}

/// Converts the syntax tree into a value and records positions.
struct Converter<'a> {
    origin: &'a str,
    text: &'a str,
    line_starts: Vec<usize>,
    findings: Vec<Finding>,
    positions: Map<String, Position>,
}

impl<'a> Converter<'a> {
    fn new(text: &'a str, origin: &'a str) -> Self {
        let starts = text.match_indices('\n').map(|(index, _)| index + 1);
        Self {
            origin,
            text,
            line_starts: std::iter::once(0).chain(starts).collect(),
            findings: Vec::new(),
            positions: Map::default(),
        }
    }

    fn position(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let column = self.text[start..offset].chars().count() + 1;
        Position { line, column }
    }

    fn value(&mut self, node: &ast::Value<'_>, path: &str, start: usize) -> Value {
        let position = self.position(start);
        self.positions.insert(path.to_owned(), position);
        match node {
            ast::Value::StringLit(text) => text.value.as_ref().into(),
            ast::Value::NumberLit(number) => self.number(number.value, path, position),
            ast::Value::BooleanLit(flag) => flag.value.into(),
            ast::Value::NullKeyword(_) => Value::Null,
            ast::Value::Array(list) => self.list(list, path),
            ast::Value::Object(object) => self.object(object, path),
        }
    }

    fn number(&mut self, text: &str, path: &str, position: Position) -> Value {
        text.parse::<serde_json::Number>().map_or_else(
            |_| {
                self.report(path, position, "this number cannot be read");
                Value::Null
            },
            Value::Number,
        )
    }

    fn list(&mut self, list: &ast::Array<'_>, path: &str) -> Value {
        let elements = list.elements.iter().enumerate();
        elements
            .map(|(index, element)| {
                self.value(element, &format!("{path}[{index}]"), element.start())
            })
            .collect()
    }

    fn object(&mut self, object: &ast::Object<'_>, path: &str) -> Value {
        let mut fields = serde_json::Map::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = field_path(path, name);
            if fields.contains_key(name) {
                let position = self.position(property.start());
                self.report(&path, position, "this field stands twice");
                continue;
            }
            let value = self.value(&property.value, &path, property.start());
            fields.insert(name.to_owned(), value);
        }
        fields.into()
    }

    fn report(&mut self, path: &str, position: Position, message: &str) {
        self.findings.push(Finding {
            position: Some(position),
            ..Finding::new(self.origin, path, message)
        });
    }
}
