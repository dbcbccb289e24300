//! Targets that fail too often get no new work for a while.

use std::time::Duration;

/// When targets are ejected, for how long, and how many at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionPolicy {
    /// Failures in a row that eject a target.
    pub failures: u32,
    /// First time out; doubles with each ejection that follows soon.
    pub first: Duration,
    /// Longest time out.
    pub longest: Duration,
    /// Largest share of a pool that may be out at once, from 0 to 1. Where many fail, the cause is
    /// rarely the targets, and the rest could not carry the load.
    pub cap: f64,
}

impl Default for EjectionPolicy {
    fn default() -> Self {
        Self {
            failures: 3,
            first: Duration::from_secs(1),
            longest: Duration::from_secs(30),
            cap: 0.5,
        }
    }
}

impl EjectionPolicy {
    /// Never ejects: the baseline.
    #[must_use]
    pub fn never() -> Self {
        Self {
            cap: 0.0,
            ..Self::default()
        }
    }

    fn allows(&self, live: usize, all: usize) -> bool {
        let out = all - live + 1;
        out as f64 <= self.cap * all as f64
    }
}

/// Ejections after which the time out doubles no further, so that it cannot overflow.
const MOST_DOUBLINGS: u32 = 16;

/// Record of one target's failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Duration>,
}

impl Health {
    /// Whether the target is out.
    #[must_use]
    pub fn ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Whether the time out is over.
    #[must_use]
    pub fn due(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| until <= now)
    }

    /// An answer clears the record.
    pub fn succeeded(&mut self) {
        *self = Self {
            until: self.until,
            ..Self::default()
        };
    }

    /// Until when the target is out, if it is.
    #[must_use]
    pub fn until(&self) -> Option<Duration> {
        self.until
    }

    /// Counts a failure; gives the end of the time out if this one ejects the target. `live` of
    /// `all` targets of the pool take new work.
    pub fn failed(
        &mut self,
        rule: &EjectionPolicy,
        now: Duration,
        live: usize,
        all: usize,
    ) -> Option<Duration> {
        self.failures += 1;
        if self.failures < rule.failures || !rule.allows(live, all) {
            return None;
        }
        let out = rule.first * 2_u32.pow(self.ejections.min(MOST_DOUBLINGS));
        self.until = Some(now + out.min(rule.longest));
        self.ejections += 1;
        self.until
    }

    /// Lets the target back on probation: one more failure ejects it again, for longer.
    pub fn readmit(&mut self) {
        self.until = None;
        self.failures = self.failures.saturating_sub(1);
    }
}
