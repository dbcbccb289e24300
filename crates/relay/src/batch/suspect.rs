//! Pieces under which runners of their stage have ended.

use super::StageError;
use super::form::Choosing;
use super::launch::Launch;
use super::state::State;
use crate::core::Relay;
use crate::downstream::{Downstream, Failure, NotRun, PieceOutcome};
use crate::outage;
use crate::plan::{Batches, ServiceId};
use crate::request::ContentId;
use decide::batch::{Former, Space, Suspect, Ticket};
use protocol::quarantine::{Pass, Standing};
use setting::Policy;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two checks whether suspects that wait may be sent to a runner.
pub(super) const POLL: Duration = Duration::from_millis(50);

/// What is known of the content of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Belief {
    /// Nothing speaks against it.
    Innocent,
    /// So many runners have ended under it.
    Suspect(u32),
    /// It is held back.
    Held,
}

/// Notes what the failure of a call says of its runner and of what it carried.
///
/// Waits a moment for whether the runner has ended, so that the pieces do not go on among others to the
/// next one.
pub(super) async fn note_failure<D: Downstream>(
    relay: &Arc<Relay<D>>,
    launch: &Launch,
    begun: Instant,
    failure: &Failure,
) {
    if relay.options.policy.suspects == Policy::Naive {
        return;
    }
    let is_unreached = |reason: &NotRun| matches!(reason, NotRun::Unreachable { .. });
    let is_silent = begun.elapsed() >= launch.patience();
    match failure {
        Failure::Lost { .. } => {
            for content in &launch.contents {
                relay.note_lost(*content, &launch.runner, begun, launch.isolated);
                if is_silent {
                    relay.note_waited(*content, &launch.runner, begun);
                }
            }
        }
        Failure::NotRun { reason } if is_unreached(reason) => {}
        Failure::NotRun { .. } => return,
    }
    outage::probe_briefly(relay, &launch.runner).await;
}

impl State {
    /// Moves the orders under which runners have ended out of the calls of the others, and those that have
    /// been cleared back; ends those that are held back.
    pub(super) fn set_apart<D: Downstream>(&mut self, relay: &Relay<D>, at: Duration) {
        if self.isolation.is_empty() && !relay.has_suspects() {
            return;
        }
        for (ticket, belief) in self.beliefs(relay) {
            match belief {
                Belief::Innocent => self.rejoin(relay, ticket),
                Belief::Suspect(crashes) => self.isolate(relay, ticket, crashes, at),
                Belief::Held => self.end(ticket, Err(StageError::Poison)),
            }
        }
    }

    /// What is known of the orders that have pieces waiting.
    fn beliefs<D: Downstream>(&self, relay: &Relay<D>) -> Vec<(Ticket, Belief)> {
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|(_, waiting)| !waiting.todo.is_empty());
        let now = relay.now();
        relay.suspects(|known| {
            let belief = |content: ContentId, trial: bool| {
                let risk = known.risk(content, now);
                let is_held = known.pass(content, 0, now) != Pass::Free;
                match risk {
                    _ if is_held && !trial => Belief::Held,
                    0 => Belief::Innocent,
                    risk => Belief::Suspect(risk),
                }
            };
            waiting
                .map(|(ticket, waiting)| {
                    let order = &waiting.order;
                    (*ticket, belief(order.content, order.trial))
                })
                .collect()
        })
    }

    fn rejoin<D: Downstream>(&mut self, relay: &Relay<D>, ticket: Ticket) {
        if self.isolation.withdraw(ticket).is_none() {
            return;
        }
        let Some(waiting) = self.waiting.get(&ticket) else {
            return;
        };
        let group = self.group(waiting, ticket, relay);
        if let Some(former) = self.former.as_mut() {
            former.push(group);
        }
    }

    fn isolate<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        ticket: Ticket,
        crashes: u32,
        at: Duration,
    ) {
        if self.isolation.contains(ticket) {
            self.isolation.set_crashes(ticket, crashes);
            return;
        }
        let Some(waiting) = self.waiting.get(&ticket) else {
            return;
        };
        let suspect = Suspect {
            group: self.group(waiting, ticket, relay),
            content: waiting.order.content,
            crashes,
            company: waiting.company,
            since: at,
        };
        if let Some(former) = self.former.as_mut() {
            former.withdraw(ticket);
        }
        self.isolation.push(suspect);
    }

    /// The suspects of the next call, if some may be sent to one of these places now.
    pub(super) fn choose_suspects<D: Downstream>(
        &mut self,
        relay: &Relay<D>,
        service: &ServiceId,
        batches: Batches,
        places: &[usize],
    ) -> Option<Choosing> {
        if self.isolation.is_empty() {
            return None;
        }
        let now = Instant::now();
        let standing = relay.standing(service);
        let may_run = |crashes: u32| standing.bears(crashes);
        for ticket in self.isolation.give_up(relay.at(now), may_run) {
            self.give_up(relay, ticket, standing);
        }
        let runners = self.places.len();
        let (silent, absent) = (relay.silent(service), relay.absent(service));
        let sound = |index: &&usize| {
            let id = &self.places[**index].runner.id;
            !silent.contains(id) && !absent.contains(id)
        };
        let sound: Vec<usize> = places.iter().filter(sound).copied().collect();
        sound.into_iter().find_map(|index| {
            let room = self.places[index].room(batches, now);
            let space = Space {
                pieces: batches.shape.size,
                room: room.free,
            };
            let portions = self.isolation.take(runners, space, may_run);
            (!portions.is_empty()).then_some(Choosing {
                index,
                room,
                portions,
                isolated: true,
            })
        })
    }

    fn give_up<D: Downstream>(&mut self, relay: &Relay<D>, ticket: Ticket, standing: Standing) {
        if let Some(waiting) = self.waiting.get(&ticket) {
            slog::info!(relay.log, "suspect pieces given up"; "request" => &*waiting.order.id,
                "stage" => waiting.order.stage, "up" => standing.up, "down" => standing.down,
                "content" => crate::serve::content_name(waiting.order.content));
        }
        self.end(ticket, Err(StageError::Poison));
    }

    /// Learns from the end of a call which of its orders may share their next ones.
    pub(super) fn note_call(
        &mut self,
        launch: &Launch,
        result: &Result<Vec<PieceOutcome>, Failure>,
    ) {
        if launch.isolated {
            self.isolation.ended(&launch.contents);
        }
        if !matches!(result, Err(Failure::Lost { .. })) {
            return;
        }
        let company = launch.contents.len().div_ceil(2);
        for (ticket, _) in &launch.portions {
            if let Some(waiting) = self.waiting.get_mut(ticket) {
                waiting.company = company;
                waiting.order.trial = false;
            }
        }
    }
}
