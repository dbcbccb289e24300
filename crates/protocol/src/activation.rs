//! A process that shares a bounded number of places with others, by a list that each reads itself.
//!
//! Only so many processes may do a kind of work at a time. Each computes from the names on a list who
//! they are, without a word between them. A process that has just joined the list is unknown to those
//! that read it before; both the newcomer and the one whose place it takes would do the work. So a
//! newcomer waits until all that act must have read its row, and one whose list is older than that
//! does not act.

use std::time::Duration;

/// One process's part in such work. Moments are counted from its start.
///
/// # Examples
///
/// ```
/// use protocol::activation::Activation;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut roster = Activation::new(second * 2, second);
/// roster.mark_registered(Duration::ZERO);
/// roster.read(second * 2);
/// assert!(!roster.may_act(second * 2), "others may not know it yet");
/// assert!(roster.may_act(second * 3));
/// assert!(!roster.may_act(second * 5), "its list is too old");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Activation {
    /// Greatest age of a list that is acted on.
    most: Duration,
    /// Time that lies between the last act of one process and the first of the one that takes its
    /// place, at least.
    apart: Duration,
    /// Since when the own row has been on the list.
    registered: Option<Duration>,
    /// Whether the own row was known to all that act before the start.
    settled: bool,
    /// Moment at which the list held no row that is not known.
    current: Option<Duration>,
}

impl Activation {
    /// One whose row is not on the list yet, and that knows nothing of the list.
    #[must_use]
    pub fn new(most: Duration, apart: Duration) -> Self {
        Self {
            most,
            apart,
            registered: None,
            settled: false,
            current: None,
        }
    }

    /// The own row is on the list.
    pub fn mark_registered(&mut self, now: Duration) {
        self.registered.get_or_insert(now);
    }

    /// The own row says that an earlier start under the same name had waited for long enough.
    pub fn mark_known(&mut self) {
        self.settled = true;
    }

    /// All rows are known that were on the list at `current`.
    pub fn read(&mut self, current: Duration) {
        self.current = self.current.max(Some(current));
    }

    /// The process did not run for a while that its clock may not have counted: the age of what it
    /// knows cannot be told.
    pub fn invalidate(&mut self) {
        self.current = None;
    }

    /// When the own row is known to all that act; `None` before it is on the list.
    #[must_use]
    pub fn known_from(&self) -> Option<Duration> {
        if self.settled {
            return Some(Duration::ZERO);
        }
        Some(self.registered? + self.most + self.apart)
    }

    /// Whether the process may act now, if it has a place by the names that it knows.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> bool {
        let known = self.known_from().is_some_and(|moment| moment <= now);
        let fresh = |current: Duration| now.saturating_sub(current) <= self.most;
        known && self.current.is_some_and(fresh)
    }
}
