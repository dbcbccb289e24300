//! Whether a request can still be on time, or is worth waiting for at all.

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
pub(super) struct Outlook {
    pub(super) now: Duration,
    /// Expected time from the start of a request to the end of its chain.
    run_time: Duration,
    max_late_wait: Duration,
}

impl Outlook {
    pub(super) fn new(now: Duration, run_time: Duration, capacity: &Capacity) -> Self {
        Self {
            now,
            run_time,
            max_late_wait: capacity.chain_time.mul_f64(MAX_LATE_WAIT),
        }
    }

    /// The prospect of a request that has waited since `since` and will for another `wait`.
    ///
    /// A late request lets all others pass. Judged by the remaining wait alone, it would stay until it
    /// expires while others arrive as fast as they start.
    pub(super) fn prospect(&self, demand: &Demand, since: Duration, wait: Duration) -> Prospect {
        let total_wait = self.now.saturating_sub(since) + wait;
        let end = self.now + wait + self.run_time;
        if end > demand.expires_at {
            Prospect::Hopeless
        } else if self.now + wait.mul_f64(WAIT_MARGIN) + self.run_time <= demand.due {
            Prospect::OnTime
        } else if total_wait <= self.max_late_wait {
            Prospect::Late
        } else {
            Prospect::Hopeless
        }
    }
}
