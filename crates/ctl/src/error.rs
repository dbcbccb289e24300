//! Errors of commands and the exit codes that they map to.

use crate::operator::Conflict;
use record::Findings;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// Exit code: success.
pub const EXIT_OK: u8 = 0;
/// Exit code: failed or refused. Nothing was changed, or the response states what was.
pub const EXIT_FAILED: u8 = 1;
/// Exit code: invalid arguments, or invalid files.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: conflict with another operator's change; nothing was changed.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code: unknown outcome; the request may have taken effect.
pub const EXIT_UNKNOWN: u8 = 4;

/// Outcome of the work, as a problem document states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The work did not run and never will.
    NotRun,
    /// The work may have run.
    Unknown,
    /// The work ran and failed.
    Failed,
}

/// A problem document (RFC 9457) in the form that entries write.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Short description of the kind of problem.
    pub title: String,
    /// Details of this occurrence.
    pub detail: String,
    /// Outcome of the work, if stated.
    pub outcome: Option<Outcome>,
    /// Id of the request, with which its answer can be fetched later.
    pub request: Option<String>,
    /// Seconds after which a retry may succeed.
    pub retry_after: Option<f64>,
}

impl Problem {
    /// Returns the delay after which a retry may succeed, if the entry gave one.
    #[must_use]
    pub fn retry_delay(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.retry_after?).ok()
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.status, self.title)?;
        if !self.detail.is_empty() {
            write!(formatter, ": {}", self.detail)?;
        }
        if let Some(request) = &self.request {
            write!(formatter, " (request {request})")?;
        }
        if let Some(seconds) = self.retry_after {
            write!(formatter, "; retry in {seconds} s")?;
        }
        Ok(())
    }
}

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The arguments are invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// Description of the invalid argument.
        message: String,
    },
    /// A file given as an argument cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Settings or records are invalid.
    #[snafu(display("{findings}"))]
    Invalid {
        /// All faults that were found.
        findings: Findings,
    },
    /// No entry could be reached; nothing was sent.
    #[snafu(display("{endpoint}: {reason}"))]
    Unreachable {
        /// Address of the entry that was tried last.
        endpoint: String,
        /// Reason why it could not be reached.
        reason: String,
    },
    /// The request was sent, but its response did not arrive or was incomplete.
    #[snafu(display("response lost, outcome unknown: {reason}"))]
    Lost {
        /// Reason why the response was lost.
        reason: String,
    },
    /// The entry responded with a problem document.
    #[snafu(display("{problem}"))]
    Refused {
        /// The problem document.
        problem: Problem,
    },
    /// The change conflicts with a change of another operator.
    #[snafu(display(
        "another operator was first, nothing was accepted: {}",
        format_conflicts(conflicts)
    ))]
    Conflicting {
        /// Current state of the conflicting records.
        conflicts: Vec<Conflict>,
    },
    /// The response does not have the expected form.
    #[snafu(display("malformed response: {reason}"))]
    Malformed {
        /// Error of the parser.
        reason: String,
    },
    /// An operation on this machine failed.
    #[snafu(display("{reason}"))]
    Failed {
        /// Description of the failure.
        reason: String,
    },
}

impl Error {
    /// Creates an [`Error::Usage`].
    pub fn usage(message: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
        }
    }

    /// Returns the exit code of a command that fails with this error.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(ctl::Error::usage("no such command").exit(), 2);
    /// ```
    #[must_use]
    pub fn exit(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::File { .. } | Self::Invalid { .. } => EXIT_USAGE,
            Self::Conflicting { .. } => EXIT_CONFLICT,
            Self::Lost { .. } => EXIT_UNKNOWN,
            Self::Refused { problem } if problem.outcome == Some(Outcome::Unknown) => EXIT_UNKNOWN,
            Self::Refused { .. }
            | Self::Unreachable { .. }
            | Self::Malformed { .. }
            | Self::Failed { .. } => EXIT_FAILED,
        }
    }

    /// Converts the error to a JSON object for scripts.
    #[must_use]
    pub fn value(&self) -> serde_json::Value {
        let mut value = serde_json::json!({"error": self.to_string(), "exit": self.exit()});
        match self {
            Self::Invalid { findings } => value["findings"] = serde_json::json!(findings),
            Self::Refused { problem } => value["problem"] = serde_json::json!(problem),
            Self::Conflicting { conflicts } => value["conflicts"] = serde_json::json!(conflicts),
            _ => {}
        }
        value
    }
}

fn format_conflicts(conflicts: &[Conflict]) -> String {
    let line = |conflict: &Conflict| match conflict.revision {
        Some(revision) => format!("{} is at revision {revision}", conflict.key),
        None => format!("{} was deleted", conflict.key),
    };
    conflicts.iter().map(line).collect::<Vec<_>>().join(", ")
}
