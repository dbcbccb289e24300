//! Findings: what is wrong with a file or record, collected and reported together.

use serde::Serialize;
use std::fmt;

/// Position in a text, counted from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// File, or key of the record where there is no file.
    pub origin: String,
    /// Path of the value within the file or record, such as `stages[1].name`; empty for the whole.
    pub path: String,
    /// Where the value stands in the file, if there is one.
    #[serde(flatten)]
    pub position: Option<Position>,
    /// What is wrong, in a sentence without a full stop.
    pub message: String,
}

impl Finding {
    /// A finding that has no position yet.
    pub fn new(
        origin: impl Into<String>,
        path: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        Self {
            origin: origin.into(),
            path: path.into(),
            position: None,
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:", self.origin)?;
        if let Some(Position { line, column }) = self.position {
            write!(formatter, "{line}:{column}:")?;
        }
        if !self.path.is_empty() {
            write!(formatter, " {}:", self.path)?;
        }
        write!(formatter, " {}", self.message)
    }
}

/// All findings of a file or a directory; never empty where it is an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// `Ok` if nothing was found.
    ///
    /// # Errors
    ///
    /// The findings, if there are any.
    pub fn into_result(self) -> Result<(), Self> {
        match self.0.is_empty() {
            true => Ok(()),
            false => Err(self),
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            finding.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
