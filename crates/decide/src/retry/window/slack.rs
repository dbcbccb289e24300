//! One process's share of the retries that a bound allows in addition to its ratio.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of processes that share the slack of a bound, as one of them knows it. Times are measured
/// from its start.
///
/// What a process has spent counts until the window is over, even if the process exits. A process
/// therefore uses the highest number of processes that it has known within a window. A process that
/// has just started has no share: an earlier start with the same name may have spent one, and other
/// processes may not know the new one yet and use larger shares.
///
/// # Examples
///
/// ```
/// use decide::retry::window::SlackShare;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut share = SlackShare::default();
/// share.mark_known(second);
/// share.record_processes(second, 5);
/// share.record_processes(second * 12, 4);
/// assert_eq!(share.processes(second * 9, second * 10), None);
/// assert_eq!(share.processes(second * 15, second * 10), Some(5));
/// assert_eq!(share.processes(second * 22, second * 10), Some(4));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlackShare {
    /// Numbers of processes, each with the time from which it was known.
    counts: VecDeque<(Duration, usize)>,
    known_from: Option<Duration>,
    is_first_start: bool,
}

impl SlackShare {
    /// The share of a process that starts with the whole fleet, before which nothing was spent.
    #[must_use]
    pub fn first_start() -> Self {
        Self {
            is_first_start: true,
            ..Self::default()
        }
    }

    /// Records that an earlier start of this process may have spent its share.
    pub fn mark_restarted(&mut self) {
        self.is_first_start = false;
    }

    /// Records that from this time on all processes that have a share know of this one.
    pub fn mark_known(&mut self, from: Duration) {
        self.known_from.get_or_insert(from);
    }

    /// Records the current number of processes, including this one.
    pub fn record_processes(&mut self, now: Duration, processes: usize) {
        let last = self.counts.back();
        if last.is_none_or(|(_, count)| *count != processes) {
            self.counts.push_back((now, processes));
        }
    }

    /// Number of processes that share the slack if retries count for the duration `reach`; `None`
    /// while this process has no share.
    pub fn processes(&mut self, now: Duration, reach: Duration) -> Option<usize> {
        let is_past = |time: Duration| time.saturating_add(reach) <= now;
        let has_share = match self.is_first_start {
            true => self.known_from? <= now,
            false => is_past(self.known_from?),
        };
        if !has_share {
            return None;
        }
        while self.counts.get(1).is_some_and(|(next, _)| is_past(*next)) {
            self.counts.pop_front();
        }
        self.counts.iter().map(|(_, count)| *count).max()
    }
}
