//! Admission of requests, and the order in which calls start.
//!
//! * [`fair`]: a fair queue over workspaces, ordered by slack within each workspace
//! * [`predictive`]: a bounded fair queue that refuses requests by predicted waiting time
//! * [`unbounded`]: the baseline, an unbounded FIFO queue

pub mod fair;
pub mod predictive;
pub mod unbounded;

pub use predictive::Predictive;
pub use unbounded::Unbounded;

use crate::WorkspaceId;
use crate::either::{Either, either};
use rand::Rng;
use std::time::Duration;

/// A call that is ready to start.
#[derive(Clone, Debug)]
pub struct Call<T> {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// The workspace's share of the pool, relative to other workspaces.
    pub share: u32,
    /// Latest time, since the process started, at which the call can start such that its request still
    /// meets its deadline.
    pub latest_start: Duration,
    /// Value that is returned to the caller when the call may start.
    pub item: T,
}

impl<T> Call<T> {
    /// The admission request of this call.
    pub fn request(&self) -> AdmissionRequest<'_> {
        AdmissionRequest {
            workspace: &self.workspace,
            share: self.share,
            latest_start: self.latest_start,
        }
    }
}

/// Properties of a request that admission is decided on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Workspace of the caller.
    pub workspace: &'a str,
    /// The workspace's share of the pool, relative to other workspaces.
    pub share: u32,
    /// Latest time, since the process started, at which its call to this pool may start.
    pub latest_start: Duration,
}

/// Admission decision on a new request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision<T> {
    /// The call may start now, and counts as started.
    Start(T),
    /// The request is accepted; [`Admission::next`] will return the call.
    Queued,
    /// The request is refused because of overload.
    Refused {
        /// The value of the refused call.
        item: T,
        /// Time after which the caller should retry, randomised to spread the callers.
        retry_after: Duration,
    },
}

/// Admission to one pool, and the queue in front of it.
///
/// The caller starts the calls that [`offer`](Self::offer), [`push`](Self::push) and
/// [`next`](Self::next) return, reports the end of each by [`finished`](Self::finished), and then
/// calls `next` until it returns `None`.
pub trait Admission<T> {
    /// The time after which to retry if the pool is overloaded for one more request of the workspace.
    /// Must be checked for the pool of each later stage before a request is accepted, since requests
    /// are not refused at later stages.
    fn overload(
        &mut self,
        request: &AdmissionRequest<'_>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Duration>;
    /// Offers the first call of a new request, which may be refused. `limit` is the maximum number of
    /// calls in flight.
    fn offer(
        &mut self,
        call: Call<T>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> AdmissionDecision<T>;
    /// Queues a call of a request that was accepted before, which is never refused. Returns the next
    /// call if one may start now.
    fn push(&mut self, call: Call<T>, limit: u32, now: Duration) -> Option<T>;
    /// Returns the next call if fewer than `limit` are in flight; it counts as started.
    fn next(&mut self, limit: u32, now: Duration) -> Option<T>;
    /// Records the end of a started call. `busy` is the time that the runner worked on it, zero if
    /// it did not run; `elapsed` is the time since it started, `None` if it did not run.
    fn finished(&mut self, workspace: &str, busy: Duration, elapsed: Option<Duration>);
    /// Number of waiting calls.
    fn queued(&self) -> usize;
    /// Number of started calls that have not finished.
    fn in_flight(&self) -> u32;
}

impl<T, N: Admission<T>, S: Admission<T>> Admission<T> for Either<N, S> {
    fn overload(
        &mut self,
        request: &AdmissionRequest<'_>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        either!(self, inner => inner.overload(request, limit, now, rng))
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
