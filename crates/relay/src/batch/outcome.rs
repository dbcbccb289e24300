//! Outcomes of the calls of a cell: what they tell of the runners, and which orders they end.

use super::batch_call::BatchCall;
use super::runner_state::{FinishedCall, StoredResult};
use super::state::State;
use super::{Outcome, StageError};
use crate::configuration::{BatchSettings, ServiceId};
use crate::core::Relay;
use crate::downstream::{Downstream, Failure, Handle, PieceOutcome};
use crate::request::ContentId;
use crate::runner::Runner;
use decide::batch::{BatchQueue, GroupId};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

impl State {
    /// Ends an order. Results that nobody receives, since the order has failed or its receiver is gone, are
    /// released.
    pub(super) fn finish_order(&mut self, group_id: GroupId, outcome: Outcome) {
        if let Some(batch_queue) = self.batch_queue.as_mut() {
            batch_queue.withdraw(group_id);
        }
        self.isolation.withdraw(group_id);
        let Some(pending) = self.pending.remove(&group_id) else {
            return;
        };
        let is_made = outcome.is_ok();
        let is_received = pending.reply.send(outcome).is_ok();
        if is_made && is_received {
            return;
        }
        for (runner, handle) in pending.results.into_iter().flatten() {
            match self.at(runner.address) {
                Some(state) if state.results.contains_key(&handle) => state.released.push(handle),
                _ => self.absent_results.release(runner, handle),
            }
        }
    }

    /// Processes the outcome of a call; returns the content ids of the orders that it completed.
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
        // Nothing was sent, so the pieces wait for another runner and no retry is charged.
        let default_outcome = match &result {
            Err(failure) if failure.is_withdrawn() => PieceOutcome::NoRoom,
            _ => PieceOutcome::Failed,
        };
        let mut outcomes = result
            .map_or_else(|_| Vec::new(), std::convert::identity)
            .into_iter();
        for (group_id, piece) in pieces {
            let piece_outcome = outcomes.next().unwrap_or_else(|| default_outcome.clone());
            if let Some(outcome) =
                self.settle_piece(relay, service, batch_call, (group_id, piece), piece_outcome)
            {
                let pending = self.pending.get(&group_id).filter(|_| outcome.is_ok());
                complete.extend(pending.map(|pending| pending.order.content));
                self.finish_order(group_id, outcome);
            }
        }
        complete
    }

    fn record_call(
        &mut self,
        batch_call: &BatchCall,
        result: &Result<Vec<PieceOutcome>, Failure>,
        elapsed: Duration,
    ) {
        if let Ok(outcomes) = result {
            let had_room = !outcomes.contains(&PieceOutcome::NoRoom);
            // If all results that were no longer needed had been dropped, the runner stores results
            // unknown to this process, which tells nothing about the size of results.
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
            expected_end: batch_call.expected_end,
            release_first: batch_call.release_first,
            needed_bytes: batch_call.needed_bytes,
            room: batch_call.room,
            keep: batch_call.batches.keep,
        };
        // A runner that is no longer listed has no state to update.
        if let Some(state) = state {
            state.record_call(&call, Instant::now());
        }
    }

    /// Processes the outcome of one piece; returns the outcome of the order if the piece ends it.
    fn settle_piece<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        service: &ServiceId,
        batch_call: &BatchCall,
        (group_id, piece): (GroupId, u32),
        piece_outcome: PieceOutcome,
    ) -> Option<Outcome> {
        if let PieceOutcome::Done(handle) = &piece_outcome {
            let bytes = self
                .pending
                .get(&group_id)
                .map_or(0, |pending| pending.order.result_bytes);
            let bytes = self.inflation.apply(bytes);
            let wanted = self.pending.contains_key(&group_id);
            self.store_result(
                &batch_call.runner,
                handle,
                bytes,
                batch_call.batches,
                wanted,
            );
        }
        let pending = self.pending.get_mut(&group_id)?;
        match piece_outcome {
            PieceOutcome::Done(handle) => {
                pending.results[piece as usize] = Some((batch_call.runner.clone(), handle));
                let results = pending.results.iter();
                let handles = results.map(|result| Some(result.as_ref()?.1.clone()));
                handles.collect::<Option<Vec<_>>>().map(Ok)
            }
            PieceOutcome::Late => Some(Err(StageError::Late)),
            PieceOutcome::InputGone => Some(Err(StageError::InputGone)),
            // A piece without room has not been processed.
            PieceOutcome::Failed if !relay.try_retry(service, &pending.order.id) => {
                Some(Err(StageError::Failed))
            }
            PieceOutcome::NoRoom | PieceOutcome::Failed => {
                pending.unsent.push(piece);
                let pending = self.pending.get(&group_id)?;
                let group = self.group(pending, group_id, relay);
                self.isolation.withdraw(group_id);
                let batch_queue = self.batch_queue.as_mut()?;
                batch_queue.withdraw(group_id);
                batch_queue.push(group);
                None
            }
        }
    }

    /// Records a result at its runner; one that no order waits for is released at once.
    fn store_result(
        &mut self,
        runner: &Arc<Runner>,
        handle: &Handle,
        bytes: u64,
        batches: BatchSettings,
        wanted: bool,
    ) {
        let expires_at = Instant::now() + batches.keep;
        let stored = StoredResult { bytes, expires_at };
        let Some(state) = self.at(runner.address) else {
            // The runner left the cell during the call.
            match wanted {
                true => self.absent_results.store_at(runner, handle.clone(), stored),
                false => self.absent_results.release(runner.clone(), handle.clone()),
            }
            return;
        };
        state.results.insert(handle.clone(), stored);
        if !wanted {
            state.released.push(handle.clone());
        }
    }
}
