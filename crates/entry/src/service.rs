//! Targets of one service and the scheduling decisions about them, guarded by one lock.

pub mod models;
pub mod policy;

use crate::service::policy::Policy;
use crate::target::{Change, Observer, Target};
use decide::admit::{Admission, AdmissionDecision, AdmissionRequest};
use decide::limit::{Limit, Sample};
use decide::retry::{Failure, Retry};
use decide::route::{self, Block, LoadReport, Router, TargetId};
use foldhash::fast::RandomState;
use rand::Rng;
use record::{Map, RecordSet};
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::Vm;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::Load;

/// Maximum number of unavailable or drained targets that [`Service::choose`] skips before it gives
/// up.
const MAX_DRAINED_SKIPS: usize = 8;

/// Wakes a queued call once it is granted a permit.
pub type Waker = oneshot::Sender<()>;

/// A call of a stage, as far as the decision algorithms need to know it.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Weight of the workspace relative to others.
    pub share: u32,
    /// Latest time, relative to the start of the process, at which the call can start and still
    /// finish by its deadline.
    pub latest_start: Duration,
    /// Hashes of the prompt's prefix blocks, longest prefix last.
    pub prefix: Vec<Block>,
    /// Model that the target must have loaded, if the stage names one.
    pub model: Option<String>,
}

/// Targets of one service.
#[derive(Debug)]
pub struct Service {
    name: String,
    domain: String,
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    targets: HashMap<TargetId, Arc<Target>, RandomState>,
    pool: route::Pool,
    policy: Policy,
    concurrency: u32,
    /// Busy time for each model since the last call of [`Service::take_busy`].
    busy: Map<String, Duration>,
    /// Models that calls lacked since the last call of [`Service::take_missing_models`].
    missing_models: BTreeSet<String>,
}

/// Permit for one call to be in flight; released when dropped.
#[derive(Debug)]
pub struct Permit {
    service: Arc<Service>,
    workspace: Arc<str>,
    times: Option<(Duration, Duration)>,
}

impl Permit {
    /// Records how long the runner was busy with the call and the total duration of the call.
    pub fn record_times(&mut self, busy: Duration, elapsed: Duration) {
        self.times = Some((busy, elapsed));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.service.release(&self.workspace, self.times);
    }
}

/// Numbers of queued and running calls of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queue {
    /// Calls that wait for a permit.
    pub waiting: usize,
    /// Calls that hold a permit.
    pub in_flight: u32,
    /// Maximum number of calls that may hold a permit at once.
    pub limit: u32,
}

/// A queued call. If it is dropped just as its permit is granted, it releases the permit, which
/// would otherwise count as in flight forever.
struct QueuedCall<'a> {
    service: &'a Service,
    permit: oneshot::Receiver<()>,
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        self.permit.close();
        if self.permit.try_recv().is_ok() {
            self.service.release("", None);
        }
    }
}

/// State of a target in the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The target is listed, and this entry keeps a link to it.
    Selected,
    /// The target is listed, but other entries serve it.
    NotSelected,
    /// The target is not listed.
    Unlisted,
}

/// The service is overloaded and the request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Time after which a retry may succeed; randomized for each caller.
    pub retry_after: Duration,
}

impl Service {
    /// Creates a service without targets.
    pub fn new(name: &str, domain: &str, started: Instant, policy: setting::Policy) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            started,
            state: Mutex::new(State {
                targets: HashMap::default(),
                pool: policy::pool(policy),
                policy: Policy::new(policy),
                concurrency: 1,
                busy: Map::default(),
                missing_models: BTreeSet::new(),
            }),
        })
    }

    /// Applies the configuration records of the service.
    pub fn configure(&self, set: &RecordSet) {
        let attainment = set
            .pipelines()
            .filter(|pipeline| {
                pipeline
                    .stages
                    .iter()
                    .any(|stage| stage.service == self.name)
            })
            .map(|pipeline| pipeline.attainment)
            .fold(0.0, f64::max);
        let mut state = self.lock();
        if let Some(service) = set.service(&self.name) {
            state.concurrency = service.concurrency;
            state.pool.assume_limit(service.concurrency);
        }
        let now = self.now();
        state.resize_limit(now);
        state.policy.set_attainment_weight(attainment);
    }

    /// Adds or updates a target from the platform's VM list; `start` opens the link to a new
    /// target.
    ///
    /// The list may be stale: within one incarnation of the VM, a target that is marked as leaving
    /// stays so.
    pub fn update_target(&self, vm: &Vm, start: impl FnOnce(Vm) -> Arc<Target>) {
        let mut state = self.lock();
        let id = TargetId::from(vm.id.as_str());
        match state.targets.get(&id) {
            Some(known) if known.vm.incarnation > vm.incarnation => {}
            Some(known) if known.vm.incarnation == vm.incarnation => {
                known.update_address(vm.address);
                if vm.leaving {
                    known.mark_leaving();
                    state.pool.leave(&id);
                }
            }
            known => {
                if let Some(known) = known {
                    known.stop();
                }
                state.pool.remove(&id);
                state.targets.insert(id, start(vm.clone()));
            }
        }
    }

    /// Removes targets that are neither listed nor linked, and targets that other entries serve.
    pub fn retain(&self, listing: impl Fn(&str) -> Listing) {
        let mut state = self.lock();
        let State { targets, pool, .. } = &mut *state;
        targets.retain(|id, target| {
            let keep = match listing(id) {
                Listing::Selected => true,
                // Calls in progress on the target are completed first.
                Listing::NotSelected => pool.get(id).is_some_and(|known| known.in_flight() > 0),
                Listing::Unlisted => target.is_linked(),
            };
            if !keep {
                target.stop();
            }
            keep
        });
    }

    /// Returns all targets.
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.lock().targets.values().cloned().collect()
    }

    /// Returns the number of calls that this entry has in flight at a target.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.lock().pool.get(id).map_or(0, route::Target::in_flight)
    }

    /// Returns the current queue length and permit usage.
    pub fn queue(&self) -> Queue {
        let state = self.lock();
        let admission = &state.policy.admission;
        Queue {
            waiting: admission.queued(),
            in_flight: admission.in_flight(),
            limit: state.limit(),
        }
    }

    /// Whether any target accepts new work.
    pub fn is_served(&self, set: &RecordSet) -> bool {
        let state = self.lock();
        let mut targets = state.targets.values();
        targets.any(|target| target.is_open() && !set.is_drained(&target.vm.id))
    }

    /// Checks whether the backlog is too large to accept another request.
    pub fn overload(&self, demand: &Demand) -> Option<Overload> {
        let now = self.now();
        let mut state = self.lock();
        let limit = state.limit();
        let request = AdmissionRequest {
            workspace: &demand.workspace,
            share: demand.share,
            latest_start: demand.latest_start,
        };
        let admission = &mut state.policy.admission;
        let retry_after = admission.overload(&request, limit, now, &mut rand::rng());
        retry_after.map(|retry_after| Overload { retry_after })
    }

    /// Waits until the first call of a new request gets a permit.
    ///
    /// # Errors
    ///
    /// Returns [`Overload`] if the request is refused instead.
    pub async fn admit(self: &Arc<Self>, demand: &Demand) -> Result<Permit, Overload> {
        let (waker, permit) = oneshot::channel();
        let decision = {
            let now = self.now();
            let mut state = self.lock();
            let limit = state.limit();
            let call = call(demand, waker);
            let admission = &mut state.policy.admission;
            admission.offer(call, limit, now, &mut rand::rng())
        };
        match decision {
            AdmissionDecision::Start(waker) => self.wake(waker),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused { retry_after, .. } => return Err(Overload { retry_after }),
        }
        Ok(self.wait(permit, demand).await)
    }

    /// Waits until a call of an already accepted request gets a permit.
    pub async fn acquire(self: &Arc<Self>, demand: &Demand) -> Permit {
        let (waker, permit) = oneshot::channel();
        let started = {
            let now = self.now();
            let mut state = self.lock();
            let limit = state.limit();
            state.policy.admission.push(call(demand, waker), limit, now)
        };
        if let Some(waker) = started {
            self.wake(waker);
        }
        self.wait(permit, demand).await
    }

    /// Wakes a call that has been granted a permit, which need not be the call that was just
    /// queued.
    fn wake(&self, waker: Waker) {
        if waker.send(()).is_err() {
            self.release("", None);
        }
    }

    async fn wait(self: &Arc<Self>, permit: oneshot::Receiver<()>, demand: &Demand) -> Permit {
        let mut queued = QueuedCall {
            service: self,
            permit,
        };
        // The sender cannot be dropped: the queue lives as long as the service, which this call
        // holds.
        let _ = (&mut queued.permit).await;
        self.permit(demand)
    }

    fn permit(self: &Arc<Self>, demand: &Demand) -> Permit {
        Permit {
            service: self.clone(),
            workspace: demand.workspace.clone(),
            times: None,
        }
    }

    /// Releases a permit and starts the next queued calls.
    fn release(&self, workspace: &str, times: Option<(Duration, Duration)>) {
        let now = self.now();
        let mut state = self.lock();
        let (busy, elapsed) = times.unzip();
        let admission = &mut state.policy.admission;
        admission.finished(workspace, busy.unwrap_or_default(), elapsed);
        state.start_queued(now);
    }

    /// Chooses a target for a call and counts the call as sent to it.
    pub fn choose(
        &self,
        demand: &Demand,
        tried: &[TargetId],
        set: &RecordSet,
        rng: &mut impl Rng,
    ) -> Option<Arc<Target>> {
        let now = self.now();
        let mut state = self.lock();
        state.pool.readmit(now);
        let mut tried = tried.to_vec();
        if let Some(model) = &demand.model {
            tried.extend(state.targets_lacking(model));
        }
        for _ in 0..MAX_DRAINED_SKIPS {
            let call = route::Call {
                now,
                domain: &self.domain,
                prefix: &demand.prefix,
                tried: &tried,
                slack: demand.latest_start.saturating_sub(now),
            };
            let State { pool, policy, .. } = &mut *state;
            let id = policy.router.pick(pool, &call, rng)?;
            match state.targets.get(&id).cloned() {
                Some(target) if target.is_open() && !set.is_drained(&id) => {
                    state.pool.sent(&id, now);
                    return Some(target);
                }
                _ => tried.push(id),
            }
        }
        None
    }

    /// Records that a call returned a complete answer.
    pub fn record_answer(
        &self,
        id: &str,
        demand: &Demand,
        busy: Duration,
        elapsed: Duration,
        load: Load,
    ) {
        let now = self.now();
        let mut state = self.lock();
        let answer = route::ResponseStats {
            busy,
            elapsed,
            prefix: &demand.prefix,
            hits: load.prefix_hits,
        };
        let in_flight = state.policy.admission.in_flight();
        state.pool.answered(id, now, &answer);
        state.pool.reported(id, now, load_report(load));
        state.policy.limit.answered(Sample {
            elapsed,
            queued: load.queued,
            slots: load.limit,
            in_flight,
        });
        state.policy.retry.succeeded(now, elapsed);
        if let Some(model) = &demand.model {
            state.add_busy_time(model, busy);
        }
    }

    /// Records that a call was refused, revoked or cancelled.
    pub fn record_withdrawn(&self, id: &str, load: Option<Load>, full: bool) {
        let now = self.now();
        let mut state = self.lock();
        state.pool.returned(id);
        if let Some(load) = load {
            state.pool.reported(id, now, load_report(load));
        }
        if full {
            state.policy.limit.refused();
        }
    }

    /// Records that a call failed or that its answer was lost.
    pub fn record_failure(&self, id: &str) {
        let now = self.now();
        self.lock().pool.failed(id, now);
    }

    /// Decides whether a stage may be retried, and returns the backoff before the retry.
    pub fn retry(&self, failure: Failure, attempt: u16, rng: &mut impl Rng) -> Option<Duration> {
        let now = self.now();
        let mut state = self.lock();
        let retry = &mut state.policy.retry;
        retry
            .retry(now, failure, attempt)
            .then(|| retry.backoff(attempt, rng))
    }

    /// Returns how long after a call a hedged copy of it may be sent.
    pub fn hedge_after(&self) -> Option<Duration> {
        self.lock().policy.retry.hedge_after()
    }

    /// Whether a hedged copy may be sent now.
    pub fn try_hedge(&self) -> bool {
        let now = self.now();
        self.lock().policy.retry.hedge(now)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn limit(&self) -> u32 {
        self.policy.limit.limit()
    }

    /// Adjusts the concurrency limit to the targets that accept new work.
    fn resize_limit(&mut self, now: Duration) {
        let live = u32::try_from(self.pool.live().len()).unwrap_or(u32::MAX);
        let capacity = self.pool.capacity();
        // One extra call for each target keeps its runner busy while an answer is in transit.
        self.policy
            .limit
            .resize(live.max(1), capacity.saturating_add(live).max(1));
        self.start_queued(now);
    }

    fn start_queued(&mut self, now: Duration) {
        while let Some(waker) = self.policy.admission.next(self.policy.limit.limit(), now) {
            // The call no longer waits, so its permit goes to the next one.
            if waker.send(()).is_err() {
                self.policy.admission.finished("", Duration::ZERO, None);
            }
        }
    }
}

impl Observer for Service {
    fn target_changed(&self, target: &Arc<Target>, change: Change) {
        let now = self.now();
        let mut state = self.lock();
        let id = target.vm.id.as_str();
        match change {
            Change::Up if !target.is_leaving() => {
                let domain = target.vm.domain.as_str();
                let known = route::Target::new(id, domain, state.concurrency);
                state.pool.insert(known);
            }
            Change::Up => {}
            Change::Down => {
                state.pool.remove(id);
            }
            Change::Leaving => state.pool.leave(id),
        }
        state.resize_limit(now);
    }
}

fn call(demand: &Demand, item: Waker) -> decide::admit::Call<Waker> {
    decide::admit::Call {
        workspace: demand.workspace.clone(),
        share: demand.share,
        latest_start: demand.latest_start,
        item,
    }
}

fn load_report(load: Load) -> LoadReport {
    LoadReport {
        queued: load.queued,
        running: load.running,
        limit: load.limit,
    }
}
