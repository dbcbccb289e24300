//! Decision policies of a service: the naive baseline or the shipped algorithms.

use super::Waker;
use decide::Either;
use decide::admit::{Predictive, Unbounded, predictive::AdmissionConfig};
use decide::limit::{Fixed, Gradient};
use decide::retry::eject::EjectionPolicy;
use decide::retry::{Always, BudgetRatios, Budgeted};
use decide::route::{Pool, RoundRobin, Sampled};

/// Concurrency limit of a service before its targets are known.
const INITIAL_LIMIT: u32 = 1;

/// Decision policies of one service.
#[derive(Debug)]
pub struct Policy {
    /// Chooses the target of a call.
    pub router: Either<RoundRobin, Sampled>,
    /// Decides which requests are accepted and in which order queued calls start.
    pub admission: Either<Unbounded<Waker>, Predictive<Waker>>,
    /// Limits the number of calls in flight.
    pub limit: Either<Fixed, Gradient>,
    /// Decides about retries and hedged calls.
    pub retry: Either<Always, Budgeted>,
    attainment: f64,
}

/// Creates the pool of targets; the naive policy ejects no target.
pub fn pool(policy: setting::Policy) -> Pool {
    match policy {
        setting::Policy::Naive => Pool::new(EjectionPolicy::never()),
        setting::Policy::Shipped => Pool::default(),
    }
}

impl Policy {
    /// Creates the policies in their initial state.
    pub fn new(policy: setting::Policy) -> Self {
        match policy {
            setting::Policy::Naive => Self {
                router: Either::Naive(RoundRobin::default()),
                admission: Either::Naive(Unbounded::default()),
                limit: Either::Naive(Fixed::new(u32::MAX)),
                retry: Either::Naive(Always),
                attainment: 0.0,
            },
            setting::Policy::Shipped => Self {
                router: Either::Shipped(Sampled),
                admission: Either::Shipped(Predictive::new(AdmissionConfig::default())),
                limit: Either::Shipped(Gradient::new(INITIAL_LIMIT, INITIAL_LIMIT, INITIAL_LIMIT)),
                retry: Either::Shipped(Budgeted::new(BudgetRatios::weighted(0.0))),
                attainment: 0.0,
            },
        }
    }

    /// Sets how the pipelines that use the service weigh attainment against cost.
    pub fn set_attainment_weight(&mut self, attainment: f64) {
        if (attainment - self.attainment).abs() < f64::EPSILON {
            return;
        }
        self.attainment = attainment;
        if let Either::Shipped(retry) = &mut self.retry {
            *retry = Budgeted::new(BudgetRatios::weighted(attainment));
        }
    }
}
