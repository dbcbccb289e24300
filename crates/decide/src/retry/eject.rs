//! Outlier ejection: targets that fail too often get no new work for a while.

use std::time::Duration;

/// When targets are ejected, for how long, and how many at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionPolicy {
    /// Consecutive failures that eject a target.
    pub failures: u32,
    /// Duration of the first ejection; doubles with each ejection that follows before a success.
    pub first: Duration,
    /// Maximum duration of an ejection.
    pub longest: Duration,
    /// Maximum fraction of a pool that may be ejected at the same time, from 0 to 1. When many targets
    /// fail, the cause is rarely in the targets, and the remaining ones could not carry the load.
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
    /// The baseline, which never ejects a target.
    #[must_use]
    pub fn never() -> Self {
        Self {
            cap: 0.0,
            ..Self::default()
        }
    }

    fn allows(&self, live: usize, all: usize) -> bool {
        let ejected = all - live + 1;
        ejected as f64 <= self.cap * all as f64
    }
}

/// Number of ejections after which the duration stops doubling, so that it cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Recent failures and ejections of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Duration>,
}

impl Health {
    /// Whether the target is ejected.
    #[must_use]
    pub fn ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Whether the ejection has expired.
    #[must_use]
    pub fn is_expired(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| until <= now)
    }

    /// Clears the failures after a response.
    pub fn succeeded(&mut self) {
        *self = Self {
            until: self.until,
            ..Self::default()
        };
    }

    /// Time until which the target is ejected, if it is.
    #[must_use]
    pub fn until(&self) -> Option<Duration> {
        self.until
    }

    /// Counts a failure and returns the end of the ejection if it ejects the target. `live` of `all`
    /// targets of the pool accept new work.
    pub fn failed(
        &mut self,
        policy: &EjectionPolicy,
        now: Duration,
        live: usize,
        all: usize,
    ) -> Option<Duration> {
        self.failures += 1;
        if self.failures < policy.failures || !policy.allows(live, all) {
            return None;
        }
        let duration = policy.first * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.until = Some(now + duration.min(policy.longest));
        self.ejections += 1;
        self.until
    }

    /// Readmits the target on probation: one more failure ejects it again, for longer.
    pub fn readmit(&mut self) {
        self.until = None;
        self.failures = self.failures.saturating_sub(1);
    }
}
