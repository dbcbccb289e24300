//! The frames of links between processes, and how the end that opened a link handles them.

use super::overlay::{self, StateDigest};
use super::transfer::Part;
use super::{CallLoads, PeerLink, TableUpdate, call_loads, transfer};
use crate::batch::{Cell, Order, Outcome, ReleaseKind, Results, WaitEstimates};
use crate::configuration::{Rank, ServiceId, Version};
use crate::core::{Relay, lock};
use crate::downstream::{Downstream, Handle, Source};
use crate::drain::Drains;
use crate::flow::{self, Demand, Verdict};
use crate::limit::LimitNotice;
use crate::member::MemberId;
use crate::outage;
use crate::quarantine::{Suspicion, TrialClaim, TrialReply};
use crate::request::{ContentId, RequestId};
use crate::runner::DomainId;
use decide::bound::MAX_TIME;
use serde::{Deserialize, Serialize};
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use store::RowRevision;
use tokio::runtime;
use tokio::time::{Instant, sleep};
use wire::{Receiver, Sender};

/// Time without a frame after which a link with pending orders is closed. The other end reports its load
/// every [`super::serving::LOAD_REPORT_INTERVAL`] while orders are pending; waiting much longer for a
/// frozen process would make the requests miss their latency target.
const LINK_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which a link is checked for a timeout.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time that a process which reads the tables itself waits for a configuration from the table service
/// before it fetches it from a peer, which would transfer the whole text once more.
const TABLE_READ_GRACE: Duration = Duration::from_millis(400);

/// Origin of what a peer sent, for logs.
pub(super) const PEER: &str = "peer";

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Requests the execution of pieces.
    Order {
        /// Id of the order on this link.
        ticket: u64,
        /// Cell that the other process owns.
        cell: Cell,
        /// The pieces.
        sheet: Box<WireOrder>,
    },
    /// Cancels an order whose request is gone.
    Withdraw {
        /// The order.
        ticket: u64,
    },
    /// Reports the outcome of an order.
    Outcome {
        /// The order.
        ticket: u64,
        /// The results, or the reason why there are none.
        outcome: Outcome,
    },
    /// Reports that results were fetched or are not needed any more.
    Release {
        /// The results.
        results: Results,
        /// Which of the two.
        spent: ReleaseKind,
    },
    /// Reports the results that the sender needs to a process that was not the cell's owner before.
    Held {
        /// Cell that produced them.
        cell: Cell,
        /// The results with their sizes in bytes.
        results: Vec<(Handle, u64)>,
    },
    /// Reports how long pieces that arrive now would take.
    Load {
        /// The cell.
        cell: Cell,
        /// Expected times until they are completed.
        waits: WaitEstimates,
    },
    /// Reports the load of the sender's calls on a service's runners.
    Burdens {
        /// The service.
        service: ServiceId,
        /// The sender.
        from: MemberId,
        /// The load by runner.
        burdens: CallLoads,
    },
    /// Replies with the load that the calls of all other processes put on these runners.
    Elsewhere {
        /// The service.
        service: ServiceId,
        /// The load by runner.
        burdens: CallLoads,
    },
    /// Requests the changes of a platform table.
    AskNews {
        /// Id of the request on this link.
        ticket: u64,
        /// The table.
        table: String,
        /// Revision up to which the sender has read the table, if it has.
        after: Option<RowRevision>,
    },
    /// Responds to a request for changes.
    News {
        /// The request.
        ticket: u64,
        /// The changes, if the sender has read the table.
        news: Option<TableUpdate>,
    },
    /// Version of the configuration in force at the sender.
    Version(Version),
    /// The failure domains that are drained, as known to the sender.
    Drains(Drains),
    /// A request that is suspected of crashing runners, as known to the sender.
    Suspicion(Suspicion),
    /// Heartbeat that compares the shared state of both ends.
    Beat {
        /// Digest of the sender's state.
        beat: StateDigest,
        /// Whether this responds to a heartbeat of the other end.
        answers: bool,
    },
    /// A limit that a runner sets in its responses.
    Limit(LimitNotice),
    /// Announces that the sender stops and accepts no more orders until it has restarted.
    Leaving {
        /// Id of the sender.
        id: MemberId,
        /// Incarnation that stops.
        incarnation: u64,
    },
    /// Requests a part of a configuration.
    AskPart {
        /// The configuration.
        version: Version,
        /// Position of the part's first byte.
        offset: u64,
    },
    /// A part of a configuration.
    Part(Part),
    /// A release that the sender received for a runner that another process forms the calls to. It is
    /// not forwarded again.
    ForwardedRelease {
        /// The results.
        results: Results,
        /// Whether they were fetched or are not needed any more.
        spent: ReleaseKind,
    },
    /// Requests a start credit for a request.
    AskCredit {
        /// Id of the credit on this link.
        ticket: u64,
        /// Cell of the gate.
        cell: Cell,
        /// What the request needs.
        demand: Demand,
    },
    /// Reports a decision on a requested credit.
    Credit {
        /// The credit.
        ticket: u64,
        /// The decision.
        verdict: Verdict,
    },
    /// Returns a credit, or withdraws the request for it.
    ReturnCredit {
        /// The credit.
        ticket: u64,
        /// How its request has ended.
        outcome: flow::Outcome,
    },
    /// Claims a trial of a suspect request.
    AskTrial {
        /// Id of the claim on this link.
        ticket: u64,
        /// The claim.
        claim: Box<TrialClaim>,
    },
    /// Replies to the claim of a trial.
    Trial {
        /// The claim.
        ticket: u64,
        /// The reply.
        reply: Box<TrialReply>,
    },
}

/// An order as it is sent to another process. Since the clocks of processes differ, its times are
/// relative to the moment of sending.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireOrder {
    id: RequestId,
    stage: usize,
    pieces: u32,
    source: Source,
    inputs: Vec<Results>,
    result: u64,
    due: Duration,
    last: Duration,
    rank: Rank,
    domain: Option<DomainId>,
    patience: Duration,
    content: ContentId,
    trial: bool,
}

impl WireOrder {
    /// Converts an order, with times relative to now.
    #[must_use]
    pub fn new(order: &Order) -> Self {
        let now = Instant::now();
        Self {
            id: order.id.clone(),
            stage: order.stage,
            pieces: order.pieces,
            source: order.source.clone(),
            inputs: order.inputs.clone(),
            result: order.result_bytes,
            due: order.due.saturating_duration_since(now),
            last: order.expires_at.saturating_duration_since(now),
            rank: order.rank,
            domain: order.domain.clone(),
            patience: order.max_domain_wait,
            content: order.content,
            trial: order.trial,
        }
    }

    /// Converts it back at the receiver, with times from now on.
    #[must_use]
    pub fn into_order(self) -> Order {
        let now = Instant::now();
        Order {
            id: self.id,
            stage: self.stage,
            pieces: self.pieces,
            source: self.source,
            inputs: self.inputs,
            result_bytes: self.result,
            due: now + self.due.min(MAX_TIME),
            expires_at: now + self.last.min(MAX_TIME),
            rank: self.rank,
            domain: self.domain,
            max_domain_wait: self.patience.min(MAX_TIME),
            content: self.content,
            trial: self.trial,
        }
    }
}

/// Registers a link that this process has opened, and reads its frames until it is lost.
pub(super) fn spawn_reader<D: Downstream>(
    relay: Arc<Relay<D>>,
    link: Arc<PeerLink>,
    receiver: Receiver<Frame>,
) {
    relay.peers.subscribe(link.sender.clone());
    send_state(&relay, &link.sender);
    tokio::spawn(read_frames(relay, link, receiver));
}

/// Sends a peer the state that all processes share: drained failure domains, runner limits, suspected
/// requests and the version of the configuration in force.
pub(super) fn send_state<D: Downstream>(relay: &Relay<D>, sender: &Sender<Frame>) {
    let own = &relay.options.member;
    if relay.peers.members(|members| members.is_stopping()) {
        // The other end may have started, or have opened the link, since this was announced.
        let _ = sender.try_send(&Frame::Leaving {
            id: own.id.clone(),
            incarnation: own.incarnation,
        });
    }
    let drains = relay.drains();
    if drains.revision > 0 {
        // The drains come first: a peer that fetches the configuration from here must know them by then.
        let _ = sender.try_send(&Frame::Drains(drains));
    }
    for notice in relay.limit_notices() {
        // A lost notice is made up for by the runner's next response.
        let _ = sender.try_send(&Frame::Limit(notice));
    }
    for suspicion in relay.suspicions() {
        // Those that do not fit into the queue are sent after the next heartbeat.
        let _ = sender.try_send(&Frame::Suspicion(suspicion));
    }
    if let Some(configuration) = relay.configuration() {
        // A lost link is detected when it is read.
        let _ = sender.try_send(&Frame::Version(configuration.version));
    }
}

/// Closes a link when it is dropped, also by a panic of the task that reads the link.
#[derive(Debug)]
pub(super) struct LinkGuard<D: Downstream> {
    relay: Arc<Relay<D>>,
    sender: Sender<Frame>,
}

impl<D: Downstream> LinkGuard<D> {
    pub(super) fn new(relay: Arc<Relay<D>>, sender: Sender<Frame>) -> Self {
        Self { relay, sender }
    }
}

impl<D: Downstream> Drop for LinkGuard<D> {
    fn drop(&mut self) {
        self.sender.abort();
        // In a task of its own, since a second panic during unwinding would abort the process. Without a
        // runtime the process has ended.
        if let Ok(current) = runtime::Handle::try_current() {
            let (relay, sender) = (self.relay.clone(), self.sender.clone());
            current.spawn(async move { transfer::link_lost(&relay, &sender) });
        }
    }
}

/// Ends all that awaits frames on a link that this process has opened, when nobody reads the link any more.
#[derive(Debug)]
struct PendingGuard<D: Downstream> {
    relay: Arc<Relay<D>>,
    link: Arc<PeerLink>,
}

impl<D: Downstream> Drop for PendingGuard<D> {
    fn drop(&mut self) {
        self.relay.peers.mark_link_lost(&self.link.member);
        // Dropping the senders notifies all waiting tasks that the link is gone.
        let mut pending = lock(&self.link.pending);
        pending.orders.clear();
        pending.credits.clear();
        pending.updates.clear();
        pending.claims.clear();
    }
}

async fn read_frames<D: Downstream>(
    relay: Arc<Relay<D>>,
    link: Arc<PeerLink>,
    mut receiver: Receiver<Frame>,
) {
    // Dropped after the link has been closed, so that nothing new can await frames on it.
    let _pending = PendingGuard {
        relay: relay.clone(),
        link: link.clone(),
    };
    let _open = LinkGuard::new(relay.clone(), link.sender.clone());
    loop {
        let frame = tokio::select! {
            frame = receiver.recv() => frame,
            () = sleep(LINK_CHECK_INTERVAL) => {
                if link.is_timed_out() {
                    info!(relay.log, "peer not responding, closing link");
                    break;
                }
                continue;
            }
        };
        let Ok(Some(frame)) = frame else { break };
        {
            let mut pending = lock(&link.pending);
            pending.last_received = Instant::now();
            pending.heartbeat_sent = None;
        }
        match frame {
            Frame::Elsewhere { service, burdens } => call_loads::apply(&relay, &service, burdens),
            Frame::Outcome { ticket, outcome } => {
                let reply = lock(&link.pending).orders.remove(&ticket);
                let unclaimed = match reply {
                    Some(reply) => reply.send(outcome).err(),
                    None => Some(outcome),
                };
                // The waiting task was dropped, and the other end had completed the order before it
                // received the withdrawal.
                if let Some(Ok(handles)) = unclaimed {
                    relay.peers.release(&relay, &handles, ReleaseKind::Over);
                }
            }
            Frame::Credit { ticket, verdict } => link.receive_verdict(ticket, verdict),
            Frame::Trial { ticket, reply } => link.receive_reply(ticket, *reply),
            Frame::Load {
                cell,
                waits: estimates,
            } => relay.peers.record_wait_estimates(cell, estimates),
            Frame::News {
                ticket,
                news: update,
            } => {
                let reply = lock(&link.pending).updates.remove(&ticket);
                // The requesting task may have read the table meanwhile.
                let _ = reply.map(|reply| reply.send(update));
            }
            other => handle_frame(&relay, &link.sender, other),
        }
    }
}

impl PeerLink {
    fn is_timed_out(&self) -> bool {
        let pending = lock(&self.pending);
        let idle = pending.last_received.elapsed();
        let unanswered = pending
            .heartbeat_sent
            .is_some_and(|at| at.elapsed() > overlay::HEARTBEAT_TIMEOUT);
        pending.expects_frames() && idle > LINK_TIMEOUT || unanswered
    }
}

/// Handles frames that either end of a link may send.
pub(super) fn handle_frame<D: Downstream>(
    relay: &Arc<Relay<D>>,
    sender: &Sender<Frame>,
    frame: Frame,
) {
    match frame {
        Frame::Version(version) => check_version(relay, sender, version),
        Frame::Drains(drains) => relay.drain(&drains, PEER),
        Frame::Limit(notice) => relay.merge_notice(&notice, PEER),
        Frame::Suspicion(suspicion) => {
            relay.merge_suspicion(&suspicion, PEER);
            outage::probe_reported(relay, &suspicion);
        }
        Frame::Beat {
            beat: digest,
            answers,
        } => overlay::compare_state(relay, sender, digest, answers),
        Frame::Leaving { id, incarnation } => {
            info!(relay.log, "peer is stopping"; "peer" => &*id, "incarnation" => incarnation);
            relay
                .peers
                .members(|members| members.mark_left(id, incarnation));
        }
        Frame::AskPart { version, offset } => transfer::send_part(relay, sender, version, offset),
        Frame::Part(part) => transfer::receive_part(relay, sender, &part),
        _ => {}
    }
}

/// Fetches the configuration from a peer that has a newer version.
///
/// Processes that do not read the tables themselves, or whose requests the table service rejects, learn
/// of a new configuration and of revoked keys from their peers alone.
fn check_version<D: Downstream>(relay: &Arc<Relay<D>>, sender: &Sender<Frame>, version: Version) {
    let is_outdated = move |relay: &Relay<D>| {
        relay
            .configuration()
            .is_none_or(|configuration| configuration.version < version)
    };
    if !is_outdated(relay) {
        return;
    }
    if relay.peers.members(|members| members.upstream()).is_some() {
        transfer::offer(relay, sender, version);
        return;
    }
    let (relay, sender) = (relay.clone(), sender.clone());
    tokio::spawn(async move {
        sleep(TABLE_READ_GRACE).await;
        if is_outdated(&relay) {
            transfer::offer(&relay, &sender, version);
        }
    });
}
