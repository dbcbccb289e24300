//! What is done to a soak of relays, from a seed, each with its end.

use crate::Error;
use crate::fleet::Signal;
use crate::rig::proxy::Mode;
use crate::torture::relays::cluster::{Cluster, GRACE_S};
use crate::torture::relays::verdict::PROPAGATION;
use crate::torture::schedule::{Pending, Schedule, Step};
use crate::torture::world::{TABLE, World};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use stub::runner::Fault;
use stub::store;
use tokio::time::{Instant, sleep};

/// Bounds of the pause between two faults, and of the time that one lasts, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..600;
const LENGTH_MS: std::ops::Range<u64> = 100..4_000;
/// Time between two looks at runners that a request has ended.
const TEND: Duration = Duration::from_millis(50);
/// Rows that are lost with what was written last.
const LOST: usize = 20;
/// Age of the copy from which the table service comes back, in milliseconds, and the time between two
/// entries that are written again after that.
const BACK_MS: u64 = 3_000;
const WRITTEN_AGAIN: Duration = Duration::from_millis(100);
/// Time beyond its grace in which a process that was asked to stop must have ended: it may have been
/// frozen meanwhile.
const BEYOND: Duration = Duration::from_secs(6);
/// How much longer the pauses of a seed are at most. Faults that follow close on each other show what
/// goes wrong between them, and excuse much that is seen far apart.
const PACE: std::ops::RangeInclusive<u64> = 1..=6;
/// Time that a runner goes on beyond that after it said that it leaves: work that it is given later
/// than the news takes is a violation, and must have time to come.
const LEAVES: Duration = Duration::from_millis(PROPAGATION / 500);

/// What can be done. Those that name nobody hit the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Kill,
    Freeze,
    Stop,
    Reload,
    StoreLink,
    Runner,
    Crash,
    RunnerLink,
    Leave,
    Store,
    Forget,
    Spoil,
    Configure,
}

/// All kinds; those that hit the whole system come up less often.
const KINDS: [Kind; 18] = [
    Kind::Kill,
    Kind::Freeze,
    Kind::Freeze,
    Kind::Stop,
    Kind::Stop,
    Kind::Reload,
    Kind::StoreLink,
    Kind::StoreLink,
    Kind::Runner,
    Kind::Runner,
    Kind::Runner,
    Kind::Crash,
    Kind::RunnerLink,
    Kind::Leave,
    Kind::Store,
    Kind::Forget,
    Kind::Spoil,
    Kind::Configure,
];

/// A fault that lasts, at a relay or a runner of that number.
#[derive(Clone, Copy, Debug)]
struct Held {
    kind: Kind,
    number: usize,
}

impl Kind {
    fn hits_relay(self) -> bool {
        matches!(self, Self::Kill | Self::Freeze | Self::Stop | Self::Reload)
    }

    /// Whether promises are excused for what it hits.
    fn disturbs(self) -> bool {
        !matches!(
            self,
            Self::Reload | Self::Leave | Self::Forget | Self::Spoil | Self::Configure
        )
    }

    /// Whether two faults take hold of the same thing.
    fn meets(self, other: Self) -> bool {
        let process = |kind: Self| matches!(kind, Self::Kill | Self::Stop);
        let runner = |kind: Self| matches!(kind, Self::Crash | Self::Leave);
        self == other || process(self) && process(other) || runner(self) && runner(other)
    }
}

/// The faults of one soak.
#[derive(Debug)]
pub struct Faults<'a> {
    cluster: &'a mut Cluster,
    world: Arc<World>,
    rng: StdRng,
    pace: u64,
    schedule: Schedule<Held>,
    /// How often each kind came up.
    pub counts: BTreeMap<String, u64>,
    /// Relays that did not stop as they were asked to.
    pub stuck: Vec<String>,
}

impl<'a> Faults<'a> {
    /// No fault yet.
    pub fn new(cluster: &'a mut Cluster, world: Arc<World>, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            cluster,
            world,
            pace: rng.random_range(PACE),
            rng,
            schedule: Schedule::new(Duration::ZERO),
            counts: BTreeMap::new(),
            stuck: Vec::new(),
        }
    }

    /// Does and undoes faults for a time, then undoes what is left.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a process cannot be started.
    pub async fn run(&mut self, time: Duration) -> Result<(), Error> {
        self.schedule = Schedule::new(time);
        loop {
            let step = tokio::select! {
                step = self.schedule.step() => step,
                () = sleep(TEND) => {
                    self.cluster.tend().await?;
                    continue;
                }
            };
            let Some(step) = step else { break };
            match step {
                Step::Draw => {
                    let pause = self.pace * self.rng.random_range(PAUSE_MS);
                    self.schedule.pause(Duration::from_millis(pause));
                    self.draw().await?;
                }
                Step::Undo(due) => self.undo_due(due).await?,
            }
        }
        Ok(())
    }

    /// Does nothing for a time.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a runner cannot be started again.
    pub async fn wait(&mut self, time: Duration) -> Result<(), Error> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.cluster.tend().await?;
            sleep(TEND).await;
        }
        Ok(())
    }

    /// Has the table service come back from an older copy in the middle of a time. Shortly before, a
    /// runner says that it leaves, and a key is replaced; both are written again after the return, as
    /// all entries are, by and by. Another runner says that it leaves right after the return, while one
    /// relay is cut off from the service until the versions that were lost have been given out again.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a runner cannot be started again.
    pub async fn restore(&mut self, time: Duration) -> Result<(), Error> {
        self.wait(time / 4).await?;
        let mut order: Vec<usize> = (0..self.cluster.targets.len()).collect();
        order.shuffle(&mut self.rng);
        let mut leaving = vec![order[0]];
        self.leave(order[0]);
        self.cluster.configure();
        self.cluster.store.write_unrelated_rows(LOST);
        let before = Duration::from_millis(self.rng.random_range(100..BACK_MS));
        self.wait(before).await?;
        let cut = self.rng.random_range(0..self.cluster.relays.len());
        let relay = self.cluster.relays[cut].0.id.clone();
        self.world.disturb(&relay);
        self.cluster.relays[cut].1.set(Mode::Cut);
        self.away(Duration::from_millis(BACK_MS)).await?;
        leaving.push(order[1]);
        self.leave(order[1]);
        for &number in &order {
            self.wait(WRITTEN_AGAIN).await?;
            self.cluster.list(number, leaving.contains(&number));
        }
        self.cluster.configure_again();
        self.cluster.store.write_unrelated_rows(LOST * 2);
        self.cluster.relays[cut].1.set(Mode::Pass);
        self.world.settle(&relay);
        self.wait(time / 2).await?;
        for number in leaving {
            self.world.stay(&self.cluster.targets[number].id);
            self.cluster.revive(number).await?;
        }
        Ok(())
    }

    fn leave(&self, number: usize) {
        self.cluster.list(number, true);
        self.world.leave(&self.cluster.targets[number].id);
    }

    /// The table service is away for a moment and comes back from a copy of so long ago.
    async fn away(&mut self, ago: Duration) -> Result<(), Error> {
        let away = Duration::from_millis(self.rng.random_range(100..1_000));
        self.world.disturb(TABLE);
        self.cluster.store.set_fault(store::Fault::Busy);
        self.wait(away).await?;
        self.cluster.store.restore(ago);
        self.cluster.store.set_fault(store::Fault::None);
        self.world.settle(TABLE);
        Ok(())
    }

    /// Waits until all runners are there that requests have ended.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if one cannot be started again.
    pub async fn mend(&mut self) -> Result<(), Error> {
        while self
            .cluster
            .targets
            .iter()
            .any(|target| target.runner.down_for().is_some())
        {
            self.cluster.tend().await?;
            sleep(TEND).await;
        }
        Ok(())
    }

    async fn draw(&mut self) -> Result<(), Error> {
        let kind = KINDS.choose(&mut self.rng).copied().unwrap_or(Kind::Reload);
        let among = match kind {
            Kind::StoreLink => self.cluster.relays.len(),
            kind if kind.hits_relay() => self.cluster.relays.len(),
            _ => self.cluster.targets.len(),
        };
        let number = self.rng.random_range(0..among);
        let length = Duration::from_millis(self.rng.random_range(LENGTH_MS));
        let taken = |held: &Held| held.number == number && held.kind.meets(kind);
        if self
            .schedule
            .pending
            .iter()
            .any(|pending| taken(&pending.what))
        {
            return Ok(());
        }
        if !self.act(kind, number).await? {
            return Ok(());
        }
        *self.counts.entry(format!("{kind:?}")).or_default() += 1;
        let more = if kind == Kind::Leave {
            LEAVES
        } else {
            Duration::ZERO
        };
        self.schedule.last(length + more, Held { kind, number });
        Ok(())
    }

    /// Name of what a fault hits.
    fn subject(&self, kind: Kind, number: usize) -> String {
        match kind {
            Kind::Store | Kind::Forget => TABLE.to_owned(),
            Kind::StoreLink => self.cluster.relays[number].0.id.clone(),
            kind if kind.hits_relay() => self.cluster.relays[number].0.id.clone(),
            _ => self.cluster.targets[number].id.clone(),
        }
    }

    /// Does a fault, if it can be done now.
    async fn act(&mut self, kind: Kind, number: usize) -> Result<bool, Error> {
        let subject = self.subject(kind, number);
        if kind.hits_relay() && !self.cluster.fleet.has(&subject) {
            return Ok(false);
        }
        if kind.disturbs() {
            self.world.disturb(&subject);
        }
        match kind {
            Kind::Kill => {
                self.world.killed(&subject);
                self.cluster.fleet.kill(&subject)?;
            }
            Kind::Freeze => self.cluster.fleet.signal(&subject, Signal::Stop)?,
            Kind::Stop => self.cluster.fleet.signal(&subject, Signal::Terminate)?,
            Kind::Reload => self.cluster.fleet.signal(&subject, Signal::Reload)?,
            Kind::StoreLink => {
                let mode = self.mode();
                self.cluster.relays[number].1.set(mode);
            }
            Kind::RunnerLink => {
                let mode = self.mode();
                self.cluster.targets[number].door.set(mode);
            }
            Kind::Runner => {
                let trouble = self.trouble();
                self.cluster.targets[number].runner.set_fault(trouble);
            }
            Kind::Crash => self.cluster.targets[number].runner.crash(),
            Kind::Leave => {
                self.cluster.list(number, true);
                self.world.leave(&subject);
            }
            Kind::Store => {
                let trouble = self.store_trouble();
                self.cluster.store.set_fault(trouble);
            }
            Kind::Forget => self.cluster.store.truncate_history(),
            Kind::Spoil => self
                .cluster
                .store
                .write_invalid_entry(&format!("odd-{number}")),
            Kind::Configure => self.cluster.configure(),
        }
        Ok(true)
    }

    fn mode(&mut self) -> Mode {
        let delay = Mode::Delay(Duration::from_millis(self.rng.random_range(1..60)));
        let modes = [
            Mode::Cut,
            Mode::Freeze,
            Mode::NoAnswers,
            Mode::NoCalls,
            delay,
        ];
        modes.choose(&mut self.rng).copied().unwrap_or(delay)
    }

    fn trouble(&mut self) -> Fault {
        let slow = Fault::Slow(Duration::from_millis(self.rng.random_range(20..400)));
        let troubles = [
            Fault::Refuse,
            Fault::Fail,
            Fault::Lose,
            Fault::Truncate,
            Fault::Mute,
            Fault::Cross,
            slow,
        ];
        troubles.choose(&mut self.rng).copied().unwrap_or(slow)
    }

    fn store_trouble(&mut self) -> store::Fault {
        let slow = store::Fault::Slow(Duration::from_millis(self.rng.random_range(20..600)));
        let (busy, silent) = (store::Fault::Busy, store::Fault::Silent);
        let troubles = [busy, silent, store::Fault::Lose, slow];
        troubles.choose(&mut self.rng).copied().unwrap_or(slow)
    }

    async fn undo_due(&mut self, due: Vec<Pending<Held>>) -> Result<(), Error> {
        for pending in due {
            if !self.undo(pending.what, pending.due).await? {
                self.schedule.put_off(pending).await;
            }
        }
        Ok(())
    }

    /// Undoes a fault, or says that it must be tried again later.
    async fn undo(&mut self, held: Held, due: Instant) -> Result<bool, Error> {
        let Held { kind, number } = held;
        let subject = self.subject(kind, number);
        match kind {
            Kind::Kill => self.cluster.relay(number, &self.world)?,
            Kind::Freeze if self.cluster.fleet.has(&subject) => {
                self.cluster.fleet.signal(&subject, Signal::Continue)?;
            }
            Kind::Stop => {
                if !self.stopped(&subject, due)? {
                    return Ok(false);
                }
                self.cluster.relay(number, &self.world)?;
            }
            Kind::StoreLink => self.cluster.relays[number].1.set(Mode::Pass),
            Kind::RunnerLink => self.cluster.targets[number].door.set(Mode::Pass),
            Kind::Runner => self.cluster.targets[number].runner.set_fault(Fault::None),
            Kind::Crash => self.cluster.revive(number).await?,
            Kind::Leave => {
                self.world.stay(&subject);
                self.cluster.targets[number].runner.crash();
                self.cluster.revive(number).await?;
            }
            Kind::Store => self.cluster.store.set_fault(store::Fault::None),
            Kind::Freeze | Kind::Reload | Kind::Forget | Kind::Spoil | Kind::Configure => {}
        }
        if kind.disturbs() {
            self.world.settle(&subject);
        }
        Ok(true)
    }

    /// Whether a process that was asked to stop has ended; one that hangs is killed and noted.
    fn stopped(&mut self, subject: &str, due: Instant) -> Result<bool, Error> {
        if !self.cluster.fleet.has(subject) {
            return Ok(true);
        }
        if let Some(status) = self.cluster.fleet.try_wait(subject)? {
            if !status.success() {
                self.stuck.push(format!("{subject} ended with {status}"));
            }
            return Ok(true);
        }
        if due.elapsed() < Duration::from_secs_f64(GRACE_S) + BEYOND {
            return Ok(false);
        }
        self.stuck.push(format!("{subject} does not end"));
        self.world.killed(subject);
        self.cluster.fleet.kill(subject)?;
        Ok(true)
    }
}
