//! Whether a request can still be on time, or is worth waiting for at all.

use super::learnt::LearntTimes;
use super::{Capacity, Demand};
use std::time::Duration;

/// Longest wait in total of a request that cannot be on time, as a fraction of the chain's time. With
/// a third, which is one call of a chain of three stages, refusals came after 0.2 to 0.23 s on average
/// in bursts, without more requests on time.
const MAX_LATE_WAIT: f64 = 0.2;
/// Factor on the expected wait of a request that is to be on time. Callers that return are due earlier
/// than the requests that wait and go before them; without a margin, those were refused late.
const WAIT_MARGIN: f64 = 1.1;

/// What a request can expect, given its wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Prospect {
    /// It is expected to be on time.
    OnTime,
    /// It is expected to be late, but served soon.
    Late,
    /// It is refused.
    Hopeless,
}

/// The state of a gate at one time on which prospects depend.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outlook<'a> {
    pub(super) now: Duration,
    /// Times from the start of a request to the end of its chain; without work in progress, nothing
    /// would correct one that is too long.
    learnt: Option<&'a LearntTimes>,
    chain_time: Duration,
}

impl<'a> Outlook<'a> {
    pub(super) fn new(now: Duration, learnt: Option<&'a LearntTimes>, capacity: &Capacity) -> Self {
        Self {
            now,
            learnt,
            chain_time: capacity.chain_time,
        }
    }

    fn run_time(&self, rank: u8) -> Duration {
        let learnt = self.learnt.map(|learnt| learnt.get(rank, self.chain_time));
        learnt.unwrap_or(self.chain_time)
    }

    /// The prospect of a request that has waited since `since` and will for another `wait`.
    ///
    /// A late request lets all others pass. Judged by the remaining wait alone, it would stay until it
    /// expires while others arrive as fast as they start.
    pub(super) fn prospect(&self, demand: &Demand, since: Duration, wait: Duration) -> Prospect {
        let total_wait = self.now.saturating_sub(since) + wait;
        let run_time = self.run_time(demand.rank);
        let end = self.now + wait + run_time;
        if end > demand.expires_at {
            Prospect::Hopeless
        } else if self.now + wait.mul_f64(WAIT_MARGIN) + run_time <= demand.due {
            Prospect::OnTime
        } else if total_wait <= self.chain_time.mul_f64(MAX_LATE_WAIT) {
            Prospect::Late
        } else {
            Prospect::Hopeless
        }
    }
}
