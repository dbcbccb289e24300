//! When a newly registered process may act in a group of bounded size.
//!
//! Only a limited number of processes may do a kind of work at a time. Each process computes from a
//! list of names, which it reads itself, which processes these are; they do not communicate about
//! it. A process that has just registered is unknown to those that read the list earlier, so both
//! the new process and the one that it replaces would do the work. So a new process waits until all
//! acting processes must have read its row, and a process whose list is older than that does not
//! act.

use std::time::Duration;

/// One process's participation in such work. Times are measured from its start.
///
/// # Examples
///
/// ```
/// use protocol::activation::Activation;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut activation = Activation::new(second * 2, second);
/// activation.mark_registered(Duration::ZERO);
/// activation.read(second * 2);
/// assert!(!activation.may_act(second * 2), "others may not know it yet");
/// assert!(activation.may_act(second * 3));
/// assert!(!activation.may_act(second * 5), "its list is too old");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Activation {
    /// Greatest age of a list on which the process may act.
    max_age: Duration,
    /// Minimum time between the last action of one process and the first action of its replacement.
    handover_gap: Duration,
    /// When the process's own row was first on the list.
    registered: Option<Duration>,
    /// Whether all acting processes knew the process's own row before its start.
    known_before: bool,
    /// Latest time as of which every row on the list is known.
    current: Option<Duration>,
}

impl Activation {
    /// Creates the state of a process whose row is not on the list yet, and that has not read the
    /// list.
    #[must_use]
    pub fn new(max_age: Duration, handover_gap: Duration) -> Self {
        Self {
            max_age,
            handover_gap,
            registered: None,
            known_before: false,
            current: None,
        }
    }

    /// Records that the process's own row is on the list.
    pub fn mark_registered(&mut self, now: Duration) {
        self.registered.get_or_insert(now);
    }

    /// Records that, by the process's own row, an earlier start under the same name had waited long
    /// enough.
    pub fn mark_known(&mut self) {
        self.known_before = true;
    }

    /// Records that all rows that were on the list at `current` are known.
    pub fn read(&mut self, current: Duration) {
        self.current = self.current.max(Some(current));
    }

    /// Records that the process was suspended for a time that its clock may not have counted, so
    /// that the age of its list is unknown.
    pub fn invalidate(&mut self) {
        self.current = None;
    }

    /// When all acting processes know the process's own row; `None` before it is on the list.
    #[must_use]
    pub fn known_from(&self) -> Option<Duration> {
        if self.known_before {
            return Some(Duration::ZERO);
        }
        Some(self.registered? + self.max_age + self.handover_gap)
    }

    /// Whether the list is recent enough to act on.
    #[must_use]
    pub fn is_current(&self, now: Duration) -> bool {
        let fresh = |current: Duration| now.saturating_sub(current) <= self.max_age;
        self.current.is_some_and(fresh)
    }

    /// Whether the process may act now, provided the known names give it a place.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> bool {
        let known = self.known_from().is_some_and(|moment| moment <= now);
        known && self.is_current(now)
    }
}
