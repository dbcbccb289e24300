//! Faults from a seed, each with its end.

use crate::rig::bench::Bench;
use crate::rig::probe::set_faults;
use crate::rig::proxy::Mode;
use crate::rig::record::{LABEL, REPORT, drain};
use crate::torture::schedule::{Pending, Schedule, Step};
use crate::torture::world::{OBJECTS, TABLE, VMS, World};
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
/// Bounds of the time that a fault lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..5_000;
/// Longest wait for an operator's change; the next entry is asked after it.
const CHANGE: Duration = Duration::from_millis(500);
/// Longest time that a planned stop may take once nothing else is wrong.
const STOP: Duration = Duration::from_secs(60);

/// What can be done.
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
    /// What it takes hold of, so that two faults that exclude each other do not meet.
    fn key(self, subject: &str) -> String {
        match self {
            Self::Link => format!("{subject} link"),
            Self::Runner | Self::CrashRunner => format!("{subject} runner"),
            Self::Drain => format!("{subject} drain"),
            _ => subject.to_owned(),
        }
    }
}

/// All kinds; those that hit the whole system come up less often.
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

/// What undoes a fault.
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

/// A fault that lasts.
#[derive(Clone, Debug)]
struct Held {
    /// What it has taken hold of.
    key: String,
    undo: Undo,
}

/// The faults of one soak.
pub struct Faults<'a> {
    bench: &'a mut Bench,
    world: Arc<World>,
    rng: StdRng,
    /// Subjects that something is being done to.
    taken: HashSet<String, RandomState>,
    schedule: Schedule<Held>,
    /// How often each kind came up.
    pub counts: BTreeMap<String, u64>,
}

impl<'a> Faults<'a> {
    /// No fault yet.
    pub fn new(bench: &'a mut Bench, world: Arc<World>, seed: u64) -> Self {
        Self {
            bench,
            world,
            rng: StdRng::seed_from_u64(seed),
            taken: HashSet::default(),
            schedule: Schedule::new(Duration::ZERO),
            counts: BTreeMap::new(),
        }
    }

    /// Does and undoes faults for a time, then undoes what is left.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a process cannot be started or stopped.
    pub async fn run(&mut self, time: Duration) -> Result<(), Error> {
        self.schedule = Schedule::new(time);
        while let Some(step) = self.schedule.step().await {
            match step {
                Step::Draw => {
                    self.draw().await?;
                    let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
                    self.schedule.pause(pause);
                }
                Step::Undo(due) => self.undo_due(due).await?,
            }
        }
        Ok(())
    }

    async fn draw(&mut self) -> Result<(), Error> {
        let Some(kind) = KINDS.choose(&mut self.rng).copied() else {
            return Ok(());
        };
        let Some(subject) = self.subject(kind) else {
            return Ok(());
        };
        let length = Duration::from_millis(self.rng.random_range(LENGTH_MS));
        let undo = self.act(kind, &subject).await?;
        *self.counts.entry(format!("{kind:?}")).or_default() += 1;
        let key = kind.key(&subject);
        self.schedule.last(length, Held { key, undo });
        Ok(())
    }

    /// Draws whom the fault hits; nobody if something is being done to it already.
    fn subject(&mut self, kind: Kind) -> Option<String> {
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
        self.taken.insert(kind.key(&subject)).then_some(subject)
    }

    async fn act(&mut self, kind: Kind, subject: &str) -> Result<Undo, Error> {
        let id = subject.to_owned();
        self.world.disturb(subject);
        let undo = match kind {
            Kind::KillAgent => {
                self.bench.kill(subject).await?;
                Undo::RestartAgent(id)
            }
            Kind::KillEntry => {
                self.world.killed(subject);
                self.bench.kill(subject).await?;
                Undo::RestartEntry(id)
            }
            Kind::FreezeAgent | Kind::FreezeEntry => {
                self.bench.fleet.signal(subject, Signal::Stop)?;
                Undo::Thaw(id)
            }
            Kind::StopAgent => {
                self.world.settle(subject);
                self.bench.fleet.signal(subject, Signal::Terminate)?;
                self.world.leave(subject);
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
                self.link(subject, mode)?;
                Undo::Link(id)
            }
            Kind::Runner => {
                let faults = self.runner_faults();
                set_faults(self.bench.get(subject)?.address, &faults).await?;
                Undo::Runner(id)
            }
            Kind::CrashRunner => {
                self.bench.crash_runner(subject).await?;
                Undo::Revive(id)
            }
            Kind::Table | Kind::Objects | Kind::List => return self.stand(kind).await,
            Kind::Drain => {
                self.world.settle(subject);
                return Ok(self.drain(subject).await);
            }
            Kind::Leaving => {
                self.world.settle(subject);
                self.mark(subject, true).await?;
                self.world.leave(subject);
                Undo::Relist(id)
            }
        };
        Ok(undo)
    }

    fn link(&self, subject: &str, mode: Mode) -> Result<(), Error> {
        if let Some(relay) = &self.bench.get(subject)?.proxy {
            relay.set(mode);
        }
        Ok(())
    }

    fn runner_faults(&mut self) -> Value {
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

    async fn stand(&mut self, kind: Kind) -> Result<Undo, Error> {
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

    /// An operator drains a target, or cannot; it may have been accepted all the same.
    async fn drain(&mut self, subject: &str) -> Undo {
        let documents = [drain(subject)];
        for entry in self.world.entries() {
            let applied = self.bench.apply(entry, &documents);
            if let Ok(Ok(_)) = tokio::time::timeout(CHANGE, applied).await {
                self.world.leave(subject);
                break;
            }
        }
        Undo::Undrain(subject.to_owned())
    }

    async fn undrain(&mut self, subject: &str) -> bool {
        let key = format!("drain/{subject}");
        let keys = [key.as_str()];
        for entry in self.world.entries() {
            let deleted = self.bench.delete(entry, &keys);
            if let Ok(Ok(_)) = tokio::time::timeout(CHANGE, deleted).await {
                return true;
            }
        }
        false
    }

    async fn mark(&self, subject: &str, leaving: bool) -> Result<(), Error> {
        let mut vm = self.bench.get(subject)?.vm.clone();
        vm.leaving = leaving;
        self.bench.list(&vm).await
    }

    async fn undo_due(&mut self, due: Vec<Pending<Held>>) -> Result<(), Error> {
        for pending in due {
            let undo = &pending.what.undo;
            if self.undo(undo).await? {
                self.taken.remove(&pending.what.key);
                continue;
            }
            if pending.due.elapsed() > STOP {
                return Err(Error::Failed {
                    reason: format!("{undo:?}: it does not come to an end in {STOP:?}"),
                });
            }
            self.schedule.put_off(pending).await;
        }
        Ok(())
    }

    /// Undoes a fault, or says that it must be tried again later.
    async fn undo(&mut self, undo: &Undo) -> Result<bool, Error> {
        let subject = match undo {
            Undo::RestartAgent(id) => {
                if self.bench.is_running(id)? {
                    return Ok(false);
                }
                self.world.stay(id);
                self.bench.restart_agent(id).await?;
                id
            }
            Undo::RestartEntry(id) => {
                if self.bench.is_running(id)? {
                    return Ok(false);
                }
                let address = self.bench.entry(id).await?;
                self.world.born(id, address);
                id
            }
            Undo::Thaw(id) => {
                self.bench.fleet.signal(id, Signal::Continue)?;
                id
            }
            Undo::Link(id) => {
                self.link(id, Mode::Pass)?;
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
                self.world.stay(id);
                return Ok(self.undrain(id).await);
            }
            // A mark of leaving ends with the VM's life.
            Undo::Relist(id) => {
                self.world.stay(id);
                self.world.disturb(id);
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
                self.world.settle(name);
                return Ok(true);
            }
        };
        self.world.settle(subject);
        Ok(true)
    }
}
