//! Estimates of service time by class.
//!
//! * [`kalman`]: a Kalman filter over the total busy time of all classes
//! * [`mean`]: an exponentially weighted mean of each class
//! * [`quantile`]: a quantile sketch of each class

pub mod kalman;
pub mod mean;
pub mod quantile;

pub use kalman::KalmanFilter;
pub use mean::EwmaEstimator;
pub use quantile::QuantileEstimator;

use crate::either::{Either, either};
use std::time::Duration;

/// Index of a class in the estimator.
pub type Class = usize;

/// Estimates how long a runner is busy with one call of a class.
pub trait ServiceTimeEstimator {
    /// Records a call of the class that kept the runner busy for this time.
    fn answered(&mut self, class: Class, busy: Duration);
    /// Ends a monitoring window of fixed length.
    fn close(&mut self);
    /// Estimated busy time of one call of the class; zero before the first measurement.
    fn estimate(&self, class: Class) -> Duration;
}

impl<N: ServiceTimeEstimator, S: ServiceTimeEstimator> ServiceTimeEstimator for Either<N, S> {
    fn answered(&mut self, class: Class, busy: Duration) {
        either!(self, inner => inner.answered(class, busy));
    }

    fn close(&mut self) {
        either!(self, inner => inner.close());
    }

    fn estimate(&self, class: Class) -> Duration {
        either!(self, inner => inner.estimate(class))
    }
}
