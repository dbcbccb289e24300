//! A Kalman filter over the total busy time of all classes.
//!
//! After Liu, Li, Yang, Chen and Xu, "Performance Guarantee Mechanism for Multi-Tenancy SaaS
//! Service Based on Kalman Filtering": the state is the service time of each class, and the
//! observation is the utilisation in one monitoring window, which is related to the state by the
//! number of calls of each class in that window. Individual calls need not be timed.

use super::{Class, ServiceTimeEstimator};
use std::time::Duration;

/// Weight of the ceiling, against the old estimate, in the upper bound of a new estimate.
const CEILING_WEIGHT: f64 = 0.9;

/// Estimates each class's service time from call counts and total busy time per window.
#[derive(Clone, Debug)]
pub struct KalmanFilter {
    /// Service time of each class in seconds.
    state: Vec<f64>,
    /// Covariance of the estimation error, in row-major order, in square seconds.
    covariance: Vec<f64>,
    /// Process noise: variance that each service time gains in one window, in square seconds.
    process_noise: f64,
    /// Observation noise: variance of the busy time of one call, in square seconds.
    observation_noise: f64,
    counts: Vec<f64>,
    busy: f64,
}

impl KalmanFilter {
    /// A filter for this many classes. `initial` is the initial service time; `drift` and `noise` are
    /// the standard deviations of a service time's change in one window and of the busy time of one
    /// call.
    #[must_use]
    pub fn new(classes: usize, initial: Duration, drift: Duration, noise: Duration) -> Self {
        let variance = initial.as_secs_f64().powi(2);
        let mut covariance = vec![0.0; classes * classes];
        for class in 0..classes {
            covariance[class * classes + class] = variance;
        }
        Self {
            state: vec![initial.as_secs_f64(); classes],
            covariance,
            process_noise: drift.as_secs_f64().powi(2),
            observation_noise: noise.as_secs_f64().powi(2),
            counts: vec![0.0; classes],
            busy: 0.0,
        }
    }

    fn row(&self, class: Class) -> &[f64] {
        let classes = self.state.len();
        &self.covariance[class * classes..(class + 1) * classes]
    }

    /// Equations 6 and 7: the state stays the same, and its uncertainty grows.
    fn predict(&mut self) {
        let classes = self.state.len();
        for class in 0..classes {
            self.covariance[class * classes + class] += self.process_noise;
        }
    }

    /// Equations 8 to 10, with the window's counts as the row `H` and its busy time as `z`.
    fn update(&mut self) {
        let calls: f64 = self.counts.iter().sum();
        let cross_covariance: Vec<f64> = (0..self.state.len())
            .map(|class| dot(self.row(class), &self.counts))
            .collect();
        let innovation_variance =
            dot(&cross_covariance, &self.counts) + self.observation_noise * calls;
        let innovation = self.busy - dot(&self.state, &self.counts);
        let gain: Vec<f64> = cross_covariance
            .iter()
            .map(|value| value / innovation_variance)
            .collect();
        self.correct(&gain, innovation);
        self.reduce_covariance(&gain, &cross_covariance);
    }

    /// Equations 11 and 12: no service time is negative, or longer than if its class alone had used
    /// the window's busy time.
    fn correct(&mut self, gain: &[f64], innovation: f64) {
        let busy = self.busy;
        for ((value, gain), count) in self.state.iter_mut().zip(gain).zip(&self.counts) {
            let corrected = *value + gain * innovation;
            let ceiling = if *count > 0.0 {
                CEILING_WEIGHT * busy / count + (1.0 - CEILING_WEIGHT) * *value
            } else {
                f64::INFINITY
            };
            *value = corrected.min(ceiling).max(0.0);
        }
    }

    fn reduce_covariance(&mut self, gain: &[f64], cross_covariance: &[f64]) {
        let reductions = gain
            .iter()
            .flat_map(|gain| cross_covariance.iter().map(move |value| gain * value));
        for (cell, reduction) in self.covariance.iter_mut().zip(reductions) {
            *cell -= reduction;
        }
    }
}

impl ServiceTimeEstimator for KalmanFilter {
    fn answered(&mut self, class: Class, busy: Duration) {
        self.counts[class] += 1.0;
        self.busy += busy.as_secs_f64();
    }

    fn close(&mut self) {
        self.predict();
        if self.busy > 0.0 {
            self.update();
        }
        self.counts.fill(0.0);
        self.busy = 0.0;
    }

    fn estimate(&self, class: Class) -> Duration {
        Duration::from_secs_f64(self.state[class])
    }
}

fn dot(one: &[f64], other: &[f64]) -> f64 {
    one.iter().zip(other).map(|(one, other)| one * other).sum()
}
