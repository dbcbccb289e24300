//! When a process that reads a table for itself expects responses.

use std::time::Duration;

/// Shortest wait of a request. A response that arrives at the end of its wait must not lead to another
/// request for the rest of a millisecond.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// Intervals at which a table is polled for changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollIntervals {
    /// Delay after changes before the next request if each process reads the table for itself. Rows
    /// change in groups, and each request costs a call.
    pub(crate) debounce: Duration,
    /// Interval between the ends of requests if each process reads the table for itself.
    pub(crate) standalone: Duration,
    /// Position of these ends within the interval.
    pub(crate) offset: Duration,
    /// Time within which a process that reads the table for others learns whether something has changed.
    pub(crate) shared: Duration,
    /// Maximum age of updates from peers.
    pub(crate) max_age: Duration,
}

impl PollIntervals {
    /// Wait of a request at `now`, the time since the start of the process, if the process reads the
    /// table for itself.
    ///
    /// The waits end at fixed times, so that changes of one table do not move its responses next to those
    /// of another.
    pub(crate) fn standalone_wait(&self, now: Duration) -> Duration {
        let interval = self.standalone.as_millis();
        let passed = (now + self.standalone)
            .saturating_sub(self.offset)
            .as_millis()
            % interval;
        let left = u64::try_from(interval - passed).unwrap_or(u64::MAX);
        let wait = Duration::from_millis(left);
        if wait < MIN_WAIT {
            wait + self.standalone
        } else {
            wait
        }
    }
}
