//! What waits in a cell and what its runners do.

use super::batch_call::BatchCall;
use super::pending::PendingOrder;
use super::runner_state::{FinishedCall, Inflation, RunnerState, StoredResult};
use super::suspect::SUSPECT_POLL_INTERVAL;
use super::{Order, Outcome, Results, StageError, WaitEstimates};
use crate::configuration::{BatchSettings, Rank, ServiceId};
use crate::core::Relay;
use crate::downstream::{Downstream, Failure, Handle, PieceOutcome};
use crate::request::ContentId;
use crate::runner::{Runner, RunnerId};
use decide::Map;
use decide::batch::{BatchQueue, ConfiguredQueue, Group, GroupId, Isolation, Rules, Shape};
use setting::Policy;
use setting::relay::Policies;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Speed of a cell below which its runners are taken to be as slow as that, compared to one that
/// works as configured: an expected wait must stay finite.
const MIN_SPEED: f64 = 0.1;

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) batch_queue: Option<ConfiguredQueue>,
    /// Pieces under which runners have ended.
    pub(super) isolation: Isolation,
    pub(super) waiting: Map<GroupId, PendingOrder>,
    pub(super) runner_states: Vec<RunnerState>,
    next: GroupId,
    /// When calls are looked for next without a cause.
    next_wake: Option<Instant>,
    /// How much larger than the configuration says results are taken to be.
    inflation: Inflation,
    /// Whether results that are over are about to be given back.
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
    ConfiguredQueue::with(shape, rules)
}

impl State {
    /// Whether the cell has no runner that takes work.
    pub(super) fn is_empty(&self) -> bool {
        self.runner_states.is_empty()
    }

    /// A result is needed no more.
    pub(super) fn release(&mut self, address: SocketAddr, handle: &Handle, until: Instant) {
        if let Some(state) = self.at(address) {
            state.release(handle, until);
        }
    }

    /// Whether nobody else is about to give back what is over.
    pub(super) fn schedule_release(&mut self) -> bool {
        !std::mem::replace(&mut self.release_scheduled, true)
    }

    /// The results that are over, by the runner that holds them.
    pub(super) fn take_released(&mut self) -> Vec<(Arc<Runner>, Vec<Handle>)> {
        self.release_scheduled = false;
        let released = |state: &mut RunnerState| {
            let results = state.take_released();
            (!results.is_empty()).then(|| (state.runner.clone(), results))
        };
        self.runner_states.iter_mut().filter_map(released).collect()
    }

    /// A result has been fetched by the call that needs it.
    pub(super) fn fetched(&mut self, address: SocketAddr, handle: &Handle) {
        if let Some(state) = self.at(address) {
            state.fetched(handle);
        }
    }

    fn at(&mut self, address: SocketAddr) -> Option<&mut RunnerState> {
        let mut runner_states = self.runner_states.iter_mut();
        runner_states.find(|state| state.runner.address == address)
    }

    /// The inputs of a call's orders that have no pieces left which might fetch them.
    pub(super) fn inputs(&self, batch_call: &BatchCall) -> Vec<Results> {
        let waiting = |(group_id, _): &(GroupId, Vec<u32>)| self.waiting.get(group_id);
        let orders = batch_call.portions.iter().filter_map(waiting);
        let sent = orders.filter(|waiting| waiting.unsent.is_empty());
        sent.flat_map(|waiting| waiting.order.inputs.clone())
            .collect()
    }

    /// Results that another process asked for and may still hold.
    pub(super) fn record_result(
        &mut self,
        address: SocketAddr,
        handle: &Handle,
        bytes: u64,
        until: Instant,
    ) {
        if let Some(state) = self.at(address) {
            let held = StoredResult { bytes, until };
            state.results.entry(handle.clone()).or_insert(held);
        }
    }

    /// Time that the runners take for each piece that waits.
    pub(super) fn piece_time(&self, batches: &BatchSettings) -> Duration {
        let shape = batches.shape;
        let now = Instant::now();
        let speed = |state: &RunnerState| 1.0 / state.slowness(now).max(1.0);
        let speed: f64 = self.runner_states.iter().map(speed).sum();
        let full = shape.full();
        full.div_f64(speed.max(MIN_SPEED) * f64::from(shape.size.max(1)))
    }

    /// Expected times until pieces that come now are made, by the rank of their request.
    pub(super) fn expected(
        &self,
        started: Instant,
        batches: &BatchSettings,
    ) -> Option<WaitEstimates> {
        let runner_states = u32::try_from(self.runner_states.len()).unwrap_or(u32::MAX);
        if runner_states == 0 {
            return None;
        }
        let shape = batches.shape;
        let busy = self
            .runner_states
            .iter()
            .all(|state| !state.calls.is_empty());
        let full = shape.full();
        let rest = if busy {
            full / 2 / runner_states
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

    /// Names of the requests whose pieces a call carries.
    pub(super) fn requests(&self, batch_call: &BatchCall) -> String {
        let waiting = |(group_id, _): &(GroupId, Vec<u32>)| self.waiting.get(group_id);
        let ids = batch_call.portions.iter().filter_map(waiting);
        ids.map(|waiting| &*waiting.order.id)
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
        let group_id = self.next;
        self.next += 1;
        let waiting = PendingOrder {
            unsent: (0..order.pieces).rev().collect(),
            made: vec![None; order.pieces as usize],
            since: Instant::now(),
            max_suspects: 1,
            order,
            reply,
        };
        let group = self.group(&waiting, group_id, relay);
        let policy = relay.options.policy;
        let batch_queue = || batch_queue(policy, batches.shape);
        let batch_queue = self.batch_queue.get_or_insert_with(batch_queue);
        batch_queue.reshape(batches.shape);
        batch_queue.push(group);
        self.waiting.insert(group_id, waiting);
    }

    /// The pieces of an order that still wait, as the former sees them.
    pub(super) fn group<D: Downstream>(
        &self,
        waiting: &PendingOrder,
        group_id: GroupId,
        relay: &Relay<D>,
    ) -> Group {
        let order = &waiting.order;
        let domain = order.domain.clone().filter(|domain| {
            let there = |state: &RunnerState| state.runner.domain == *domain;
            self.runner_states.iter().any(there)
        });
        Group {
            group_id,
            pieces: u32::try_from(waiting.unsent.len()).unwrap_or(u32::MAX),
            result_bytes: self.inflation.apply(order.result_bytes),
            due: relay.at(order.due),
            expires_at: relay.at(order.expires_at),
            rank: order.rank,
            domain,
            arrived_at: relay.at(waiting.since),
            max_domain_wait: order.max_domain_wait,
        }
    }

    pub(super) fn refresh(&mut self, runners: Vec<Arc<Runner>>) {
        self.runner_states
            .retain(|state| runners.contains(&state.runner));
        for runner in runners {
            if self
                .runner_states
                .iter()
                .all(|state| state.runner.id != runner.id)
            {
                self.runner_states.push(RunnerState::new(runner));
            }
        }
    }

    /// Drops the orders whose requests are gone, and ends those that cannot be made in time.
    pub(super) fn drop_expired(&mut self, at: Duration, piece: Duration) {
        let Some(batch_queue) = self.batch_queue.as_mut() else {
            return;
        };
        let gone: Vec<GroupId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.reply.is_closed())
            .map(|(group_id, _)| *group_id)
            .collect();
        for group_id in gone {
            batch_queue.withdraw(group_id);
            self.isolation.withdraw(group_id);
            self.waiting.remove(&group_id);
        }
        let shortest = batch_queue.shortest();
        let late = batch_queue.expire(at, piece).into_iter();
        for group_id in late.chain(self.isolation.expire(at, shortest)) {
            self.finish_order(group_id, Err(StageError::Late));
        }
    }

    /// Ends an order; whoever waited for it may be gone by now, which is no matter.
    pub(super) fn finish_order(&mut self, group_id: GroupId, outcome: Outcome) {
        if let Some(batch_queue) = self.batch_queue.as_mut() {
            batch_queue.withdraw(group_id);
        }
        self.isolation.withdraw(group_id);
        if let Some(waiting) = self.waiting.remove(&group_id) {
            let _ = waiting.reply.send(outcome);
        }
    }

    /// Takes in what became of a call; gives what the orders asked for of which all is made now.
    pub(super) fn finish<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        service: &ServiceId,
        batch_call: &BatchCall,
        result: Result<Vec<PieceOutcome>, Failure>,
        elapsed: Duration,
    ) -> Vec<ContentId> {
        self.record_call(batch_call, &result, elapsed);
        self.record_call_suspects(batch_call, &result);
        let mut complete = Vec::new();
        let pieces = batch_call
            .portions
            .iter()
            .flat_map(|(group_id, pieces)| pieces.iter().map(move |&piece| (*group_id, piece)));
        // Nothing was sent: the pieces wait for another runner, and no repeat is counted.
        let unmade = match &result {
            Err(failure) if failure.is_withdrawn() => PieceOutcome::NoRoom,
            _ => PieceOutcome::Failed,
        };
        let mut made = result
            .map_or_else(|_| Vec::new(), std::convert::identity)
            .into_iter();
        for (group_id, piece) in pieces {
            let made = made.next().unwrap_or_else(|| unmade.clone());
            if let Some(outcome) =
                self.settle_piece(relay, service, batch_call, (group_id, piece), made)
            {
                let waiting = self.waiting.get(&group_id).filter(|_| outcome.is_ok());
                complete.extend(waiting.map(|waiting| waiting.order.content));
                self.finish_order(group_id, outcome);
            }
        }
        complete
    }

    /// Leaves a runner alone that asks for this time between its calls, the last of which began then.
    /// This process alone forms the calls of the cell.
    pub(super) fn apply_spacing(&mut self, id: &str, begun: Instant, spacing: Option<Duration>) {
        let state = self
            .runner_states
            .iter_mut()
            .find(|state| *state.runner.id == *id);
        if let (Some(state), Some(spacing)) = (state, spacing) {
            state.apply_spacing(begun, spacing);
        }
    }

    fn record_call(
        &mut self,
        batch_call: &BatchCall,
        result: &Result<Vec<PieceOutcome>, Failure>,
        elapsed: Duration,
    ) {
        if let Ok(made) = result {
            let had_room = !made.contains(&PieceOutcome::NoRoom);
            // Where all that is over had been given back, the runner holds what nobody here knows of,
            // which says nothing of the size of results.
            if had_room || !batch_call.release_first {
                self.inflation.update(had_room);
            }
        }
        let id = &batch_call.runner.id;
        let state = self
            .runner_states
            .iter_mut()
            .find(|state| state.runner.id == *id);
        let call = FinishedCall {
            result,
            elapsed,
            expected: batch_call.expected,
            slowness: batch_call.slowness,
            until: batch_call.until,
            release_first: batch_call.release_first,
            needed_bytes: batch_call.needed_bytes,
            room: batch_call.room,
            keep: batch_call.batches.keep,
        };
        // A runner that is listed no more has nothing to learn of.
        if let Some(state) = state {
            state.record_call(&call, Instant::now());
        }
    }

    /// Takes in what became of one piece; gives the outcome of the order if that ends it.
    fn settle_piece<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        service: &ServiceId,
        batch_call: &BatchCall,
        (group_id, piece): (GroupId, u32),
        made: PieceOutcome,
    ) -> Option<Outcome> {
        if let PieceOutcome::Done(handle) = &made {
            let bytes = self
                .waiting
                .get(&group_id)
                .map_or(0, |waiting| waiting.order.result_bytes);
            let bytes = self.inflation.apply(bytes);
            let wanted = self.waiting.contains_key(&group_id);
            self.store_result(
                &batch_call.runner.id,
                handle,
                bytes,
                batch_call.batches,
                wanted,
            );
        }
        let waiting = self.waiting.get_mut(&group_id)?;
        match made {
            PieceOutcome::Done(handle) => {
                waiting.made[piece as usize] = Some(handle);
                waiting
                    .made
                    .iter()
                    .cloned()
                    .collect::<Option<Vec<_>>>()
                    .map(Ok)
            }
            PieceOutcome::Late => Some(Err(StageError::Late)),
            PieceOutcome::InputGone => Some(Err(StageError::InputGone)),
            // One without room has not been worked on.
            PieceOutcome::Failed if !relay.try_retry(service) => Some(Err(StageError::Failed)),
            PieceOutcome::NoRoom | PieceOutcome::Failed => {
                waiting.unsent.push(piece);
                let waiting = self.waiting.get(&group_id)?;
                let group = self.group(waiting, group_id, relay);
                self.isolation.withdraw(group_id);
                let batch_queue = self.batch_queue.as_mut()?;
                batch_queue.withdraw(group_id);
                batch_queue.push(group);
                None
            }
        }
    }

    /// Counts a result at its runner; one that nobody waits for is released.
    fn store_result(
        &mut self,
        id: &RunnerId,
        handle: &Handle,
        bytes: u64,
        batches: BatchSettings,
        wanted: bool,
    ) {
        let Some(state) = self
            .runner_states
            .iter_mut()
            .find(|state| state.runner.id == *id)
        else {
            return;
        };
        let until = Instant::now() + batches.keep;
        state
            .results
            .insert(handle.clone(), StoredResult { bytes, until });
        if !wanted {
            state.released.push(handle.clone());
        }
    }

    /// When a result lapses or an order is over, if no call is in progress.
    ///
    /// With the room of all runners taken there is nothing whose end would tell. Orders would wait
    /// until their callers give up, beside runners that have long had room again.
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
            .waiting
            .values()
            .map(|waiting| waiting.order.expires_at);
        expiries.chain(orders).filter(|until| *until > now).min()
    }

    /// When something may change that no call or order tells; once for each such moment.
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
        let moved = batch_queue.next_wakeup(at).map(|moment| started + moment);
        let stuck = self.stalled_until(now);
        let wakes = pause.into_iter().chain(moved).chain(stuck);
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
