//! The links over which processes announce what all of them must know.
//!
//! Each process keeps links to a few others. What is new to a process it passes on over all its links,
//! so that it reaches every process in a few steps, while the links and the messages of one process do
//! not grow with their number. Messages may be lost, and processes cut off or paused: the two ends of a
//! link compare what they know every second, and tell each other all of it where that differs.

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

/// Links that a process opens; the others open as many to it.
const LINKS: usize = 4;
/// Time between two comparisons.
const PERIOD: Duration = Duration::from_secs(1);
/// Time for which another process is chosen in place of one that was not reached.
const UNREACHED: Duration = Duration::from_secs(2);
/// Time after which a link on which a beat was not answered is given up.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// What a process knows, in brief.
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

/// Keeps links to a few other processes, and compares with them what is known, until the task is
/// dropped.
pub async fn maintain_links<D: Downstream>(relay: Arc<Relay<D>>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // Kept apart from the suspects of those who send work: processes that disagree on who does it get
    // into one another's way.
    let mut unreached: Map<MemberId, Instant> = Map::default();
    loop {
        ticks.tick().await;
        unreached.retain(|_, until| *until > Instant::now());
        let is_gone = |id: &MemberId| unreached.contains_key(id);
        let neighbours = relay
            .peers
            .members(|members| members.neighbours(LINKS, is_gone));
        let beat = StateDigest::of(&relay);
        let beats = neighbours.iter().map(|member| send(&relay, member, beat));
        let failed = join_all(beats).await.into_iter().flatten();
        unreached.extend(failed.map(|id| (id, Instant::now() + UNREACHED)));
    }
}

/// Gives the member if it was not reached.
async fn send<D: Downstream>(
    relay: &Arc<Relay<D>>,
    member: &Member,
    beat: StateDigest,
) -> Option<MemberId> {
    let Some(line) = relay.peers.line(relay, member).await else {
        return Some(member.id.clone());
    };
    let answers = false;
    // One that is too full for it is compared a second later.
    if line.sender.try_send(&Frame::Beat { beat, answers }).is_ok() {
        line.beaten();
    }
    None
}

impl PeerLink {
    fn beaten(&self) {
        let mut pending = lock(&self.pending);
        pending.beaten = pending.beaten.or_else(|| Some(Instant::now()));
    }
}

/// Compares what the other end of a link knows with what is known here.
pub(super) fn compare<D: Downstream>(
    relay: &Relay<D>,
    sender: &Sender<Frame>,
    other: StateDigest,
    answers: bool,
) {
    let beat = StateDigest::of(relay);
    if !answers {
        // One that is lost is asked for again.
        let _ = sender.try_send(&Frame::Beat {
            beat,
            answers: true,
        });
    }
    if beat != other {
        frame::greet(relay, sender);
    }
}
