//! Selects the pieces of a cell's next call and the runner that processes them.

use super::batch_call::BatchCall;
use super::runner_state::{Room, RunnerState, available_runners};
use super::state::State;
use crate::configuration::{BatchSettings, ServiceId};
use crate::core::Relay;
use crate::downstream::Downstream;
use decide::batch::{BatchQueue, FreeRunner, Portion, RequiredGroup, RunnerFreeTime};
use std::time::Duration;
use tokio::time::Instant;

/// The pieces selected for the next call.
#[derive(Debug)]
pub(super) struct Selection {
    /// Index of the runner.
    pub(super) index: usize,
    /// Room for results at the runner.
    pub(super) room: Room,
    pub(super) portions: Vec<Portion>,
    pub(super) isolated: bool,
}

impl State {
    /// Prepares the next call if one can start now.
    pub(super) fn next_call<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        service: &ServiceId,
        batches: BatchSettings,
    ) -> Option<BatchCall> {
        let now = Instant::now();
        let at = relay.at(now);
        self.pause_resting(relay);
        self.isolate_suspects(relay, at);
        self.drop_expired(at, self.piece_time(&batches));
        let batch_queue = self.batch_queue.as_ref()?;
        let queue = self.piece_time(&batches) * batch_queue.waiting_pieces();
        let runner_states = available_runners(&self.runner_states, batches, queue, now);
        let selection = match self.select_suspects(relay, service, batches, &runner_states) {
            Some(selection) => selection,
            None => self.select_pieces(relay.started(), batches, &runner_states)?,
        };
        Some(self.prepare(selection, batches, now))
    }

    /// Pauses the runners that have asked for rest.
    fn pause_resting<D: Downstream>(&mut self, relay: &Relay<D>) {
        for state in &mut self.runner_states {
            let rest_end = relay.rest_end(&state.runner);
            state.paused_until = state.paused_until.max(rest_end);
        }
    }

    /// Selects the pieces of the next call and its runner.
    fn select_pieces(
        &mut self,
        started: Instant,
        batches: BatchSettings,
        runner_states: &[usize],
    ) -> Option<Selection> {
        let now = Instant::now();
        let at = now.saturating_duration_since(started);
        if runner_states.is_empty() || self.batch_queue.as_ref()?.waiting_pieces() == 0 {
            return None;
        }
        let free = |state: &RunnerState| RunnerFreeTime {
            domain: state.runner.domain.clone(),
            at: state
                .free_at(batches, now)
                .saturating_duration_since(started),
        };
        let free_times: Vec<RunnerFreeTime> = self.runner_states.iter().map(free).collect();
        let batch_queue = self.batch_queue.as_mut()?;
        let candidates = [RequiredGroup::Near, RequiredGroup::Any].into_iter();
        let mut candidates = candidates
            .flat_map(|required| runner_states.iter().map(move |&index| (index, required)));
        candidates.find_map(|(index, required)| {
            let state = &mut self.runner_states[index];
            let room = state.room(batches, now);
            let free_runner = FreeRunner {
                room: room.free,
                domain: &state.runner.domain,
                required,
                free_times: &free_times,
            };
            let portions = batch_queue.take(at, &free_runner);
            (!portions.is_empty()).then_some(Selection {
                index,
                room,
                portions,
                isolated: false,
            })
        })
    }

    /// Assigns the selected pieces to their runner.
    fn prepare(&mut self, selection: Selection, batches: BatchSettings, now: Instant) -> BatchCall {
        let Selection {
            index,
            room,
            portions,
            isolated,
        } = selection;
        let state = &mut self.runner_states[index];
        let pending = &self.pending;
        let bytes = |portion: &Portion| {
            let result = pending
                .get(&portion.group_id)
                .map_or(0, |pending| pending.order.result_bytes);
            result * u64::from(portion.pieces)
        };
        let needed_bytes: u64 = portions.iter().map(bytes).sum();
        let release_first = needed_bytes > room.unreleased || state.lacked_room;
        let released = state.drop_results(batches, needed_bytes);
        let runner = state.runner.clone();
        let slowness = state.slowness(now);
        let batch_call = BatchCall {
            runner,
            slowness,
            released,
            release_first,
            batches,
            portions: Vec::new(),
            items: Vec::new(),
            contents: Vec::new(),
            isolated,
            expected: Duration::ZERO,
            expected_end: now,
            needed_bytes,
            room: room.free,
        };
        let batch_call = self.assemble(batch_call, &portions, now);
        self.runner_states[index]
            .calls
            .push(batch_call.expected_end);
        batch_call
    }

    /// Adds the pieces to the call.
    fn assemble(
        &mut self,
        mut batch_call: BatchCall,
        portions: &[Portion],
        now: Instant,
    ) -> BatchCall {
        for portion in portions {
            let Some(pending) = self.pending.get_mut(&portion.group_id) else {
                continue;
            };
            let at = pending.unsent.len().saturating_sub(portion.pieces as usize);
            let mut pieces = pending.unsent.split_off(at);
            pieces.reverse();
            let items = pieces.iter().map(|&piece| pending.item(piece, now));
            batch_call.items.extend(items);
            batch_call.portions.push((portion.group_id, pieces));
            if !batch_call.contents.contains(&pending.order.content) {
                batch_call.contents.push(pending.order.content);
            }
        }
        let count = u32::try_from(batch_call.items.len()).unwrap_or(u32::MAX);
        let shape = batch_call.batches.shape;
        batch_call.expected = shape.time(count).mul_f64(batch_call.slowness);
        batch_call.expected_end = now + batch_call.expected;
        batch_call
    }
}
