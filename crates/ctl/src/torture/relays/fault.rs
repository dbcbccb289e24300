//! Faults of a soak of relays, which are drawn from a seed, and their ends.

mod chain;

use crate::Error;
use crate::fleet::Signal;
use crate::rig::proxy::Mode;
use crate::torture::relays::cluster::{Cluster, GRACE_S};
use crate::torture::relays::verdict::PROPAGATION;
use crate::torture::schedule::{Pending, Schedule, Step};
use crate::torture::state::{SoakState, TABLE};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use stub::runner::Fault;
use stub::store;
use tokio::time::{Instant, sleep};

/// Bounds of the pause between two faults and of the duration of a fault, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..600;
const DURATION_MS: std::ops::Range<u64> = 100..4_000;
/// Time between two checks for runners that a request has crashed.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Unrelated rows that are written before the restore and lost with it.
const UNRELATED_ROWS: usize = 20;
/// Age of the backup from which the table service is restored, in milliseconds, and the time between
/// two entries that are written again after that.
const BACKUP_AGE_MS: u64 = 3_000;
const REWRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Time beyond its grace period within which a process must have exited after a request to stop: it
/// may have been frozen meanwhile.
const STOP_TOLERANCE: Duration = Duration::from_secs(6);
/// Bounds of the factor by which a seed lengthens the pauses. Faults in quick succession show how they
/// interact, but excuse many violations that are detected when faults are far apart.
const PAUSE_FACTOR: std::ops::RangeInclusive<u64> = 1..=6;
/// Time by which a fault of a leaving runner lasts longer than others. Work that the runner gets after
/// the update has propagated is a violation, and there must be time for such work to arrive.
const LEAVING_EXTENSION: Duration = Duration::from_millis(PROPAGATION / 500);

/// Factor by which calls with pieces take longer at a slow runner.
const SLOWNESS: std::ops::Range<f64> = 2.0..5.0;

/// Kinds of faults. `Store`, `Forget`, `Spoil` and `Configure` hit the table service.
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
    /// Calls with pieces take longer at a runner. Only soaks of chains use it.
    Slow,
}

/// All kinds, repeated by weight: those that hit the whole system are drawn less often.
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

/// A fault that has begun and not ended, and the number of the relay or runner that it hits.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    kind: Kind,
    number: usize,
}

impl Kind {
    fn hits_relay(self) -> bool {
        matches!(self, Self::Kill | Self::Freeze | Self::Stop | Self::Reload)
    }

    /// Whether the fault excuses violations that concern what it hits.
    fn excuses_violations(self) -> bool {
        !matches!(
            self,
            Self::Reload | Self::Leave | Self::Forget | Self::Spoil | Self::Configure | Self::Slow
        )
    }

    /// Whether two faults with the same number exclude each other.
    fn excludes(self, other: Self) -> bool {
        let process = |kind: Self| matches!(kind, Self::Kill | Self::Stop);
        let runner = |kind: Self| matches!(kind, Self::Crash | Self::Leave);
        self == other || process(self) && process(other) || runner(self) && runner(other)
    }
}

/// The faults of one soak.
#[derive(Debug)]
pub struct Faults<'a> {
    cluster: &'a mut Cluster,
    state: Arc<SoakState>,
    rng: StdRng,
    pause_factor: u64,
    schedule: Schedule<ActiveFault>,
    /// Number of faults by kind.
    pub counts: BTreeMap<String, u64>,
    /// Relays that did not stop properly when asked to.
    pub stuck: Vec<String>,
}

impl<'a> Faults<'a> {
    /// Prepares the faults of a seed; none has begun.
    pub fn new(cluster: &'a mut Cluster, state: Arc<SoakState>, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            cluster,
            state,
            pause_factor: rng.random_range(PAUSE_FACTOR),
            rng,
            schedule: Schedule::new(Duration::ZERO),
            counts: BTreeMap::new(),
            stuck: Vec::new(),
        }
    }

    /// Starts and ends faults for a time, then ends those that are still active.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a process cannot be started.
    pub async fn run(&mut self, time: Duration) -> Result<(), Error> {
        self.schedule = Schedule::new(time);
        loop {
            let step = tokio::select! {
                step = self.schedule.step() => step,
                () = sleep(CHECK_INTERVAL) => {
                    self.cluster.maintain_runners(&self.state).await?;
                    continue;
                }
            };
            let Some(step) = step else { break };
            match step {
                Step::Draw => {
                    let pause = self.pause_factor * self.rng.random_range(PAUSE_MS);
                    self.schedule.pause(Duration::from_millis(pause));
                    self.start_random().await?;
                }
                Step::Undo(due) => self.undo_due(due).await?,
            }
        }
        Ok(())
    }

    /// Injects no faults for a time, and restarts runners that requests have crashed.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a runner cannot be restarted.
    pub async fn wait(&mut self, time: Duration) -> Result<(), Error> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.cluster.maintain_runners(&self.state).await?;
            sleep(CHECK_INTERVAL).await;
        }
        Ok(())
    }

    /// Restores the table service from an older backup in the middle of a time. Shortly before, a runner
    /// is marked as leaving and a key is replaced. After the restore, all entries and the configuration
    /// are written again one after the other, including these changes. A second runner is marked as
    /// leaving right after the restore, while one relay is cut off from the service until the lost
    /// versions have been assigned again.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a runner cannot be restarted.
    pub async fn restore(&mut self, time: Duration) -> Result<(), Error> {
        self.wait(time / 4).await?;
        let mut order: Vec<usize> = (0..self.cluster.targets.len()).collect();
        order.shuffle(&mut self.rng);
        let mut leaving = vec![order[0]];
        self.begin_leaving(order[0]);
        self.cluster.publish_configuration();
        self.cluster.store.write_unrelated_rows(UNRELATED_ROWS);
        let before = Duration::from_millis(self.rng.random_range(100..BACKUP_AGE_MS));
        self.wait(before).await?;
        let cut = self.rng.random_range(0..self.cluster.relays.len());
        let relay = self.cluster.relays[cut].0.id.clone();
        self.state.begin_fault(&relay);
        self.cluster.relays[cut].1.set(Mode::Cut);
        self.restore_backup(Duration::from_millis(BACKUP_AGE_MS))
            .await?;
        leaving.push(order[1]);
        self.begin_leaving(order[1]);
        for &number in &order {
            self.wait(REWRITE_INTERVAL).await?;
            self.cluster.write_entry(number, leaving.contains(&number));
        }
        self.cluster.republish_configuration();
        self.cluster.store.write_unrelated_rows(UNRELATED_ROWS * 2);
        self.cluster.relays[cut].1.set(Mode::Pass);
        self.state.end_fault(&relay);
        self.wait(time / 2).await?;
        for number in leaving {
            self.state.end_leaving(&self.cluster.targets[number].id);
            self.cluster.restart_runner(number).await?;
        }
        Ok(())
    }

    fn begin_leaving(&self, number: usize) {
        self.cluster.write_entry(number, true);
        self.state.begin_leaving(&self.cluster.targets[number].id);
    }

    /// Makes the table service unavailable for a moment, then restores it from a backup of the given age.
    async fn restore_backup(&mut self, age: Duration) -> Result<(), Error> {
        let downtime = Duration::from_millis(self.rng.random_range(100..1_000));
        self.state.begin_fault(TABLE);
        self.cluster.store.set_fault(store::Fault::Busy);
        self.wait(downtime).await?;
        self.cluster.store.restore(age);
        self.cluster.store.set_fault(store::Fault::None);
        self.state.end_fault(TABLE);
        Ok(())
    }

    /// Waits until all runners that requests have crashed or made unresponsive are up again.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if one cannot be restarted.
    pub async fn wait_for_runners(&mut self) -> Result<(), Error> {
        while self
            .cluster
            .targets
            .iter()
            .any(|target| target.runner.down_for().is_some())
        {
            self.cluster.maintain_runners(&self.state).await?;
            sleep(CHECK_INTERVAL).await;
        }
        Ok(())
    }

    async fn start_random(&mut self) -> Result<(), Error> {
        let kind = KINDS.choose(&mut self.rng).copied().unwrap_or(Kind::Reload);
        let among = match kind {
            Kind::StoreLink => self.cluster.relays.len(),
            kind if kind.hits_relay() => self.cluster.relays.len(),
            _ => self.cluster.targets.len(),
        };
        let number = self.rng.random_range(0..among);
        let duration = Duration::from_millis(self.rng.random_range(DURATION_MS));
        self.start(kind, number, duration).await
    }

    /// Starts a fault if none that excludes it is active.
    async fn start(&mut self, kind: Kind, number: usize, duration: Duration) -> Result<(), Error> {
        let excluded = |active: &ActiveFault| active.number == number && active.kind.excludes(kind);
        if self
            .schedule
            .pending
            .iter()
            .any(|pending| excluded(&pending.fault))
        {
            return Ok(());
        }
        if !self.inject(kind, number).await? {
            return Ok(());
        }
        *self.counts.entry(format!("{kind:?}")).or_default() += 1;
        let extension = if kind == Kind::Leave {
            LEAVING_EXTENSION
        } else {
            Duration::ZERO
        };
        self.schedule
            .add(duration + extension, ActiveFault { kind, number });
        Ok(())
    }

    /// Name of the subject that a fault hits.
    fn subject(&self, kind: Kind, number: usize) -> String {
        match kind {
            Kind::Store | Kind::Forget => TABLE.to_owned(),
            Kind::StoreLink => self.cluster.relays[number].0.id.clone(),
            kind if kind.hits_relay() => self.cluster.relays[number].0.id.clone(),
            _ => self.cluster.targets[number].id.clone(),
        }
    }

    /// Injects a fault. Returns false if it is not possible now.
    async fn inject(&mut self, kind: Kind, number: usize) -> Result<bool, Error> {
        let subject = self.subject(kind, number);
        if kind.hits_relay() && !self.cluster.fleet.has(&subject) {
            return Ok(false);
        }
        if kind.excuses_violations() {
            self.state.begin_fault(&subject);
        }
        match kind {
            Kind::Kill => {
                self.state.mark_killed(&subject);
                self.cluster.fleet.kill(&subject)?;
            }
            Kind::Freeze => self.cluster.fleet.signal(&subject, Signal::Stop)?,
            Kind::Stop => self.cluster.fleet.signal(&subject, Signal::Terminate)?,
            Kind::Reload => self.cluster.fleet.signal(&subject, Signal::Reload)?,
            Kind::StoreLink => {
                let mode = self.draw_mode();
                self.cluster.relays[number].1.set(mode);
            }
            Kind::RunnerLink => {
                let mode = self.draw_mode();
                self.cluster.targets[number].proxy.set(mode);
            }
            Kind::Runner => {
                let fault = self.draw_runner_fault();
                self.cluster.targets[number].runner.set_fault(fault);
            }
            Kind::Crash => self.cluster.targets[number].runner.crash(),
            Kind::Leave => {
                self.cluster.write_entry(number, true);
                self.state.begin_leaving(&subject);
            }
            Kind::Store => {
                let fault = self.draw_store_fault();
                self.cluster.store.set_fault(fault);
            }
            Kind::Forget => self.cluster.store.truncate_history(),
            Kind::Spoil => self
                .cluster
                .store
                .write_invalid_entry(&format!("odd-{number}")),
            Kind::Configure => self.cluster.publish_configuration(),
            Kind::Slow => {
                let factor = self.rng.random_range(SLOWNESS);
                self.cluster.targets[number].runner.set_slowness(factor);
            }
        }
        Ok(true)
    }

    fn draw_mode(&mut self) -> Mode {
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

    fn draw_runner_fault(&mut self) -> Fault {
        let slow = Fault::Slow(Duration::from_millis(self.rng.random_range(20..400)));
        let faults = [
            Fault::Refuse,
            Fault::Fail,
            Fault::Lose,
            Fault::Truncate,
            Fault::Mute,
            Fault::Cross,
            slow,
        ];
        faults.choose(&mut self.rng).copied().unwrap_or(slow)
    }

    fn draw_store_fault(&mut self) -> store::Fault {
        let slow = store::Fault::Slow(Duration::from_millis(self.rng.random_range(20..600)));
        let (busy, silent) = (store::Fault::Busy, store::Fault::Silent);
        let faults = [busy, silent, store::Fault::Lose, slow];
        faults.choose(&mut self.rng).copied().unwrap_or(slow)
    }

    async fn undo_due(&mut self, due: Vec<Pending<ActiveFault>>) -> Result<(), Error> {
        for pending in due {
            if !self.undo(pending.fault, pending.due).await? {
                self.schedule.postpone(pending).await;
            }
        }
        Ok(())
    }

    /// Undoes a fault. Returns false if it must be tried again later.
    async fn undo(&mut self, active: ActiveFault, due: Instant) -> Result<bool, Error> {
        let ActiveFault { kind, number } = active;
        let subject = self.subject(kind, number);
        match kind {
            Kind::Kill => self.cluster.start_relay(number, &self.state)?,
            Kind::Freeze if self.cluster.fleet.has(&subject) => {
                self.cluster.fleet.signal(&subject, Signal::Continue)?;
            }
            Kind::Stop => {
                if !self.has_stopped(&subject, due)? {
                    return Ok(false);
                }
                self.cluster.start_relay(number, &self.state)?;
            }
            Kind::StoreLink => self.cluster.relays[number].1.set(Mode::Pass),
            Kind::RunnerLink => self.cluster.targets[number].proxy.set(Mode::Pass),
            Kind::Runner => self.cluster.targets[number].runner.set_fault(Fault::None),
            Kind::Slow => self.cluster.targets[number].runner.set_slowness(1.0),
            Kind::Crash => self.cluster.restart_runner(number).await?,
            Kind::Leave => {
                self.state.end_leaving(&subject);
                self.cluster.targets[number].runner.crash();
                self.cluster.restart_runner(number).await?;
            }
            Kind::Store => self.cluster.store.set_fault(store::Fault::None),
            Kind::Freeze | Kind::Reload | Kind::Forget | Kind::Spoil | Kind::Configure => {}
        }
        if kind.excuses_violations() {
            self.state.end_fault(&subject);
        }
        Ok(true)
    }

    /// Whether a process that was asked to stop has exited. A process that hangs is killed and recorded.
    fn has_stopped(&mut self, subject: &str, due: Instant) -> Result<bool, Error> {
        if !self.cluster.fleet.has(subject) {
            return Ok(true);
        }
        if let Some(status) = self.cluster.fleet.try_wait(subject)? {
            if !status.success() {
                self.stuck.push(format!("{subject} exited with {status}"));
            }
            return Ok(true);
        }
        if due.elapsed() < Duration::from_secs_f64(GRACE_S) + STOP_TOLERANCE {
            return Ok(false);
        }
        self.stuck.push(format!("{subject} does not exit"));
        self.state.mark_killed(subject);
        self.cluster.fleet.kill(subject)?;
        Ok(true)
    }
}
