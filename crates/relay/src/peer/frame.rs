//! The frames, and what the asking end of a link does with them.

use super::overlay::{self, StateDigest};
use super::transfer::Part;
use super::{CallLoads, PeerLink, TableUpdate, call_loads, transfer};
use crate::batch::{Cell, Order, Outcome, ReleaseKind, Results, WaitEstimates};
use crate::configuration::{Rank, ServiceId, Version};
use crate::core::{Relay, lock};
use crate::downstream::{Downstream, Handle, Source};
use crate::drain::Drains;
use crate::limit::LimitNotice;
use crate::member::MemberId;
use crate::outage;
use crate::quarantine::Suspicion;
use crate::request::{ContentId, RequestId};
use crate::runner::DomainId;
use serde::{Deserialize, Serialize};
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use store::RowRevision;
use tokio::time::{Instant, sleep};
use wire::{Receiver, Sender};

/// Silence after which a link with orders on it is given up. The other end tells its load every
/// [`super::serving::LOAD_EVERY`] as long as orders wait; waiting much longer for a process that is
/// frozen would cost the requests their aim.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two looks at the silence of a link.
const LOOK: Duration = Duration::from_millis(300);
/// Time that the table service is given to tell a process that reads it of a configuration which a peer has
/// already: asking the peer would cost the whole text once more.
const OWN_WAY: Duration = Duration::from_millis(400);

/// Who told what a peer told.
const PEER: &str = "peer";

/// What processes say to one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Have these pieces made.
    Order {
        /// Names the order on this link.
        ticket: u64,
        /// Cell whose calls the other process forms.
        cell: Cell,
        /// The pieces.
        sheet: Box<WireOrder>,
    },
    /// The order's request is gone.
    Withdraw {
        /// The order.
        ticket: u64,
    },
    /// What the order ended with.
    Outcome {
        /// The order.
        ticket: u64,
        /// The results, or why there are none.
        outcome: Outcome,
    },
    /// Results are done with.
    Release {
        /// The results.
        results: Results,
        /// How far.
        spent: ReleaseKind,
    },
    /// Results that the sender holds, for a process that has not formed the cell's calls before.
    Held {
        /// Cell that made them.
        cell: Cell,
        /// The results with their sizes in bytes.
        results: Vec<(Handle, u64)>,
    },
    /// How long pieces that come now would take.
    Load {
        /// The cell.
        cell: Cell,
        /// Expected times until they are made.
        waits: WaitEstimates,
    },
    /// Calls that the sender has at a service's runners.
    Burdens {
        /// The service.
        service: ServiceId,
        /// The sender.
        from: MemberId,
        /// The calls.
        burdens: CallLoads,
    },
    /// Calls that all other processes have there, in reply.
    Elsewhere {
        /// The service.
        service: ServiceId,
        /// The calls.
        burdens: CallLoads,
    },
    /// What is new in a table of the platform?
    AskNews {
        /// Names the question on this link.
        ticket: u64,
        /// The table.
        table: String,
        /// Revision up to which the sender knows it, if it does.
        after: Option<RowRevision>,
    },
    /// What is new there, if the sender knows the table.
    News {
        /// The question.
        ticket: u64,
        /// What is new.
        news: Option<TableUpdate>,
    },
    /// The configuration that is in force at the sender.
    Version(Version),
    /// The failure domains that are drained, as far as the sender knows.
    Drains(Drains),
    /// What the sender knows of a request that has ended runners.
    Suspicion(Suspicion),
    /// What the sender knows, in brief.
    Beat {
        /// Hashes of it.
        beat: StateDigest,
        /// Whether this answers the other end's.
        answers: bool,
    },
    /// What a runner asks for in its answers.
    Limit(LimitNotice),
    /// The sender stops, and takes no more orders until it starts anew.
    Leaving {
        /// Its name.
        id: MemberId,
        /// The start that is about to end.
        incarnation: u64,
    },
    /// Asks for a part of a configuration.
    AskPart {
        /// The configuration.
        version: Version,
        /// Position of the part's first byte.
        offset: u64,
    },
    /// A part of a configuration.
    Part(Part),
}

/// An order as another process gets it: clocks differ, so that times are told from now on.
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
    /// The order as of now.
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

    /// The order at the end that carries it out.
    #[must_use]
    pub fn order(self) -> Order {
        let now = Instant::now();
        Order {
            id: self.id,
            stage: self.stage,
            pieces: self.pieces,
            source: self.source,
            inputs: self.inputs,
            result_bytes: self.result,
            due: now + self.due,
            expires_at: now + self.last,
            rank: self.rank,
            domain: self.domain,
            max_domain_wait: self.patience,
            content: self.content,
            trial: self.trial,
        }
    }
}

/// Reads the link's frames until it is lost.
pub(super) fn start<D: Downstream>(
    relay: Arc<Relay<D>>,
    line: Arc<PeerLink>,
    receiver: Receiver<Frame>,
) {
    relay.peers.subscribe(line.sender.clone());
    greet(&relay, &line.sender);
    tokio::spawn(read(relay, line, receiver));
}

/// Tells a new peer which configuration is in force here, and which failure domains are drained.
pub(super) fn greet<D: Downstream>(relay: &Relay<D>, sender: &Sender<Frame>) {
    let drains = relay.drains();
    if drains.revision > 0 {
        // First: a peer that takes the configuration from here must know them by then.
        let _ = sender.try_send(&Frame::Drains(drains));
    }
    for notice in relay.limit_notices() {
        // The runner says so again in its next answer.
        let _ = sender.try_send(&Frame::Limit(notice));
    }
    for suspicion in relay.suspicions() {
        // Those that do not fit into the queue are announced after the next beat.
        let _ = sender.try_send(&Frame::Suspicion(suspicion));
    }
    if let Some(configuration) = relay.configuration() {
        // A link that is gone already shows when it is read.
        let _ = sender.try_send(&Frame::Version(configuration.version));
    }
}

async fn read<D: Downstream>(
    relay: Arc<Relay<D>>,
    line: Arc<PeerLink>,
    mut receiver: Receiver<Frame>,
) {
    loop {
        let frame = tokio::select! {
            frame = receiver.recv() => frame,
            () = sleep(LOOK) => {
                if line.is_silent() {
                    info!(relay.log, "peer silent, link given up");
                    break;
                }
                continue;
            }
        };
        let Ok(Some(frame)) = frame else { break };
        {
            let mut pending = lock(&line.pending);
            pending.received = Instant::now();
            pending.beaten = None;
        }
        match frame {
            Frame::Elsewhere { service, burdens } => call_loads::take(&relay, &service, burdens),
            Frame::Outcome { ticket, outcome } => {
                let reply = lock(&line.pending).waiting.remove(&ticket);
                // Whoever waited may have left meanwhile.
                let _ = reply.map(|reply| reply.send(outcome));
            }
            Frame::Load { cell, waits } => relay.peers.note_load(cell, waits),
            Frame::News { ticket, news } => {
                let reply = lock(&line.pending).news.remove(&ticket);
                // Whoever asked may have read the table meanwhile.
                let _ = reply.map(|reply| reply.send(news));
            }
            other => common(&relay, &line.sender, other),
        }
    }
    line.sender.abort();
    transfer::lost(&relay, &line.sender);
    // Dropping the senders tells all who wait that the link is gone.
    let mut pending = lock(&line.pending);
    pending.waiting.clear();
    pending.news.clear();
}

impl PeerLink {
    fn is_silent(&self) -> bool {
        let pending = lock(&self.pending);
        let silent = pending.received.elapsed();
        let unanswered = pending
            .beaten
            .is_some_and(|at| at.elapsed() > overlay::SILENCE_TIMEOUT);
        !pending.waiting.is_empty() && silent > SILENCE_TIMEOUT || unanswered
    }
}

/// Frames that both ends understand.
pub(super) fn common<D: Downstream>(relay: &Arc<Relay<D>>, sender: &Sender<Frame>, frame: Frame) {
    match frame {
        Frame::Version(version) => compare_version(relay, sender, version),
        Frame::Drains(drains) => relay.drain(&drains, PEER),
        Frame::Limit(notice) => relay.merge_notice(&notice, PEER),
        Frame::Suspicion(suspicion) => {
            relay.merge_suspicion(&suspicion, PEER);
            outage::probe_named(relay, &suspicion);
        }
        Frame::Beat { beat, answers } => overlay::compare(relay, sender, beat, answers),
        Frame::Leaving { id, incarnation } => {
            info!(relay.log, "peer leaves"; "peer" => &*id, "incarnation" => incarnation);
            relay
                .peers
                .members(|members| members.mark_left(id, incarnation));
        }
        Frame::AskPart { version, offset } => transfer::answer(relay, sender, version, offset),
        Frame::Part(part) => transfer::take(relay, sender, &part),
        _ => {}
    }
}

/// Processes that do not read the tables themselves learn of a new configuration, and of keys that were taken
/// away, from their peers alone; so do those that the table service turns away.
fn compare_version<D: Downstream>(relay: &Arc<Relay<D>>, sender: &Sender<Frame>, version: Version) {
    let behind = move |relay: &Relay<D>| {
        relay
            .configuration()
            .is_none_or(|configuration| configuration.version < version)
    };
    if !behind(relay) {
        return;
    }
    if relay.peers.members(|members| members.upstream()).is_some() {
        transfer::offer(relay, sender, version);
        return;
    }
    let (relay, sender) = (relay.clone(), sender.clone());
    tokio::spawn(async move {
        sleep(OWN_WAY).await;
        if behind(&relay) {
            transfer::offer(&relay, &sender, version);
        }
    });
}
