//! Outcome of a stage's attempts.

use super::events::{is_unreachable, reason, refusal};
use super::{Output, StageRun};
use crate::caller::format_id;
use crate::core::Platform;
use crate::target::Message;
use protocol::Attempt;
use protocol::call;
use slog::info;
use std::time::Duration;
use wire::Frame;

/// Maximum time to wait for the lost answer of a call that must not be repeated before its outcome
/// is reported as unknown.
const RECALL_TIMEOUT: Duration = Duration::from_secs(30);

impl<P: Platform> StageRun<'_, P> {
    pub(super) fn accept(&mut self, index: usize, frame: Option<&Frame>) {
        let Some(Frame::Chunk { data, .. }) = frame else {
            return;
        };
        if self.streamed {
            self.job.answer.push(data.clone());
        } else {
            self.attempts[index].content.extend_from_slice(data);
        }
    }

    pub(super) fn commit(&mut self, index: usize, frame: Option<&Frame>) -> Option<Output> {
        let Some(Frame::Done { busy, load, .. }) = frame else {
            return None;
        };
        let call = self.call(index as Attempt);
        let winner = &mut self.attempts[index];
        winner.ended = true;
        let elapsed = winner.sent.elapsed();
        if let Some(mut permit) = winner.permit.take() {
            permit.record_times(*busy, elapsed);
        }
        let content = std::mem::take(&mut winner.content).freeze();
        let id = winner.target.vm.id.clone();
        winner.target.unregister_call(call);
        if !self.spec.repeatable {
            // The agent stores the answer of such a call in case an entry asks for it again, and
            // delays its shutdown for that; the cancellation tells it that the answer is no longer
            // needed.
            winner.target.send_in_background(Frame::Cancel { call });
        }
        self.service
            .record_answer(&id, &self.demand, *busy, elapsed, *load);
        self.core
            .telemetry
            .record_attempt(&self.spec.name, "whole", elapsed);
        Some(Output { content, elapsed })
    }

    /// Records the outcome of an attempt that brought no answer.
    pub(super) fn end_attempt(&mut self, index: usize, end: call::Outcome, frame: Option<&Frame>) {
        let call = self.call(index as Attempt);
        let state = &mut self.attempts[index];
        state.ended = true;
        state.permit.take();
        let elapsed = state.sent.elapsed();
        let target = state.target.clone();
        target.unregister_call(call);
        let id = target.vm.id.as_str();
        self.tried.push(id.into());
        let outcome = match end {
            // The agent refuses immediately while its runner is unreachable. Without a penalty it
            // would look idle and attract every call.
            call::Outcome::NotRun if is_unreachable(frame) => {
                self.service.record_failure(id);
                "not_run"
            }
            call::Outcome::NotRun => {
                let (load, full) = refusal(frame);
                self.service.record_withdrawn(id, load, full);
                "not_run"
            }
            call::Outcome::Failed => {
                if let Some(Frame::Fail { status, body, .. }) = frame {
                    self.failure = Some((*status, body.clone()));
                }
                self.service.record_failure(id);
                "failed"
            }
            call::Outcome::Unknown | call::Outcome::Complete => {
                self.service.record_failure(id);
                "unknown"
            }
        };
        info!(self.core.log, "attempt ended without an answer"; "request" => format_id(self.job.id),
            "stage" => &self.spec.name, "vm" => id, "outcome" => outcome,
            "reason" => reason(frame), "took_ms" => elapsed.as_millis() as u64);
        self.core
            .telemetry
            .record_attempt(&self.spec.name, outcome, elapsed);
    }

    pub(super) fn cancel_others(&mut self, winner: usize) {
        for index in (0..self.attempts.len()).filter(|index| *index != winner) {
            self.abort(index);
        }
    }

    /// Cancels an attempt whose answer is no longer needed.
    pub(super) fn abort(&mut self, index: usize) {
        let call = self.call(index as Attempt);
        let state = &mut self.attempts[index];
        if std::mem::replace(&mut state.ended, true) {
            return;
        }
        state.permit.take();
        state.target.unregister_call(call);
        state.target.send_in_background(Frame::Cancel { call });
        self.service
            .record_withdrawn(&state.target.vm.id, None, false);
    }

    /// Requests the answer again over a new link if the call may have run and must not be repeated.
    /// The agent stores such answers; without the recall, a broken link would leave the outcome of
    /// completed work unknown to the caller.
    pub(super) async fn recall(&mut self, attempt: Attempt) -> bool {
        let granted = self
            .machine
            .call(attempt)
            .is_some_and(|call| call.state() == call::State::Granted);
        if self.spec.repeatable || !granted {
            return false;
        }
        let call = self.call(attempt);
        let from = self.machine.call(attempt).map_or(0, protocol::Call::next);
        let Some(state) = self.attempts.get_mut(usize::from(attempt)) else {
            return false;
        };
        let relinked = tokio::time::timeout(RECALL_TIMEOUT, state.target.wait_until_linked()).await;
        if !matches!(relinked, Ok(true)) {
            return false;
        }
        match state.target.register_call(call, self.inbox.clone()) {
            Some(link) => {
                state.link = link.clone();
                let _ = link.send(Frame::Recall { call, from }).await;
            }
            // The link was lost again: the inbox receives the same message as for the first loss.
            None => {
                let _ = self.inbox.send(Message::Lost(call));
            }
        }
        true
    }
}
