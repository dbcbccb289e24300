//! How far load reports can be trusted.

use super::target::{PoolMeans, Prediction, ResponseStats};
use crate::smooth::Ewma;

/// Weight of one answer in the mean square errors.
const WEIGHT: f64 = 0.02;
/// Largest trust, however well reports have explained waits. At this trust even reports two seconds
/// old start no herd; more of it gains nothing where they are fresh.
const MOST: f64 = 0.25;
/// Mean square error below which the two ways of guessing do not differ.
const NOTHING: f64 = 1e-3;

/// Trust in the load reports of a pool: the share of the variance of measured waits that they
/// explain beyond what the mean of the pool does.
///
/// Reports may be seconds old when they arrive, and nothing in them says so. Entries that believe
/// such reports all send to the target that was idle long ago; its queue grows until the next
/// reports turn all of them elsewhere. The waits that calls then meet contradict the reports, which
/// shows here.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trust {
    by_report: Ewma,
    by_mean: Ewma,
}

impl Default for Trust {
    fn default() -> Self {
        Self {
            by_report: Ewma::new(WEIGHT),
            by_mean: Ewma::new(WEIGHT),
        }
    }
}

impl Trust {
    /// From 0 to [`MOST`].
    pub(super) fn get(&self) -> f64 {
        let explained = match (self.by_report.get(), self.by_mean.get()) {
            (Some(report), Some(mean)) if mean > NOTHING => 1.0 - report / mean,
            (Some(report), Some(_)) if report > NOTHING => 0.0,
            _ => 1.0,
        };
        MOST * explained.clamp(0.0, 1.0)
    }

    /// Compares what was predicted when a call was sent with the wait that its answer shows.
    pub(super) fn learn(
        &mut self,
        predicted: Prediction,
        answer: &ResponseStats<'_>,
        means: PoolMeans,
    ) {
        let wait = (answer.elapsed.as_secs_f64() / means.service - 1.0).max(0.0);
        self.by_report.add((predicted.by_report - wait).powi(2));
        self.by_mean.add((predicted.by_mean - wait).powi(2));
    }
}
