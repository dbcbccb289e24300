//! Confidence in load reports.

use super::target::{PoolMeans, Prediction, ResponseStats};
use crate::smooth::Ewma;

/// Weight of one response in the mean square errors.
const ERROR_WEIGHT: f64 = 0.02;
/// Upper bound of the trust, however well reports explain waits. At this value even reports that are
/// two seconds old cause no herding; a higher value gains nothing when reports are fresh.
const MAX_TRUST: f64 = 0.25;
/// Mean square error below which the two predictions are taken to be equally good.
const MIN_ERROR: f64 = 1e-3;

/// Trust in the load reports of a pool: the fraction of the variance of measured waits that they
/// explain beyond what the mean of the pool explains.
///
/// Reports may be seconds old when they arrive, and do not contain their age. Entry processes that
/// trust such reports all send to a target that was idle long ago; its queue grows until the next
/// reports direct all of them to another target. The waits of these calls contradict the reports,
/// which lowers the trust.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trust {
    by_report: Ewma,
    by_mean: Ewma,
}

impl Default for Trust {
    fn default() -> Self {
        Self {
            by_report: Ewma::new(ERROR_WEIGHT),
            by_mean: Ewma::new(ERROR_WEIGHT),
        }
    }
}

impl Trust {
    /// The trust, from 0 to [`MAX_TRUST`].
    pub(super) fn get(&self) -> f64 {
        let explained = match (self.by_report.get(), self.by_mean.get()) {
            (Some(report), Some(mean)) if mean > MIN_ERROR => 1.0 - report / mean,
            (Some(report), Some(_)) if report > MIN_ERROR => 0.0,
            _ => 1.0,
        };
        MAX_TRUST * explained.clamp(0.0, 1.0)
    }

    /// Compares the waits that were predicted when a call was sent with the wait that was measured.
    pub(super) fn update(
        &mut self,
        predicted: Prediction,
        stats: &ResponseStats<'_>,
        means: PoolMeans,
    ) {
        let wait = (stats.elapsed.as_secs_f64() / means.service_time - 1.0).max(0.0);
        self.by_report.add((predicted.by_report - wait).powi(2));
        self.by_mean.add((predicted.by_mean - wait).powi(2));
    }
}
