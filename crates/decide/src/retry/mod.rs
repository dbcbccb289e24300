//! Retries, hedges and outlier ejection.
//!
//! * [`always`]: the baseline, retry on every error
//! * [`budgeted`]: retries and hedges from a budget that is a small fraction of recent successes
//! * [`eject`]: outlier ejection, targets that fail too often get no new work for a while
//! * [`window`]: a bound on the retries that a whole fleet may send to one service

pub mod always;
pub mod budgeted;
pub mod eject;
pub mod window;

pub use always::Always;
pub use budgeted::{BudgetRatios, Budgeted};

use crate::either::{Either, either};
use std::time::Duration;

/// Reason why an attempt brought no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No runner started it, so another attempt costs the runners nothing extra.
    NotRun,
    /// A runner answered with an error, or its response was lost.
    Ran,
}

/// Decides on retries and hedges of a stage. It is never asked about a non-repeatable call that a
/// runner was allowed to start.
pub trait Retry {
    /// Whether a stage whose attempt number `attempt` failed may be retried now. If so, the retry is
    /// taken from the budget.
    fn retry(&mut self, now: Duration, failure: Failure, attempt: u16) -> bool;
    /// Time to wait before that retry.
    fn backoff(&self, attempt: u16, rng: &mut impl rand::Rng) -> Duration;
    /// Time after sending a repeatable stage at which a hedge may be sent to another target, or `None`
    /// for never.
    fn hedge_after(&self) -> Option<Duration>;
    /// Whether a hedge may be sent now. If so, it is taken from the budget.
    fn hedge(&mut self, now: Duration) -> bool;
    /// Records that a first attempt received its complete response after this time.
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
