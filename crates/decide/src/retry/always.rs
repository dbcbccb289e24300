//! The baseline: retry on every error, at once, and never hedge.

use super::{Failure, Retry};
use std::time::Duration;

/// Maximum number of attempts of one stage.
const ATTEMPT_LIMIT: u16 = 8;

/// Retries every failed attempt immediately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Always;

impl Retry for Always {
    fn retry(&mut self, _now: Duration, _failure: Failure, attempt: u16) -> bool {
        attempt + 1 < ATTEMPT_LIMIT
    }

    fn backoff(&self, _attempt: u16, _rng: &mut impl rand::Rng) -> Duration {
        Duration::ZERO
    }

    fn hedge_after(&self) -> Option<Duration> {
        None
    }

    fn hedge(&mut self, _now: Duration) -> bool {
        false
    }

    fn succeeded(&mut self, _now: Duration, _elapsed: Duration) {}
}
