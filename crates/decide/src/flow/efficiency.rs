//! The part of its configured rate that a chain reaches.

use super::work::Work;
use std::time::Duration;

/// Efficiency that is assumed without recent measurements. Calls are seldom full, and runners wait
/// for room for results.
const INITIAL: f64 = 1.0;
/// Bounds of the efficiency. Calls end in groups, so that a single interval may show more than the
/// configured rates; with a lower one, a short interruption would stop nearly all starts.
const BOUNDS: (f64, f64) = (0.3, 1.0);
/// Factor on measured throughput. A window that is too small limits the throughput itself; with this
/// factor it grows again as long as more work in progress yields more.
const PROBE: f64 = 1.1;
/// Length of one measurement: about the time of a call, so that each covers calls of most runners.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time constant at which measurements under load count.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time constant at which the efficiency returns to the initial one while no request waits, since it
/// cannot be measured then.
const IDLE_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Ratio of measured to configured throughput at the bottleneck of a chain.
///
/// The configured rates hold for full calls to runners that never wait. A window for those rates would
/// exceed what the chain completes in its horizon, and requests would be late.
#[derive(Clone, Debug)]
pub(super) struct Efficiency {
    value: f64,
    /// Pieces of the requests that have finished since `since`.
    finished: Work,
    since: Duration,
    /// Whether requests have waited at all times since `since`, so that the chain was in full use.
    saturated: bool,
}

impl Default for Efficiency {
    fn default() -> Self {
        Self {
            value: INITIAL,
            finished: Work::default(),
            since: Duration::ZERO,
            saturated: false,
        }
    }
}

impl Efficiency {
    pub(super) fn get(&self) -> f64 {
        self.value
    }

    /// Records the pieces of a request whose chain is done.
    pub(super) fn finished(&mut self, pieces: &[u32]) {
        self.finished.add(pieces);
    }

    /// Updates the efficiency at the end of each interval. `rates` are the configured rates, and
    /// `is_waiting` tells whether requests wait now.
    pub(super) fn update(&mut self, now: Duration, rates: &[f64], is_waiting: bool) {
        let span = now.saturating_sub(self.since);
        self.saturated &= is_waiting;
        if span < INTERVAL {
            return;
        }
        let measured = self.finished.utilization(rates, span);
        if self.saturated {
            self.value += weight(span, TIME_CONSTANT) * (measured * PROBE - self.value);
        } else {
            self.value += weight(span, IDLE_TIME_CONSTANT) * (INITIAL - self.value);
        }
        self.value = self.value.clamp(BOUNDS.0, BOUNDS.1);
        self.finished = Work::default();
        self.since = now;
        self.saturated = is_waiting;
    }
}

/// Weight of a measurement over `span` in an average with this time constant.
fn weight(span: Duration, time_constant: Duration) -> f64 {
    1.0 - (-span.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
