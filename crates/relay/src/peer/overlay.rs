//! The overlay network over which processes announce the state that all of them share.
//!
//! Each process maintains links to a few others and forwards what is new to it over all its links. So an
//! announcement reaches every process in a few steps, while the number of links and messages of one
//! process does not grow with the number of processes. Messages may be lost, and processes may be
//! partitioned or paused. Therefore the two ends of a link compare digests of their state every second,
//! and send each other the whole state if the digests differ.

use super::PeerLink;
use super::frame::{self, Frame};
use crate::configuration::Version;
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::member::{Member, MemberId};
use decide::Map;
use foldhash::fast::FixedState;
use futures::future::join_all;
use serde::{Deserialize, Serialize};
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};
use wire::Sender;

/// Links that a process opens; on average the others open as many to it.
const LINKS_OPENED: usize = 4;
/// Interval at which the two ends of a link compare their state.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an unreachable process is replaced by another one.
const UNREACHABLE_TTL: Duration = Duration::from_secs(2);
/// Time without a response to a heartbeat after which a link is closed.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// Digest of the state that all processes share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    suspects: u64,
    limits: u64,
    drains: u64,
    version: Option<Version>,
}

impl StateDigest {
    fn of<D: Downstream>(relay: &Relay<D>) -> Self {
        Self {
            suspects: relay.suspicions_digest(),
            limits: relay.limits_digest(),
            drains: FixedState::default().hash_one(relay.drains().domains),
            version: relay
                .configuration()
                .map(|configuration| configuration.version),
        }
    }
}

/// Maintains links to a few other processes, and compares the shared state with them, until the task is
/// dropped.
pub async fn maintain_links<D: Downstream>(relay: Arc<Relay<D>>) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // These are separate from the suspects, which decide who owns a cell: processes that disagree on the
    // owner compete for the same runners.
    let mut unreachable: Map<MemberId, Instant> = Map::default();
    loop {
        ticks.tick().await;
        unreachable.retain(|_, until| *until > Instant::now());
        let is_unreachable = |id: &MemberId| unreachable.contains_key(id);
        let neighbours = relay
            .peers
            .members(|members| members.neighbours(LINKS_OPENED, is_unreachable));
        let digest = StateDigest::of(&relay);
        let heartbeats = neighbours
            .iter()
            .map(|member| send_heartbeat(&relay, member, digest));
        let failed = join_all(heartbeats).await.into_iter().flatten();
        unreachable.extend(failed.map(|id| (id, Instant::now() + UNREACHABLE_TTL)));
    }
}

/// Sends a heartbeat; returns the member's id if it could not be reached.
async fn send_heartbeat<D: Downstream>(
    relay: &Arc<Relay<D>>,
    member: &Member,
    digest: StateDigest,
) -> Option<MemberId> {
    let Some(link) = relay.peers.link(relay, member).await else {
        return Some(member.id.clone());
    };
    let answers = false;
    // If the link's queue is full, the comparison takes place a second later.
    if link
        .sender
        .try_send(&Frame::Beat {
            beat: digest,
            answers,
        })
        .is_ok()
    {
        link.note_heartbeat_sent();
    }
    None
}

impl PeerLink {
    fn note_heartbeat_sent(&self) {
        let mut pending = lock(&self.pending);
        pending.heartbeat_sent = pending.heartbeat_sent.or_else(|| Some(Instant::now()));
    }
}

/// Compares the state of the other end of a link with the state of this process.
pub(super) fn compare_state<D: Downstream>(
    relay: &Relay<D>,
    sender: &Sender<Frame>,
    other: StateDigest,
    answers: bool,
) {
    let digest = StateDigest::of(relay);
    if !answers {
        // If the response is lost, the other end sends another heartbeat.
        let _ = sender.try_send(&Frame::Beat {
            beat: digest,
            answers: true,
        });
    }
    if digest != other {
        frame::send_state(relay, sender);
    }
}
