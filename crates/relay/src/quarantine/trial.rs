//! Trials of suspect requests. One process grants those of a request, so that a single attempt is made at a
//! time, however many processes have attempts waiting when a trial becomes due or a runner comes back.

use super::{Suspicion, key};
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::request::ContentId;
use crate::serve::{Job, content_name};
use protocol::quarantine::Report;
use serde::{Deserialize, Serialize};
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Time in which a process replies to a claim. Until then a trial is not made.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// A claim of the next trial of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialClaim {
    /// What the sender knows of the request.
    suspicion: Suspicion,
    /// Place in the order of trials.
    order: u32,
    /// Whether the last trial was granted to the sender and has reached no runner.
    is_unused: bool,
}

/// Reply to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialReply {
    /// What the granting process knows of the request.
    suspicion: Suspicion,
    is_granted: bool,
}

/// Claims a trial of a content, and returns whether it is granted.
pub(super) async fn claim<D: Downstream>(job: &Job<D>, content: ContentId, order: u32) -> bool {
    let relay = &job.relay;
    let owner = relay.peers.members(|members| members.owner(&key(content)));
    let is_granted = match owner.id == relay.options.member.id {
        true => relay.grant_trial(content, order),
        false => {
            let claim = relay.new_claim(content, order);
            let reply = relay.peers.claim_trial(relay, &owner, claim);
            match timeout(CLAIM_TIMEOUT, reply).await {
                Ok(Some(reply)) => relay.merge_reply(&reply),
                Ok(None) | Err(_) => false,
            }
        }
    };
    info!(relay.log, "trial of a suspect claimed"; "request" => &*job.request.id,
        "content" => content_name(content), "from" => &*owner.id, "granted" => is_granted);
    is_granted
}

impl<D: Downstream> Relay<D> {
    fn new_claim(&self, content: ContentId, order: u32) -> TrialClaim {
        let known = lock(&self.quarantine.known);
        let suspicion = known.report(content, self.now());
        TrialClaim {
            suspicion: suspicion.unwrap_or_else(|| Report::new(content)),
            order,
            is_unused: known.is_trial_unused(content),
        }
    }

    /// Grants a trial of a content if one is due.
    fn grant_trial(&self, content: ContentId, order: u32) -> bool {
        let granted = lock(&self.quarantine.known).grant_trial(content, order, self.now());
        if let Some(report) = &granted {
            self.announce(report);
        }
        granted.is_some()
    }

    /// Decides on the claim of another process.
    pub(crate) fn receive_claim(self: &Arc<Self>, claim: &TrialClaim, origin: &str) -> TrialReply {
        let content = claim.suspicion.content;
        self.merge_suspicion(&claim.suspicion, origin);
        if claim.is_unused {
            self.record_not_run(content);
        }
        let is_granted = self.grant_trial(content, claim.order);
        let suspicion = lock(&self.quarantine.known).report(content, self.now());
        TrialReply {
            suspicion: suspicion.unwrap_or_else(|| Report::new(content)),
            is_granted,
        }
    }

    fn merge_reply(self: &Arc<Self>, reply: &TrialReply) -> bool {
        let (report, now) = (&reply.suspicion, self.now());
        let merged = {
            let mut known = lock(&self.quarantine.known);
            match reply.is_granted {
                true => known.trial_granted(report, now),
                false => known.merge(report, now),
            }
        };
        self.propagate(report.content, merged, "claim");
        reply.is_granted
    }
}
