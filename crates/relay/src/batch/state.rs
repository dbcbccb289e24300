//! State of a cell: the pending orders and its runners.

use super::absent::AbsentResults;
use super::batch_call::BatchCall;
use super::pending::PendingOrder;
use super::runner_state::{Inflation, RunnerState, StoredResult};
use super::suspect::SUSPECT_POLL_INTERVAL;
use super::{Order, Outcome, Results, StageError, WaitEstimates};
use crate::configuration::{BatchSettings, Rank};
use crate::core::Relay;
use crate::downstream::{Downstream, Handle};
use crate::runner::Runner;
use decide::Map;
use decide::batch::{BatchQueue, ConfiguredQueue, Group, GroupId, Isolation, Rules, Shape};
use setting::Policy;
use setting::relay::Policies;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Lower bound on the total speed of a cell's runners, as a multiple of the configured speed of one
/// runner. It keeps expected waits finite.
const MIN_SPEED: f64 = 0.1;

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) batch_queue: Option<ConfiguredQueue>,
    /// Pieces during which runners have exited.
    pub(super) isolation: Isolation,
    pub(super) pending: Map<GroupId, PendingOrder>,
    pub(super) runner_states: Vec<RunnerState>,
    pub(super) absent_results: AbsentResults,
    next_group_id: GroupId,
    /// When the next dispatch without another cause is scheduled.
    next_wake: Option<Instant>,
    /// Ratio of the assumed to the configured size of results.
    pub(super) inflation: Inflation,
    /// Whether a task that drops released results is scheduled.
    release_scheduled: bool,
}

fn batch_queue(policy: Policies, shape: Shape) -> ConfiguredQueue {
    if policy.batches == Policy::Naive {
        return ConfiguredQueue::naive(shape);
    }
    let rules = Rules {
        near: policy.near == Policy::Shipped,
        whole: policy.whole == Policy::Shipped,
        small_first: policy.small_first == Policy::Shipped,
        give_up: policy.admission == Policy::Shipped,
    };
    ConfiguredQueue::with_rules(shape, rules)
}

impl State {
    /// Whether the cell has no runner that accepts work.
    pub(super) fn is_empty(&self) -> bool {
        self.runner_states.is_empty()
    }

    /// Marks a result as no longer needed; returns whether its runner is in the cell.
    pub(super) fn release(
        &mut self,
        address: SocketAddr,
        handle: &Handle,
        expires_at: Instant,
    ) -> bool {
        let Some(state) = self.at(address) else {
            self.absent_results.forget(address, handle);
            return false;
        };
        state.release(handle, expires_at);
        true
    }

    /// Whether there are results that a runner has not been told to drop.
    pub(super) fn has_released(&self) -> bool {
        let mut states = self.runner_states.iter();
        self.absent_results.has_released() || states.any(|state| !state.released.is_empty())
    }

    /// Whether pieces wait although no call is in progress and a runner could take one, as they do while
    /// no runner has room for their results. If a call is in progress, its end starts the next ones;
    /// calls that start as soon as there is room for any result are nearly empty.
    pub(super) fn awaits_room(&self, batches: BatchSettings) -> bool {
        let waiting = self
            .batch_queue
            .as_ref()
            .map_or(0, BatchQueue::waiting_pieces);
        let now = Instant::now();
        let free = |state: &RunnerState| state.has_slot(batches) && !state.is_paused(now);
        let is_idle = self
            .runner_states
            .iter()
            .all(|state| state.calls.is_empty());
        waiting > 0 && is_idle && self.runner_states.iter().any(free)
    }

    /// Whether the caller has to schedule the task that drops released results.
    pub(super) fn schedule_release(&mut self) -> bool {
        !std::mem::replace(&mut self.release_scheduled, true)
    }

    /// Takes the released results, by the runner that stores them. Those of runners that rest are left: they
    /// are released with a later call, or expire.
    pub(super) fn take_released<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
    ) -> Vec<(Arc<Runner>, Vec<Handle>)> {
        self.release_scheduled = false;
        let is_awake = |state: &&mut RunnerState| relay.rest_end(&state.runner).is_none();
        let released = |state: &mut RunnerState| {
            let results = state.take_released();
            (!results.is_empty()).then(|| (state.runner.clone(), results))
        };
        let states = self.runner_states.iter_mut().filter(is_awake);
        let absent = self.absent_results.take_released();
        states.filter_map(released).chain(absent).collect()
    }

    /// Marks a result as fetched by the call that needs it; returns whether its runner is in the cell.
    pub(super) fn fetched(&mut self, address: SocketAddr, handle: &Handle) -> bool {
        let state = self.at(address);
        state.map(|state| state.fetched(handle)).is_some()
    }

    pub(super) fn at(&mut self, address: SocketAddr) -> Option<&mut RunnerState> {
        let mut runner_states = self.runner_states.iter_mut();
        runner_states.find(|state| state.runner.address == address)
    }

    /// Inputs of a call's orders that have no pieces left that might fetch them.
    pub(super) fn inputs(&self, batch_call: &BatchCall) -> Vec<Results> {
        let pending = |(group_id, _): &(GroupId, Vec<u32>)| self.pending.get(group_id);
        let orders = batch_call.portions.iter().filter_map(pending);
        let sent = orders.filter(|pending| pending.unsent.is_empty());
        sent.flat_map(|pending| pending.order.inputs.clone())
            .collect()
    }

    /// Records a result that another process requested and that may still be stored.
    pub(super) fn record_result(
        &mut self,
        address: SocketAddr,
        handle: &Handle,
        bytes: u64,
        expires_at: Instant,
    ) {
        let stored = StoredResult { bytes, expires_at };
        match self.at(address) {
            Some(state) => drop(state.results.entry(handle.clone()).or_insert(stored)),
            None => self.absent_results.store(address, handle.clone(), stored),
        }
    }

    /// Time that the runners take per waiting piece.
    pub(super) fn piece_time(&self, batches: &BatchSettings) -> Duration {
        let shape = batches.shape;
        let now = Instant::now();
        let speed = |state: &RunnerState| 1.0 / state.slowness(now).max(1.0);
        let speed: f64 = self.runner_states.iter().map(speed).sum();
        let full = shape.full();
        full.div_f64(speed.max(MIN_SPEED) * f64::from(shape.size.max(1)))
    }

    /// Expected times until pieces that arrive now are done, by the rank of their request.
    pub(super) fn expected(
        &self,
        started: Instant,
        batches: &BatchSettings,
    ) -> Option<WaitEstimates> {
        let runner_count = u32::try_from(self.runner_states.len()).unwrap_or(u32::MAX);
        if runner_count == 0 {
            return None;
        }
        let shape = batches.shape;
        let busy = self
            .runner_states
            .iter()
            .all(|state| !state.calls.is_empty());
        let full = shape.full();
        let rest = if busy {
            full / 2 / runner_count
        } else {
            Duration::ZERO
        };
        let work = rest + shape.time(shape.size / 2);
        let piece = self.piece_time(batches);
        let now = Instant::now().saturating_duration_since(started);
        let ahead = |rank: Rank| {
            let batch_queue = self.batch_queue.as_ref();
            batch_queue.map_or(0, |batch_queue| batch_queue.pieces_ahead(now, rank))
        };
        Some(WaitEstimates::new(|rank| work + piece * ahead(rank)))
    }

    /// Ids of the requests whose pieces a call carries.
    pub(super) fn requests(&self, batch_call: &BatchCall) -> String {
        let pending = |(group_id, _): &(GroupId, Vec<u32>)| self.pending.get(group_id);
        let ids = batch_call.portions.iter().filter_map(pending);
        ids.map(|pending| &*pending.order.id)
            .collect::<Vec<_>>()
            .join(",")
    }

    pub(super) fn enqueue<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        batches: BatchSettings,
        order: Order,
        reply: oneshot::Sender<Outcome>,
    ) {
        let group_id = self.next_group_id;
        self.next_group_id += 1;
        let pending = PendingOrder {
            unsent: (0..order.pieces).rev().collect(),
            results: vec![None; order.pieces as usize],
            arrived_at: Instant::now(),
            max_suspects: 1,
            order,
            reply,
        };
        let group = self.group(&pending, group_id, relay);
        let policy = relay.options.policy;
        let batch_queue = || batch_queue(policy, batches.shape);
        let batch_queue = self.batch_queue.get_or_insert_with(batch_queue);
        batch_queue.set_shape(batches.shape);
        batch_queue.push(group);
        self.pending.insert(group_id, pending);
    }

    /// The waiting pieces of an order, as a group for the batch queue.
    pub(super) fn group<D: Downstream>(
        &self,
        pending: &PendingOrder,
        group_id: GroupId,
        relay: &Relay<D>,
    ) -> Group {
        let order = &pending.order;
        let domain = order.domain.clone().filter(|domain| {
            let in_domain = |state: &RunnerState| state.runner.domain == *domain;
            self.runner_states.iter().any(in_domain)
        });
        Group {
            group_id,
            pieces: u32::try_from(pending.unsent.len()).unwrap_or(u32::MAX),
            result_bytes: self.inflation.apply(order.result_bytes),
            due: relay.at(order.due),
            expires_at: relay.at(order.expires_at),
            rank: order.rank,
            domain,
            arrived_at: relay.at(pending.arrived_at),
            max_domain_wait: order.max_domain_wait,
        }
    }

    /// Updates the set of runners; returns the released results of those that are no longer in the
    /// cell. `is_listed` tells whether a runner at this address accepts work.
    ///
    /// The stored results of a runner that is not listed for a moment are kept until it is back. Those
    /// of a runner in another cell are reported to its owner by the processes that need them.
    pub(super) fn refresh(
        &mut self,
        runners: Vec<Arc<Runner>>,
        is_listed: impl Fn(SocketAddr) -> bool,
    ) -> Vec<(Arc<Runner>, Vec<Handle>)> {
        self.absent_results.expire(Instant::now());
        let mut released = Vec::new();
        for mut state in std::mem::take(&mut self.runner_states) {
            let address = state.runner.address;
            let mut present = runners.iter();
            if let Some(runner) = present.find(|runner| runner.is_same_start(&state.runner)) {
                state.runner = runner.clone();
                self.runner_states.push(state);
                continue;
            }
            let dropped = state.take_released();
            if !dropped.is_empty() {
                released.push((state.runner.clone(), dropped));
            }
            if !is_listed(address) {
                for (handle, stored) in state.results {
                    self.absent_results.store_at(&state.runner, handle, stored);
                }
            }
        }
        for runner in runners {
            if self
                .runner_states
                .iter()
                .all(|state| state.runner.id != runner.id)
            {
                let mut state = RunnerState::new(runner);
                state.results = self.absent_results.take(&state.runner);
                self.runner_states.push(state);
            }
        }
        released
    }

    /// Drops the orders whose requests are gone, and ends those that cannot be completed in time.
    pub(super) fn drop_expired(&mut self, at: Duration, piece: Duration) {
        let cancelled: Vec<GroupId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.reply.is_closed())
            .map(|(group_id, _)| *group_id)
            .collect();
        for group_id in cancelled {
            self.finish_order(group_id, Err(StageError::Failed));
        }
        let Some(batch_queue) = self.batch_queue.as_mut() else {
            return;
        };
        let shortest = batch_queue.shortest();
        let expired = batch_queue.expire(at, piece).into_iter();
        for group_id in expired.chain(self.isolation.expire(at, shortest)) {
            self.finish_order(group_id, Err(StageError::Late));
        }
    }

    /// Applies the interval between calls that a runner asks for; the last began at `started_at`.
    /// Only this process forms the calls of the cell.
    pub(super) fn apply_spacing(
        &mut self,
        id: &str,
        started_at: Instant,
        spacing: Option<Duration>,
    ) {
        let state = self
            .runner_states
            .iter_mut()
            .find(|state| *state.runner.id == *id);
        if let (Some(state), Some(spacing)) = (state, spacing) {
            state.apply_spacing(started_at, spacing);
        }
    }

    /// Records the slowness that a runner reports.
    pub(super) fn record_slowness(&mut self, id: &str, slowness: f64) {
        let mut states = self.runner_states.iter_mut();
        if let Some(state) = states.find(|state| *state.runner.id == *id) {
            state.record_reported_slowness(slowness, Instant::now());
        }
    }

    /// When the next result expires or the next order ends, if no call is in progress.
    ///
    /// With the room of all runners taken, no call ends that would cause a dispatch. Orders would
    /// wait until their requests time out although runners have had room again for a long time.
    fn stalled_until(&self, now: Instant) -> Option<Instant> {
        if self
            .runner_states
            .iter()
            .any(|state| !state.calls.is_empty())
        {
            return None;
        }
        let expiries = self.runner_states.iter().flat_map(RunnerState::expiries);
        let orders = self
            .pending
            .values()
            .map(|pending| pending.order.expires_at);
        expiries.chain(orders).filter(|until| *until > now).min()
    }

    /// Time of the next dispatch that no call or order causes; returned once for each such time.
    pub(super) fn next_wake_time(&mut self, started: Instant) -> Option<Instant> {
        let now = Instant::now();
        let pauses = self
            .runner_states
            .iter()
            .filter_map(|state| state.paused_until);
        let pause = pauses.filter(|until| *until > now).min();
        let suspects = (!self.isolation.is_empty()).then(|| now + SUSPECT_POLL_INTERVAL);
        let batch_queue = self.batch_queue.as_ref()?;
        if batch_queue.waiting_pieces() == 0 && suspects.is_none() {
            return None;
        }
        let at = now.saturating_duration_since(started);
        let queue_wake = batch_queue.next_wakeup(at).map(|moment| started + moment);
        let stall_end = self.stalled_until(now);
        let wakes = pause.into_iter().chain(queue_wake).chain(stall_end);
        let wake = wakes.chain(suspects).min()?;
        if self
            .next_wake
            .is_some_and(|planned| planned > now && planned <= wake)
        {
            return None;
        }
        self.next_wake = Some(wake);
        Some(wake)
    }
}
