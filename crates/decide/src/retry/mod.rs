//! Retries, hedges and ejection of outliers.
//!
//! * [`always`]: the baseline, retry on every error
//! * [`budgeted`]: retries and hedges from a budget that is a small share of recent successes
//! * [`eject`]: targets that fail too often get no new work for a while
//! * [`window`]: the repeats that a whole fleet may send to one service

pub mod always;
pub mod budgeted;
pub mod eject;
pub mod window;

pub use always::Always;
pub use budgeted::{BudgetRatios, Budgeted};

use crate::either::{Either, either};
use std::time::Duration;

/// How an attempt ended that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No runner started it, so that another try costs the runners nothing extra.
    NotRun,
    /// A runner answered with an error, or its answer was lost.
    Ran,
}

/// Decides on second attempts of a stage. Calls that may not be repeated are never asked about
/// after they were granted.
pub trait Retry {
    /// Whether a stage whose attempt number `attempt` failed may be tried again now; if so, the
    /// retry is paid for.
    fn retry(&mut self, now: Duration, failure: Failure, attempt: u16) -> bool;
    /// How long to wait before that retry.
    fn backoff(&self, attempt: u16, rng: &mut impl rand::Rng) -> Duration;
    /// How long after sending a repeatable stage a second copy may be sent elsewhere, or `None`
    /// for never.
    fn hedge_after(&self) -> Option<Duration>;
    /// Whether a hedge may be sent now; if so, it is paid for.
    fn hedge(&mut self, now: Duration) -> bool;
    /// A first attempt was answered whole after this time.
    fn succeeded(&mut self, now: Duration, elapsed: Duration);
}

impl<N: Retry, S: Retry> Retry for Either<N, S> {
    fn retry(&mut self, now: Duration, failure: Failure, attempt: u16) -> bool {
        either!(self, inner => inner.retry(now, failure, attempt))
    }

    fn backoff(&self, attempt: u16, rng: &mut impl rand::Rng) -> Duration {
        either!(self, inner => inner.backoff(attempt, rng))
    }

    fn hedge_after(&self) -> Option<Duration> {
        either!(self, inner => inner.hedge_after())
    }

    fn hedge(&mut self, now: Duration) -> bool {
        either!(self, inner => inner.hedge(now))
    }

    fn succeeded(&mut self, now: Duration, elapsed: Duration) {
        either!(self, inner => inner.succeeded(now, elapsed));
    }
}
