//! Bound on the retries that a fleet of processes may send to one service within a window.
//!
//! A failing runner makes every caller retry at the same time, and the retries of many processes
//! add up at the remaining runners. The operator therefore bounds the retries of the whole fleet in
//! any window to a ratio of the first attempts plus a fixed number. Each process applies the ratio
//! to the first attempts that it sent itself and takes its share of the fixed number. The parts add
//! up to the bound without communication between the processes.
//!
//! They add up only because all processes count first attempts in the same windows: for any window,
//! half of those in it and half of those in the window before. Processes that each chose the better
//! of the two, or the window that ends with their own last retry, would exceed the bound together.

mod slack;

pub use slack::SlackShare;

use std::collections::VecDeque;
use std::time::Duration;

/// Number of buckets in a window. First attempts count only where their whole bucket lies in the
/// window, retries also where a part of it does.
const BUCKETS: usize = 200;
/// Shortest bucket. The buckets of a window and of [`MAX_RETRY_TRANSIT`] are kept for each service; a window of
/// a nanosecond would need hundreds of millions. A shorter window than all buckets counts as that long, which
/// allows no more retries.
const MIN_BUCKET: Duration = Duration::from_micros(50);
/// Windows over which first attempts are averaged.
const WINDOWS: f64 = 2.0;
/// Maximum time from when a client sends a request until it arrives at a process.
const ARRIVAL_DELAY: Duration = Duration::from_millis(20);
/// Maximum time from when a retry is granted until it arrives at its runner. A retry that is sent
/// later needs another grant.
pub const MAX_RETRY_TRANSIT: Duration = Duration::from_millis(300);

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

impl RetryBound {
    /// Maximum time between the grants of two retries that may arrive within one window.
    #[must_use]
    pub fn reach(&self) -> Duration {
        self.window.saturating_add(MAX_RETRY_TRANSIT)
    }

    /// The lesser of each term of two bounds over the same window.
    fn lesser(&self, other: &Self) -> Self {
        Self {
            ratio: self.ratio.min(other.ratio),
            slack: self.slack.min(other.slack),
            window: self.window,
        }
    }

    /// Whether one of the two bounds allows at least as much as the other for any first attempts.
    fn is_ordered(&self, other: &Self) -> bool {
        let lesser = self.lesser(other);
        lesser == *self || lesser == *other
    }

    fn bucket_length(&self) -> Duration {
        let buckets = u32::try_from(BUCKETS).unwrap_or(u32::MAX);
        (self.window / buckets).max(MIN_BUCKET)
    }

    /// Number of buckets that cover this time.
    fn buckets(&self, time: Duration) -> usize {
        let buckets = time.as_nanos().div_ceil(self.bucket_length().as_nanos());
        usize::try_from(buckets).unwrap_or(usize::MAX)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    first_attempts: u32,
    retries: u32,
}

/// What a process has counted within the window that leaves the fewest retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Retries that it has sent.
    pub retries: u32,
    /// First attempts in the window and the one before.
    pub first_attempts: u32,
    /// Retries that it may send.
    pub allowed: f64,
}

impl RetryUsage {
    fn remaining(&self) -> f64 {
        self.allowed - f64::from(self.retries)
    }
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
/// quota.record_first_attempts(now, 4);
/// let granted = (0..9).filter(|_| quota.try_retry(now, 4)).count();
/// assert_eq!(granted, 2, "one for the first attempts, one of the slack");
/// ```
#[derive(Clone, Debug)]
pub struct RetryQuota {
    bound: RetryBound,
    /// Bound that comes into force at a later time.
    next_bound: Option<(Duration, RetryBound)>,
    /// Number of the newest bucket.
    newest: u64,
    /// The newest first.
    buckets: VecDeque<Bucket>,
}

impl RetryQuota {
    /// A quota under this bound.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            next_bound: None,
            newest: 0,
            buckets: VecDeque::new(),
        }
    }

    /// Replaces the bound after a change of the settings. Earlier retries still count.
    ///
    /// A window in which the bound changes allows what one of the two bounds does. If neither allows
    /// more than the other for any first attempts, processes that apply different ones would exceed
    /// both, so the lesser of each term holds until such windows are over.
    pub fn set_bound(&mut self, now: Duration, bound: RetryBound) {
        let latest = self.next_bound.map_or(self.bound, |(_, next)| next);
        if bound == latest {
            return;
        }
        if bound.window != self.bound.window {
            self.restart(now, bound);
        } else if self.bound.is_ordered(&bound) {
            self.next_bound = None;
            self.bound = bound;
        } else {
            self.next_bound = Some((now.saturating_add(self.bound.reach()), bound));
            self.bound = self.bound.lesser(&bound);
        }
    }

    /// Changes the length of the window. Earlier retries count for a full window from now. Earlier
    /// first attempts do not, since the new window may be shorter.
    fn restart(&mut self, now: Duration, bound: RetryBound) {
        let retries = self.buckets.iter().map(|bucket| bucket.retries).sum();
        *self = Self::new(bound);
        self.advance(now);
        self.buckets[0].retries = retries;
    }

    /// Records first attempts of requests that arrived at this time, which may be earlier than now.
    pub fn record_first_attempts(&mut self, arrived: Duration, count: u32) {
        let number = self.number(arrived);
        if self.buckets.is_empty() || number > self.newest {
            self.advance(arrived);
        }
        let age = usize::try_from(self.newest - number).unwrap_or(usize::MAX);
        // A request that arrived before all windows has no bucket.
        if let Some(bucket) = self.buckets.get_mut(age) {
            bucket.first_attempts = bucket.first_attempts.saturating_add(count);
        }
    }

    /// Whether one of `processes` that share the slack may send a retry now; none is a process
    /// without a share. If so, the retry is counted.
    pub fn try_retry(&mut self, now: Duration, processes: impl Into<Option<usize>>) -> bool {
        if self.usage(now, processes).remaining() < 1.0 {
            return false;
        }
        self.buckets[0].retries += 1;
        true
    }

    /// What one of `processes` that share the slack has counted until now.
    ///
    /// Looking back is enough: first attempts that arrive later can only allow more.
    pub fn usage(&mut self, now: Duration, processes: impl Into<Option<usize>>) -> RetryUsage {
        self.advance(now);
        if let Some((_, bound)) = self.next_bound.take_if(|(from, _)| *from <= now) {
            self.bound = bound;
        }
        let processes = processes.into();
        let part = processes.map_or(0.0, |count| self.bound.slack / count.max(1) as f64);
        let lead = self.lead();
        let first_attempts = self.buckets.iter().map(|bucket| bucket.first_attempts);
        let mut usage = RetryUsage {
            retries: 0,
            first_attempts: first_attempts
                .clone()
                .take(lead)
                .fold(0, u32::saturating_add),
            allowed: 0.0,
        };
        let mut earlier = first_attempts.skip(lead);
        let windows = self.buckets.iter().take(self.depth()).map(|bucket| {
            usage.retries += bucket.retries;
            let next = earlier.next().unwrap_or(0);
            usage.first_attempts = usage.first_attempts.saturating_add(next);
            usage.allowed = self.bound.ratio / WINDOWS * f64::from(usage.first_attempts) + part;
            usage
        });
        let fewest = windows.min_by(|a, b| a.remaining().total_cmp(&b.remaining()));
        fewest.unwrap_or(usage)
    }

    /// Number of buckets in which retries may have been granted that arrive in one window with a
    /// retry granted now.
    fn depth(&self) -> usize {
        BUCKETS + 2 + self.bound.buckets(MAX_RETRY_TRANSIT)
    }

    /// Number of buckets by which first attempts are counted further back than retries.
    fn lead(&self) -> usize {
        let excluded =
            self.bound.buckets(MAX_RETRY_TRANSIT) + self.bound.buckets(ARRIVAL_DELAY) + 1;
        BUCKETS.saturating_sub(excluded)
    }

    fn number(&self, at: Duration) -> u64 {
        let number = at.as_nanos() / self.bound.bucket_length().as_nanos();
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Starts the bucket of this time, and drops the buckets that no window contains any more.
    fn advance(&mut self, now: Duration) {
        let capacity = self.depth() + self.lead();
        let number = self.number(now).max(self.newest);
        let passed = usize::try_from(number - self.newest).unwrap_or(usize::MAX);
        self.newest = number;
        for _ in 0..passed.min(capacity) {
            self.buckets.push_front(Bucket::default());
        }
        self.buckets.resize(capacity, Bucket::default());
    }
}
