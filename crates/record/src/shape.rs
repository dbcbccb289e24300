//! Shapes of JSON values: tables of fields against which settings and records are validated.

use crate::Schema;
use crate::text::field_path;
use serde_json::Value;
use std::net::SocketAddr;

/// Maximum edit distance between an unknown field and a suggested one.
const MAX_SUGGESTION_DISTANCE: usize = 2;
/// Characters other than letters and digits that a name may contain.
const NAME_PUNCTUATION: [char; 3] = ['-', '_', '.'];

/// Required form of a value.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// A string that is not empty.
    Text,
    /// A string of letters, digits, `-`, `_` and `.`, as it appears in paths and keys.
    Name,
    /// A string `IP:PORT` to connect to; the port is not 0.
    Address,
    /// A string `IP:PORT` to listen on; port 0 picks a free one.
    Listen,
    /// An integer within bounds.
    Integer {
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
    },
    /// A number from 0 to 1.
    Ratio,
    /// A number of 0 or more.
    NonNegative,
    /// `true` or `false`.
    Bool,
    /// One of the given strings.
    OneOf(&'static [&'static str]),
    /// An object with these fields.
    Object(&'static [Field]),
    /// An object with these fields and any others.
    OpenObject(&'static [Field]),
    /// A list of values of one shape.
    List(&'static Shape),
}

/// One field of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Shape of its value.
    pub shape: Shape,
    /// Whether it must be present.
    pub required: bool,
    /// Whether it may be `null`.
    pub nullable: bool,
    /// First schema that contains it.
    pub since: Schema,
}

impl Field {
    /// A field that must be present.
    #[must_use]
    pub const fn required(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            shape,
            required: true,
            nullable: false,
            since: 1,
        }
    }

    /// A field that may be absent.
    #[must_use]
    pub const fn optional(name: &'static str, shape: Shape) -> Self {
        Self {
            required: false,
            ..Self::required(name, shape)
        }
    }

    /// Also allows `null`.
    #[must_use]
    pub const fn nullable(self) -> Self {
        Self {
            nullable: true,
            ..self
        }
    }

    /// Restricts the field to this schema and later ones.
    #[must_use]
    pub const fn since(self, since: Schema) -> Self {
        Self { since, ..self }
    }
}

/// Checks a value against a shape under a schema, and reports the path and message of each fault.
///
/// # Examples
///
/// ```
/// use record::shape::{Field, Shape, check};
///
/// const FIELDS: &[Field] = &[Field::required("share", Shape::Integer { min: 1, max: 9 })];
/// let value = serde_json::json!({"shore": 3});
/// let mut faults = Vec::new();
/// check(&value, &Shape::Object(FIELDS), 1, "", &mut |path, message| {
///     faults.push(format!("{path}: {message}"));
/// });
/// assert_eq!(faults, ["shore: unknown field; did you mean `share`?", "share: missing"]);
/// ```
pub fn check(
    value: &Value,
    shape: &Shape,
    schema: Schema,
    path: &str,
    report: &mut impl FnMut(&str, String),
) {
    match (shape, value) {
        (Shape::Object(fields), Value::Object(object)) => {
            check_unknown(object, fields, path, report);
            check_fields(object, fields, schema, path, report);
        }
        (Shape::OpenObject(fields), Value::Object(object)) => {
            check_fields(object, fields, schema, path, report);
        }
        (Shape::List(shape), Value::Array(elements)) => {
            for (index, element) in elements.iter().enumerate() {
                check(element, shape, schema, &format!("{path}[{index}]"), report);
            }
        }
        _ => {
            if let Err(expected) = check_scalar(value, shape) {
                report(
                    path,
                    format!("expected {expected}, found {}", describe(value, shape)),
                );
            }
        }
    }
}

fn check_unknown(
    object: &serde_json::Map<String, Value>,
    fields: &[Field],
    path: &str,
    report: &mut impl FnMut(&str, String),
) {
    let known = |name: &str| fields.iter().any(|field| field.name == name);
    object
        .keys()
        .filter(|name| !known(name))
        .for_each(|name| report(&field_path(path, name), unknown_field(name, fields)));
}

fn check_fields(
    object: &serde_json::Map<String, Value>,
    fields: &[Field],
    schema: Schema,
    path: &str,
    report: &mut impl FnMut(&str, String),
) {
    for field in fields {
        let path = field_path(path, field.name);
        match object.get(field.name) {
            None if field.required => report(&path, "missing".to_owned()),
            None => {}
            Some(_) if field.since > schema => {
                report(&path, format!("needs schema {}", field.since));
            }
            Some(Value::Null) if field.nullable => {}
            Some(value) => check(value, &field.shape, schema, &path, report),
        }
    }
}

fn check_scalar(value: &Value, shape: &Shape) -> Result<(), String> {
    let text = value.as_str();
    let (valid, expected) = match shape {
        Shape::Text => (
            text.is_some_and(|text| !text.trim().is_empty()),
            "a string that is not empty".to_owned(),
        ),
        Shape::Name => (
            text.is_some_and(is_name),
            "a name of letters, digits, `-`, `_` and `.`".to_owned(),
        ),
        Shape::Address => (
            address(text).is_some_and(|address| address.port() != 0),
            "an address IP:PORT with a port other than 0".to_owned(),
        ),
        Shape::Listen => (
            address(text).is_some(),
            "an address IP:PORT, port 0 for a free one".to_owned(),
        ),
        Shape::Integer { min, max } => (
            value.as_u64().is_some_and(|n| (*min..=*max).contains(&n)),
            format!("a whole number from {min} to {max}"),
        ),
        Shape::Ratio => (
            value.as_f64().is_some_and(|n| (0.0..=1.0).contains(&n)),
            "a number from 0 to 1".to_owned(),
        ),
        Shape::NonNegative => (
            value.as_f64().is_some_and(|n| n >= 0.0 && n.is_finite()),
            "a number of 0 or more".to_owned(),
        ),
        Shape::Bool => (value.is_boolean(), "true or false".to_owned()),
        Shape::OneOf(words) => (
            text.is_some_and(|text| words.contains(&text)),
            format!("one of {}", words.join(", ")),
        ),
        Shape::Object(_) | Shape::OpenObject(_) => (false, "an object".to_owned()),
        Shape::List(_) => (false, "a list".to_owned()),
    };
    if valid { Ok(()) } else { Err(expected) }
}

fn address(text: Option<&str>) -> Option<SocketAddr> {
    text?.parse().ok()
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || NAME_PUNCTUATION.contains(&c);
    !text.is_empty() && text.chars().all(allowed)
}

/// Formats a value for a finding. Free text is described, not quoted: it may be a key or token, and
/// findings go to logs.
fn describe(value: &Value, shape: &Shape) -> String {
    match (value, shape) {
        (Value::Object(_), _) => "an object".to_owned(),
        (Value::Array(_), _) => "a list".to_owned(),
        (Value::String(_), Shape::Text) => "an empty one".to_owned(),
        (Value::Number(_), Shape::Text) => "a number".to_owned(),
        _ => value.to_string(),
    }
}

fn unknown_field(name: &str, fields: &[Field]) -> String {
    let nearest = fields
        .iter()
        .map(|field| (edit_distance(name, field.name), field.name))
        .min()
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE);
    match nearest {
        Some((_, near)) => format!("unknown field; did you mean `{near}`?"),
        None => "unknown field".to_owned(),
    }
}

/// Levenshtein distance between two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, from) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, to) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
