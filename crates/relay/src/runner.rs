//! Runners that the platform lists, and which of them get new work.

use crate::configuration::ServiceId;
use decide::Map;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Name of a runner.
pub type RunnerId = Arc<str>;
/// Failure domain.
pub type DomainId = Arc<str>;

/// A runner as the platform's list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Runner {
    /// Name.
    pub id: RunnerId,
    /// When it started, in Unix milliseconds. A runner may come back under its old name; it then
    /// knows nothing of what it had before.
    pub started: Option<u64>,
    /// Service that it runs for.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
    /// How much longer it bears only a few requests a second, as of when its entry was written.
    pub cold: Duration,
}

impl Runner {
    /// Whether two entries tell the same of a runner, but for how long it stays cold.
    fn is_same(&self, other: &Self) -> bool {
        let cold = self.cold;
        *self
            == Self {
                cold,
                ..other.clone()
            }
    }
}

/// A change of what is known of a runner.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The list has this of the runner.
    Listed(Runner),
    /// The list no longer has a usable entry of the runner.
    Gone(RunnerId),
}

/// All runners that take new work, by service, and those that would if their failure domain were not
/// drained.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    runners: Map<RunnerId, Arc<Runner>>,
    /// Runners of drained failure domains.
    parked: Map<RunnerId, Runner>,
    drained: BTreeSet<DomainId>,
    by_service: Map<ServiceId, Vec<Arc<Runner>>>,
    by_address: Map<SocketAddr, Arc<Runner>>,
}

impl Fleet {
    /// Takes in a change and tells whether anything is different now.
    pub fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Listed(runner) if runner.leaving => self.forget(&runner.id),
            Change::Listed(runner) if self.drained.contains(&runner.domain) => self.park(runner),
            Change::Listed(runner) => {
                self.parked.remove(&runner.id);
                self.put(runner)
            }
            Change::Gone(id) => self.forget(&id),
        }
    }

    /// Drains these failure domains and no others; gives the runners that this concerns, to be listed
    /// once more.
    pub fn drain(&mut self, domains: BTreeSet<DomainId>) -> Vec<Runner> {
        if domains == self.drained {
            return Vec::new();
        }
        let working = self.runners.values().map(|runner| &**runner);
        let stopped = working.filter(|runner| domains.contains(&runner.domain));
        let parked = self.parked.values();
        let back = parked.filter(|runner| !domains.contains(&runner.domain));
        let concerned = stopped.chain(back).cloned().collect();
        self.drained = domains;
        concerned
    }

    /// The runner that a change says has ended without a word: its entry is gone, or tells of a later
    /// start. One that leaves says so first, or loses its entry while it goes on to serve.
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

    /// Whether an entry tells what is known of a runner that takes new work, or is parked.
    #[must_use]
    pub fn has_entry(&self, runner: &Runner) -> bool {
        let working = self.runners.get(&runner.id).map(|known| &**known);
        let known = working.or_else(|| self.parked.get(&runner.id));
        known.is_some_and(|known| known.is_same(runner))
    }

    /// The runner of that name, if it takes new work.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Runner>> {
        self.runners.get(id)
    }

    /// The runner that listens at an address, if it takes new work.
    #[must_use]
    pub fn at(&self, address: &SocketAddr) -> Option<&Arc<Runner>> {
        self.by_address.get(address)
    }

    /// Runners of a service that take new work.
    #[must_use]
    pub fn of(&self, service: &str) -> &[Arc<Runner>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Names of all runners, those of drained failure domains included.
    pub fn ids(&self) -> impl Iterator<Item = &RunnerId> {
        self.runners.keys().chain(self.parked.keys())
    }

    fn park(&mut self, runner: Runner) -> bool {
        let stopped = self.remove(&runner.id);
        self.parked.insert(runner.id.clone(), runner);
        stopped
    }

    fn forget(&mut self, id: &str) -> bool {
        self.parked.remove(id);
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
        true
    }
}
