//! The time that started requests take, learnt from those that finish.

use crate::smooth::Ewma;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of one finished request in the learnt chain time.
const CHAIN_TIME_WEIGHT: f64 = 0.05;

/// Average times from the start of a request to the end of its chain, by rank. Urgent requests pass
/// others at each stage; by a common average they would seem to be late and be refused.
#[derive(Clone, Debug, Default)]
pub(super) struct LearntTimes(BTreeMap<u8, Ewma>);

impl LearntTimes {
    pub(super) fn add(&mut self, rank: u8, elapsed: Duration) {
        let average = self.0.entry(rank);
        let average = average.or_insert_with(|| Ewma::new(CHAIN_TIME_WEIGHT));
        average.add(elapsed.as_secs_f64());
    }

    /// The average of a rank, which is never shorter than the chain's time without waits.
    pub(super) fn get(&self, rank: u8, chain_time: Duration) -> Duration {
        let learnt = self.0.get(&rank).and_then(Ewma::get);
        let learnt = learnt.map(Duration::from_secs_f64);
        learnt.unwrap_or(chain_time).max(chain_time)
    }
}
