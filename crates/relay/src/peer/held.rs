//! Results that requests of this process need, and the reports of them to the owners of their runners.
//!
//! An owner that does not know of these results assumes that a runner is empty, and schedules pieces for
//! which there is no room until the results expire some seconds later.

use super::{Frame, Peers};
use crate::batch::{Cell, CellRunners};
use crate::core::{Relay, lock};
use crate::downstream::{Downstream, Handle};
use crate::member::{Member, MemberId};
use crate::runner::{Runner, RunnerId};
use decide::Map;
use futures::future::join_all;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which the owners of the runners are compared with those that know of the results. Changes
/// of the list of runners are reported at once; this finds owners that have stopped or come back.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A cell and the process that owns it, with its incarnation.
type Keeper = (Cell, MemberId, u64);

/// Results that requests of this process need, by the runner that stores them.
pub(super) type HeldResults = Map<SocketAddr, RunnerResults>;

/// Results at one runner.
#[derive(Debug, Default)]
pub(super) struct RunnerResults {
    /// Name and start time of the runner, if it was listed. A later start has lost the results.
    start: Option<(RunnerId, Option<u64>)>,
    /// Owner that knows of all the results, if there is one.
    keeper: Option<Keeper>,
    /// The results with their sizes in bytes.
    results: Map<Handle, u64>,
}

fn keeper(cell: &Cell, owner: &Member) -> Keeper {
    (cell.clone(), owner.id.clone(), owner.incarnation)
}

fn start(runner: &Runner) -> (RunnerId, Option<u64>) {
    (runner.id.clone(), runner.started)
}

impl Peers {
    /// Records results that a request needs from now on, each of this size, which the current owner of
    /// a cell has made.
    pub fn record_results<D: Downstream>(
        &self,
        relay: &Relay<D>,
        cell: &Cell,
        handles: &[Handle],
        bytes: u64,
    ) {
        let owner = self.members(|members| members.owner(&cell.name()));
        self.record_results_of(relay, (cell, &owner), handles, bytes);
    }

    /// Records results that a request needs from now on, and which process has made them.
    pub(super) fn record_results_of<D: Downstream>(
        &self,
        relay: &Relay<D>,
        (cell, owner): (&Cell, &Member),
        handles: &[Handle],
        bytes: u64,
    ) {
        let maker = keeper(cell, owner);
        let mut held_results = lock(&self.held_results);
        for handle in handles {
            let Some(address) = relay.downstream.holder(handle) else {
                continue;
            };
            let listed = relay.fleet(|fleet| fleet.at(&address).map(|runner| start(runner)));
            let start = listed.flatten();
            let is_lost = |known: &RunnerResults| {
                known.start.is_some() && start.is_some() && known.start != start
            };
            if held_results.get(&address).is_some_and(is_lost) {
                held_results.remove(&address);
            }
            let at_runner = held_results
                .entry(address)
                .or_insert_with(|| RunnerResults {
                    start,
                    keeper: Some(maker.clone()),
                    results: Map::default(),
                });
            if at_runner.keeper.as_ref() != Some(&maker) {
                at_runner.keeper = None;
            }
            at_runner.results.insert(handle.clone(), bytes);
        }
    }

    /// Forgets results that are released; returns the cell and the owner that know of them.
    pub(super) fn forget_results(
        &self,
        address: &SocketAddr,
        handles: &[Handle],
    ) -> Option<(Cell, MemberId)> {
        let mut held_results = lock(&self.held_results);
        let at_runner = held_results.get_mut(address)?;
        for handle in handles {
            at_runner.results.remove(handle);
        }
        let keeper = at_runner.keeper.clone();
        if at_runner.results.is_empty() {
            held_results.remove(address);
        }
        keeper.map(|(cell, id, _)| (cell, id))
    }

    /// Records that owners may have forgotten the results at a runner, since it was not listed.
    pub(crate) fn mark_unlisted(&self, address: &SocketAddr) {
        if let Some(at_runner) = lock(&self.held_results).get_mut(address) {
            at_runner.keeper = None;
        }
    }

    /// Records that a process may not have received what was last sent to it, since the link was lost.
    pub(super) fn mark_link_lost(&self, member: &MemberId) {
        for at_runner in lock(&self.held_results).values_mut() {
            let keeper = at_runner.keeper.as_ref();
            if keeper.is_some_and(|(_, id, _)| id == member) {
                at_runner.keeper = None;
            }
        }
    }

    /// Reports the results at the runners of a cell to its owner, if it does not know of them.
    pub(super) async fn report_results<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        cell: &Cell,
        owner: &Member,
    ) {
        let cells = relay.cells(&cell.service);
        let Some(CellRunners { runners, .. }) = cells.get(cell.index) else {
            return;
        };
        let current = Some(keeper(cell, owner));
        let is_unreported = |held_results: &HeldResults| {
            let mut at_runners = runners
                .iter()
                .filter_map(|one| held_results.get(&one.address));
            at_runners.any(|at_runner| at_runner.keeper != current)
        };
        if !is_unreported(&lock(&self.held_results)) {
            return;
        }
        let link = match owner.id == relay.options.member.id {
            true => None,
            false => match self.link(relay, owner).await {
                Some(link) => Some(link),
                None => return,
            },
        };
        // The lock is held until the report is queued: a release must not overtake it, or the owner
        // would count the result as stored until it expires.
        let mut held_results = lock(&self.held_results);
        let mut results = Vec::new();
        let mut reported = Vec::new();
        for runner in runners {
            let Some(at_runner) = held_results.get(&runner.address) else {
                continue;
            };
            if at_runner
                .start
                .as_ref()
                .is_some_and(|known| *known != start(runner))
            {
                held_results.remove(&runner.address);
            } else if at_runner.keeper != current {
                let all = at_runner.results.iter();
                results.extend(all.map(|(handle, bytes)| (handle.clone(), *bytes)));
                reported.push(runner.address);
            }
        }
        if results.is_empty() {
            return;
        }
        let is_queued = match link {
            None => {
                relay.batcher(cell).record_results(relay, &results);
                true
            }
            Some(link) => {
                let cell = cell.clone();
                link.sender.try_send(&Frame::Held { cell, results }).is_ok()
            }
        };
        for address in reported {
            if let Some(at_runner) = held_results.get_mut(&address).filter(|_| is_queued) {
                at_runner.keeper.clone_from(&current);
            }
        }
    }
}

/// Reports results to the new owners of their runners until the task is dropped.
pub async fn report_held_results<D: Downstream>(relay: Arc<Relay<D>>) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = relay.peers.runners_changed.notified() => {}
        }
        let addresses: Vec<SocketAddr> = lock(&relay.peers.held_results).keys().copied().collect();
        let mut cells: Vec<Cell> = addresses
            .iter()
            .filter_map(|address| relay.cell_at(address))
            .collect();
        cells.sort_unstable_by(|one, other| {
            (&one.service, one.index).cmp(&(&other.service, other.index))
        });
        cells.dedup();
        let reports = cells.iter().map(async |cell| {
            let owner = relay.peers.members(|members| members.owner(&cell.name()));
            relay.peers.report_results(&relay, cell, &owner).await;
        });
        join_all(reports).await;
    }
}
