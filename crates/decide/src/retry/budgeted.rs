//! Retries and hedges from a budget that is a small fraction of recent successes.

use super::{Failure, Retry};
use hdrhistogram::Histogram;
use std::time::Duration;

/// Maximum number of attempts of one stage.
const ATTEMPT_LIMIT: u16 = 4;
/// Base of the exponential backoff.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// Retries a second that are allowed regardless of the number of successes.
const MIN_RETRIES_PER_SECOND: f64 = 2.0;
/// Maximum retry budget. When a fifth of the runners crash at once, all their calls in flight must be
/// retried.
const MAX_SAVED_RETRIES: f64 = 100.0;
/// Maximum hedge budget.
const MAX_SAVED_HEDGES: f64 = 10.0;
/// Quantile of a stage's response times after which it is hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Responses in a window before its quantile is used.
const HEDGE_MIN_RESPONSES: u64 = 50;
/// Responses after which the window of response times is reset.
const WINDOW: u64 = 2_000;
/// Longest response time that the histogram distinguishes, in microseconds.
const MAX_RECORDED_US: u64 = 600_000_000;

/// Retries and hedges allowed per recent success.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRatios {
    /// Retries per success.
    pub retries: f64,
    /// Hedges per success.
    pub hedges: f64,
}

impl BudgetRatios {
    /// Ratios for a deployment that gives attainment this weight against cost, from 0 to 1. Hedges
    /// are pure cost while no target straggles, so a cost-weighted deployment sends fewer.
    ///
    /// # Examples
    ///
    /// ```
    /// use decide::retry::BudgetRatios;
    ///
    /// assert!(BudgetRatios::weighted(1.0).hedges > BudgetRatios::weighted(0.2).hedges);
    /// assert_eq!(BudgetRatios::weighted(0.0).hedges, 0.0);
    /// ```
    #[must_use]
    pub fn weighted(attainment: f64) -> Self {
        Self {
            retries: 0.1,
            hedges: 0.04 * attainment.clamp(0.0, 1.0),
        }
    }
}

/// A budget that successes add to and that each retry or hedge is taken from.
#[derive(Clone, Debug)]
pub struct Budgeted {
    ratios: BudgetRatios,
    retries: f64,
    hedges: f64,
    refilled: Duration,
    current: Histogram<u64>,
    last_quantile: Option<Duration>,
}

impl Budgeted {
    /// A budget with these ratios.
    #[must_use]
    pub fn new(ratios: BudgetRatios) -> Self {
        Self {
            ratios,
            retries: MAX_SAVED_RETRIES,
            hedges: 0.0,
            refilled: Duration::ZERO,
            current: Histogram::new_with_max(MAX_RECORDED_US, 2).expect("bounds are valid"),
            last_quantile: None,
        }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        self.retries = (self.retries + MIN_RETRIES_PER_SECOND * elapsed).min(MAX_SAVED_RETRIES);
    }

    fn quantile(&self) -> Duration {
        Duration::from_micros(self.current.value_at_quantile(HEDGE_QUANTILE))
    }
}

impl Retry for Budgeted {
    fn retry(&mut self, now: Duration, failure: Failure, attempt: u16) -> bool {
        if attempt + 1 >= ATTEMPT_LIMIT {
            return false;
        }
        if failure == Failure::NotRun {
            return true;
        }
        self.refill(now);
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }

    fn backoff(&self, attempt: u16, rng: &mut impl rand::Rng) -> Duration {
        if attempt == 0 {
            return Duration::ZERO;
        }
        let max_wait = INITIAL_BACKOFF * 2_u32.pow(u32::from(attempt.min(ATTEMPT_LIMIT)));
        max_wait.mul_f64(rng.random_range(0.5..1.0))
    }

    fn hedge_after(&self) -> Option<Duration> {
        if self.ratios.hedges <= 0.0 {
            return None;
        }
        if self.current.len() >= HEDGE_MIN_RESPONSES {
            return Some(self.quantile());
        }
        self.last_quantile
    }

    fn hedge(&mut self, _now: Duration) -> bool {
        if self.hedges < 1.0 {
            return false;
        }
        self.hedges -= 1.0;
        true
    }

    fn succeeded(&mut self, _now: Duration, elapsed: Duration) {
        self.retries = (self.retries + self.ratios.retries).min(MAX_SAVED_RETRIES);
        self.hedges = (self.hedges + self.ratios.hedges).min(MAX_SAVED_HEDGES);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(MAX_RECORDED_US);
        self.current.saturating_record(micros);
        if self.current.len() >= WINDOW {
            self.last_quantile = Some(self.quantile());
            self.current.reset();
        }
    }
}
