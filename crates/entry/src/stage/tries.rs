//! What becomes of a stage's attempts.

use super::meaning::{is_unreachable, reason, refusal};
use super::{Output, Run};
use crate::caller::format_id;
use crate::core::Platform;
use crate::target::Message;
use protocol::Attempt;
use protocol::call;
use slog::info;
use std::time::Duration;
use wire::Frame;

/// How long a lost answer to a call that may not be repeated is waited for before its outcome is
/// told as unknown.
const RECALL_PATIENCE: Duration = Duration::from_secs(30);

impl<P: Platform> Run<'_, P> {
    pub(super) fn accept(&mut self, index: usize, frame: Option<&Frame>) {
        let Some(Frame::Chunk { data, .. }) = frame else {
            return;
        };
        if self.streamed {
            self.job.answer.push(data.clone());
        } else {
            self.tries[index].content.extend_from_slice(data);
        }
    }

    pub(super) fn commit(&mut self, index: usize, frame: Option<&Frame>) -> Option<Output> {
        let Some(Frame::Done { busy, load, .. }) = frame else {
            return None;
        };
        let call = self.call(index as Attempt);
        let won = &mut self.tries[index];
        won.over = true;
        let elapsed = won.sent.elapsed();
        if let Some(mut turn) = won.turn.take() {
            turn.spent(*busy, elapsed);
        }
        let content = std::mem::take(&mut won.content).freeze();
        let id = won.target.vm.id.clone();
        won.target.close(call);
        if !self.spec.repeatable {
            // The agent keeps such an answer for an entry that comes back for it, and waits for
            // that when it leaves; this tells it that nobody will.
            won.target.send_later(Frame::Cancel { call });
        }
        self.service
            .answered(&id, &self.demand, *busy, elapsed, *load);
        self.core
            .telemetry
            .attempt(&self.spec.name, "whole", elapsed);
        Some(Output { content, elapsed })
    }

    /// Notes how an attempt ended that brought no answer.
    pub(super) fn over(&mut self, index: usize, end: call::Outcome, frame: Option<&Frame>) {
        let call = self.call(index as Attempt);
        let one = &mut self.tries[index];
        one.over = true;
        one.turn.take();
        let elapsed = one.sent.elapsed();
        let target = one.target.clone();
        target.close(call);
        let id = target.vm.id.as_str();
        self.tried.push(id.into());
        let outcome = match end {
            // The agent answers at once for a runner that is gone, and would look idle: every call
            // would go there first.
            call::Outcome::NotRun if is_unreachable(frame) => {
                self.service.failed(id);
                "not_run"
            }
            call::Outcome::NotRun => {
                let (load, full) = refusal(frame);
                self.service.returned(id, load, full);
                "not_run"
            }
            call::Outcome::Failed => {
                if let Some(Frame::Fail { status, body, .. }) = frame {
                    self.failure = Some((*status, body.clone()));
                }
                self.service.failed(id);
                "failed"
            }
            call::Outcome::Unknown | call::Outcome::Complete => {
                self.service.failed(id);
                "unknown"
            }
        };
        info!(self.core.log, "attempt without answer"; "request" => format_id(self.job.id),
            "stage" => &self.spec.name, "vm" => id, "outcome" => outcome,
            "reason" => reason(frame), "took_ms" => elapsed.as_millis() as u64);
        self.core
            .telemetry
            .attempt(&self.spec.name, outcome, elapsed);
    }

    pub(super) fn cancel_others(&mut self, winner: usize) {
        for index in (0..self.tries.len()).filter(|index| *index != winner) {
            self.abandon(index);
        }
    }

    /// Gives up an attempt whose answer is no longer wanted.
    pub(super) fn abandon(&mut self, index: usize) {
        let call = self.call(index as Attempt);
        let one = &mut self.tries[index];
        if std::mem::replace(&mut one.over, true) {
            return;
        }
        one.turn.take();
        one.target.close(call);
        one.target.send_later(Frame::Cancel { call });
        self.service.returned(&one.target.vm.id, None, false);
    }

    /// Asks for the answer again over a new link, if the call may have run and may not be
    /// repeated: the agent keeps such answers, and without this a broken link would leave the
    /// caller unsure of work that was done.
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
        let Some(one) = self.tries.get_mut(usize::from(attempt)) else {
            return false;
        };
        let relinked = tokio::time::timeout(RECALL_PATIENCE, one.target.linked()).await;
        if !matches!(relinked, Ok(true)) {
            return false;
        }
        match one.target.open(call, self.inbox.clone()) {
            Some(link) => {
                one.link = link.clone();
                let _ = link.send(Frame::Recall { call, from }).await;
            }
            // Lost again at once: the inbox hears of it as of the first loss.
            None => {
                let _ = self.inbox.send(Message::Lost(call));
            }
        }
        true
    }
}
