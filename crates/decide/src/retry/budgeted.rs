//! Retries and hedges from a budget that is a small share of recent successes.

use super::{Failure, Retry};
use hdrhistogram::Histogram;
use std::time::Duration;

/// Attempts of one stage after which it is given up.
const ATTEMPTS: u16 = 4;
/// First wait before a retry.
const FIRST_WAIT: Duration = Duration::from_millis(5);
/// Retries a second that are allowed however few successes there are.
const TRICKLE: f64 = 2.0;
/// Retries that may be saved up. A fifth of the runners that die at once lose what they had in
/// flight, which must all be tried again.
const BURST: f64 = 100.0;
/// Hedges that may be saved up.
const HEDGE_BURST: f64 = 10.0;
/// Quantile of a stage's time after which it is hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Answers before the quantile is trusted.
const HEDGE_MIN_ANSWERS: u64 = 50;
/// Answers after which the window of times starts anew.
const WINDOW: u64 = 2_000;
/// Longest time that the window tells apart from longer ones, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Shares of recent successes that may be spent on second attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRatios {
    /// Retries for each success.
    pub retries: f64,
    /// Hedges for each success.
    pub hedges: f64,
}

impl BudgetRatios {
    /// Shares for a deployment that weighs attainment this much against cost, from 0 to 1: hedges
    /// are pure cost while nothing straggles, so that a cost-weighted deployment sends fewer.
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

/// Pays for each second attempt from what successes have brought in.
#[derive(Clone, Debug)]
pub struct Budgeted {
    share: BudgetRatios,
    retries: f64,
    hedges: f64,
    refilled: Duration,
    current: Histogram<u64>,
    last: Option<Duration>,
}

impl Budgeted {
    /// A budget with these shares.
    #[must_use]
    pub fn new(share: BudgetRatios) -> Self {
        Self {
            share,
            retries: BURST,
            hedges: 0.0,
            refilled: Duration::ZERO,
            current: Histogram::new_with_max(LONGEST_US, 2).expect("bounds are valid"),
            last: None,
        }
    }

    fn refill(&mut self, now: Duration) {
        let idle = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        self.retries = (self.retries + TRICKLE * idle).min(BURST);
    }

    fn quantile(&self) -> Duration {
        Duration::from_micros(self.current.value_at_quantile(HEDGE_QUANTILE))
    }
}

impl Retry for Budgeted {
    fn retry(&mut self, now: Duration, failure: Failure, attempt: u16) -> bool {
        if attempt + 1 >= ATTEMPTS {
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
        let most = FIRST_WAIT * 2_u32.pow(u32::from(attempt.min(ATTEMPTS)));
        most.mul_f64(rng.random_range(0.5..1.0))
    }

    fn hedge_after(&self) -> Option<Duration> {
        if self.share.hedges <= 0.0 {
            return None;
        }
        if self.current.len() >= HEDGE_MIN_ANSWERS {
            return Some(self.quantile());
        }
        self.last
    }

    fn hedge(&mut self, _now: Duration) -> bool {
        if self.hedges < 1.0 {
            return false;
        }
        self.hedges -= 1.0;
        true
    }

    fn succeeded(&mut self, _now: Duration, elapsed: Duration) {
        self.retries = (self.retries + self.share.retries).min(BURST);
        self.hedges = (self.hedges + self.share.hedges).min(HEDGE_BURST);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(LONGEST_US);
        self.current.saturating_record(micros);
        if self.current.len() >= WINDOW {
            self.last = Some(self.quantile());
            self.current.reset();
        }
    }
}
