//! Results stored at runners: which process is told that they are needed or released.
//!
//! Messages about a result go to the process that currently forms the calls to the runner that stores
//! it. The cell in which it was made tells nothing: runners that join or leave move others to another
//! cell.

use super::{Frame, Peers};
use crate::batch::{self, Cell, ReleaseKind, Results};
use crate::core::{Relay, lock};
use crate::downstream::{Downstream, Handle};
use crate::member::MemberId;
use crate::runner::Runner;
use decide::Map;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::{sleep, sleep_until};

/// Whether a release may still be forwarded to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hop {
    /// It comes from the process that needed the results.
    First,
    /// Another process has forwarded it.
    Second,
    /// It is not forwarded any more, which ends the exchange between processes that disagree on the
    /// owner.
    Last,
}

impl Hop {
    fn next(self) -> Self {
        match self {
            Self::First => Self::Second,
            Self::Second | Self::Last => Self::Last,
        }
    }
}

/// Released results of which no process that forms calls can be told, by runner.
pub(super) type DirectReleases = Map<SocketAddr, (Arc<Runner>, Vec<Handle>)>;

/// Groups results by the address of the runner that stores them.
fn by_holder<D: Downstream>(relay: &Relay<D>, handles: &[Handle]) -> Map<SocketAddr, Vec<Handle>> {
    let mut groups: Map<SocketAddr, Vec<Handle>> = Map::default();
    for handle in handles {
        if let Some(address) = relay.downstream.holder(handle) {
            groups.entry(address).or_default().push(handle.clone());
        }
    }
    groups
}

impl Peers {
    /// Notifies the owners of the runners that store these results that they were fetched or are not
    /// needed any more.
    pub fn release<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        handles: &[Handle],
        kind: ReleaseKind,
    ) {
        self.route_release(relay, handles, kind, Hop::First);
    }

    /// Handles a release that another process has sent.
    pub(super) fn receive_release<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        results: &Results,
        kind: ReleaseKind,
        hop: Hop,
    ) {
        let batcher = relay.batcher(&results.cell);
        let absent = batcher.release(relay, &results.handles, kind);
        self.route_release(relay, &absent, kind, hop.next());
    }

    fn route_release<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        handles: &[Handle],
        kind: ReleaseKind,
        hop: Hop,
    ) {
        let mut by_cell: Map<Cell, Vec<Handle>> = Map::default();
        for (address, handles) in by_holder(relay, handles) {
            let keeper = match (hop, kind) {
                (Hop::First, ReleaseKind::Over) => self.forget_results(&address, &handles),
                _ => None,
            };
            match (relay.cell_at(&address), keeper) {
                (Some(cell), _) => by_cell.entry(cell).or_default().extend(handles),
                // The last owner may still list the runner, or will know it again when it is back.
                (None, Some((cell, owner))) => {
                    self.send_release(relay, &owner, Results { cell, handles }, kind, hop);
                }
                (None, None) => self.release_directly(relay, &handles, kind),
            }
        }
        for (cell, handles) in by_cell {
            let owner = lock(&self.members).owner(&cell.name());
            self.send_release(relay, &owner.id, Results { cell, handles }, kind, hop);
        }
    }

    fn send_release<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        owner: &MemberId,
        results: Results,
        kind: ReleaseKind,
        hop: Hop,
    ) {
        if *owner == relay.options.member.id {
            let batcher = relay.batcher(&results.cell);
            let absent = batcher.release(relay, &results.handles, kind);
            self.release_directly(relay, &absent, kind);
            return;
        }
        let handles = results.handles.clone();
        let spent = kind;
        let is_sent = match hop {
            Hop::First => self.try_send(owner, &Frame::Release { results, spent }),
            Hop::Second => self.try_send(owner, &Frame::ForwardedRelease { results, spent }),
            Hop::Last => false,
        };
        if !is_sent {
            self.release_directly(relay, &handles, kind);
        }
    }

    /// Sends a frame if there is a link to the process; returns whether it was queued.
    fn try_send(&self, member: &MemberId, frame: &Frame) -> bool {
        let slot = lock(&self.links).get(member).cloned();
        let link = slot.and_then(|slot| slot.try_lock().ok()?.clone());
        link.is_some_and(|link| link.sender.try_send(frame).is_ok())
    }

    /// Tells the runners themselves to drop released results, shortly afterwards and together with
    /// others.
    fn release_directly<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        handles: &[Handle],
        kind: ReleaseKind,
    ) {
        // Fetched results may still be needed.
        if kind == ReleaseKind::Fetched || handles.is_empty() {
            return;
        }
        let mut added = Vec::new();
        for (address, handles) in by_holder(relay, handles) {
            let runner = relay.fleet(|fleet| fleet.last_at(&address).cloned());
            added.extend(runner.flatten().map(|runner| (address, runner, handles)));
        }
        let mut direct_releases = lock(&self.direct_releases);
        let is_scheduled = !direct_releases.is_empty();
        for (address, runner, handles) in added {
            let entry = direct_releases.entry(address);
            entry.or_insert((runner, Vec::new())).1.extend(handles);
        }
        if !is_scheduled && !direct_releases.is_empty() {
            tokio::spawn(send_direct_releases(relay.clone()));
        }
    }
}

async fn send_direct_releases<D: Downstream>(relay: Arc<Relay<D>>) {
    sleep(batch::RELEASE_DELAY).await;
    let releases = std::mem::take(&mut *lock(&relay.peers.direct_releases));
    for (runner, handles) in releases.into_values() {
        let relay = relay.clone();
        tokio::spawn(async move {
            if let Some(rest_end) = relay.rest_end(&runner) {
                sleep_until(rest_end).await;
            }
            batch::release(relay, runner, handles).await;
        });
    }
}
