//! Claims of trials that another process grants.

use super::frame::Frame;
use super::{PeerLink, Peers};
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::member::Member;
use crate::quarantine::{TrialClaim, TrialReply};
use std::sync::Arc;
use tokio::sync::oneshot;

/// A claim that awaits its reply on a link.
struct PendingClaim {
    link: Arc<PeerLink>,
    ticket: u64,
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        lock(&self.link.pending).claims.remove(&self.ticket);
    }
}

impl Peers {
    /// Claims a trial from the process that grants it, and waits for the reply; returns `None` if the process
    /// cannot be reached.
    pub(crate) async fn claim_trial<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        owner: &Member,
        claim: TrialClaim,
    ) -> Option<TrialReply> {
        let Some(link) = self.link(relay, owner).await else {
            self.members(|members| members.suspect(owner));
            return None;
        };
        let (sender, reply) = oneshot::channel();
        let ticket = link.add_claim(sender);
        let pending = PendingClaim { link, ticket };
        let frame = Frame::AskTrial {
            ticket,
            claim: Box::new(claim),
        };
        pending.link.sender.send(frame).await.ok()?;
        reply.await.ok()
    }
}

impl PeerLink {
    fn add_claim(&self, reply: oneshot::Sender<TrialReply>) -> u64 {
        let mut pending = lock(&self.pending);
        pending.expect_frames();
        let ticket = pending.next_ticket();
        pending.claims.insert(ticket, reply);
        ticket
    }

    pub(super) fn receive_reply(&self, ticket: u64, reply: TrialReply) {
        let claim = lock(&self.pending).claims.remove(&ticket);
        if let Some(claim) = claim {
            // The claiming request may be over.
            let _ = claim.send(reply);
        }
    }
}
