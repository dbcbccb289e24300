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
/// use protocol::roster::Roster;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut roster = Roster::new(second * 2, second);
/// roster.enlisted(Duration::ZERO);
/// roster.read(second * 2);
/// assert!(!roster.acts(second * 2), "others may not know it yet");
/// assert!(roster.acts(second * 3));
/// assert!(!roster.acts(second * 5), "its list is too old");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Roster {
    /// Greatest age of a list that is acted on.
    most: Duration,
    /// Time that lies between the last act of one process and the first of the one that takes its
    /// place, at least.
    apart: Duration,
    /// Since when the own row has been on the list.
    enlisted: Option<Duration>,
    /// Whether the own row was known to all that act before the start.
    settled: bool,
    /// Moment at which the list held no row that is not known.
    current: Option<Duration>,
}

impl Roster {
    /// One whose row is not on the list yet, and that knows nothing of the list.
    #[must_use]
    pub fn new(most: Duration, apart: Duration) -> Self {
        Self {
            most,
            apart,
            enlisted: None,
            settled: false,
            current: None,
        }
    }

    /// The own row is on the list.
    pub fn enlisted(&mut self, now: Duration) {
        self.enlisted.get_or_insert(now);
    }

    /// The own row says that an earlier start under the same name had waited for long enough.
    pub fn settle(&mut self) {
        self.settled = true;
    }

    /// All rows are known that were on the list at `current`.
    pub fn read(&mut self, current: Duration) {
        self.current = self.current.max(Some(current));
    }

    /// The process did not run for a while that its clock may not have counted: the age of what it
    /// knows cannot be told.
    pub fn forget(&mut self) {
        self.current = None;
    }

    /// When the own row is known to all that act; `None` before it is on the list.
    #[must_use]
    pub fn settles(&self) -> Option<Duration> {
        if self.settled {
            return Some(Duration::ZERO);
        }
        Some(self.enlisted? + self.most + self.apart)
    }

    /// Whether the process may act now, if it has a place by the names that it knows.
    #[must_use]
    pub fn acts(&self, now: Duration) -> bool {
        let known = self.settles().is_some_and(|moment| moment <= now);
        let fresh = |current: Duration| now.saturating_sub(current) <= self.most;
        known && self.current.is_some_and(fresh)
    }
}
