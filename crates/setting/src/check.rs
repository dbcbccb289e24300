//! Validation of a whole file against a table of fields, with the validator that records use.

pub use record::shape::check;
pub use record::{Field, Finding, Findings, Position, Shape, Text};

use serde::de::DeserializeOwned;

/// Settings have no schema number; their tables contain only fields of the first schema.
const SCHEMA: record::Schema = 1;

/// Parses JSON with comments and returns the typed value together with the parsed text.
///
/// # Errors
///
/// All findings in the file, ordered by position.
pub fn read<T: DeserializeOwned>(
    text: &str,
    origin: &str,
    shape: &Shape,
) -> Result<(T, Text), Findings> {
    let text = Text::parse(text, origin).map_err(|finding| Findings(vec![finding]))?;
    let mut findings = text.findings.clone();
    check(&text.value, shape, SCHEMA, "", &mut |path, message| {
        findings.push(text.finding(path, message));
    });
    findings.sort_by_key(|finding| finding.position);
    Findings(findings).into_result()?;
    let value = serde_json::from_value(text.value.clone())
        .map_err(|error| Findings(vec![text.finding("", error.to_string())]))?;
    Ok((value, text))
}
