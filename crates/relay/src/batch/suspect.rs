//! Isolation of pieces during which runners of their stage have exited.

use super::StageError;
use super::batch_call::BatchCall;
use super::select::Selection;
use super::state::State;
use crate::configuration::{BatchSettings, ServiceId};
use crate::core::Relay;
use crate::downstream::{Downstream, Failure, NotRun, PieceOutcome};
use crate::outage;
use crate::request::ContentId;
use decide::batch::{BatchQueue, CallCapacity, GroupId, Suspect};
use protocol::quarantine::{Admission, Availability};
use setting::Policy;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which waiting suspects are checked for whether they may be sent to a runner.
pub(super) const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What is known about the content of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ContentStatus {
    /// Nothing is known against it.
    Clear,
    /// This many runners have exited while processing it.
    Suspect(u32),
    /// It is quarantined.
    Quarantined,
}

/// Records what the failure of a call shows about its runner and about its pieces.
///
/// Waits briefly to learn whether the runner has exited, so that the pieces are not sent to the
/// next runner together with others.
pub(super) async fn record_failure<D: Downstream>(
    relay: &Arc<Relay<D>>,
    batch_call: &BatchCall,
    started_at: Instant,
    failure: &Failure,
) {
    if relay.options.policy.suspects == Policy::Naive {
        return;
    }
    let is_unreachable = |reason: &NotRun| matches!(reason, NotRun::Unreachable { .. });
    let is_silent = started_at.elapsed() >= batch_call.timeout();
    match failure {
        Failure::Lost { .. } => {
            for content in &batch_call.contents {
                relay.record_lost_answer(
                    *content,
                    &batch_call.runner,
                    started_at,
                    batch_call.isolated,
                );
                if is_silent {
                    relay.record_overdue(*content, &batch_call.runner, started_at);
                }
            }
        }
        Failure::NotRun { reason } if is_unreachable(reason) => {}
        Failure::NotRun { .. } => return,
    }
    outage::probe_briefly(relay, &batch_call.runner).await;
}

impl State {
    /// Isolates the orders during which runners have exited, returns those that have been cleared
    /// to the shared queue, and ends those that are quarantined.
    pub(super) fn isolate_suspects<D: Downstream>(&mut self, relay: &Relay<D>, at: Duration) {
        if self.isolation.is_empty() && !relay.has_suspects() {
            return;
        }
        for (group_id, status) in self.content_statuses(relay) {
            match status {
                ContentStatus::Clear => self.rejoin(relay, group_id),
                ContentStatus::Suspect(crashes) => self.isolate(relay, group_id, crashes, at),
                ContentStatus::Quarantined => self.finish_order(group_id, Err(StageError::Poison)),
            }
        }
    }

    /// Status of the orders that have pieces waiting.
    fn content_statuses<D: Downstream>(&self, relay: &Relay<D>) -> Vec<(GroupId, ContentStatus)> {
        let pending = self.pending.iter();
        let pending = pending.filter(|(_, pending)| !pending.unsent.is_empty());
        let now = relay.now();
        relay.suspects(|known| {
            let status = |content: ContentId, trial: bool| {
                let risk = known.risk(content, now);
                let admission = known.admission(content, 0, now);
                let is_quarantined = matches!(admission, Admission::Held(_) | Admission::Trial);
                match risk {
                    _ if is_quarantined && !trial => ContentStatus::Quarantined,
                    0 => ContentStatus::Clear,
                    risk => ContentStatus::Suspect(risk),
                }
            };
            pending
                .map(|(group_id, pending)| {
                    let order = &pending.order;
                    (*group_id, status(order.content, order.trial))
                })
                .collect()
        })
    }

    fn rejoin<D: Downstream>(&mut self, relay: &Relay<D>, group_id: GroupId) {
        if self.isolation.withdraw(group_id).is_none() {
            return;
        }
        let Some(pending) = self.pending.get(&group_id) else {
            return;
        };
        let group = self.group(pending, group_id, relay);
        if let Some(batch_queue) = self.batch_queue.as_mut() {
            batch_queue.push(group);
        }
    }

    fn isolate<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        group_id: GroupId,
        crashes: u32,
        at: Duration,
    ) {
        if self.isolation.contains(group_id) {
            self.isolation.set_crashes(group_id, crashes);
            return;
        }
        let Some(pending) = self.pending.get(&group_id) else {
            return;
        };
        let suspect = Suspect {
            group: self.group(pending, group_id, relay),
            content: pending.order.content,
            crashes,
            max_suspects: pending.max_suspects,
            since: at,
        };
        if let Some(batch_queue) = self.batch_queue.as_mut() {
            batch_queue.withdraw(group_id);
        }
        self.isolation.push(suspect);
    }

    /// Selects the suspects of the next call, if some may be sent to one of these runners now.
    pub(super) fn select_suspects<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        service: &ServiceId,
        batches: BatchSettings,
        runner_states: &[usize],
    ) -> Option<Selection> {
        if self.isolation.is_empty() {
            return None;
        }
        let now = Instant::now();
        let availability = relay.availability(service);
        let may_run = |crashes: u32| availability.allows_attempt(crashes);
        for group_id in self.isolation.give_up(relay.at(now), may_run) {
            self.abandon(relay, group_id, availability);
        }
        let runners = self.runner_states.len();
        let (silent, absent) = (relay.silent(service), relay.absent(service));
        let healthy = |index: &&usize| {
            let id = &self.runner_states[**index].runner.id;
            !silent.contains(id) && !absent.contains(id)
        };
        let healthy: Vec<usize> = runner_states.iter().filter(healthy).copied().collect();
        healthy.into_iter().find_map(|index| {
            let room = self.runner_states[index].room(batches, now);
            let capacity = CallCapacity {
                pieces: batches.shape.size,
                room: room.free,
            };
            let portions = self.isolation.take(runners, capacity, may_run);
            (!portions.is_empty()).then_some(Selection {
                index,
                room,
                portions,
                isolated: true,
            })
        })
    }

    fn abandon<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        group_id: GroupId,
        availability: Availability,
    ) {
        if let Some(pending) = self.pending.get(&group_id) {
            slog::info!(relay.log, "suspect pieces rejected"; "request" => &*pending.order.id,
                "stage" => pending.order.stage, "up" => availability.up, "down" => availability.down,
                "content" => crate::serve::content_name(pending.order.content));
        }
        self.finish_order(group_id, Err(StageError::Poison));
    }

    /// Limits, from the outcome of a call, how many suspect orders may share the next calls of its
    /// orders.
    pub(super) fn record_call_suspects(
        &mut self,
        batch_call: &BatchCall,
        result: &Result<Vec<PieceOutcome>, Failure>,
    ) {
        if batch_call.isolated {
            self.isolation.ended(&batch_call.contents);
        }
        if !matches!(result, Err(Failure::Lost { .. })) {
            return;
        }
        let max_suspects = batch_call.contents.len().div_ceil(2);
        for (group_id, _) in &batch_call.portions {
            if let Some(pending) = self.pending.get_mut(group_id) {
                pending.max_suspects = max_suspects;
                pending.order.trial = false;
            }
        }
    }
}
