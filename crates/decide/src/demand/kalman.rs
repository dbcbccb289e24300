//! A Kalman filter over the busy time that all classes used together.
//!
//! After Liu, Li, Yang, Chen and Xu, "Performance Guarantee Mechanism for Multi-Tenancy SaaS
//! Service Based on Kalman Filtering": the state is the service time of each class, the
//! observation the utilisation of one monitoring window, which the number of calls of each class
//! in that window ties to the state. No single call has to be timed.

use super::{Class, ServiceTimeEstimator};
use std::time::Duration;

/// Share of the ceiling, against the old estimate, in the bound on a new one.
const CEILING_WEIGHT: f64 = 0.9;

/// Estimates each class's service time from windows of counts and total busy time.
#[derive(Clone, Debug)]
pub struct KalmanFilter {
    /// Service time of each class in seconds.
    state: Vec<f64>,
    /// Covariance of the estimate's error, row by row, in square seconds.
    covariance: Vec<f64>,
    /// Variance that each service time gains in one window, in square seconds.
    process: f64,
    /// Variance of one window's mean busy time a call, in square seconds.
    observation: f64,
    counts: Vec<f64>,
    busy: f64,
}

impl KalmanFilter {
    /// A filter for so many classes that starts at the service time `first` and takes standard
    /// deviations: `drift` for what a service time gains in one window, `noise` for the busy time
    /// of one call.
    #[must_use]
    pub fn new(classes: usize, first: Duration, drift: Duration, noise: Duration) -> Self {
        let variance = first.as_secs_f64().powi(2);
        let mut covariance = vec![0.0; classes * classes];
        for class in 0..classes {
            covariance[class * classes + class] = variance;
        }
        Self {
            state: vec![first.as_secs_f64(); classes],
            covariance,
            process: drift.as_secs_f64().powi(2),
            observation: noise.as_secs_f64().powi(2),
            counts: vec![0.0; classes],
            busy: 0.0,
        }
    }

    fn row(&self, class: Class) -> &[f64] {
        let classes = self.state.len();
        &self.covariance[class * classes..(class + 1) * classes]
    }

    /// Equations 6 and 7: the state stays, its uncertainty grows.
    fn predict(&mut self) {
        let classes = self.state.len();
        for class in 0..classes {
            self.covariance[class * classes + class] += self.process;
        }
    }

    /// Equations 8 to 10 for the window's counts as the row `H` and its busy time as `z`.
    fn update(&mut self) {
        let calls: f64 = self.counts.iter().sum();
        let across: Vec<f64> = (0..self.state.len())
            .map(|class| dot(self.row(class), &self.counts))
            .collect();
        let spread = dot(&across, &self.counts) + self.observation * calls;
        let error = self.busy - dot(&self.state, &self.counts);
        let gain: Vec<f64> = across.iter().map(|value| value / spread).collect();
        self.correct(&gain, error);
        self.shrink(&gain, &across);
    }

    /// Equations 11 and 12: no service time is negative, nor longer than if its class alone had
    /// used the window.
    fn correct(&mut self, gain: &[f64], error: f64) {
        let busy = self.busy;
        for ((value, gain), count) in self.state.iter_mut().zip(gain).zip(&self.counts) {
            let trial = *value + gain * error;
            let ceiling = if *count > 0.0 {
                CEILING_WEIGHT * busy / count + (1.0 - CEILING_WEIGHT) * *value
            } else {
                f64::INFINITY
            };
            *value = trial.min(ceiling).max(0.0);
        }
    }

    fn shrink(&mut self, gain: &[f64], across: &[f64]) {
        let cells = gain
            .iter()
            .flat_map(|gain| across.iter().map(move |value| gain * value));
        for (cell, less) in self.covariance.iter_mut().zip(cells) {
            *cell -= less;
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
