//! What the parts of the relay share.

use crate::batch::{Batcher, Cell, CellRunners};
use crate::configuration::{BatchSettings, Configuration, LAST_RANK, RegionId, ServiceId};
use crate::downstream::Downstream;
use crate::drain::Drains;
use crate::limit::Limits;
use crate::member::{Member, MemberId};
use crate::memory::MemoryBudget;
use crate::outage::Outages;
use crate::pause::{Clock, PauseDetector};
use crate::peer::{CallLoads, Peers};
use crate::quarantine;
use crate::request::ContentId;
use crate::runner::{Change, DomainId, Fleet, Runner};
use crate::serve::RETRY_TIME_DIVISOR;
use crate::telemetry::Telemetry;
use crate::warmup::Warmups;
use decide::Map;
use decide::retry::window::{RetryBound, RetryQuota};
use decide::route::{Pool, Target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slog::Logger;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Part of the longest patience on a route below which a caller has tried before. One that was refused
/// for want of capacity is told to let a [`RETRY_TIME_DIVISOR`] of its time pass; the bound lies midway
/// between what it has left then and the whole, since callers of one route differ in what they state
/// from the start.
const FIRST_LEAST: f64 = 1.0 - 0.5 / RETRY_TIME_DIVISOR as f64;

/// Part of the process's memory that bodies of requests may take up, and bodies of answers as much.
const BODIES_PART: usize = 4;

/// What a relay is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Bound on second attempts of the whole fleet, until it is changed.
    pub retry_bound: RetryBound,
    /// Processes that share this bound, as far as they do not know of one another.
    pub processes: usize,
    /// This process, as the others see it.
    pub member: Member,
    /// Shared key of the processes.
    pub key: wire::Key,
    /// Which decisions it takes.
    pub policy: setting::relay::Policies,
    /// Region of each failure domain.
    pub regions: Map<DomainId, RegionId>,
    /// What runners bear that have just started.
    pub warmup: setting::relay::Warmup,
    /// Clock that counts suspensions.
    pub clock: Clock,
    /// Bytes that the process may take up.
    pub memory: usize,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Time within which a runner that has said that it leaves must get no new work.
    pub drain: Duration,
}

/// One process that takes requests and passes them on.
#[derive(Debug)]
pub struct Relay<D> {
    /// What it was told.
    pub options: Options,
    /// Calls to runners.
    pub downstream: D,
    /// Logger of decisions.
    pub log: Logger,
    /// Counters and histograms.
    pub telemetry: Telemetry,
    /// The other processes.
    pub peers: Peers,
    /// Memory for the bodies of requests.
    pub requests: MemoryBudget,
    /// Memory for the bodies of answers.
    pub answers: MemoryBudget,
    /// Spans in which the process did not run.
    pub(crate) pause: PauseDetector,
    /// Set shortly before the process ends: what no runner has by then is refused.
    pub ending: CancellationToken,
    started: Instant,
    configuration: RwLock<Option<Arc<Configuration>>>,
    fleet: RwLock<Option<Fleet>>,
    pub(crate) drains: Mutex<Drains>,
    pub(crate) warmups: Mutex<Warmups>,
    pub(crate) quarantine: quarantine::State,
    pub(crate) outages: Mutex<Outages>,
    pub(crate) limits: Mutex<Limits>,
    pools: Mutex<Map<ServiceId, Pool>>,
    retry_bound: Mutex<RetryBound>,
    quotas: Mutex<Map<ServiceId, RetryQuota>>,
    batchers: Mutex<Map<Cell, Arc<Batcher<D>>>>,
    /// Longest time that a caller of each route has been ready to wait.
    patience: Mutex<Map<String, Duration>>,
    cells: Mutex<Map<ServiceId, Arc<Vec<CellRunners>>>>,
    /// When the list of runners was last known to be complete.
    listed: Mutex<Option<Instant>>,
    rng: Mutex<SmallRng>,
}

/// A panic while a lock was held cannot have left the maps behind it half changed in a way that
/// matters more than serving on.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<D: Downstream> Relay<D> {
    /// A relay that knows nothing yet.
    #[must_use]
    pub fn new(options: Options, downstream: D, log: Logger, telemetry: Telemetry) -> Arc<Self> {
        Arc::new(Self {
            peers: Peers::new(options.member.clone(), options.key.clone()),
            pause: PauseDetector::new(options.clock),
            ending: CancellationToken::new(),
            requests: MemoryBudget::new(options.memory / BODIES_PART),
            answers: MemoryBudget::new(options.memory / BODIES_PART),
            retry_bound: Mutex::new(options.retry_bound),
            options,
            downstream,
            log,
            telemetry,
            started: Instant::now(),
            configuration: RwLock::default(),
            fleet: RwLock::default(),
            drains: Mutex::default(),
            warmups: Mutex::default(),
            quarantine: quarantine::State::default(),
            outages: Mutex::default(),
            limits: Mutex::default(),
            pools: Mutex::default(),
            quotas: Mutex::default(),
            batchers: Mutex::default(),
            patience: Mutex::default(),
            cells: Mutex::default(),
            listed: Mutex::default(),
            rng: Mutex::new(SmallRng::from_os_rng()),
        })
    }

    /// Time since the start, by the steady clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// When the relay started.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.started
    }

    /// The same clock's reading at a moment.
    #[must_use]
    pub fn at(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.started)
    }

    /// The configuration in force, once one is known.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let configuration = self
            .configuration
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        configuration.clone()
    }

    /// Takes a configuration into force if it is newer than the one that is; tells whether.
    pub fn adopt(&self, configuration: Configuration) -> bool {
        let mut current = self
            .configuration
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(old) = current.as_ref()
            && old.version >= configuration.version
        {
            if old.version == configuration.version && old.revision < configuration.revision {
                *current = Some(Arc::new(configuration));
            }
            return false;
        }
        let version = configuration.version;
        *current = Some(Arc::new(configuration));
        drop(current);
        self.peers.announce_version(version);
        self.note_adopted(version);
        true
    }

    /// Whether configuration and runners are known, so that requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let fleet = self.fleet.read().unwrap_or_else(PoisonError::into_inner);
        fleet.is_some() && self.configuration().is_some()
    }

    /// Something of the runners that take new work.
    pub fn fleet<T>(&self, read: impl FnOnce(&Fleet) -> T) -> Option<T> {
        let fleet = self.fleet.read().unwrap_or_else(PoisonError::into_inner);
        fleet.as_ref().map(read)
    }

    /// Age of what is known of the runners.
    #[must_use]
    pub fn runner_list_age(&self) -> Option<Duration> {
        lock(&self.listed).map(|listed| listed.elapsed())
    }

    /// The list of runners was complete at this moment.
    pub(crate) fn mark_runner_list_current(&self, moment: Instant) {
        *lock(&self.listed) = Some(moment);
    }

    /// The process that forms a cell's calls, as far as is known now.
    #[must_use]
    pub fn owner(&self, cell: &Cell) -> MemberId {
        self.peers.members(|members| members.owner(&cell.name()).id)
    }

    /// Takes in changes of the list of runners, the first of them even if there are none.
    pub fn update(&self, changes: Vec<Change>) {
        *lock(&self.listed) = Some(Instant::now());
        self.change_fleet(changes);
    }

    /// The runners of the failure domains that are drained by now, and of no others, get no new work.
    pub(crate) fn drain_runners(&self) {
        // Before the first list there are none.
        if self.fleet(|_| ()).is_some() {
            self.change_fleet(Vec::new());
        }
    }

    fn change_fleet(&self, changes: Vec<Change>) {
        let mut services = Vec::new();
        let mut ended = Vec::new();
        {
            let mut fleet = self.fleet.write().unwrap_or_else(PoisonError::into_inner);
            let fleet = fleet.get_or_insert_default();
            for runner in fleet.drain(self.drains().domains) {
                let id = runner.id.clone();
                self.update_one(fleet, Change::Listed(runner), &mut services);
                if let Some(back) = fleet.get(&id) {
                    self.note_returned(back);
                }
            }
            for change in changes {
                if let Change::Listed(runner) = &change {
                    self.note_cold(runner);
                }
                let end = fleet.exited_runner(&change).cloned();
                if let Some(runner) = &end {
                    self.record_outage(runner);
                }
                ended.extend(end);
                self.update_one(fleet, change, &mut services);
            }
        }
        for runner in ended {
            lock(&self.limits).forget(&runner.id);
            self.record_exit(&runner);
        }
        lock(&self.cells).retain(|service, _| !services.contains(service));
        let batchers: Vec<_> = lock(&self.batchers)
            .iter()
            .filter(|(cell, _)| services.contains(&cell.service))
            .map(|(_, batcher)| batcher.clone())
            .collect();
        for batcher in batchers {
            batcher.refresh(self);
        }
    }

    fn update_one(&self, fleet: &mut Fleet, change: Change, services: &mut Vec<ServiceId>) {
        let id = match &change {
            Change::Listed(runner) => runner.id.clone(),
            Change::Gone(id) => id.clone(),
        };
        let before = fleet.get(&id).cloned();
        if !fleet.apply(change) {
            return;
        }
        let after = fleet.get(&id).cloned();
        slog::info!(self.log, "runner";
            "runner" => &*id,
            "service" => before.as_ref().or(after.as_ref()).map(|runner| runner.service.to_string()),
            "address" => after.as_ref().map(|runner| runner.address.to_string()),
            "takes_work" => after.is_some());
        if let Some(before) = &before {
            self.pool(&before.service, |pool| drop(pool.remove(&id)));
            services.push(before.service.clone());
        }
        if let Some(after) = after {
            if before.is_none_or(|before| before.started != after.started) {
                lock(&self.outages).note_started(&after);
            }
            let target = Target::new(id, after.domain.clone(), after.slots);
            self.pool(&after.service, |pool| pool.insert(target));
            services.push(after.service.clone());
        }
    }

    /// The runner of that name, if it takes new work.
    #[must_use]
    pub fn runner(&self, id: &str) -> Option<Arc<Runner>> {
        self.fleet(|fleet| fleet.get(id).cloned()).flatten()
    }

    /// Whether a runner that was chosen a while ago still takes new work.
    #[must_use]
    pub(crate) fn is_open(&self, runner: &Runner) -> bool {
        let known = self.runner(&runner.id);
        known
            .is_some_and(|known| known.started == runner.started && known.address == runner.address)
    }

    /// Whether the runner takes work, or would but for a drain, just as this entry says.
    #[must_use]
    pub(crate) fn has_entry(&self, runner: &Runner) -> bool {
        self.fleet(|fleet| fleet.has_entry(runner)).unwrap_or(false)
    }

    /// Works on what is known of a service's runners.
    pub fn pool<T>(&self, service: &ServiceId, work: impl FnOnce(&mut Pool) -> T) -> T {
        work(lock(&self.pools).entry(service.clone()).or_default())
    }

    /// The calls that this process has at the services that are sent prompts.
    pub(crate) fn burdens(&self) -> Vec<(ServiceId, CallLoads)> {
        let now = self.now();
        let pools = lock(&self.pools);
        let prompted = pools
            .iter()
            .filter(|(_, pool)| pool.has_recent_prompts(now));
        prompted
            .map(|(service, pool)| (service.clone(), pool.call_loads()))
            .collect()
    }

    /// Counts first attempts at a service: one of a request, or those of its pieces.
    pub fn count_first_attempts(&self, service: &ServiceId, count: u32) {
        let now = self.now();
        self.quota(service, |quota| quota.record_first_attempts(now, count));
    }

    /// Whether a second attempt may be sent to a service now; if so, it is counted.
    pub fn try_retry(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let processes = self.processes();
        self.quota(service, |quota| quota.try_retry(now, processes))
    }

    /// The operator has changed the bound on second attempts.
    pub fn set_retry_bound(&self, bound: RetryBound) {
        *lock(&self.retry_bound) = bound;
        let now = self.now();
        for quota in lock(&self.quotas).values_mut() {
            quota.set_bound(now, bound);
        }
    }

    /// Processes that serve, this one included.
    #[must_use]
    pub fn processes(&self) -> usize {
        self.peers.count().unwrap_or(self.options.processes)
    }

    fn quota<T>(&self, service: &ServiceId, work: impl FnOnce(&mut RetryQuota) -> T) -> T {
        let bound = *lock(&self.retry_bound);
        let mut quotas = lock(&self.quotas);
        let quota = quotas
            .entry(service.clone())
            .or_insert_with(|| RetryQuota::new(bound));
        work(quota)
    }

    /// The calls that this process forms for a cell.
    pub fn batcher(&self, cell: &Cell) -> Arc<Batcher<D>> {
        if let Some(batcher) = lock(&self.batchers).get(cell) {
            return batcher.clone();
        }
        let batcher = Arc::new(Batcher::new(cell.clone()));
        batcher.refresh(self);
        lock(&self.batchers)
            .entry(cell.clone())
            .or_insert(batcher)
            .clone()
    }

    /// The cell that makes the pieces of one more request, best in a failure domain, for which they
    /// may wait `patience`.
    pub fn cell(&self, service: &ServiceId, domain: Option<&str>, patience: Duration) -> Cell {
        let cells = self.cells(service);
        let near = |share: &CellRunners| domain.is_some_and(|wanted| share.is_near(wanted));
        let cost = |share: &&CellRunners| {
            let away = domain.is_some() && !near(share);
            let wait = if away { patience } else { Duration::ZERO };
            self.peers.expected_wait(self, &share.cell, LAST_RANK) + wait
        };
        // Two drawn at random, not the best of all: many processes that go by the same news would
        // all go to the same cell. One near the wanted domain is among them, if there is one.
        let drawn = (0..2).map(|_| &cells[self.random(|rng| rng.random_range(0..cells.len()))]);
        let offset = self.random(|rng| rng.random_range(0..cells.len()));
        let turned = (0..cells.len()).map(|step| &cells[(offset + step) % cells.len()]);
        let wanted = turned.filter(|share| near(share)).take(1);
        let chosen = drawn.chain(wanted).min_by_key(cost);
        chosen.map_or_else(|| Cell::first(service), |share| share.cell.clone())
    }

    /// The cell that makes the pieces of requests under which runners have ended: the same for each attempt,
    /// so that one process sends them to one runner after the other.
    pub(crate) fn suspect_cell(&self, service: &ServiceId, content: ContentId) -> Cell {
        let cells = self.cells(service);
        let place = content as usize % cells.len().max(1);
        let share = cells.get(place);
        share.map_or_else(|| Cell::first(service), |share| share.cell.clone())
    }

    /// Starts calls to runners of a service that serve again.
    pub(crate) fn resume(self: &Arc<Self>, service: &ServiceId) {
        let batchers = lock(&self.batchers);
        let concerned = batchers.iter().filter(|(cell, _)| cell.service == *service);
        let concerned: Vec<_> = concerned.map(|(_, batcher)| batcher.clone()).collect();
        drop(batchers);
        for batcher in concerned {
            batcher.dispatch(self);
        }
    }

    /// The cells of a service, formed anew only when its runners change: at a thousand runners
    /// sorting them for each piece took longer than all else.
    pub fn cells(&self, service: &ServiceId) -> Arc<Vec<CellRunners>> {
        // Under one lock: a list that is read before a change and kept after it would hold a runner
        // that has left.
        let mut cells = lock(&self.cells);
        let form = || {
            let runners = self.fleet(|fleet| fleet.of(service).to_vec());
            Arc::new(Cell::all(service, &runners.unwrap_or_default()))
        };
        cells.entry(service.clone()).or_insert_with(form).clone()
    }

    /// How the service's runners take pieces by the configuration in force, if they do.
    #[must_use]
    pub fn batches(&self, service: &str) -> Option<BatchSettings> {
        self.configuration()?.batches(service)
    }

    /// How long a caller has waited before it sent this attempt, as far as its patience tells: one
    /// that comes back after a refusal has far less left than others of the route.
    ///
    /// The time within which an answer is on time counts from the first attempt. Taken from the
    /// second one, requests that are late already would go before those that can be on time. A small
    /// difference tells nothing: callers who were merely less patient from the start would be taken
    /// for late ones, go behind all others and be refused beside runners that could have served them.
    pub fn waited_before(&self, route: &str, patience: Duration) -> Duration {
        let mut longest = lock(&self.patience);
        let Some(known) = longest.get_mut(route) else {
            longest.insert(route.to_owned(), patience);
            return Duration::ZERO;
        };
        *known = patience.max(*known);
        if patience < known.mul_f64(FIRST_LEAST) {
            return *known - patience;
        }
        Duration::ZERO
    }

    /// Works with the source of random choices.
    pub fn random<T>(&self, work: impl FnOnce(&mut SmallRng) -> T) -> T {
        work(&mut lock(&self.rng))
    }
}
