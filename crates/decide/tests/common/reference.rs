//! A plain implementation of the policy of a relay, each part of which can be left out, and the
//! policy that counts only the window that ends now.
#![allow(unused_macros, unused_imports)]

use super::policy::{MAX_KNOWN_DELAY, Policy, Start};
use super::repeats::TRANSIT;
use decide::retry::window::RetryBound;
use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::time::Duration;

/// Longest time from when a client sends a request until it arrives at a process.
pub const ARRIVAL: Duration = Duration::from_millis(20);
/// Number of processes that a process assumes that knows none.
const ASSUMED_PROCESSES: usize = 8;
/// Buckets in a window.
const BUCKETS: i64 = 200;

/// What a policy does.
pub trait Variant {
    /// Weights of the first attempts in a window, in the one that begins half a window before, and in
    /// the one before.
    const WEIGHTS: [f64; 3] = [0.5, 0.0, 0.5];
    /// Whether each process uses the window with the most first attempts instead.
    const BEST_WINDOW: bool = false;
    /// Whether only first attempts count whose whole bucket lies in the window.
    const WHOLE_BUCKETS: bool = true;
    /// Whether all windows that contain the retry are checked, not only the one that ends now.
    const ALL_WINDOWS: bool = true;
    /// Whether first attempts count from their arrival.
    const FROM_ARRIVAL: bool = true;
    /// Whether retries in transit are considered.
    const IN_TRANSIT: bool = true;
    /// Whether a process that starts again has no share of the slack for a while.
    const HELD_AFTER_RESTART: bool = true;
    /// Whether a process that is unknown to the others waits longer.
    const HELD_AFTER_JOIN: bool = true;
    /// Whether a process that knows no others has no share.
    const NEEDS_LIST: bool = true;
    /// Whether the highest number of processes within a window counts.
    const HIGHEST_COUNT: bool = true;
    /// Whether the lesser of each term holds while the bound changes.
    const LESSER_BOUND: bool = true;
}

/// Declares a variant that differs in some terms.
macro_rules! variant {
    ($name:ident $(, $term:ident : $kind:ty = $value:expr)*) => {
        struct $name;
        impl Variant for $name {
            $(const $term: $kind = $value;)*
        }
    };
}
pub(crate) use variant;

/// The plain implementation of a variant.
pub struct Reference<V> {
    bound: RetryBound,
    next_bound: Option<(Duration, RetryBound)>,
    first_attempts: BTreeMap<i64, u32>,
    retries: BTreeMap<i64, u32>,
    counts: Vec<(Duration, usize)>,
    shares_from: Duration,
    variant: PhantomData<V>,
}

/// Counts per bucket, added up from the oldest on.
struct Sums {
    oldest: i64,
    sums: Vec<u32>,
}

impl Sums {
    fn new(buckets: &BTreeMap<i64, u32>, oldest: i64, newest: i64) -> Self {
        let mut sum = 0;
        let add = |bucket: i64| {
            sum += buckets.get(&bucket).copied().unwrap_or(0);
            sum
        };
        Self {
            oldest,
            sums: (oldest..=newest).map(add).collect(),
        }
    }

    fn before(&self, bucket: i64) -> u32 {
        let last = bucket.min(self.oldest + self.sums.len() as i64) - self.oldest - 1;
        usize::try_from(last).map_or(0, |last| self.sums[last])
    }

    fn total(&self, from: i64, until: i64) -> f64 {
        f64::from(self.before(until.max(from)) - self.before(from))
    }
}

impl<V: Variant> Reference<V> {
    fn bucket(&self, at: Duration) -> i64 {
        (at.as_nanos() / (self.bound.window.as_nanos() / BUCKETS as u128)) as i64
    }

    /// Number of buckets that cover this time.
    fn buckets(&self, time: Duration) -> i64 {
        let length = self.bound.window.as_nanos() / BUCKETS as u128;
        time.as_nanos().div_ceil(length) as i64
    }

    /// First attempts that count for the window that begins in a bucket.
    fn counted(&self, first_attempts: &Sums, bucket: i64) -> f64 {
        let excluded = match V::WHOLE_BUCKETS {
            true => 1 + self.buckets(ARRIVAL),
            false => 0,
        };
        let counted = [0, BUCKETS / 2, BUCKETS].map(|earlier| {
            let from = bucket - earlier;
            // Consecutive windows share their boundary.
            let is_boundary = V::BEST_WINDOW || earlier == BUCKETS;
            let excluded = if is_boundary { excluded } else { 0 };
            first_attempts.total(from + excluded, from + BUCKETS)
        });
        if V::BEST_WINDOW {
            return counted.into_iter().fold(0.0, f64::max);
        }
        let weighted = V::WEIGHTS.iter().zip(counted);
        weighted.map(|(weight, counted)| weight * counted).sum()
    }

    fn slack_part(&self, now: Duration) -> f64 {
        if now < self.shares_from {
            return 0.0;
        }
        let Some((_, last)) = self.counts.last() else {
            let assumed = self.bound.slack / ASSUMED_PROCESSES as f64;
            return if V::NEEDS_LIST { 0.0 } else { assumed };
        };
        let reach = self.bound.reach();
        let over = self.counts.partition_point(|(at, _)| *at + reach <= now);
        let counts = self.counts[over.saturating_sub(1)..].iter();
        let highest = counts
            .map(|(_, count)| *count)
            .max()
            .filter(|_| V::HIGHEST_COUNT);
        self.bound.slack / highest.unwrap_or(*last) as f64
    }
}

impl<V: Variant> Policy for Reference<V> {
    fn start(bound: RetryBound, now: Duration, start: Start) -> Self {
        let shares_from = match start {
            Start::Join if V::HELD_AFTER_JOIN => now + bound.reach() + MAX_KNOWN_DELAY,
            Start::Restart | Start::Join if V::HELD_AFTER_RESTART => now + bound.reach(),
            _ => now,
        };
        Self {
            bound,
            next_bound: None,
            first_attempts: BTreeMap::new(),
            retries: BTreeMap::new(),
            counts: Vec::new(),
            shares_from,
            variant: PhantomData,
        }
    }

    fn record_processes(&mut self, now: Duration, processes: usize) {
        let last = self.counts.last();
        if last.is_none_or(|(_, count)| *count != processes) {
            self.counts.push((now, processes));
        }
    }

    fn record_first_attempts(&mut self, now: Duration, arrived: Duration, count: u32) {
        let bucket = self.bucket(if V::FROM_ARRIVAL { arrived } else { now });
        *self.first_attempts.entry(bucket).or_default() += count;
    }

    fn try_retry(&mut self, now: Duration) -> bool {
        if let Some((_, bound)) = self.next_bound.take_if(|(at, _)| *at <= now) {
            self.bound = bound;
        }
        let part = self.slack_part(now);
        let transit = if V::IN_TRANSIT {
            self.buckets(TRANSIT)
        } else {
            0
        };
        let bucket = self.bucket(now);
        let oldest = bucket - BUCKETS - 1;
        let newest = if V::ALL_WINDOWS {
            bucket + transit
        } else {
            oldest
        };
        self.first_attempts = self.first_attempts.split_off(&(bucket - 3 * BUCKETS));
        self.retries = self.retries.split_off(&(bucket - 2 * BUCKETS));
        let (begin, end) = (bucket - 3 * BUCKETS, bucket + transit);
        let first_attempts = Sums::new(&self.first_attempts, begin, end);
        let retries = Sums::new(&self.retries, begin, end);
        let is_full = (oldest..=newest).any(|from| {
            let retries = retries.total(from - transit, i64::MAX);
            let allowed = self.bound.ratio * self.counted(&first_attempts, from) + part;
            retries + 1.0 > allowed
        });
        if !is_full {
            *self.retries.entry(bucket).or_default() += 1;
        }
        !is_full
    }

    fn set_bound(&mut self, now: Duration, bound: RetryBound) {
        let old = self.bound;
        let ratio = bound.ratio.min(old.ratio);
        let slack = bound.slack.min(old.slack);
        self.bound = bound;
        let is_ordered = [bound, old]
            .iter()
            .any(|one| (one.ratio, one.slack) == (ratio, slack));
        if V::LESSER_BOUND && !is_ordered {
            self.bound = RetryBound {
                ratio,
                slack,
                ..bound
            };
            self.next_bound = Some((now + bound.reach(), bound));
        }
    }
}

/// The policy that counts first attempts and retries in the window that ends now, and whose share is
/// that of the processes known now.
pub struct Trailing {
    bound: RetryBound,
    buckets: BTreeMap<u128, [u32; 2]>,
    processes: usize,
}

impl Trailing {
    fn bucket(&mut self, now: Duration) -> &mut [u32; 2] {
        let number = now.as_nanos() / (self.bound.window / 20).as_nanos();
        self.buckets = self.buckets.split_off(&number.saturating_sub(20));
        self.buckets.entry(number).or_default()
    }
}

impl Policy for Trailing {
    fn start(bound: RetryBound, _now: Duration, _start: Start) -> Self {
        Self {
            bound,
            buckets: BTreeMap::new(),
            processes: ASSUMED_PROCESSES,
        }
    }

    fn record_processes(&mut self, _now: Duration, processes: usize) {
        self.processes = processes;
    }

    fn record_first_attempts(&mut self, now: Duration, _arrived: Duration, count: u32) {
        self.bucket(now)[0] += count;
    }

    fn try_retry(&mut self, now: Duration) -> bool {
        self.bucket(now);
        let sum = |kind: usize| -> u32 { self.buckets.values().map(|bucket| bucket[kind]).sum() };
        let part = self.bound.slack / self.processes as f64;
        let allowed = self.bound.ratio * f64::from(sum(0)) + part;
        let granted = f64::from(sum(1) + 1) <= allowed;
        self.bucket(now)[1] += u32::from(granted);
        granted
    }

    fn set_bound(&mut self, now: Duration, bound: RetryBound) {
        let retries = self.buckets.values().map(|bucket| bucket[1]).sum();
        self.buckets.clear();
        self.bound = bound;
        *self.bucket(now) = [0, retries];
    }
}
