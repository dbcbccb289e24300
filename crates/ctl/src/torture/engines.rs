//! The soak of entries whose engines are replaced, crash and return. No accepted call may be left
//! without a response.
//!
//! Agents stop and return, at the same address or another one, listed or not. Engines are replaced and
//! crash. Entries stop and freeze, including the lease holder. Each caller sends its call once.

use crate::Error;
use crate::error::Outcome;
use crate::fleet::Signal;
use crate::rig::bench::Bench;
use crate::rig::caller::{ClientRequest, ResponseOutcome};
use crate::rig::record::{ASSISTANT, model_pipeline, model_service};
use crate::rig::runner::Plan;
use foldhash::fast::RandomState;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use setting::Placement;
use standin::answer::input_hash;
use standin::log::ExecutionStatus;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{Instant, sleep, timeout};

/// Names of the entries.
const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];
/// Pipelines, each served by the model of the same name. The first model is to be loaded at all times.
pub const MODELS: [&str; 2] = ["steady", "seldom"];
/// Engines at a time: one for each model, and one that may be unavailable.
const ENGINES: usize = 3;
/// Time of an engine for a token, in milliseconds.
const STEP_MS: f64 = 3.0;
/// Time that an engine takes to load a model, in milliseconds.
const LOAD_MS: f64 = 300.0;
/// Bounds of the pause between two calls, in milliseconds.
const CALL_INTERVAL_MS: std::ops::Range<u64> = 5..60;
/// Bounds of the pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// Bounds of the time for which a process is stopped or frozen, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 50..2_500;
/// Longest time until a running entry responds to a call. It covers the wait for a target that does not
/// report its models, a change of the lease holder, a model load, and freezes of the entry itself.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time until waiting calls get a response after all engines have stopped for good.
const ENGINES_GONE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the last fault within which each model must be served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
/// Calls in progress when all engines stop.
const FINAL_CALLS: usize = 24;
/// Time between these calls and the stop of the engines.
const FINAL_CALLS_LEAD: Duration = Duration::from_millis(20);

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// An agent stops and returns at another address in the same incarnation of its VM.
    MoveAgent,
    /// An agent stops and returns in the next incarnation of its VM.
    RestartAgent,
    /// An engine and its agent stop, and another engine replaces them.
    ReplaceEngine,
    /// An agent is asked to shut down, and another engine replaces its engine.
    LeaveEngine,
    /// An engine crashes while its agent keeps running.
    CrashRunner,
    /// An agent is frozen for a while.
    FreezeAgent,
    /// An entry is killed and restarted.
    KillEntry,
    /// An entry is frozen for a while.
    FreezeEntry,
}

const FAULTS: [Fault; 8] = [
    Fault::MoveAgent,
    Fault::RestartAgent,
    Fault::ReplaceEngine,
    Fault::LeaveEngine,
    Fault::CrashRunner,
    Fault::FreezeAgent,
    Fault::KillEntry,
    Fault::FreezeEntry,
];

/// Counts of one soak.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Calls.
    pub sent: u64,
    /// Calls that got a complete response.
    pub answered: u64,
    /// Calls whose response says that they did not run.
    pub not_run: u64,
    /// Calls whose response says that they may have run or that they failed.
    pub unsure: u64,
    /// Connections that broke or could not be established.
    pub closed: u64,
    /// Longest time until a response, in milliseconds.
    pub slowest_ms: u64,
    /// Longest time until a response after all engines had stopped, in milliseconds.
    pub slowest_gone_ms: u64,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
}

/// Counts and the violations found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The counts.
    pub counts: Counts,
    /// A description of each violation.
    pub violations: Vec<String>,
}

impl Verdict {
    /// Whether there are no violations.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

/// One call and its outcome as the caller saw it.
#[derive(Debug)]
struct Call {
    request: ClientRequest,
    outcome: ResponseOutcome,
    elapsed: Duration,
}

/// Addresses of the entries. An entry may be down while callers send to it.
type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

fn lock(addresses: &Addresses) -> MutexGuard<'_, Vec<SocketAddr>> {
    addresses.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Soaks a deployment for a time under the load and the faults of a seed.
///
/// # Errors
///
/// [`Error::Failed`] if a process or a stand-in cannot be started.
pub async fn soak(
    seed: u64,
    time: Duration,
    logs: PathBuf,
    programs: PathBuf,
) -> Result<Verdict, Error> {
    let mut bench = Bench::new(logs, programs).await?;
    let mut cluster = Cluster::start(&mut bench, seed).await?;
    let calls_task = tokio::spawn(send_calls(cluster.addresses.clone(), seed ^ 1, time));
    cluster.inject_faults(time).await?;
    let mut calls = calls_task.await.map_err(|error| task_error(&error))?;
    let mut verdict = Verdict::default();
    cluster.check_recovery(&mut verdict).await;
    let last = cluster.kill_engines(&mut verdict).await?;
    calls.extend(last);
    verdict.counts.faults = std::mem::take(&mut cluster.counts);
    check_calls(&bench, &calls, &mut verdict).await;
    bench.fleet.stop()?;
    Ok(verdict)
}

fn task_error(error: &JoinError) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}

/// The deployment, and the random generator of its faults.
struct Cluster<'a> {
    bench: &'a mut Bench,
    rng: StdRng,
    addresses: Addresses,
    /// Engines in use.
    engines: Vec<String>,
    started: usize,
    counts: BTreeMap<String, u64>,
}

impl<'a> Cluster<'a> {
    async fn start(bench: &'a mut Bench, seed: u64) -> Result<Self, Error> {
        bench.placement = Placement {
            loads: 2,
            every_ms: 500,
            lease_ms: 2_000,
        };
        let mut addresses = Vec::new();
        for id in ENTRIES {
            addresses.push(bench.entry(id).await?);
        }
        let mut cluster = Self {
            bench,
            rng: StdRng::seed_from_u64(seed),
            addresses: Arc::new(Mutex::new(addresses)),
            engines: Vec::new(),
            started: 0,
            counts: BTreeMap::new(),
        };
        for _ in 0..ENGINES {
            cluster.add_engine().await?;
        }
        cluster.bench.wait_for_configuration().await?;
        let pipelines = MODELS.iter().map(|model| model_pipeline(model));
        let records: Vec<_> = std::iter::once(model_service(&MODELS))
            .chain(pipelines)
            .collect();
        let first = lock(&cluster.addresses)[0];
        let revision = cluster.bench.apply(first, &records).await?;
        cluster.bench.wait_for_revision(revision).await?;
        Ok(cluster)
    }

    async fn add_engine(&mut self) -> Result<(), Error> {
        self.started += 1;
        let id = format!("engine-{}", self.started);
        let mut plan = Plan::new(ASSISTANT, 4).time(STEP_MS);
        plan.options.load_ms = LOAD_MS;
        self.bench.runner(&id, plan).await?;
        self.engines.push(id);
        Ok(())
    }

    /// Injects random faults for a time, one shortly after the other.
    async fn inject_faults(&mut self, time: Duration) -> Result<(), Error> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let fault = *FAULTS.choose(&mut self.rng).unwrap_or(&Fault::MoveAgent);
            *self.counts.entry(format!("{fault:?}")).or_default() += 1;
            self.inject(fault).await?;
            let pause = self.rng.random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
        Ok(())
    }

    async fn wait_downtime(&mut self) {
        let downtime = self.rng.random_range(DOWNTIME_MS);
        sleep(Duration::from_millis(downtime)).await;
    }

    async fn inject(&mut self, fault: Fault) -> Result<(), Error> {
        let engine = self.rng.random_range(0..self.engines.len());
        let id = self.engines[engine].clone();
        let number = self.rng.random_range(0..ENTRIES.len());
        let entry = ENTRIES[number];
        match fault {
            Fault::MoveAgent => {
                self.bench.kill(&id).await?;
                self.wait_downtime().await;
                self.bench.move_agent(&id).await?;
            }
            Fault::RestartAgent => {
                self.bench.kill(&id).await?;
                self.wait_downtime().await;
                self.bench.restart_agent(&id).await?;
            }
            Fault::ReplaceEngine => {
                self.bench.kill(&id).await?;
                self.bench.crash_runner(&id).await?;
                self.bench.unlist(&id).await?;
                self.engines.remove(engine);
                self.wait_downtime().await;
                self.add_engine().await?;
            }
            Fault::LeaveEngine => {
                self.bench.fleet.signal(&id, Signal::Terminate)?;
                self.bench.unlist(&id).await?;
                self.engines.remove(engine);
                self.add_engine().await?;
            }
            Fault::CrashRunner => {
                self.bench.crash_runner(&id).await?;
                self.wait_downtime().await;
                self.bench.restart_runner(&id).await?;
            }
            Fault::FreezeAgent => self.freeze(&id).await?,
            Fault::FreezeEntry => self.freeze(entry).await?,
            Fault::KillEntry => {
                self.bench.kill(entry).await?;
                self.wait_downtime().await;
                let address = self.bench.entry(entry).await?;
                lock(&self.addresses)[number] = address;
            }
        }
        Ok(())
    }

    async fn freeze(&mut self, id: &str) -> Result<(), Error> {
        self.bench.fleet.signal(id, Signal::Stop)?;
        self.wait_downtime().await;
        self.bench.fleet.signal(id, Signal::Continue)
    }

    /// Checks that each entry serves each model again in time.
    async fn check_recovery(&mut self, verdict: &mut Verdict) {
        let end = Instant::now() + RECOVERY_TIMEOUT;
        let addresses = lock(&self.addresses).clone();
        for (entry, model) in addresses
            .iter()
            .flat_map(|one| MODELS.map(|model| (one, model)))
        {
            let left = end.saturating_duration_since(Instant::now());
            let request = ClientRequest::new(model, format!("after {model} {entry}"));
            let record = request.send_until_final(&[*entry], left).await;
            if !record.last().is_some_and(ResponseOutcome::is_whole) {
                let text = format!("{model} is not served at {entry} after the faults: {record:?}");
                verdict.violations.push(text);
            }
        }
    }

    /// Kills all engines for good while calls wait. Each call must still get a response.
    async fn kill_engines(&mut self, verdict: &mut Verdict) -> Result<Vec<Call>, Error> {
        let addresses = lock(&self.addresses).clone();
        let mut callers = JoinSet::new();
        for number in 0..FINAL_CALLS {
            let request =
                ClientRequest::new(MODELS[number % MODELS.len()], format!("last {number}"));
            callers.spawn(send_call(request, addresses[number % addresses.len()]));
        }
        sleep(FINAL_CALLS_LEAD).await;
        for id in self.engines.clone() {
            self.bench.kill(&id).await?;
            self.bench.crash_runner(&id).await?;
        }
        let ended = Instant::now();
        let mut calls = Vec::new();
        while let Some(call) = callers.join_next().await {
            let call = call.map_err(|error| task_error(&error))?;
            let after = ended.elapsed();
            if after > ENGINES_GONE_TIMEOUT {
                let text =
                    format!("response only {after:?} after all engines had stopped: {call:?}");
                verdict.violations.push(text);
            }
            let slowest = &mut verdict.counts.slowest_gone_ms;
            *slowest = millis(after).max(*slowest);
            calls.push(call);
        }
        Ok(calls)
    }
}

/// Sends calls for a time, whether or not earlier ones have been answered.
async fn send_calls(addresses: Addresses, seed: u64, time: Duration) -> Vec<Call> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    for number in 0.. {
        if Instant::now() > end {
            break;
        }
        let model = MODELS[rng.random_range(0..MODELS.len())];
        let mut request = ClientRequest::new(model, format!("call {number}"));
        request.stream = rng.random_bool(0.3);
        let entry = lock(&addresses)[rng.random_range(0..ENTRIES.len())];
        callers.spawn(send_call(request, entry));
        sleep(Duration::from_millis(rng.random_range(CALL_INTERVAL_MS))).await;
    }
    callers.join_all().await
}

async fn send_call(request: ClientRequest, entry: SocketAddr) -> Call {
    let sent = Instant::now();
    let outcome = timeout(RESPONSE_TIMEOUT, request.once(entry)).await;
    Call {
        outcome: outcome.unwrap_or(ResponseOutcome::Silent),
        elapsed: sent.elapsed(),
        request,
    }
}

/// Compares the responses with the executions.
async fn check_calls(bench: &Bench, calls: &[Call], verdict: &mut Verdict) {
    let mut runs: HashMap<String, Vec<ExecutionStatus>, RandomState> = HashMap::default();
    for execution in bench.executions(ASSISTANT).await {
        let ended = runs.entry(execution.input_hash).or_default();
        ended.push(execution.ended);
    }
    let counts = &mut verdict.counts;
    for call in calls {
        let ran = runs.get(&input_hash(&call.request.input()));
        let ran = ran.map_or(0, Vec::len);
        counts.sent += 1;
        counts.slowest_ms = millis(call.elapsed).max(counts.slowest_ms);
        let wrong = match &call.outcome {
            ResponseOutcome::Whole { .. } => {
                counts.answered += 1;
                (ran == 0).then_some("answered, though it never ran")
            }
            ResponseOutcome::Silent => Some("never answered"),
            ResponseOutcome::Wrong(_) => Some("response of another call"),
            ResponseOutcome::Problem(problem) if problem.outcome == Some(Outcome::NotRun) => {
                counts.not_run += 1;
                (ran > 0).then_some("told not run, though it ran")
            }
            ResponseOutcome::Problem(_) => {
                counts.unsure += 1;
                None
            }
            ResponseOutcome::Unreachable | ResponseOutcome::Lost => {
                counts.closed += 1;
                None
            }
        };
        if let Some(wrong) = wrong {
            verdict
                .violations
                .push(format!("{wrong}: {call:?}, ran {ran} times"));
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
