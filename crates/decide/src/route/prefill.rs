//! Learns how fast the engines of a service read prompts.
//!
//! The time until a response begins is at least a base time plus the time to read the tokens that no
//! engine can have cached. Queues and shared parts that are not cached only add to it, so the estimate
//! is a line that most responses lie above: a linear quantile regression on the latest responses.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of latest responses that the estimate is based on.
const WINDOW: usize = 256;
/// Number of responses before the initial value is replaced.
const MIN_RESPONSES: usize = 20;
/// Number of responses between two updates. Each update sorts the window some twenty times.
const UPDATE_INTERVAL: usize = 8;
/// Fraction of the responses that are expected below the line. Prompts that are repeated in full are
/// read from the cache; fewer of them than this do not lower the estimate much.
const QUANTILE: f64 = 0.05;
/// Fraction of the difference by which one update lowers the estimate.
const FALL_WEIGHT: f64 = 0.25;
/// Largest growth of the estimate per second. In a burst of 5 to 7 s nearly all prompts queue; the
/// estimate then rises by less than a tenth.
const MAX_RISE_PER_SECOND: f64 = 0.01;
/// Longest time whose growth one update may make up for. Otherwise the first burst after a quiet hour could
/// raise the estimate at once to the time that its prompts queue.
const MAX_UPDATE_TIME: Duration = Duration::from_secs(10);
/// Weight, in responses, of the current time per token in an update. It decides if all prompts have
/// about the same length, from which the base and the time per token cannot be told apart.
const PRIOR_RESPONSES: f64 = 1.0;
/// Bounds on the estimated seconds per token, far beyond those of any known engine.
const MIN_SECONDS_PER_TOKEN: f64 = 1e-6;
const MAX_SECONDS_PER_TOKEN: f64 = 1e-3;
/// Lower bound on the estimated base time in seconds.
const MIN_BASE_S: f64 = 0.001;
/// Steps of the search for the time per token; they narrow it down to 0.1%.
const SEARCH_STEPS: usize = 19;

/// Time that an engine without other calls takes until it responds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSpeed {
    /// Seconds until the first event, without those for reading the prompt.
    pub base: f64,
    /// Seconds to read one token of a prompt.
    pub per_token: f64,
}

impl Default for PrefillSpeed {
    /// The values assumed before any response: 25 tokens a millisecond.
    fn default() -> Self {
        Self {
            base: 0.06,
            per_token: 40e-6,
        }
    }
}

impl PrefillSpeed {
    /// Time in seconds to read this many tokens.
    #[must_use]
    pub fn read_seconds(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.per_token
    }

    /// Time from the call to its first event, for a prompt of this many tokens.
    #[must_use]
    pub fn first_event(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(self.base + self.read_seconds(tokens))
    }

    /// Whether the base or the time per token differs from `other` by more than this factor.
    #[must_use]
    pub fn differs(&self, other: &Self, factor: f64) -> bool {
        let differs = |one: f64, other: f64| one > other * factor || other > one * factor;
        differs(self.base, other.base) || differs(self.per_token, other.per_token)
    }
}

/// A response that has begun.
#[derive(Clone, Copy, Debug)]
pub struct FirstEvent {
    /// Time from sending the call to the first event.
    pub elapsed: Duration,
    /// Tokens of the prompt that are not shared with other requests, and so were read.
    pub unshared: u32,
    /// All tokens of the prompt.
    pub tokens: u32,
    /// Calls in progress at the runner when the call was sent, as far as they were known.
    pub in_progress: u32,
}

impl FirstEvent {
    /// How much the response says about an idle engine. Other calls delay it, and it is not known
    /// which shared parts were read.
    fn weight(&self) -> f64 {
        let tokens = self.tokens.max(self.unshared);
        let certain = (f64::from(self.unshared) + 1.0) / (f64::from(tokens) + 1.0);
        (1.0 + certain) / (1.0 + f64::from(self.in_progress))
    }
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    seconds: f64,
    tokens: f64,
    weight: f64,
}

/// Estimates the speed at which the engines of a service read prompts. The estimate falls quickly
/// and rises slowly, since most of what delays a response is not reading.
///
/// # Examples
///
/// ```
/// use decide::route::prefill::{FirstEvent, PrefillEstimator};
/// use std::time::Duration;
///
/// let mut estimator = PrefillEstimator::default();
/// for number in 0..200 {
///     let tokens = 100 + number % 20 * 400;
///     let event = FirstEvent {
///         elapsed: Duration::from_micros(50_000 + 10 * u64::from(tokens)),
///         unshared: tokens,
///         tokens,
///         in_progress: 0,
///     };
///     estimator.record(Duration::from_millis(100) * number, &event);
/// }
/// assert!((estimator.speed().per_token - 10e-6).abs() < 1e-6);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefillEstimator {
    samples: VecDeque<Sample>,
    unused: usize,
    updated_at: Duration,
    speed: PrefillSpeed,
}

impl PrefillEstimator {
    /// The current estimate; the default until there have been enough responses.
    #[must_use]
    pub fn speed(&self) -> PrefillSpeed {
        self.speed
    }

    /// Records a response that has begun.
    pub fn record(&mut self, now: Duration, event: &FirstEvent) {
        if self.samples.len() == WINDOW {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            seconds: event.elapsed.as_secs_f64(),
            tokens: f64::from(event.unshared),
            weight: event.weight(),
        });
        self.unused += 1;
        if self.samples.len() >= MIN_RESPONSES && self.unused >= UPDATE_INTERVAL {
            self.unused = 0;
            self.update(now);
        }
    }

    fn update(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).min(MAX_UPDATE_TIME);
        let elapsed = elapsed.as_secs_f64();
        self.updated_at = now;
        let fit = self.fit();
        let max_rise = 1.0 + MAX_RISE_PER_SECOND * elapsed;
        let step = |old: f64, new: f64| {
            if new < old {
                old + FALL_WEIGHT * (new - old)
            } else {
                new.min(old * max_rise)
            }
        };
        self.speed = PrefillSpeed {
            base: step(self.speed.base, fit.base),
            per_token: step(self.speed.per_token, fit.per_token),
        };
    }

    /// The line with the least loss. The loss is convex in the time per token, so that a golden-section
    /// search finds it.
    fn fit(&self) -> PrefillSpeed {
        let ratio = (5_f64.sqrt() - 1.0) / 2.0;
        let at = |exponent: f64| self.line(exponent.exp());
        let (mut low, mut high) = (MIN_SECONDS_PER_TOKEN.ln(), MAX_SECONDS_PER_TOKEN.ln());
        let mut left = at(high - ratio * (high - low));
        let mut right = at(low + ratio * (high - low));
        for _ in 0..SEARCH_STEPS {
            if left.0 <= right.0 {
                high = low + ratio * (high - low);
                right = left;
                left = at(high - ratio * (high - low));
            } else {
                low = high - ratio * (high - low);
                left = right;
                right = at(low + ratio * (high - low));
            }
        }
        if left.0 <= right.0 { left.1 } else { right.1 }
    }

    /// The best line with this time per token, and its loss.
    fn line(&self, per_token: f64) -> (f64, PrefillSpeed) {
        let rest = |sample: &Sample| (sample.seconds - per_token * sample.tokens, sample.weight);
        let mut rests: Vec<(f64, f64)> = self.samples.iter().map(rest).collect();
        rests.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        let total: f64 = rests.iter().map(|(_, weight)| weight).sum();
        let mut left = total * QUANTILE;
        let quantile = rests.iter().find(|(_, weight)| {
            left -= weight;
            left <= 0.0
        });
        let base = quantile.map_or(MIN_BASE_S, |(rest, _)| rest.max(MIN_BASE_S));
        let loss = |(rest, weight): &(f64, f64)| {
            let above = rest - base;
            weight * (above * QUANTILE).max(above * (QUANTILE - 1.0))
        };
        let loss: f64 = rests.iter().map(loss).sum();
        let tokens = self
            .samples
            .iter()
            .map(|sample| sample.tokens * sample.weight);
        let mean_tokens = tokens.sum::<f64>() / total;
        let change = (per_token - self.speed.per_token).abs() * mean_tokens;
        let prior = change * QUANTILE * PRIOR_RESPONSES * total / self.samples.len() as f64;
        (loss + prior, PrefillSpeed { base, per_token })
    }
}
