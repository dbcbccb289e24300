//! Runners that the platform lists, and which of them accept new work.

use crate::configuration::ServiceId;
use decide::Map;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Name of a runner.
pub type RunnerId = Arc<str>;
/// Name of a failure domain.
pub type DomainId = Arc<str>;

/// Maximum number of remembered runners that have said that they are shutting down.
const MAX_LEAVING: usize = 1_024;
/// Maximum number of remembered runners that no longer accept new work.
const MAX_FORMER: usize = 1_024;

/// A runner, as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Runner {
    /// Name.
    pub id: RunnerId,
    /// When it started, in Unix milliseconds. A runner may restart under its old name; it has then lost all
    /// earlier state.
    pub started: Option<u64>,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new work.
    pub leaving: bool,
    /// Remaining warm-up time, in which it accepts only a few requests per second, as of when its entry was
    /// written.
    pub cold: Duration,
}

impl Runner {
    /// Whether two entries are of the same start of a runner, so that it still has its state.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.id == other.id && self.started == other.started && self.address == other.address
    }

    /// Whether two entries of a runner are equal except for the remaining warm-up time.
    fn is_same(&self, other: &Self) -> bool {
        let cold = self.cold;
        *self
            == Self {
                cold,
                ..other.clone()
            }
    }
}

/// A change of the list of runners.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The list contains this entry.
    Listed(Runner),
    /// The list no longer contains a usable entry of this runner.
    Gone(RunnerId),
}

/// All runners that accept new work, by service, and those that would if their failure domain were not
/// drained.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    runners: Map<RunnerId, Arc<Runner>>,
    /// Runners of drained failure domains.
    drained_runners: Map<RunnerId, Runner>,
    drained: BTreeSet<DomainId>,
    by_service: Map<ServiceId, Vec<Arc<Runner>>>,
    by_address: Map<SocketAddr, Arc<Runner>>,
    /// Starts of runners that have said in a response that they are shutting down, oldest first. Their
    /// entries may not say so yet, or may lapse and be listed once more.
    leaving: VecDeque<(RunnerId, Option<u64>)>,
    /// Runners that no longer accept new work, oldest first. Those that still run store results.
    former: VecDeque<Arc<Runner>>,
}

impl Fleet {
    /// Applies a change, and returns whether it has changed the runners that accept new work.
    pub fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Listed(runner) if runner.leaving || self.is_leaving(&runner) => {
                self.forget(&runner.id)
            }
            Change::Listed(runner) if self.drained.contains(&runner.domain) => {
                self.put_drained(runner)
            }
            Change::Listed(runner) => {
                self.drained_runners.remove(&runner.id);
                self.put(runner)
            }
            Change::Gone(id) => {
                // Without a start time, the next entry of this name may be that of a new start.
                self.leaving.retain(|known| *known != (id.clone(), None));
                self.forget(&id)
            }
        }
    }

    /// Records that a runner has said that it is shutting down; returns whether that is new.
    pub fn mark_leaving(&mut self, runner: &Runner) -> bool {
        if self.is_leaving(runner) {
            return false;
        }
        if self.leaving.len() >= MAX_LEAVING {
            self.leaving.pop_front();
        }
        self.leaving.push_back((runner.id.clone(), runner.started));
        true
    }

    fn is_leaving(&self, runner: &Runner) -> bool {
        let mut leaving = self.leaving.iter();
        leaving.any(|(id, started)| *id == runner.id && *started == runner.started)
    }

    /// Drains exactly these failure domains. Returns the affected runners, whose entries must be applied
    /// again.
    pub fn drain(&mut self, domains: BTreeSet<DomainId>) -> Vec<Runner> {
        if domains == self.drained {
            return Vec::new();
        }
        let active = self.runners.values().map(|runner| &**runner);
        let stopped = active.filter(|runner| domains.contains(&runner.domain));
        let drained_runners = self.drained_runners.values();
        let returned = drained_runners.filter(|runner| !domains.contains(&runner.domain));
        let affected = stopped.chain(returned).cloned().collect();
        self.drained = domains;
        affected
    }

    /// The runner that, according to a change, has exited without announcing it: its entry is gone, or
    /// shows a later start. A runner that shuts down announces it first, or loses its entry while it still
    /// serves.
    #[must_use]
    pub fn exited_runner(&self, change: &Change) -> Option<&Arc<Runner>> {
        match change {
            Change::Gone(id) => self.get(id),
            Change::Listed(now) => {
                let before = self.get(&now.id)?;
                let restarted = before.started.is_some() && before.started != now.started;
                restarted.then_some(before)
            }
        }
    }

    /// Whether an entry matches the known one of a runner that accepts new work, or would but for a drain.
    #[must_use]
    pub fn has_entry(&self, runner: &Runner) -> bool {
        let active = self.runners.get(&runner.id).map(|known| &**known);
        let known = active.or_else(|| self.drained_runners.get(&runner.id));
        known.is_some_and(|known| known.is_same(runner))
    }

    /// The runner of this name, if it accepts new work.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Runner>> {
        self.runners.get(id)
    }

    /// The runner that listens on an address, if it accepts new work.
    #[must_use]
    pub fn at(&self, address: &SocketAddr) -> Option<&Arc<Runner>> {
        self.by_address.get(address)
    }

    /// The runner that listens on an address, or the last one known to have done so.
    #[must_use]
    pub fn last_at(&self, address: &SocketAddr) -> Option<&Arc<Runner>> {
        let former = || {
            self.former
                .iter()
                .rfind(|runner| runner.address == *address)
        };
        self.at(address).or_else(former)
    }

    /// Runners of a service that accept new work.
    #[must_use]
    pub fn of(&self, service: &str) -> &[Arc<Runner>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Names of all runners, including those of drained failure domains.
    pub fn ids(&self) -> impl Iterator<Item = &RunnerId> {
        self.runners.keys().chain(self.drained_runners.keys())
    }

    fn put_drained(&mut self, runner: Runner) -> bool {
        let stopped = self.remove(&runner.id);
        self.drained_runners.insert(runner.id.clone(), runner);
        stopped
    }

    fn forget(&mut self, id: &str) -> bool {
        self.drained_runners.remove(id);
        self.remove(id)
    }

    fn put(&mut self, runner: Runner) -> bool {
        if self
            .runners
            .get(&runner.id)
            .is_some_and(|old| old.is_same(&runner))
        {
            return false;
        }
        self.remove(&runner.id);
        let runner = Arc::new(runner);
        let service = self.by_service.entry(runner.service.clone()).or_default();
        service.push(runner.clone());
        self.by_address.insert(runner.address, runner.clone());
        self.runners.insert(runner.id.clone(), runner);
        true
    }

    fn remove(&mut self, id: &str) -> bool {
        let Some(old) = self.runners.remove(id) else {
            return false;
        };
        if let Some(runners) = self.by_service.get_mut(&old.service) {
            runners.retain(|runner| runner.id != old.id);
        }
        if self
            .by_address
            .get(&old.address)
            .is_some_and(|runner| runner.id == old.id)
        {
            self.by_address.remove(&old.address);
        }
        self.former.retain(|former| former.address != old.address);
        if self.former.len() >= MAX_FORMER {
            self.former.pop_front();
        }
        self.former.push_back(old);
        true
    }
}
