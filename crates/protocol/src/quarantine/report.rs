//! Reports between processes about requests under which runners have exited or become unresponsive.

use super::CRASH_THRESHOLD;
use crate::id::ContentId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A runner that exited under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash<R> {
    /// One start of the runner.
    pub runner: R,
    /// Time since the request was sent there.
    pub sent: Duration,
    /// Time since the response was lost.
    pub lost: Duration,
    /// Whether the runner had no other work than requests under which runners had crashed before.
    pub isolated: bool,
    /// Whether the request was sent as a trial.
    pub is_trial: bool,
    /// Whether the response was missed because the runner was silent. It may have exited later.
    pub is_silence: bool,
}

/// A runner that has sent nothing to anyone since a request was sent there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence<R> {
    /// One start of the runner.
    pub runner: R,
    /// Time since the request was sent there.
    pub sent: Duration,
    /// Time since the silence was recorded.
    pub noted: Duration,
}

/// One process's view of a suspect, as sent to other processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report<R> {
    /// Content of the request.
    pub content: ContentId,
    /// Runners that crashed under it.
    pub crashes: Vec<Crash<R>>,
    /// Number of its crashes at the sender, including those right after another one.
    pub count: u32,
    /// Number of its trials, excluding those that crashed no runner.
    pub trials: u32,
    /// Time since its last trial.
    pub tried: Option<Duration>,
    /// Time since a runner answered it completely, if that has cleared it.
    pub cleared: Option<Duration>,
    /// Runners that have been unresponsive since the request was sent there.
    pub silences: Vec<Silence<R>>,
}

impl<R> Report<R> {
    /// Creates a report without findings.
    #[must_use]
    pub fn new(content: ContentId) -> Self {
        Self {
            content,
            crashes: Vec::new(),
            count: 0,
            trials: 0,
            tried: None,
            cleared: None,
            silences: Vec::new(),
        }
    }

    /// Whether the request is sent only as a trial.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.count >= CRASH_THRESHOLD
    }
}

/// Whether a request may be sent to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is not quarantined.
    Free,
    /// The crashes of the request may be a coincidence, and this process may try it.
    Turn,
    /// The crashes of the request may be a coincidence, and another attempt shows within this time
    /// whether they are.
    Deferred(Duration),
    /// The request is quarantined for at least this time.
    Held(Duration),
    /// The hold has expired, and this process may try the request.
    Trial,
}

/// Result of merging a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Everything was known already.
    Known,
    /// Something is new, and the other processes should be notified.
    New {
        /// Whether the request was quarantined before.
        was_held: bool,
        /// Whether the request is quarantined now.
        is_held: bool,
    },
}
