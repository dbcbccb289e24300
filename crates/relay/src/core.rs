//! State that the modules of the relay share.

mod cells;

use crate::batch::{Batcher, Cell, CellList};
use crate::configuration::{Configuration, RegionId, ServiceId};
use crate::downstream::Downstream;
use crate::drain::Drains;
use crate::flow::Gates;
use crate::limit::Limits;
use crate::member::{Member, MemberId};
use crate::memory::MemoryBudget;
use crate::outage::Outages;
use crate::pause::{Clock, PauseDetector};
use crate::peer::{CallLoads, Peers};
use crate::prefill::Prefills;
use crate::quarantine;
use crate::rest::Rests;
use crate::runner::{Change, DomainId, Fleet, Runner};
use crate::serve::RETRY_TIME_DIVISOR;
use crate::telemetry::{Telemetry, millis};
use crate::warmup::Warmups;
use decide::Map;
use decide::retry::window::{RetryBound, RetryQuota, SlackShare};
use decide::route::{Pool, Target};
use decide::timeout::UsualTimeout;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{Logger, info};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Fraction of a route's usual timeout below which a request counts as a retry. A client that is refused
/// for lack of capacity is told to wait for one [`RETRY_TIME_DIVISOR`]th of its time. The threshold lies
/// midway between the remainder and the whole, since clients of one route differ in their initial timeouts.
const MIN_FIRST_ATTEMPT_FRACTION: f64 = 1.0 - 0.5 / RETRY_TIME_DIVISOR as f64;

/// Request bodies may occupy one `BODY_MEMORY_DIVISOR`th of the process's memory, and response bodies as
/// much again.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Number of processes that is assumed until membership is known.
const ASSUMED_PROCESSES: usize = 8;

/// Options that a relay is started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Failure domain that the relay runs in.
    pub domain: DomainId,
    /// Initial limit on the retries of all relays together.
    pub retry_bound: RetryBound,
    /// Number of processes at the first start of the whole system, used until membership is known.
    pub processes: Option<usize>,
    /// Membership entry of this process.
    pub member: Member,
    /// Key that all relay processes share.
    pub key: wire::Key,
    /// Policy for each kind of decision.
    pub policy: setting::relay::Policies,
    /// Region of each failure domain.
    pub regions: Map<DomainId, RegionId>,
    /// Request limits of runners that have just started.
    pub warmup: setting::relay::Warmup,
    /// Clock that also advances while the VM is suspended.
    pub clock: Clock,
    /// Memory limit of the process in bytes.
    pub memory: usize,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
    /// Time within which new work must stop reaching a runner that has announced its shutdown.
    pub drain: Duration,
}

/// A relay process, which accepts requests and forwards them to runners.
#[derive(Debug)]
pub struct Relay<D> {
    /// Options that the relay was started with.
    pub options: Options,
    /// Client for calls to runners.
    pub downstream: D,
    /// Logger for decisions.
    pub log: Logger,
    /// Metrics of the relay.
    pub telemetry: Telemetry,
    /// Links to the other relay processes.
    pub peers: Peers,
    /// Memory budget for request bodies.
    pub requests: MemoryBudget,
    /// Memory budget for response bodies.
    pub answers: MemoryBudget,
    /// Detects periods in which the process did not run.
    pub(crate) pause: PauseDetector,
    /// Cancelled shortly before the process exits; requests that no runner has by then are refused.
    pub ending: CancellationToken,
    started: Instant,
    configuration: RwLock<Option<Arc<Configuration>>>,
    fleet: RwLock<Option<Fleet>>,
    pub(crate) drains: Mutex<Drains>,
    pub(crate) warmups: Mutex<Warmups>,
    pub(crate) quarantine: quarantine::State,
    pub(crate) outages: Mutex<Outages>,
    pub(crate) limits: Mutex<Limits>,
    pub(crate) rests: Mutex<Rests>,
    pub(crate) prefills: Mutex<Prefills>,
    pools: Mutex<Map<ServiceId, Pool>>,
    retry_bound: Mutex<RetryBound>,
    quotas: Mutex<Map<ServiceId, RetryQuota>>,
    batchers: Mutex<Map<Cell, Arc<Batcher<D>>>>,
    pub(crate) gates: Gates,
    /// Usual client timeout of each route.
    usual_timeouts: Mutex<Map<String, UsualTimeout>>,
    cells: Mutex<Map<ServiceId, Arc<CellList>>>,
    /// When the list of runners was last known to be up to date.
    list_current_at: Mutex<Option<Instant>>,
    rng: Mutex<SmallRng>,
}

/// Locks a mutex even if it is poisoned: a panic cannot have left the maps behind these locks in a state that
/// would justify ceasing to serve.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<D: Downstream> Relay<D> {
    /// Creates a relay without a configuration or a list of runners.
    #[must_use]
    pub fn new(options: Options, downstream: D, log: Logger, telemetry: Telemetry) -> Arc<Self> {
        let peers = Peers::new(options.member.clone(), options.key.clone());
        if options.first_start {
            peers.members(|members| members.slack_share = SlackShare::first_start());
        }
        Arc::new(Self {
            peers,
            pause: PauseDetector::new(options.clock),
            ending: CancellationToken::new(),
            requests: MemoryBudget::new(options.memory / BODY_MEMORY_DIVISOR),
            answers: MemoryBudget::new(options.memory / BODY_MEMORY_DIVISOR),
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
            rests: Mutex::default(),
            prefills: Mutex::default(),
            pools: Mutex::default(),
            quotas: Mutex::default(),
            batchers: Mutex::default(),
            gates: Gates::default(),
            usual_timeouts: Mutex::default(),
            cells: Mutex::default(),
            list_current_at: Mutex::default(),
            rng: Mutex::new(SmallRng::from_os_rng()),
        })
    }

    /// Time since the relay started, on the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Moment at which the relay started.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Time from the start of the relay to `moment`.
    #[must_use]
    pub fn at(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.started)
    }

    /// The configuration in force, if one has been received.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let configuration = self
            .configuration
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        configuration.clone()
    }

    /// Puts a configuration into force if it is newer than the current one, and returns whether it is.
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

    /// Whether the configuration and the list of runners are known, so that requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let fleet = self.fleet.read().unwrap_or_else(PoisonError::into_inner);
        fleet.is_some() && self.configuration().is_some()
    }

    /// Reads the runners that accept new work; `None` before the first list has arrived.
    pub fn fleet<T>(&self, read: impl FnOnce(&Fleet) -> T) -> Option<T> {
        let fleet = self.fleet.read().unwrap_or_else(PoisonError::into_inner);
        fleet.as_ref().map(read)
    }

    /// Age of the list of runners.
    #[must_use]
    pub fn runner_list_age(&self) -> Option<Duration> {
        lock(&self.list_current_at).map(|moment| moment.elapsed())
    }

    /// Records that the list of runners was up to date at `moment`.
    pub(crate) fn mark_runner_list_current(&self, moment: Instant) {
        *lock(&self.list_current_at) = Some(moment);
    }

    /// The process that currently owns a cell, and so forms its calls.
    #[must_use]
    pub fn owner(&self, cell: &Cell) -> MemberId {
        self.peers.members(|members| members.owner(&cell.name()).id)
    }

    /// Applies changes to the list of runners. The first call makes the list known even if it has no changes.
    pub fn update(&self, changes: Vec<Change>) {
        *lock(&self.list_current_at) = Some(Instant::now());
        self.change_fleet(changes);
    }

    /// Stops new work for the runners of the drained failure domains, and resumes it for all others.
    pub(crate) fn drain_runners(&self) {
        // No runners are known before the first list arrives.
        if self.fleet(|_| ()).is_some() {
            self.change_fleet(Vec::new());
        }
    }

    /// Stops new work for a runner that is shutting down, whatever its entry says; returns whether that is
    /// new.
    pub(crate) fn mark_leaving(&self, runner: &Runner) -> bool {
        let is_new = {
            let mut fleet = self.fleet.write().unwrap_or_else(PoisonError::into_inner);
            fleet.get_or_insert_default().mark_leaving(runner)
        };
        if is_new {
            let leaving = Runner {
                leaving: true,
                ..runner.clone()
            };
            self.change_fleet(vec![Change::Listed(leaving)]);
        }
        is_new
    }

    fn change_fleet(&self, changes: Vec<Change>) {
        let mut services = Vec::new();
        let mut exited = Vec::new();
        {
            let mut fleet = self.fleet.write().unwrap_or_else(PoisonError::into_inner);
            let fleet = fleet.get_or_insert_default();
            for runner in fleet.drain(self.drains().domains) {
                let id = runner.id.clone();
                self.update_one(fleet, Change::Listed(runner), &mut services);
                if let Some(returned) = fleet.get(&id) {
                    self.mark_cold_after_drain(returned);
                }
            }
            for change in changes {
                if let Change::Listed(runner) = &change {
                    self.mark_cold_as_listed(runner);
                }
                let exit = fleet.exited_runner(&change).cloned();
                if let Some(runner) = &exit {
                    self.record_outage(runner);
                }
                exited.extend(exit);
                self.update_one(fleet, change, &mut services);
            }
        }
        for runner in exited {
            self.peers.mark_unlisted(&runner.address);
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
        self.peers.runners_changed.notify_one();
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
        slog::info!(self.log, "runner updated";
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
                lock(&self.outages).record_start(&after);
            }
            let target = Target::new(id, after.domain.clone(), after.slots);
            self.pool(&after.service, |pool| pool.insert(target));
            services.push(after.service.clone());
        }
    }

    /// The runner of this name, if it accepts new work.
    #[must_use]
    pub fn runner(&self, id: &str) -> Option<Arc<Runner>> {
        self.fleet(|fleet| fleet.get(id).cloned()).flatten()
    }

    /// Whether a runner that was chosen earlier still accepts new work under the same start time and address,
    /// and does not rest.
    #[must_use]
    pub(crate) fn is_open(&self, runner: &Runner) -> bool {
        let known = self.runner(&runner.id);
        let is_listed = known.is_some_and(|known| {
            known.started == runner.started && known.address == runner.address
        });
        is_listed && self.rest_end(runner).is_none()
    }

    /// Whether this entry of a runner is current; runners of drained failure domains count too.
    #[must_use]
    pub(crate) fn has_entry(&self, runner: &Runner) -> bool {
        self.fleet(|fleet| fleet.has_entry(runner)).unwrap_or(false)
    }

    /// Runs `work` on the routing state of a service's runners.
    pub fn pool<T>(&self, service: &ServiceId, work: impl FnOnce(&mut Pool) -> T) -> T {
        work(lock(&self.pools).entry(service.clone()).or_default())
    }

    /// The load that this process puts on the runners of services that have recently received prompts.
    pub(crate) fn call_loads(&self) -> Vec<(ServiceId, CallLoads)> {
        let now = self.now();
        let pools = lock(&self.pools);
        let prompted = pools
            .iter()
            .filter(|(_, pool)| pool.has_recent_prompts(now));
        prompted
            .map(|(service, pool)| (service.clone(), pool.call_loads()))
            .collect()
    }

    /// Counts first attempts at a service of a request that arrived at this time: that of the request, or
    /// those of its pieces.
    pub fn count_first_attempts(&self, service: &ServiceId, arrived: Instant, count: u32) {
        // It is unknown how long ago a request arrived that has been through a pause.
        if self.pause.last_pause_end() > arrived {
            return;
        }
        let arrived = self.at(arrived) + self.pause.suspended();
        self.quota(service, |quota| quota.record_first_attempts(arrived, count));
    }

    /// Takes a retry of a request from a service's retry budget; returns whether there was one left.
    pub fn try_retry(&self, service: &ServiceId, request: &str) -> bool {
        let now = self.quota_time();
        let processes = self.slack_processes(now);
        let (granted, usage) = self.quota(service, |quota| {
            let granted = quota.try_retry(now, processes);
            (granted, quota.usage(now, processes))
        });
        self.telemetry.retry(granted);
        info!(self.log, "retry"; "request" => request, "service" => &**service, "granted" => granted,
            "retries" => usage.retries, "first_attempts" => usage.first_attempts,
            "allowed" => usage.allowed, "processes" => processes,
            "up_ms" => millis(now));
        granted
    }

    /// Changes the limit on retries, as the operator has set it.
    pub fn set_retry_bound(&self, bound: RetryBound) {
        *lock(&self.retry_bound) = bound;
        let now = self.quota_time();
        for quota in lock(&self.quotas).values_mut() {
            quota.set_bound(now, bound);
        }
    }

    /// Time since the relay started, including suspensions: retries are bounded in real time.
    pub(crate) fn quota_time(&self) -> Duration {
        self.check_for_pause();
        self.now() + self.pause.suspended()
    }

    /// Number of processes that share the slack of the retry bound; `None` while this one has no share.
    fn slack_processes(&self, now: Duration) -> Option<usize> {
        let reach = lock(&self.retry_bound).reach();
        // Nothing ran before the first start of the whole system.
        let configured = self.options.processes.filter(|_| self.options.first_start);
        self.peers.members(|members| match members.is_registered() {
            true => members.slack_processes(self.now(), now, reach),
            false => configured,
        })
    }

    /// Number of serving relay processes, including this one.
    #[must_use]
    pub fn processes(&self) -> usize {
        let count = self.peers.count().or(self.options.processes);
        count.unwrap_or(ASSUMED_PROCESSES)
    }

    fn quota<T>(&self, service: &ServiceId, work: impl FnOnce(&mut RetryQuota) -> T) -> T {
        let bound = *lock(&self.retry_bound);
        let mut quotas = lock(&self.quotas);
        let quota = quotas
            .entry(service.clone())
            .or_insert_with(|| RetryQuota::new(bound));
        work(quota)
    }

    /// Estimates how long a client has waited before it sent this attempt. A client that retries after a
    /// refusal has a far shorter timeout than others of the route.
    ///
    /// The latency target counts from the first attempt. Counted from the second one, requests that are
    /// late already would be scheduled before those that can still be on time. Small differences are ignored:
    /// clients that merely started with a shorter timeout would count as late, be scheduled after all others
    /// and be refused although runners could have served them.
    pub fn waited_before(&self, route: &str, timeout: Duration) -> Duration {
        let now = self.now();
        let mut timeouts = lock(&self.usual_timeouts);
        let usual = match timeouts.get_mut(route) {
            Some(usual) => usual.record(now, timeout),
            None => {
                let usual = timeouts.entry(route.to_owned()).or_default();
                usual.record(now, timeout)
            }
        };
        drop(timeouts);
        if timeout < usual.mul_f64(MIN_FIRST_ATTEMPT_FRACTION) {
            return usual - timeout;
        }
        Duration::ZERO
    }

    /// Runs `work` with the relay's random number generator.
    pub fn random<T>(&self, work: impl FnOnce(&mut SmallRng) -> T) -> T {
        work(&mut lock(&self.rng))
    }
}
