//! Limits on the number of calls in flight.

use crate::either::{Either, either};
use crate::smooth::Ewma;
use std::time::Duration;

/// Measurements of one answered call, taken by its sender.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time from sending the call to its complete response.
    pub elapsed: Duration,
    /// Calls that were queued at the runner when it answered.
    pub queued: u32,
    /// Maximum number of calls that the runner is given at once; zero if it was not reported.
    pub slots: u32,
    /// Calls in flight when the call was sent, including itself.
    pub in_flight: u32,
}

/// A limit on the number of calls in flight.
pub trait Limit {
    /// Number of calls that may be in flight now.
    fn limit(&self) -> u32;
    /// Records an answered call.
    fn answered(&mut self, sample: Sample);
    /// Records a call that the target refused because it was full.
    fn refused(&mut self);
    /// Sets the bounds of the limit, which change as targets join and leave.
    fn resize(&mut self, min: u32, max: u32);
}

/// A limit that never adapts: the baseline.
#[derive(Clone, Debug)]
pub struct Fixed {
    limit: u32,
}

impl Fixed {
    /// A fixed limit.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self { limit }
    }
}

impl Limit for Fixed {
    fn limit(&self) -> u32 {
        self.limit
    }

    fn answered(&mut self, _sample: Sample) {}

    fn refused(&mut self) {}

    fn resize(&mut self, _min: u32, max: u32) {
        self.limit = max;
    }
}

/// Weight of one sample in the short-term mean of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Slowdown (elapsed time divided by baseline latency) up to which no queueing is assumed.
const TOLERANCE: f64 = 1.1;
/// Calls allowed beyond the point where queueing begins, as a multiple of the limit's square root.
/// More would queue at the runners, where workspaces do not get their fair shares.
const HEADROOM: f64 = 0.5;
/// Fraction of the distance to its goal by which one sample moves the limit.
const GOAL_WEIGHT: f64 = 0.05;
/// Factor applied to the limit after a refusal.
const REFUSAL_BACKOFF: f64 = 0.95;
/// Fraction of the difference by which each slower sample raises the baseline latency while few calls
/// are in flight, so that a lasting change of the workload is learnt within some hundred calls.
const BASELINE_RISE: f64 = 0.005;
/// The same fraction while the limit is in use. Such samples include the queueing that the limit is
/// to prevent; learnt as fast, each would raise the limit and thereby the next sample.
const BUSY_BASELINE_RISE: f64 = 0.000_05;

/// A limit that follows the latency gradient: it grows while calls take no longer than the baseline
/// latency, and shrinks in proportion once they queue.
///
/// Until calls queue for the first time, the limit grows by one with each response: an entry process
/// that has just started would otherwise leave runners idle while the limit rises.
///
/// If the target reports its queue length, the slowdown is derived from it: an engine that batches
/// takes longer for each call while more run, without any of them waiting, so its latencies say
/// little. Otherwise the baseline latency is a slowly rising minimum of the elapsed times.
#[derive(Clone, Debug)]
pub struct Gradient {
    limit: f64,
    min: f64,
    max: f64,
    slowdown: Ewma,
    baseline_s: Option<f64>,
    slow_start: bool,
}

impl Gradient {
    /// A limit that starts at `start` and stays between `min` and `max`.
    #[must_use]
    pub fn new(start: u32, min: u32, max: u32) -> Self {
        Self {
            limit: f64::from(start),
            min: f64::from(min),
            max: f64::from(max),
            slowdown: Ewma::new(SLOWDOWN_WEIGHT),
            baseline_s: None,
            slow_start: true,
        }
    }

    fn in_use(&self, sample: &Sample) -> bool {
        f64::from(sample.in_flight) * 2.0 >= self.limit
    }

    /// Latency of a call as a multiple of its latency without queueing.
    fn slowdown(&mut self, sample: &Sample) -> f64 {
        if sample.slots > 0 {
            return 1.0 + f64::from(sample.queued) / f64::from(sample.slots);
        }
        let baseline = self.baseline(sample).max(f64::MIN_POSITIVE);
        sample.elapsed.as_secs_f64() / baseline
    }

    fn baseline(&mut self, sample: &Sample) -> f64 {
        let elapsed = sample.elapsed.as_secs_f64();
        let baseline_s = self.baseline_s.unwrap_or(elapsed);
        let rise = if self.in_use(sample) {
            BUSY_BASELINE_RISE
        } else {
            BASELINE_RISE
        };
        let baseline_s = (baseline_s + rise * (elapsed - baseline_s)).min(elapsed);
        self.baseline_s = Some(baseline_s);
        baseline_s
    }
}

impl Limit for Gradient {
    fn limit(&self) -> u32 {
        self.limit.round() as u32
    }

    fn answered(&mut self, sample: Sample) {
        let slowdown = self.slowdown(&sample);
        self.slowdown.add(slowdown);
        let gradient = (TOLERANCE / self.slowdown.get().unwrap_or(1.0)).clamp(0.5, 1.0);
        if gradient >= 1.0 && !self.in_use(&sample) {
            return;
        }
        self.slow_start &= gradient >= 1.0;
        if self.slow_start {
            self.limit = (self.limit + 1.0).min(self.max);
            return;
        }
        let goal = self.limit * gradient + HEADROOM * self.limit.sqrt();
        let next = self.limit + GOAL_WEIGHT * (goal - self.limit);
        self.limit = next.clamp(self.min, self.max);
    }

    fn refused(&mut self) {
        self.limit = (self.limit * REFUSAL_BACKOFF).max(self.min);
    }

    fn resize(&mut self, min: u32, max: u32) {
        self.min = f64::from(min);
        self.max = f64::from(max);
        self.limit = self.limit.clamp(self.min, self.max);
    }
}

impl<N: Limit, S: Limit> Limit for Either<N, S> {
    fn limit(&self) -> u32 {
        either!(self, inner => inner.limit())
    }

    fn answered(&mut self, sample: Sample) {
        either!(self, inner => inner.answered(sample));
    }

    fn refused(&mut self) {
        either!(self, inner => inner.refused());
    }

    fn resize(&mut self, min: u32, max: u32) {
        either!(self, inner => inner.resize(min, max));
    }
}
