//! Printing to standard output.

use crate::{Error, Format};
use serde::Serialize;
use std::fmt::Display;
use std::io::Write;

/// Prints a value as text or as one line of JSON.
///
/// # Errors
///
/// [`Error::Failed`] if the output is closed.
pub fn print(format: Format, text: impl Display, json: &impl Serialize) -> Result<(), Error> {
    match format {
        Format::Text => line(text),
        Format::Json => self::json(json),
    }
}

/// Prints one line and flushes it, so that a reader sees it while the command is running.
///
/// # Errors
///
/// [`Error::Failed`] if the output is closed.
pub fn line(text: impl Display) -> Result<(), Error> {
    let mut output = std::io::stdout().lock();
    writeln!(output, "{text}")
        .and_then(|()| output.flush())
        .map_err(|error| Error::Failed {
            reason: format!("output: {error}"),
        })
}

/// Prints a value as one line of JSON.
///
/// # Errors
///
/// [`Error::Failed`] if the output is closed.
pub fn json(value: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string(value).map_err(|error| Error::Failed {
        reason: error.to_string(),
    })?;
    line(text)
}
