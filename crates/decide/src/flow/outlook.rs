//! Whether a request can still be on time, or is worth waiting for at all.

use super::{Capacity, Demand};
use std::time::Duration;

/// Longest wait of a request that cannot be on time, as a fraction of the chain's time. It is about
/// one call of a chain of three stages.
const MAX_LATE_WAIT: f64 = 1.0 / 3.0;

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
    now: Duration,
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

    /// The prospect of a request that waits this long before it starts.
    pub(super) fn prospect(&self, demand: &Demand, wait: Duration) -> Prospect {
        let end = self.now + wait + self.run_time;
        if end > demand.expires_at {
            Prospect::Hopeless
        } else if end <= demand.due {
            Prospect::OnTime
        } else if wait <= self.max_late_wait {
            Prospect::Late
        } else {
            Prospect::Hopeless
        }
    }
}
