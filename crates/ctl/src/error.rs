//! What can go wrong with a command, and the exit code that a script sees.

use crate::operator::Conflict;
use record::Findings;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// Exit code: done as asked.
pub const EXIT_OK: u8 = 0;
/// Exit code: failed or refused; nothing was changed, or the answer says what was.
pub const EXIT_FAILED: u8 = 1;
/// Exit code: bad arguments, or findings in a file.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: another operator was first; nothing was changed.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code: it may have been done; no answer says so.
pub const EXIT_UNKNOWN: u8 = 4;

/// What a problem says about the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Failed,
}

/// A problem document (RFC 9457) as entries write it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Short text for the kind of problem.
    pub title: String,
    /// What happened this time.
    pub detail: String,
    /// What became of the work.
    pub outcome: Option<Outcome>,
    /// Identity of the request, to ask for its answer later.
    pub request: Option<String>,
    /// Seconds after which a retry may succeed.
    pub retry_after: Option<f64>,
}

impl Problem {
    /// Wait after which a retry may succeed, if the entry named one.
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
            write!(formatter, "; come back in {seconds} s")?;
        }
        Ok(())
    }
}

/// What can go wrong with a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The arguments make no sense.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong with them.
        message: String,
    },
    /// A file that an argument names cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Cause given by the operating system.
        source: std::io::Error,
    },
    /// Files or records are not as they should be.
    #[snafu(display("{findings}"))]
    Invalid {
        /// Everything that is wrong.
        findings: Findings,
    },
    /// No entry could be reached, so that nothing was sent.
    #[snafu(display("{endpoint}: {reason}"))]
    Unreachable {
        /// Entry that was tried last.
        endpoint: String,
        /// Why it could not be reached.
        reason: String,
    },
    /// The call was sent and its answer did not arrive, or not whole.
    #[snafu(display("answer lost, the outcome is unknown: {reason}"))]
    Lost {
        /// What became of the answer.
        reason: String,
    },
    /// The entry answered with a problem.
    #[snafu(display("{problem}"))]
    Refused {
        /// The problem.
        problem: Problem,
    },
    /// Another operator was first.
    #[snafu(display(
        "another operator was first, nothing was accepted: {}",
        list(conflicts)
    ))]
    Conflicting {
        /// The records as they are now.
        conflicts: Vec<Conflict>,
    },
    /// The answer is not what the interface promises.
    #[snafu(display("answer unreadable: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// Something on this machine failed.
    #[snafu(display("{reason}"))]
    Failed {
        /// What failed.
        reason: String,
    },
}

impl Error {
    /// An error in the arguments.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
        }
    }

    /// Exit code of a command that ends with this error.
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

    /// The error as one JSON object, for scripts.
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

fn list(conflicts: &[Conflict]) -> String {
    let line = |conflict: &Conflict| match conflict.revision {
        Some(revision) => format!("{} is at revision {revision}", conflict.key),
        None => format!("{} is gone", conflict.key),
    };
    conflicts.iter().map(line).collect::<Vec<_>>().join(", ")
}
