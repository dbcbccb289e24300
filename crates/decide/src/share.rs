//! One process's share of the low request rate that a runner accepts from all processes.
//!
//! A runner that asks for few requests looks idle to each of many processes. If each process used
//! the whole rate, together they would send many times as much; if each used an equal part, their
//! first requests alone would be too many in a large fleet. Therefore only a few processes send.
//! They are chosen by names alone, without communication, and each keeps a fixed interval between
//! two requests.

use crate::subset::rendezvous_hash;
use std::time::Duration;

/// Processes that may send to a rate-limited runner. More would send too many requests at once after
/// an idle period; with fewer, a process that is gone leaves a larger part of the rate unused.
const MAX_SENDERS: usize = 4;

/// One process's share of a runner's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateShare {
    /// Processes that may send.
    pub senders: usize,
    /// Minimum time between two requests of one process.
    pub interval: Duration,
}

impl RateShare {
    /// The share of each of `processes` when a runner asks for this mean interval between the
    /// requests of all processes together.
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
    pub fn from_interval(mean_interval: Duration, processes: usize) -> Self {
        let senders = processes.clamp(1, MAX_SENDERS);
        Self {
            senders,
            interval: mean_interval.saturating_mul(senders as u32),
        }
    }

    /// Whether the process `own` is among the senders, given the names of the other processes.
    #[must_use]
    pub fn may_send<'a>(
        &self,
        runner: &str,
        own: &str,
        others: impl IntoIterator<Item = &'a str>,
    ) -> bool {
        let own_hash = (rendezvous_hash(runner, own), own);
        let before = |other: &&str| (rendezvous_hash(runner, other), *other) < own_hash;
        others.into_iter().filter(before).count() < self.senders
    }
}
