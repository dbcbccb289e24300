//! A quantile sketch of each class.

use super::{Class, ServiceTimeEstimator};
use hdrhistogram::Histogram;
use std::time::Duration;

/// Longest busy time that the histogram distinguishes, in microseconds.
const MAX_RECORDED_US: u64 = 600_000_000;
/// Minimum number of responses in the current window; with fewer, the last full window is used.
const MIN_RESPONSES: u64 = 20;

/// A quantile of each class's busy times over the current or the last window.
#[derive(Clone, Debug)]
pub struct QuantileEstimator {
    quantile: f64,
    size: u64,
    classes: Vec<Windows>,
}

#[derive(Clone, Debug)]
struct Windows {
    current: Histogram<u64>,
    last: Duration,
}

impl QuantileEstimator {
    /// An estimator for this many classes that returns this quantile, from 0 to 1, of windows of
    /// `size` responses.
    #[must_use]
    pub fn new(classes: usize, quantile: f64, size: u64) -> Self {
        let windows = Windows {
            current: Histogram::new_with_max(MAX_RECORDED_US, 2).expect("bounds are valid"),
            last: Duration::ZERO,
        };
        Self {
            quantile,
            size,
            classes: vec![windows; classes],
        }
    }
}

impl Windows {
    fn get(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.current.value_at_quantile(quantile))
    }
}

impl ServiceTimeEstimator for QuantileEstimator {
    fn answered(&mut self, class: Class, busy: Duration) {
        let windows = &mut self.classes[class];
        let micros = u64::try_from(busy.as_micros()).unwrap_or(MAX_RECORDED_US);
        windows.current.saturating_record(micros);
        if windows.current.len() >= self.size {
            windows.last = windows.get(self.quantile);
            windows.current.reset();
        }
    }

    fn close(&mut self) {}

    fn estimate(&self, class: Class) -> Duration {
        let windows = &self.classes[class];
        let has_enough = windows.current.len() >= MIN_RESPONSES || windows.last.is_zero();
        if has_enough {
            return windows.get(self.quantile);
        }
        windows.last
    }
}
