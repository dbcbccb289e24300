//! The time that started requests take, learnt from those that finish.

use crate::smooth::Ewma;
use std::time::Duration;

/// Weight of one finished request in the learnt chain time.
const CHAIN_TIME_WEIGHT: f64 = 0.05;

/// Average time from the start of a request to the end of its chain.
#[derive(Clone, Debug)]
pub(super) struct LearntTime(Ewma);

impl Default for LearntTime {
    fn default() -> Self {
        Self(Ewma::new(CHAIN_TIME_WEIGHT))
    }
}

impl LearntTime {
    pub(super) fn add(&mut self, elapsed: Duration) {
        self.0.add(elapsed.as_secs_f64());
    }

    /// The average, which is never shorter than the chain's time without waits.
    pub(super) fn get(&self, chain_time: Duration) -> Duration {
        let learnt = self.0.get().map(Duration::from_secs_f64);
        learnt.unwrap_or(chain_time).max(chain_time)
    }
}
