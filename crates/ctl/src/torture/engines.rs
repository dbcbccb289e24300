//! The soak of entries before engines that come and go: no accepted call may be left without an answer.
//!
//! Agents end and come back, at the address that they had or elsewhere, listed or not; engines are
//! replaced and crash; entries end and freeze, the lease holder among them. Callers ask once each.

use crate::Error;
use crate::error::Outcome;
use crate::fleet::Signal;
use crate::rig::bench::Bench;
use crate::rig::caller::{Ask, Told};
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
/// Pipelines, each answered by a model of the same name; the first one's is to be loaded at all times.
pub const MODELS: [&str; 2] = ["steady", "seldom"];
/// Engines at a time: each serves one model, and one may be away.
const ENGINES: usize = 3;
/// Time of an engine for a token, in milliseconds.
const STEP_MS: f64 = 3.0;
/// Time that an engine takes to load a model, in milliseconds.
const LOAD_MS: f64 = 300.0;
/// Bounds of the pause between two calls, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 5..60;
/// Bounds of the pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// Bounds of the time that a process is away or frozen, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 50..2_500;
/// Longest time until a call has its answer at an entry that lives: that of a target which says nothing
/// of its models, a change of the lease holder and a load, with the freezes of the entry itself.
const ANSWER: Duration = Duration::from_secs(20);
/// Longest time until calls are answered that wait when all engines end for good.
const GONE: Duration = Duration::from_secs(5);
/// Time after the last fault by which each model is served.
const RECOVERY: Duration = Duration::from_secs(20);
/// Calls under way when all engines end.
const LAST_CALLS: usize = 24;
/// Time between those calls and the end of the engines.
const BEFORE_END: Duration = Duration::from_millis(20);

/// What can be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// An agent ends and comes back elsewhere in the same life of its VM.
    MoveAgent,
    /// An agent ends and comes back in the next life of its VM.
    RestartAgent,
    /// An engine ends with its agent, and another one takes its place.
    ReplaceEngine,
    /// An agent is asked to leave, and another engine takes its place.
    LeaveEngine,
    /// An engine ends; its agent goes on.
    CrashRunner,
    /// An agent is frozen for a while.
    FreezeAgent,
    /// An entry ends and comes back.
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
    /// Answered whole.
    pub answered: u64,
    /// Told that they did not run.
    pub not_run: u64,
    /// Told that they may have run, or that they failed.
    pub unsure: u64,
    /// Connections that broke or did not come about.
    pub closed: u64,
    /// Longest time until an answer, in milliseconds.
    pub slowest_ms: u64,
    /// Longest time until an answer after all engines had ended, in milliseconds.
    pub slowest_gone_ms: u64,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
}

/// Counts, and a text for each thing that must not happen.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The counts.
    pub counts: Counts,
    /// The texts.
    pub trails: Vec<String>,
}

impl Verdict {
    /// Whether nothing happened that must not.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.trails.is_empty()
    }
}

/// One call, with what its caller was told.
#[derive(Debug)]
struct Call {
    ask: Ask,
    told: Told,
    took: Duration,
}

/// Where the entries serve; callers may meet one that is away.
type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

fn lock(addresses: &Addresses) -> MutexGuard<'_, Vec<SocketAddr>> {
    addresses.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Soaks a deployment for a time under the demand and the faults of a seed.
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
    let calling = tokio::spawn(call_all(cluster.addresses.clone(), seed ^ 1, time));
    cluster.disturb(time).await?;
    let mut calls = calling.await.map_err(|error| panicked(&error))?;
    let mut verdict = Verdict::default();
    cluster.recover(&mut verdict).await;
    let last = cluster.end_engines(&mut verdict).await?;
    calls.extend(last);
    verdict.counts.faults = std::mem::take(&mut cluster.counts);
    judge(&bench, &calls, &mut verdict).await;
    bench.fleet.stop()?;
    Ok(verdict)
}

fn panicked(error: &JoinError) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}

/// The deployment and the faults that are drawn for it.
struct Cluster<'a> {
    bench: &'a mut Bench,
    rng: StdRng,
    addresses: Addresses,
    /// Engines that are there.
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
        cluster.bench.readable().await?;
        let pipelines = MODELS.iter().map(|model| model_pipeline(model));
        let records: Vec<_> = std::iter::once(model_service(&MODELS))
            .chain(pipelines)
            .collect();
        let first = lock(&cluster.addresses)[0];
        let revision = cluster.bench.apply(first, &records).await?;
        cluster.bench.in_force(revision).await?;
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

    /// Draws faults for a time, in series that begin while the last one is hardly over.
    async fn disturb(&mut self, time: Duration) -> Result<(), Error> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let fault = *FAULTS.choose(&mut self.rng).unwrap_or(&Fault::MoveAgent);
            *self.counts.entry(format!("{fault:?}")).or_default() += 1;
            self.carry_out(fault).await?;
            let pause = self.rng.random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
        Ok(())
    }

    async fn away(&mut self) {
        let away = self.rng.random_range(AWAY_MS);
        sleep(Duration::from_millis(away)).await;
    }

    async fn carry_out(&mut self, fault: Fault) -> Result<(), Error> {
        let engine = self.rng.random_range(0..self.engines.len());
        let id = self.engines[engine].clone();
        let number = self.rng.random_range(0..ENTRIES.len());
        let entry = ENTRIES[number];
        match fault {
            Fault::MoveAgent => {
                self.bench.kill(&id).await?;
                self.away().await;
                self.bench.move_agent(&id).await?;
            }
            Fault::RestartAgent => {
                self.bench.kill(&id).await?;
                self.away().await;
                self.bench.restart_agent(&id).await?;
            }
            Fault::ReplaceEngine => {
                self.bench.kill(&id).await?;
                self.bench.crash_runner(&id).await?;
                self.bench.unlist(&id).await?;
                self.engines.remove(engine);
                self.away().await;
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
                self.away().await;
                self.bench.revive_runner(&id).await?;
            }
            Fault::FreezeAgent => self.freeze(&id).await?,
            Fault::FreezeEntry => self.freeze(entry).await?,
            Fault::KillEntry => {
                self.bench.kill(entry).await?;
                self.away().await;
                let address = self.bench.entry(entry).await?;
                lock(&self.addresses)[number] = address;
            }
        }
        Ok(())
    }

    async fn freeze(&mut self, id: &str) -> Result<(), Error> {
        self.bench.fleet.signal(id, Signal::Stop)?;
        self.away().await;
        self.bench.fleet.signal(id, Signal::Continue)
    }

    /// Asks until each model is answered at each entry.
    async fn recover(&mut self, verdict: &mut Verdict) {
        let end = Instant::now() + RECOVERY;
        let addresses = lock(&self.addresses).clone();
        for (entry, model) in addresses
            .iter()
            .flat_map(|one| MODELS.map(|model| (one, model)))
        {
            let left = end.saturating_duration_since(Instant::now());
            let ask = Ask::new(model, format!("after {model} {entry}"));
            let word = ask.persist(&[*entry], left).await;
            if !word.last().is_some_and(Told::is_whole) {
                let text = format!("{model} not served at {entry} after the faults: {word:?}");
                verdict.trails.push(text);
            }
        }
    }

    /// Ends all engines for good while calls wait; each must be answered all the same.
    async fn end_engines(&mut self, verdict: &mut Verdict) -> Result<Vec<Call>, Error> {
        let addresses = lock(&self.addresses).clone();
        let mut callers = JoinSet::new();
        for number in 0..LAST_CALLS {
            let ask = Ask::new(MODELS[number % MODELS.len()], format!("last {number}"));
            callers.spawn(call(ask, addresses[number % addresses.len()]));
        }
        sleep(BEFORE_END).await;
        for id in self.engines.clone() {
            self.bench.kill(&id).await?;
            self.bench.crash_runner(&id).await?;
        }
        let ended = Instant::now();
        let mut calls = Vec::new();
        while let Some(call) = callers.join_next().await {
            let call = call.map_err(|error| panicked(&error))?;
            let after = ended.elapsed();
            if after > GONE {
                let text = format!("answered {after:?} after all engines had ended: {call:?}");
                verdict.trails.push(text);
            }
            let slowest = &mut verdict.counts.slowest_gone_ms;
            *slowest = millis(after).max(*slowest);
            calls.push(call);
        }
        Ok(calls)
    }
}

/// Sends calls for a time, whether or not earlier ones were answered.
async fn call_all(addresses: Addresses, seed: u64, time: Duration) -> Vec<Call> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut callers = JoinSet::new();
    for number in 0.. {
        if Instant::now() > end {
            break;
        }
        let model = MODELS[rng.random_range(0..MODELS.len())];
        let mut ask = Ask::new(model, format!("call {number}"));
        ask.stream = rng.random_bool(0.3);
        let entry = lock(&addresses)[rng.random_range(0..ENTRIES.len())];
        callers.spawn(call(ask, entry));
        sleep(Duration::from_millis(rng.random_range(GAP_MS))).await;
    }
    callers.join_all().await
}

async fn call(ask: Ask, entry: SocketAddr) -> Call {
    let sent = Instant::now();
    let told = timeout(ANSWER, ask.once(entry)).await;
    Call {
        told: told.unwrap_or(Told::Silent),
        took: sent.elapsed(),
        ask,
    }
}

/// Compares what callers were told with what ran.
async fn judge(bench: &Bench, calls: &[Call], verdict: &mut Verdict) {
    let mut runs: HashMap<String, Vec<ExecutionStatus>, RandomState> = HashMap::default();
    for execution in bench.executions(ASSISTANT).await {
        let ended = runs.entry(execution.input_hash).or_default();
        ended.push(execution.ended);
    }
    let counts = &mut verdict.counts;
    for call in calls {
        let ran = runs.get(&input_hash(&call.ask.input()));
        let ran = ran.map_or(0, Vec::len);
        counts.sent += 1;
        counts.slowest_ms = millis(call.took).max(counts.slowest_ms);
        let wrong = match &call.told {
            Told::Whole { .. } => {
                counts.answered += 1;
                (ran == 0).then_some("answered, though it never ran")
            }
            Told::Silent => Some("never answered"),
            Told::Wrong(_) => Some("answer of another call"),
            Told::Problem(problem) if problem.outcome == Some(Outcome::NotRun) => {
                counts.not_run += 1;
                (ran > 0).then_some("told not run, though it ran")
            }
            Told::Problem(_) => {
                counts.unsure += 1;
                None
            }
            Told::Unreachable | Told::Lost => {
                counts.closed += 1;
                None
            }
        };
        if let Some(wrong) = wrong {
            verdict
                .trails
                .push(format!("{wrong}: {call:?}, ran {ran} times"));
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
