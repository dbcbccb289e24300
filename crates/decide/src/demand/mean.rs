//! An exponentially weighted mean of each class.

use super::{Class, ServiceTimeEstimator};
use crate::smooth::Ewma;
use std::time::Duration;

/// Weight of one answer that had the least error on recorded demand.
const DEFAULT_WEIGHT: f64 = 0.02;

/// Mean busy time of each class, the newest answers weighing most.
#[derive(Clone, Debug)]
pub struct EwmaEstimator {
    classes: Vec<Ewma>,
}

impl EwmaEstimator {
    /// The estimator that is used unless another is wanted, for so many classes.
    ///
    /// # Examples
    ///
    /// ```
    /// use decide::demand::{ServiceTimeEstimator, EwmaEstimator};
    /// use std::time::Duration;
    ///
    /// let mut demand = EwmaEstimator::default_for(1);
    /// demand.answered(0, Duration::from_millis(20));
    /// assert_eq!(demand.estimate(0), Duration::from_millis(20));
    /// ```
    #[must_use]
    pub fn default_for(classes: usize) -> Self {
        Self::new(classes, DEFAULT_WEIGHT)
    }

    /// An estimator for so many classes, in which one answer has this weight, above 0 and up to 1.
    #[must_use]
    pub fn new(classes: usize, weight: f64) -> Self {
        Self {
            classes: vec![Ewma::new(weight); classes],
        }
    }
}

impl ServiceTimeEstimator for EwmaEstimator {
    fn answered(&mut self, class: Class, busy: Duration) {
        self.classes[class].add(busy.as_secs_f64());
    }

    fn close(&mut self) {}

    fn estimate(&self, class: Class) -> Duration {
        Duration::from_secs_f64(self.classes[class].get().unwrap_or(0.0))
    }
}
