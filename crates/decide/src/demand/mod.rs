//! Estimates of service time by class.
//!
//! * [`kalman`]: a Kalman filter over the busy time that all classes used together
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

/// Position of a class in the estimator, from zero.
pub type Class = usize;

/// Estimates how long a runner is busy with one call of a class.
pub trait ServiceTimeEstimator {
    /// A call of the class was answered after the runner was busy for this time.
    fn answered(&mut self, class: Class, busy: Duration);
    /// A monitoring window of fixed length has ended.
    fn close(&mut self);
    /// Estimated busy time of one call of the class; zero before anything was learnt.
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
