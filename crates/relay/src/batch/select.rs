//! The next call of a cell: which pieces, and which runner makes them.

use super::batch_call::BatchCall;
use super::runner_state::{Room, RunnerState, available_runners};
use super::state::State;
use crate::configuration::{BatchSettings, ServiceId};
use crate::core::Relay;
use crate::downstream::Downstream;
use decide::batch::{BatchQueue, FreeRunner, Portion, RequiredGroup, RunnerFreeTime};
use std::time::Duration;
use tokio::time::Instant;

/// The pieces of the next call.
#[derive(Debug)]
pub(super) struct Selection {
    /// Their runner's place.
    pub(super) index: usize,
    /// Room for their results there.
    pub(super) room: Room,
    pub(super) portions: Vec<Portion>,
    pub(super) isolated: bool,
}

impl State {
    /// The next call that can start now.
    pub(super) fn next_call<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        service: &ServiceId,
        batches: BatchSettings,
    ) -> Option<BatchCall> {
        let now = Instant::now();
        let at = relay.at(now);
        self.isolate_suspects(relay, at);
        self.drop_expired(at, self.piece_time(&batches));
        let batch_queue = self.batch_queue.as_ref()?;
        let queue = self.piece_time(&batches) * batch_queue.waiting_pieces();
        let runner_states = available_runners(&self.runner_states, batches, queue, now);
        let choice = match self.select_suspects(relay, service, batches, &runner_states) {
            Some(choice) => choice,
            None => self.select_pieces(relay.started(), batches, &runner_states)?,
        };
        Some(self.prepare(choice, batches, now))
    }

    /// The pieces of the next call, and the runner that makes them.
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
        let tries = [RequiredGroup::Near, RequiredGroup::Any].into_iter();
        let mut tries =
            tries.flat_map(|need| runner_states.iter().map(move |&index| (index, need)));
        tries.find_map(|(index, need)| {
            let state = &mut self.runner_states[index];
            let room = state.room(batches, now);
            let offer = FreeRunner {
                room: room.free,
                domain: &state.runner.domain,
                need,
                free_times: &free_times,
            };
            let portions = batch_queue.take(at, &offer);
            (!portions.is_empty()).then_some(Selection {
                index,
                room,
                portions,
                isolated: false,
            })
        })
    }

    /// Binds chosen pieces to their runner.
    fn prepare(&mut self, choice: Selection, batches: BatchSettings, now: Instant) -> BatchCall {
        let Selection {
            index,
            room,
            portions,
            isolated,
        } = choice;
        let state = &mut self.runner_states[index];
        let waiting = &self.waiting;
        let bytes = |portion: &Portion| {
            let result = waiting
                .get(&portion.group_id)
                .map_or(0, |waiting| waiting.order.result_bytes);
            result * u64::from(portion.pieces)
        };
        let needed_bytes: u64 = portions.iter().map(bytes).sum();
        let release_first = needed_bytes > room.unreleased || state.lacked_room;
        let released = state.give_back(batches, needed_bytes);
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
            until: now,
            needed_bytes,
            room: room.free,
        };
        let batch_call = self.assemble(batch_call, &portions, now);
        self.runner_states[index].calls.push(batch_call.until);
        batch_call
    }

    /// Binds the pieces of a call to its runner.
    fn assemble(
        &mut self,
        mut batch_call: BatchCall,
        portions: &[Portion],
        now: Instant,
    ) -> BatchCall {
        for portion in portions {
            let Some(waiting) = self.waiting.get_mut(&portion.group_id) else {
                continue;
            };
            let at = waiting.unsent.len().saturating_sub(portion.pieces as usize);
            let mut pieces = waiting.unsent.split_off(at);
            pieces.reverse();
            let items = pieces.iter().map(|&piece| waiting.item(piece, now));
            batch_call.items.extend(items);
            batch_call.portions.push((portion.group_id, pieces));
            if !batch_call.contents.contains(&waiting.order.content) {
                batch_call.contents.push(waiting.order.content);
            }
        }
        let count = u32::try_from(batch_call.items.len()).unwrap_or(u32::MAX);
        let shape = batch_call.batches.shape;
        batch_call.expected = shape.time(count).mul_f64(batch_call.slowness);
        batch_call.until = now + batch_call.expected;
        batch_call
    }
}
