//! Policies that limit the retries of one process, and the policy of a relay.

use super::repeats::RetryPolicy;
use decide::retry::window::{RetryBound, RetryQuota, SlackShare};
use std::time::Duration;

/// Longest time from the start of a process until all others know it.
pub const MAX_KNOWN_DELAY: Duration = Duration::from_millis(4_500);

/// How a process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Together with the whole fleet.
    First,
    /// Again, under the name of an earlier process.
    Restart,
    /// Under a name that no other process knows.
    Join,
}

/// Policy by which a process limits its retries.
pub trait Policy {
    /// The policy of a process that starts.
    fn start(bound: RetryBound, now: Duration, start: Start) -> Self;
    /// Records the number of processes that this one knows.
    fn record_processes(&mut self, now: Duration, processes: usize);
    /// Records the first attempts of requests that arrived at `arrived`.
    fn record_first_attempts(&mut self, now: Duration, arrived: Duration, count: u32);
    /// Whether a retry may be sent.
    fn try_retry(&mut self, now: Duration) -> bool;
    /// Replaces the bound.
    fn set_bound(&mut self, now: Duration, bound: RetryBound);
}

/// The policy of a relay.
pub struct Shipped {
    quota: RetryQuota,
    share: SlackShare,
    reach: Duration,
}

impl Policy for Shipped {
    fn start(bound: RetryBound, now: Duration, start: Start) -> Self {
        let mut share = match start {
            Start::First => SlackShare::first_start(),
            Start::Restart | Start::Join => SlackShare::default(),
        };
        share.mark_known(match start {
            Start::Join => now + MAX_KNOWN_DELAY,
            Start::First | Start::Restart => now,
        });
        Self {
            quota: RetryQuota::new(bound),
            share,
            reach: bound.reach(),
        }
    }

    fn record_processes(&mut self, now: Duration, processes: usize) {
        self.share.record_processes(now, processes);
    }

    fn record_first_attempts(&mut self, _now: Duration, arrived: Duration, count: u32) {
        self.quota.record_first_attempts(arrived, count);
    }

    fn try_retry(&mut self, now: Duration) -> bool {
        let processes = self.share.processes(now, self.reach);
        self.quota.try_retry(now, processes)
    }

    fn set_bound(&mut self, now: Duration, bound: RetryBound) {
        self.quota.set_bound(now, bound);
    }
}

/// A policy in the simulated fleet, where a process that starts later may be unknown to the others.
pub struct Drawn<P>(P);

impl<P: Policy> RetryPolicy for Drawn<P> {
    fn start(bound: RetryBound, now: Duration, is_first: bool) -> Self {
        let start = if is_first { Start::First } else { Start::Join };
        Self(P::start(bound, now, start))
    }

    fn record_first_attempt(&mut self, now: Duration, arrived: Duration) {
        self.0.record_first_attempts(now, arrived, 1);
    }

    fn try_retry(&mut self, now: Duration, processes: Option<usize>) -> bool {
        if let Some(processes) = processes {
            self.0.record_processes(now, processes);
        }
        self.0.try_retry(now)
    }

    fn set_bound(&mut self, now: Duration, bound: RetryBound) {
        self.0.set_bound(now, bound);
    }
}
