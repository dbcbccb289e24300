//! One process's part of the few requests that a runner bears from all of them.
//!
//! A runner that asks for few requests looks idle to each of many processes. If each kept to the whole
//! of what it asks for, together they would send it many times that; if each kept to an equal part,
//! their first requests alone would be too many in a large fleet. So only a few may send, chosen by
//! names alone, and each keeps a fixed gap between two requests, without a word between them.

use crate::subset::rendezvous_hash;
use std::time::Duration;

/// Processes that may send to a runner that has named a limit. More would send too many at once after
/// a while in which nobody sent; with fewer, one that is gone leaves a larger part unused.
const PLACES: usize = 4;

/// One process's part of what a runner bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateShare {
    /// Processes that may send.
    pub senders: usize,
    /// Time between two requests of one process, at least.
    pub interval: Duration,
}

impl RateShare {
    /// The part of each of so many processes where a runner asks for this mean time between the
    /// requests of all.
    ///
    /// # Examples
    ///
    /// ```
    /// use decide::share::RateShare;
    /// use std::time::Duration;
    ///
    /// let share = RateShare::from_interval(Duration::from_millis(500), 27);
    /// assert_eq!((share.senders, share.interval), (4, Duration::from_secs(2)));
    /// ```
    #[must_use]
    pub fn from_interval(spacing: Duration, processes: usize) -> Self {
        let senders = processes.clamp(1, PLACES);
        Self {
            senders,
            interval: spacing.saturating_mul(senders as u32),
        }
    }

    /// Whether a process has a place, by its name and those of the others.
    #[must_use]
    pub fn may_send<'a>(
        &self,
        runner: &str,
        own: &str,
        others: impl IntoIterator<Item = &'a str>,
    ) -> bool {
        let mine = (rendezvous_hash(runner, own), own);
        let before = |other: &&str| (rendezvous_hash(runner, other), *other) < mine;
        others.into_iter().filter(before).count() < self.senders
    }
}
