//! Findings: the faults of a file or record, collected and reported together.

use serde::Serialize;
use std::fmt;

/// Position in a text; line and column start at one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

/// One fault of a file or record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// File, or key of the record if there is no file.
    pub origin: String,
    /// Path of the value within the file or record, such as `stages[1].name`; empty for the root.
    pub path: String,
    /// Position of the value in the file, if there is one.
    #[serde(flatten)]
    pub position: Option<Position>,
    /// Description of the fault, without a full stop.
    pub message: String,
}

impl Finding {
    /// Creates a finding without a position.
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

/// All findings of a file or a directory; not empty when returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Converts to `Ok` if there are no findings.
    ///
    /// # Errors
    ///
    /// The findings themselves, if there are any.
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
