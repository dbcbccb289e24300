//! Which decisions a service is run with: the naive ones or those that ship.

use super::Waker;
use decide::Either;
use decide::admit::{Predictive, Unbounded, predictive::AdmissionConfig};
use decide::limit::{Fixed, Gradient};
use decide::retry::eject::EjectionPolicy;
use decide::retry::{Always, BudgetRatios, Budgeted};
use decide::route::{Pool, RoundRobin, Sampled};

/// Calls in flight that a service starts with before its targets are known.
const INITIAL_LIMIT: u32 = 1;

/// Decisions of one service.
#[derive(Debug)]
pub struct Policy {
    /// Which target a call goes to.
    pub router: Either<RoundRobin, Sampled>,
    /// Whether a request is accepted, and whose turn it is.
    pub admission: Either<Unbounded<Waker>, Predictive<Waker>>,
    /// Calls in flight at once.
    pub limit: Either<Fixed, Gradient>,
    /// Second attempts.
    pub retry: Either<Always, Budgeted>,
    attainment: f64,
}

/// The targets' table; the naive decisions eject nobody.
pub fn pool(policy: setting::Policy) -> Pool {
    match policy {
        setting::Policy::Naive => Pool::new(EjectionPolicy::never()),
        setting::Policy::Shipped => Pool::default(),
    }
}

impl Policy {
    /// Decisions before anything is known.
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

    /// Takes in how much the pipelines that use the service weigh attainment against cost.
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
