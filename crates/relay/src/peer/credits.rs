//! Requests for start credits between processes.

use super::{Frame, PeerLink, Peers};
use crate::batch::Cell;
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::flow::{Demand, LocalCredit, Outcome, Verdict, Verdicts};
use crate::member::Member;
use decide::Map;
use decide::bound::MAX_TIME;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::Sender;

/// Time after the expiry of a request at which its credit is dropped if its return was lost. It is longer
/// than the gate's own margin, so that no credit is dropped before the gate takes it back.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1_200);

/// A credit of a gate in another process, or a request for one. It is returned when it is dropped; if the
/// link is lost, the other process takes it back by itself.
#[derive(Debug)]
pub(crate) struct RemoteCredit {
    link: Arc<PeerLink>,
    ticket: u64,
    pub(crate) outcome: Outcome,
}

impl Drop for RemoteCredit {
    fn drop(&mut self) {
        lock(&self.link.pending).credits.remove(&self.ticket);
        let returned = Frame::ReturnCredit {
            ticket: self.ticket,
            outcome: self.outcome,
        };
        // If the queue is full, the credit expires with the deadline of its request.
        let _ = self.link.sender.try_send(&returned);
    }
}

impl Peers {
    /// Asks the owner of a cell for a credit; returns `None` if it cannot be reached.
    pub(crate) async fn ask_credit<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        owner: &Member,
        cell: &Cell,
        demand: Demand,
    ) -> Option<(RemoteCredit, Verdicts)> {
        let link = self.link(relay, owner).await?;
        let (sender, verdicts) = mpsc::unbounded_channel();
        let ticket = link.add_credit(sender);
        let credit = RemoteCredit {
            link,
            ticket,
            outcome: Outcome::Ended,
        };
        let frame = Frame::AskCredit {
            ticket,
            cell: cell.clone(),
            demand,
        };
        credit.link.sender.send(frame).await.ok()?;
        Some((credit, verdicts))
    }
}

impl PeerLink {
    fn add_credit(&self, verdicts: mpsc::UnboundedSender<Verdict>) -> u64 {
        let mut pending = lock(&self.pending);
        pending.expect_frames();
        let ticket = pending.next_ticket();
        pending.credits.insert(ticket, verdicts);
        ticket
    }

    /// Passes a verdict on to the request that waits for it. Once a request has started, its link need
    /// not be watched any more.
    pub(super) fn receive_verdict(&self, ticket: u64, verdict: Verdict) {
        let mut pending = lock(&self.pending);
        let is_final = !matches!(verdict, Verdict::Wait { .. });
        let receiver = if is_final {
            pending.credits.remove(&ticket)
        } else {
            pending.credits.get(&ticket).cloned()
        };
        // The request may be gone by now; its credit has then been returned.
        let _ = receiver.map(|receiver| receiver.send(verdict));
    }
}

/// Credits that were granted over one link, and requests for them. Those that are left are returned when
/// the link is lost.
#[derive(Debug)]
pub(super) struct LinkCredits<D: Downstream>(Map<u64, LinkCredit<D>>);

#[derive(Debug)]
struct LinkCredit<D: Downstream> {
    credit: LocalCredit<D>,
    expires_at: Instant,
}

impl<D: Downstream> Default for LinkCredits<D> {
    fn default() -> Self {
        Self(Map::default())
    }
}

impl<D: Downstream> LinkCredits<D> {
    /// Asks the gate in this process on behalf of the other one.
    pub(super) fn ask(
        &mut self,
        relay: &Arc<Relay<D>>,
        sender: &Sender<Frame>,
        ticket: u64,
        cell: &Cell,
        demand: &Demand,
    ) {
        let (credit, verdicts) = relay.ask_gate(cell, demand);
        let expires_at = Instant::now() + demand.expires.min(MAX_TIME) + EXPIRY_MARGIN;
        self.0.insert(ticket, LinkCredit { credit, expires_at });
        tokio::spawn(forward_verdicts(sender.clone(), ticket, verdicts));
    }

    /// Returns a credit.
    pub(super) fn take_back(&mut self, ticket: u64, outcome: Outcome) {
        if let Some(mut held) = self.0.remove(&ticket) {
            held.credit.outcome = outcome;
        }
    }

    /// Drops the credits whose requests have ended although no return has arrived.
    pub(super) fn drop_expired(&mut self) {
        self.0.retain(|_, held| held.expires_at > Instant::now());
    }

    /// Cells whose gates have granted credits, or are asked for them.
    pub(super) fn cells(&self) -> impl Iterator<Item = &Cell> {
        self.0.values().map(|held| held.credit.cell())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

async fn forward_verdicts(sender: Sender<Frame>, ticket: u64, mut verdicts: Verdicts) {
    while let Some(verdict) = verdicts.recv().await {
        let is_lost = sender
            .send(Frame::Credit { ticket, verdict })
            .await
            .is_err();
        if is_lost {
            return;
        }
    }
}
