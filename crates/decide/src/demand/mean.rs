//! An exponentially weighted mean of each class.

use super::{Class, ServiceTimeEstimator};
use crate::smooth::Ewma;
use std::time::Duration;

/// Weight of one response; this value had the lowest error on recorded demand.
const DEFAULT_WEIGHT: f64 = 0.02;

/// Exponentially weighted mean of each class's busy time.
#[derive(Clone, Debug)]
pub struct EwmaEstimator {
    classes: Vec<Ewma>,
}

impl EwmaEstimator {
    /// The default estimator for this many classes.
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

    /// An estimator for this many classes in which one response has this weight, above 0 and up to 1.
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
