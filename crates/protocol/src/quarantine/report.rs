//! What processes tell one another of requests under which runners have ended or fallen silent.

use super::CRASH_THRESHOLD;
use crate::id::ContentId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A runner that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash<R> {
    /// The runner, as one start of it.
    pub runner: R,
    /// How long ago the request was sent there.
    pub sent: Duration,
    /// How long ago the answer was lost.
    pub lost: Duration,
    /// Whether the runner had nothing to do then but requests under which others had ended before.
    pub isolated: bool,
}

/// A runner from which nothing has come for anybody since a request was sent there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence<R> {
    /// The runner, as one start of it.
    pub runner: R,
    /// How long ago the request was sent there.
    pub sent: Duration,
    /// How long ago the silence was noted.
    pub noted: Duration,
}

/// What one process knows of a suspect, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report<R> {
    /// What the request asks for.
    pub content: ContentId,
    /// Runners that it has ended.
    pub crashes: Vec<Crash<R>>,
    /// Crashes of it that count at the sender.
    pub count: u32,
    /// Times that it has been tried again, but for trials that ended no runner.
    pub trials: u32,
    /// How long ago it was tried last.
    pub tried: Option<Duration>,
    /// How long ago a runner answered it whole, if that has cleared it.
    pub cleared: Option<Duration>,
    /// Runners that have been silent since the request was sent there.
    pub silences: Vec<Silence<R>>,
}

impl<R> Report<R> {
    /// Nothing but the name of a request.
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

    /// Whether the request is held back.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.count >= CRASH_THRESHOLD
    }
}

/// Whether a request may be sent to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Nothing speaks against it.
    Free,
    /// Not before this time has passed.
    Held(Duration),
    /// It has been held back for long enough, and this process may try it.
    Trial,
}

/// What becomes of what another process tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// All of it was known.
    Known,
    /// Some of it is new, and the others should be told.
    New {
        /// Whether the request was held back before.
        was_held: bool,
        /// Whether it is held back now.
        is_held: bool,
    },
}
