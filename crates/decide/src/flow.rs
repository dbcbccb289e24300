//! Gates that decide which requests of a chain of stages may start, and when.
//!
//! If each stage admits requests on its own, a burst fills the queues between the stages: all
//! requests become late together, after runners have spent time on them. A gate keeps the work in
//! progress within the capacity of the chain. Requests wait before the first stage, where they hold
//! no results, and those that cannot be on time are refused at once.
//!
//! * [`Window`]: limits the pieces of started requests; this is what ships
//! * [`Paced`]: starts requests at the rate of the slowest stage
//! * [`Unlimited`]: the baseline, which starts all requests

mod efficiency;
mod learnt;
mod outlook;
mod paced;
mod queue;
mod returns;
mod unlimited;
mod window;
mod work;

pub use paced::Paced;
pub use unlimited::Unlimited;
pub use window::Window;

use crate::either::{Either, either};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Upper bound of expected waits. It stands for "unknown" if a service has no runners, and keeps
/// additions to it from overflowing.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Interval at which waiting requests are reviewed if no request finishes in the meantime.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Identifies a request at its gate.
pub type Ticket = u64;

/// Properties of a request that a gate decides on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Urgency of the request; 0 goes first.
    pub rank: u8,
    /// Number of pieces at each service of [`Capacity::rates`]; missing ones count as zero.
    pub pieces: Vec<u32>,
    /// Time by which the chain must be done for the response to be on time.
    pub due: Duration,
    /// Time by which the chain must be done at all.
    pub expires_at: Duration,
}

/// Capacity of a chain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Pieces a second that each service processes in full calls.
    pub rates: Vec<f64>,
    /// Time of the whole chain without waits.
    pub chain_time: Duration,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may start now, and counts as started.
    Start,
    /// The request waits; [`Gate::poll`] will return its next verdict.
    Wait {
        /// Expected time until it starts.
        expected: Duration,
    },
    /// The request is refused and no longer known to the gate.
    Refuse {
        /// Time after which the chain is expected to have capacity for it.
        retry_after: Duration,
    },
}

/// Decides which requests of a chain may start.
///
/// The caller reports the end of each started request by [`finish`](Self::finish) or
/// [`withdraw`](Self::withdraw), and then calls [`poll`](Self::poll). It also calls `poll` at
/// [`next_wakeup`](Self::next_wakeup).
pub trait Gate {
    /// Replaces the capacity. The number of services may change.
    fn set_capacity(&mut self, capacity: Capacity);
    /// Decides on a new request. A ticket that is already known is withdrawn first.
    fn offer(&mut self, now: Duration, ticket: Ticket, demand: Demand) -> Verdict;
    /// Records that the chain of a started request is done.
    fn finish(&mut self, now: Duration, ticket: Ticket);
    /// Removes a waiting or started request that is gone.
    fn withdraw(&mut self, now: Duration, ticket: Ticket);
    /// Returns the waiting requests that start or are refused now.
    fn poll(&mut self, now: Duration) -> Vec<(Ticket, Verdict)>;
    /// Time of the next call of [`poll`](Self::poll) if no request finishes before.
    fn next_wakeup(&self, now: Duration) -> Option<Duration>;
    /// Expected time until a new request of this rank starts that is due after all waiting ones.
    fn expected_wait(&self, now: Duration, rank: u8) -> Duration;
}

impl<N: Gate, S: Gate> Gate for Either<N, S> {
    fn set_capacity(&mut self, capacity: Capacity) {
        either!(self, inner => inner.set_capacity(capacity));
    }

    fn offer(&mut self, now: Duration, ticket: Ticket, demand: Demand) -> Verdict {
        either!(self, inner => inner.offer(now, ticket, demand))
    }

    fn finish(&mut self, now: Duration, ticket: Ticket) {
        either!(self, inner => inner.finish(now, ticket));
    }

    fn withdraw(&mut self, now: Duration, ticket: Ticket) {
        either!(self, inner => inner.withdraw(now, ticket));
    }

    fn poll(&mut self, now: Duration) -> Vec<(Ticket, Verdict)> {
        either!(self, inner => inner.poll(now))
    }

    fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        either!(self, inner => inner.next_wakeup(now))
    }

    fn expected_wait(&self, now: Duration, rank: u8) -> Duration {
        either!(self, inner => inner.expected_wait(now, rank))
    }
}

/// A wait of this many seconds, between zero and [`MAX_WAIT`].
fn wait_of(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT.as_secs_f64()))
}
