//! Whether a request is accepted, and in which order calls start.
//!
//! * [`fair`]: a queue that gives each workspace its share and orders each share by slack
//! * [`predictive`]: bounded, fair, by slack; refuses by predicted waiting time
//! * [`unbounded`]: the baseline, first in first out without bound

pub mod fair;
pub mod predictive;
pub mod unbounded;

pub use predictive::Predictive;
pub use unbounded::Unbounded;

use crate::WorkspaceId;
use crate::either::{Either, either};
use rand::Rng;
use std::time::Duration;

/// A call that asks to start.
#[derive(Clone, Debug)]
pub struct Call<T> {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Share of the pool that the workspace has, relative to others.
    pub share: u32,
    /// Latest moment, since the process started, at which the call may start and its request still
    /// meet its deadline.
    pub latest_start: Duration,
    /// What the caller of this module gets back when it is the call's turn.
    pub item: T,
}

impl<T> Call<T> {
    /// What admission needs to know of the call.
    pub fn ask(&self) -> AdmissionRequest<'_> {
        AdmissionRequest {
            workspace: &self.workspace,
            share: self.share,
            latest_start: self.latest_start,
        }
    }
}

/// What admission needs to know of a request that is not accepted yet.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Workspace of the caller.
    pub workspace: &'a str,
    /// Share of the pool that the workspace has, relative to others.
    pub share: u32,
    /// Latest moment, since the process started, at which its call to this pool may start.
    pub latest_start: Duration,
}

/// What becomes of a new request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision<T> {
    /// Start the call now; it counts as started.
    Start(T),
    /// Accepted; [`Admission::next`] will give it out.
    Queued,
    /// Not accepted, because of overload.
    Refused {
        /// What was offered.
        item: T,
        /// When the caller should come back; differs from caller to caller.
        retry_after: Duration,
    },
}

/// Admission to one pool and the queue before it.
///
/// The caller starts what [`offer`](Self::offer), [`push`](Self::push) and [`next`](Self::next)
/// give out, reports each start's end by [`finished`](Self::finished), and then asks for the
/// `next` until there is none.
pub trait Admission<T> {
    /// Whether the pool is too far behind for one more request of the workspace, and when to come
    /// back if so. To be asked for the pool of each later stage before a request is accepted, as it
    /// will not be refused there.
    fn overload(
        &mut self,
        ask: &AdmissionRequest<'_>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Duration>;
    /// Offers the first call of a new request, which may be refused; `limit` is the number of calls
    /// that may be in flight.
    fn offer(
        &mut self,
        call: Call<T>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> AdmissionDecision<T>;
    /// Queues a call of a request that was accepted before: never refused. Gives it back if it may
    /// start now.
    fn push(&mut self, call: Call<T>, limit: u32, now: Duration) -> Option<T>;
    /// The call whose turn it is, if fewer than `limit` are in flight; it counts as started.
    fn next(&mut self, limit: u32, now: Duration) -> Option<T>;
    /// A started call is over. `busy` is the time the runner worked for it, zero if it did not
    /// run; `elapsed` is the time since it started, `None` if it did not run.
    fn finished(&mut self, workspace: &str, busy: Duration, elapsed: Option<Duration>);
    /// Calls that wait.
    fn queued(&self) -> usize;
    /// Calls that have started and are not over.
    fn in_flight(&self) -> u32;
}

impl<T, N: Admission<T>, S: Admission<T>> Admission<T> for Either<N, S> {
    fn overload(
        &mut self,
        ask: &AdmissionRequest<'_>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        either!(self, inner => inner.overload(ask, limit, now, rng))
    }

    fn offer(
        &mut self,
        call: Call<T>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> AdmissionDecision<T> {
        either!(self, inner => inner.offer(call, limit, now, rng))
    }

    fn push(&mut self, call: Call<T>, limit: u32, now: Duration) -> Option<T> {
        either!(self, inner => inner.push(call, limit, now))
    }

    fn next(&mut self, limit: u32, now: Duration) -> Option<T> {
        either!(self, inner => inner.next(limit, now))
    }

    fn finished(&mut self, workspace: &str, busy: Duration, elapsed: Option<Duration>) {
        either!(self, inner => inner.finished(workspace, busy, elapsed));
    }

    fn queued(&self) -> usize {
        either!(self, inner => inner.queued())
    }

    fn in_flight(&self) -> u32 {
        either!(self, inner => inner.in_flight())
    }
}
