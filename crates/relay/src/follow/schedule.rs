//! When a process that reads a table expects responses.

use std::time::Duration;

/// Intervals at which a table is polled for changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollIntervals {
    /// Delay after changes before the next request if each process reads the table for itself. Rows
    /// change in groups, and each request costs a call.
    pub(crate) debounce: Duration,
    /// Wait of a request if each process reads the table for itself.
    pub(crate) standalone: Duration,
    /// As [`Self::standalone`], for the first request after changes.
    pub(crate) after_changes: Duration,
    /// Time within which a process that reads the table for others learns whether something has changed.
    pub(crate) shared: Duration,
    /// Maximum age of updates from peers.
    pub(crate) max_age: Duration,
}
