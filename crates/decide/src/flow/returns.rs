//! The work of refused requests that are expected to retry.

use super::{Capacity, wait_of};
use std::time::Duration;

/// Shortest time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Work that earlier refusals have scheduled, which the chain processes in real time.
///
/// Without it, all callers refused in a burst would come back at the same time.
#[derive(Clone, Debug, Default)]
pub(super) struct ScheduledReturns {
    /// Pieces at each service at the time of the last update.
    pieces: Vec<f64>,
    updated: Duration,
}

impl ScheduledReturns {
    /// Time after which a request should come back that would have to wait this long now.
    pub(super) fn schedule(
        &mut self,
        now: Duration,
        wait: Duration,
        pieces: &[u32],
        capacity: &Capacity,
    ) -> Duration {
        self.drain(now, &capacity.rates);
        let times = self.pieces.iter().zip(&capacity.rates);
        let times = times.map(|(pieces, rate)| pieces / rate.max(f64::MIN_POSITIVE));
        let backlog = wait_of(times.fold(0.0, f64::max));
        for (total, pieces) in self.pieces.iter_mut().zip(pieces) {
            *total += f64::from(*pieces);
        }
        (wait + backlog).max(MIN_RETRY_AFTER)
    }

    fn drain(&mut self, now: Duration, rates: &[f64]) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.pieces.resize(rates.len(), 0.0);
        for (pieces, rate) in self.pieces.iter_mut().zip(rates) {
            *pieces = (*pieces - elapsed * rate.max(0.0)).max(0.0);
        }
    }
}
