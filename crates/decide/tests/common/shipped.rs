//! The guard of repeats that relays have.

use super::repeats::{Guard, KNOWN, Start};
use decide::retry::window::{Bound, Census, Quota};
use std::time::Duration;

/// What a relay does.
pub struct Shipped {
    quota: Quota,
    census: Census,
    reach: Duration,
}

impl Guard for Shipped {
    fn start(bound: Bound, now: Duration, start: Start) -> Self {
        let mut census = match start {
            Start::First => Census::first(),
            Start::Again | Start::New => Census::default(),
        };
        census.known(if start == Start::New {
            now + KNOWN
        } else {
            now
        });
        Self {
            quota: Quota::new(bound),
            census,
            reach: bound.reach(),
        }
    }

    fn listed(&mut self, now: Duration, processes: usize) {
        self.census.counted(now, processes);
    }

    fn first(&mut self, _now: Duration, arrived: Duration) {
        self.quota.first(arrived, 1);
    }

    fn repeat(&mut self, now: Duration) -> bool {
        let sharers = self.census.sharers(now, self.reach);
        self.quota.repeat(now, sharers)
    }

    fn rebind(&mut self, now: Duration, bound: Bound) {
        self.quota.rebind(now, bound);
    }
}
