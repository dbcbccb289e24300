//! Faults that are drawn from a seed, and their ends.

use crate::rig::bench::Bench;
use crate::rig::probe::set_faults;
use crate::rig::proxy::Mode;
use crate::rig::record::{LABEL, REPORT, drain};
use crate::torture::schedule::{Pending, Schedule, Step};
use crate::torture::state::{OBJECTS, SoakState, TABLE, VMS};
use crate::{Error, fleet::Signal};
use foldhash::fast::RandomState;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..700;
/// Bounds of the duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..5_000;
/// Longest wait for an operator's change before the next entry is tried.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a planned stop may take once no other fault is active.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    KillAgent,
    FreezeAgent,
    StopAgent,
    KillEntry,
    FreezeEntry,
    StopEntry,
    Link,
    Runner,
    CrashRunner,
    Table,
    Objects,
    List,
    Drain,
    Leaving,
}

impl Kind {
    /// Key of what the fault locks, so that faults that exclude each other do not overlap.
    fn resource(self, subject: &str) -> String {
        match self {
            Self::Link => format!("{subject} link"),
            Self::Runner | Self::CrashRunner => format!("{subject} runner"),
            Self::Drain => format!("{subject} drain"),
            _ => subject.to_owned(),
        }
    }
}

/// All kinds, repeated by weight: those that hit the whole system are drawn less often.
const KINDS: [Kind; 20] = [
    Kind::KillAgent,
    Kind::KillAgent,
    Kind::FreezeAgent,
    Kind::FreezeAgent,
    Kind::StopAgent,
    Kind::StopAgent,
    Kind::KillEntry,
    Kind::FreezeEntry,
    Kind::StopEntry,
    Kind::Link,
    Kind::Link,
    Kind::Link,
    Kind::Runner,
    Kind::Runner,
    Kind::CrashRunner,
    Kind::Table,
    Kind::Objects,
    Kind::List,
    Kind::Drain,
    Kind::Leaving,
];

/// The action that undoes a fault.
#[derive(Clone, Debug)]
enum Undo {
    RestartAgent(String),
    RestartEntry(String),
    Thaw(String),
    Link(String),
    Runner(String),
    Revive(String),
    Stand(&'static str),
    Undrain(String),
    Relist(String),
}

/// A fault that has begun and not ended.
#[derive(Clone, Debug)]
struct ActiveFault {
    /// Key of what it locks.
    resource: String,
    undo: Undo,
}

/// The faults of one soak.
pub struct Faults<'a> {
    bench: &'a mut Bench,
    state: Arc<SoakState>,
    rng: StdRng,
    /// Keys of what the active faults lock.
    locked: HashSet<String, RandomState>,
    schedule: Schedule<ActiveFault>,
    /// Number of faults by kind.
    pub counts: BTreeMap<String, u64>,
}

impl<'a> Faults<'a> {
    /// Prepares the faults of a seed; none has begun.
    pub fn new(bench: &'a mut Bench, state: Arc<SoakState>, seed: u64) -> Self {
        Self {
            bench,
            state,
            rng: StdRng::seed_from_u64(seed),
            locked: HashSet::default(),
            schedule: Schedule::new(Duration::ZERO),
            counts: BTreeMap::new(),
        }
    }

    /// Starts and ends faults for a time, then ends those that are still active.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a process cannot be started or stopped.
    pub async fn run(&mut self, time: Duration) -> Result<(), Error> {
        self.schedule = Schedule::new(time);
        while let Some(step) = self.schedule.step().await {
            match step {
                Step::Draw => {
                    self.start_random().await?;
                    let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
                    self.schedule.pause(pause);
                }
                Step::Undo(due) => self.undo_due(due).await?,
            }
        }
        Ok(())
    }

    async fn start_random(&mut self) -> Result<(), Error> {
        let Some(kind) = KINDS.choose(&mut self.rng).copied() else {
            return Ok(());
        };
        let Some(subject) = self.draw_subject(kind) else {
            return Ok(());
        };
        let duration = Duration::from_millis(self.rng.random_range(DURATION_MS));
        let undo = self.inject(kind, &subject).await?;
        *self.counts.entry(format!("{kind:?}")).or_default() += 1;
        let resource = kind.resource(&subject);
        self.schedule.add(duration, ActiveFault { resource, undo });
        Ok(())
    }

    /// Draws the subject of a fault; none if another fault locks it already.
    fn draw_subject(&mut self, kind: Kind) -> Option<String> {
        let runners = self.bench.runners.iter().filter(|runner| {
            let service = runner.vm.service.as_str();
            kind != Kind::CrashRunner || ![LABEL, REPORT].contains(&service)
        });
        let subject = match kind {
            Kind::Table => TABLE.to_owned(),
            Kind::Objects => OBJECTS.to_owned(),
            Kind::List => VMS.to_owned(),
            Kind::KillEntry | Kind::FreezeEntry | Kind::StopEntry => {
                self.bench.entries.choose(&mut self.rng)?.id.clone()
            }
            _ => {
                let runners: Vec<_> = runners.collect();
                runners.choose(&mut self.rng)?.vm.id.clone()
            }
        };
        self.locked
            .insert(kind.resource(&subject))
            .then_some(subject)
    }

    async fn inject(&mut self, kind: Kind, subject: &str) -> Result<Undo, Error> {
        let id = subject.to_owned();
        self.state.begin_fault(subject);
        let undo = match kind {
            Kind::KillAgent => {
                self.bench.kill(subject).await?;
                Undo::RestartAgent(id)
            }
            Kind::KillEntry => {
                self.state.mark_killed(subject);
                self.bench.kill(subject).await?;
                Undo::RestartEntry(id)
            }
            Kind::FreezeAgent | Kind::FreezeEntry => {
                self.bench.fleet.signal(subject, Signal::Stop)?;
                Undo::Thaw(id)
            }
            Kind::StopAgent => {
                self.state.end_fault(subject);
                self.bench.fleet.signal(subject, Signal::Terminate)?;
                self.state.begin_leaving(subject);
                Undo::RestartAgent(id)
            }
            Kind::StopEntry => {
                self.bench.fleet.signal(subject, Signal::Terminate)?;
                Undo::RestartEntry(id)
            }
            Kind::Link => {
                let delay = Mode::Delay(Duration::from_millis(self.rng.random_range(1..50)));
                let modes = [Mode::Cut, Mode::Freeze, delay];
                let mode = *modes.choose(&mut self.rng).unwrap_or(&delay);
                self.set_link_mode(subject, mode)?;
                Undo::Link(id)
            }
            Kind::Runner => {
                let faults = self.draw_runner_faults();
                set_faults(self.bench.get(subject)?.address, &faults).await?;
                Undo::Runner(id)
            }
            Kind::CrashRunner => {
                self.bench.crash_runner(subject).await?;
                Undo::Revive(id)
            }
            Kind::Table | Kind::Objects | Kind::List => return self.disturb_platform(kind).await,
            Kind::Drain => {
                self.state.end_fault(subject);
                return Ok(self.drain(subject).await);
            }
            Kind::Leaving => {
                self.state.end_fault(subject);
                self.set_leaving(subject, true).await?;
                self.state.begin_leaving(subject);
                Undo::Relist(id)
            }
        };
        Ok(undo)
    }

    fn set_link_mode(&self, subject: &str, mode: Mode) -> Result<(), Error> {
        if let Some(relay) = &self.bench.get(subject)?.proxy {
            relay.set(mode);
        }
        Ok(())
    }

    fn draw_runner_faults(&mut self) -> Value {
        let faults = [
            json!({"cross": 0.3}),
            json!({"cut": 0.3}),
            json!({"truncate": 0.3}),
            json!({"lose_answers": 0.3}),
            json!({"double": true}),
            json!({"fail": 0.3}),
            json!({"refuse": 0.5}),
            json!({"late_ms": 400}),
            json!({"reset": 0.3}),
        ];
        faults.choose(&mut self.rng).cloned().unwrap_or_default()
    }

    async fn disturb_platform(&mut self, kind: Kind) -> Result<Undo, Error> {
        let faults = [
            json!({"down": true}),
            json!({"down": 0.3}),
            json!({"slow_ms": 300}),
            json!({"slow_ms": 2500}),
            json!({"lose_answers": 0.5}),
            json!({"reset": 0.4}),
        ];
        let (address, name) = match kind {
            Kind::Table => (self.bench.table.address(), TABLE),
            Kind::Objects => (self.bench.objects.address(), OBJECTS),
            _ => (self.bench.vms.address(), VMS),
        };
        set_faults(
            address,
            faults.choose(&mut self.rng).unwrap_or(&Value::Null),
        )
        .await?;
        Ok(Undo::Stand(name))
    }

    /// Has an operator drain a target. The change may have been accepted even if no entry confirms it.
    async fn drain(&mut self, subject: &str) -> Undo {
        let documents = [drain(subject)];
        for entry in self.state.entries() {
            let applied = self.bench.apply(entry, &documents);
            if let Ok(Ok(_)) = tokio::time::timeout(CHANGE_TIMEOUT, applied).await {
                self.state.begin_leaving(subject);
                break;
            }
        }
        Undo::Undrain(subject.to_owned())
    }

    async fn undrain(&mut self, subject: &str) -> bool {
        let key = format!("drain/{subject}");
        let keys = [key.as_str()];
        for entry in self.state.entries() {
            let deleted = self.bench.delete(entry, &keys);
            if let Ok(Ok(_)) = tokio::time::timeout(CHANGE_TIMEOUT, deleted).await {
                return true;
            }
        }
        false
    }

    async fn set_leaving(&self, subject: &str, leaving: bool) -> Result<(), Error> {
        let mut vm = self.bench.get(subject)?.vm.clone();
        vm.leaving = leaving;
        self.bench.list(&vm).await
    }

    async fn undo_due(&mut self, due: Vec<Pending<ActiveFault>>) -> Result<(), Error> {
        for pending in due {
            let undo = &pending.fault.undo;
            if self.undo(undo).await? {
                self.locked.remove(&pending.fault.resource);
                continue;
            }
            if pending.due.elapsed() > STOP_TIMEOUT {
                return Err(Error::Failed {
                    reason: format!(
                        "{undo:?}: the fault could not be undone within {STOP_TIMEOUT:?}"
                    ),
                });
            }
            self.schedule.postpone(pending).await;
        }
        Ok(())
    }

    /// Undoes a fault. Returns false if it must be tried again later.
    async fn undo(&mut self, undo: &Undo) -> Result<bool, Error> {
        let subject = match undo {
            Undo::RestartAgent(id) => {
                if self.bench.is_running(id)? {
                    return Ok(false);
                }
                self.state.end_leaving(id);
                self.bench.restart_agent(id).await?;
                id
            }
            Undo::RestartEntry(id) => {
                if self.bench.is_running(id)? {
                    return Ok(false);
                }
                let address = self.bench.entry(id).await?;
                self.state.add_process(id, address);
                id
            }
            Undo::Thaw(id) => {
                self.bench.fleet.signal(id, Signal::Continue)?;
                id
            }
            Undo::Link(id) => {
                self.set_link_mode(id, Mode::Pass)?;
                id
            }
            Undo::Runner(id) => {
                set_faults(self.bench.get(id)?.address, &json!({})).await?;
                id
            }
            Undo::Revive(id) => {
                self.bench.restart_runner(id).await?;
                id
            }
            Undo::Undrain(id) => {
                self.state.end_leaving(id);
                return Ok(self.undrain(id).await);
            }
            // A VM stays marked as leaving until it restarts.
            Undo::Relist(id) => {
                self.state.end_leaving(id);
                self.state.begin_fault(id);
                self.bench.kill(id).await?;
                self.bench.restart_agent(id).await?;
                id
            }
            Undo::Stand(name) => {
                let address = match *name {
                    TABLE => self.bench.table.address(),
                    OBJECTS => self.bench.objects.address(),
                    _ => self.bench.vms.address(),
                };
                set_faults(address, &json!({})).await?;
                self.state.end_fault(name);
                return Ok(true);
            }
        };
        self.state.end_fault(subject);
        Ok(true)
    }
}
