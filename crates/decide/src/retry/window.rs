//! Bound on the retries that a fleet of processes may send to one service within a window.
//!
//! A failing runner makes every caller retry at the same time, and the retries of many processes
//! add up at the remaining runners. The operator therefore bounds the retries of the whole fleet in
//! any window to a ratio of the first attempts plus a fixed number. Each process applies the ratio
//! to the first attempts that it sent itself and takes its part of the fixed number. The parts add
//! up to the bound without communication between the processes.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of buckets in a window. The oldest bucket is dropped as a whole, so the count covers up to
/// one bucket more than the window, never less.
const BUCKETS: u32 = 20;

/// Bound on the retries of the whole fleet, set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Additional retries of the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    first_attempts: u32,
    retries: u32,
}

/// What a process has counted within the window that ends now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Retries that it has sent.
    pub retries: u32,
    /// First attempts that it has sent.
    pub first_attempts: u32,
    /// Retries that it may send.
    pub allowed: f64,
}

/// One process's retries to one service.
///
/// # Examples
///
/// ```
/// use decide::retry::window::{RetryBound, RetryQuota};
/// use std::time::Duration;
///
/// let bound = RetryBound { ratio: 0.5, slack: 4.0, window: Duration::from_secs(10) };
/// let mut quota = RetryQuota::new(bound);
/// let now = Duration::from_secs(1);
/// quota.record_first_attempts(now, 2);
/// let granted = (0..9).filter(|_| quota.try_retry(now, 4)).count();
/// assert_eq!(granted, 2);
/// ```
#[derive(Clone, Debug)]
pub struct RetryQuota {
    bound: RetryBound,
    buckets: VecDeque<Bucket>,
}

impl RetryQuota {
    /// A quota under this bound.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            buckets: VecDeque::new(),
        }
    }

    /// Replaces the bound after a change of the settings. Earlier retries still count for a full window
    /// from now. Earlier first attempts do not, since the new bound may have a shorter window.
    pub fn set_bound(&mut self, now: Duration, bound: RetryBound) {
        if bound == self.bound {
            return;
        }
        let retries = self.buckets.iter().map(|bucket| bucket.retries).sum();
        *self = Self::new(bound);
        self.bucket(now).retries = retries;
    }

    /// Records first attempts that were sent.
    pub fn record_first_attempts(&mut self, now: Duration, count: u32) {
        self.bucket(now).first_attempts += count;
    }

    /// Whether one of `processes` may send a retry now. If so, the retry is counted.
    pub fn try_retry(&mut self, now: Duration, processes: usize) -> bool {
        let usage = self.usage(now, processes);
        if f64::from(usage.retries + 1) > usage.allowed {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// What one of `processes` has counted.
    pub fn usage(&mut self, now: Duration, processes: usize) -> RetryUsage {
        self.bucket(now);
        let first_attempts: u32 = self
            .buckets
            .iter()
            .map(|bucket| bucket.first_attempts)
            .sum();
        let part = self.bound.slack / processes.max(1) as f64;
        RetryUsage {
            retries: self.buckets.iter().map(|bucket| bucket.retries).sum(),
            first_attempts,
            allowed: self.bound.ratio * f64::from(first_attempts) + part,
        }
    }

    /// The current bucket, after dropping the buckets that have left the window.
    fn bucket(&mut self, now: Duration) -> &mut Bucket {
        let length = (self.bound.window / BUCKETS).as_nanos().max(1);
        let number = u64::try_from(now.as_nanos() / length).unwrap_or(u64::MAX);
        let oldest = number.saturating_sub(u64::from(BUCKETS));
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number < oldest)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                first_attempts: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
