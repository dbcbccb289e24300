//! Stops, starts and reloads of relays, which are drawn from a seed.

use super::balancer::Balancer;
use crate::Error;
use crate::fleet::Signal;
use crate::torture::relays::cluster::{Cluster, GRACE_S};
use crate::torture::state::SoakState;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two steps.
const STEP: Duration = Duration::from_millis(10);
/// Bounds of the times between two rounds of stops, between two stops of a round in turn and between those of
/// a round of relays that stop together, in milliseconds.
const ROUND_MS: Range<u64> = 300..2_000;
const IN_TURN_MS: Range<u64> = 500..2_500;
const TOGETHER_MS: Range<u64> = 0..150;
/// Probability that relays stop together in a round, and that all of them do.
const TOGETHER_PROBABILITY: f64 = 0.4;
const ALL_PROBABILITY: f64 = 0.4;
/// Bounds of the time for which a relay is down and of the least time for which it serves, in milliseconds.
const DOWN_MS: Range<u64> = 100..800;
const UP_MS: Range<u64> = 0..3_000;
/// Bounds of the factor by which a seed lengthens the times between rounds and for which relays serve. A relay
/// has a share of the fixed retries only after ten seconds, and half a minute after its first start.
/// With a factor of 0, relays are stopped again as soon as they serve.
const UP_FACTOR: RangeInclusive<u32> = 0..=6;
/// Bounds of the time between two reloads and between two versions of the configuration, in milliseconds.
const RELOAD_MS: Range<u64> = 200..1_500;
const CONFIGURE_MS: Range<u64> = 500..3_000;
/// Probabilities that a relay that is stopped gets SIGHUP or a second SIGTERM as well, and bounds of the
/// time until then, in milliseconds.
const RELOAD_PROBABILITY: f64 = 0.3;
const SECOND_STOP_PROBABILITY: f64 = 0.2;
const SECOND_SIGNAL_DELAY_MS: Range<u64> = 0..4_000;
/// Probability that a seed has slow processors, and bounds of the times for which a relay then runs and is
/// suspended in turn, in milliseconds.
const SLOW_PROBABILITY: f64 = 0.4;
const RUNNING_MS: Range<u64> = 20..120;
const SUSPENDED_MS: Range<u64> = 20..150;

/// What a relay does.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// It serves and is not stopped before the given time.
    Serving(Instant),
    /// It was asked to stop at the given time, and gets a second signal later if there is one.
    Stopping(Instant, Option<(Instant, Signal)>),
    /// It has exited and is started at the given time.
    Down(Instant),
}

/// Stops, starts and reloads relays.
#[derive(Debug)]
pub struct Driver<'a> {
    cluster: &'a mut Cluster,
    balancer: &'a Arc<Balancer>,
    state: &'a SoakState,
    rng: StdRng,
    up_factor: u32,
    phases: Vec<Phase>,
    /// Stops to come: when at the earliest, and which relay.
    stops: Vec<(Instant, usize)>,
    /// Starts so far of each relay.
    starts: Vec<u32>,
    /// On slow processors: until when each relay runs or is suspended, and whether it is suspended.
    slices: Option<Vec<(Instant, bool)>>,
    /// Number of signals and changes by kind.
    pub counts: BTreeMap<String, u64>,
    /// Relays that did not stop properly.
    pub stuck: Vec<String>,
}

impl<'a> Driver<'a> {
    /// Prepares the stops of a seed for a cluster that serves.
    pub fn new(
        cluster: &'a mut Cluster,
        balancer: &'a Arc<Balancer>,
        state: &'a SoakState,
        seed: u64,
    ) -> Self {
        let count = cluster.relays.len();
        let mut rng = StdRng::seed_from_u64(seed);
        let driver = Self {
            cluster,
            balancer,
            state,
            up_factor: rng.random_range(UP_FACTOR),
            slices: rng
                .random_bool(SLOW_PROBABILITY)
                .then(|| vec![(Instant::now(), false); count]),
            rng,
            phases: vec![Phase::Serving(Instant::now()); count],
            stops: Vec::new(),
            starts: vec![1; count],
            counts: BTreeMap::new(),
            stuck: Vec::new(),
        };
        (0..count).for_each(|number| driver.announce(number));
        driver
    }

    /// Stops and starts relays for a time, then waits until all of them serve.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a process cannot be started.
    pub async fn run(&mut self, time: Duration) -> Result<(), Error> {
        let end = Instant::now() + time;
        let mut reload_at = Instant::now();
        let mut configure_at = Instant::now();
        loop {
            let now = Instant::now();
            if now < end {
                self.plan_round(now);
                if now >= reload_at {
                    reload_at = now + self.draw(RELOAD_MS);
                    let number = self.rng.random_range(0..self.phases.len());
                    self.signal(number, Signal::Reload)?;
                }
                if now >= configure_at {
                    configure_at = now + self.draw(CONFIGURE_MS);
                    self.cluster.publish_configuration();
                    self.count("Configure");
                }
                self.stop_due(now)?;
            }
            for number in 0..self.phases.len() {
                self.step(number)?;
                self.slice(number, now)?;
            }
            let is_serving = |phase: &Phase| matches!(phase, Phase::Serving(_));
            if now >= end && self.phases.iter().all(is_serving) {
                return self.resume_all();
            }
            sleep(STEP).await;
        }
    }

    /// Suspends or resumes a relay if its time is over.
    fn slice(&mut self, number: usize, now: Instant) -> Result<(), Error> {
        let Some((_, is_suspended)) = self
            .slices
            .as_ref()
            .map(|slices| slices[number])
            .filter(|(until, _)| now >= *until)
        else {
            return Ok(());
        };
        let (signal, time) = match is_suspended {
            true => (Signal::Continue, RUNNING_MS),
            false => (Signal::Stop, SUSPENDED_MS),
        };
        let until = now + self.draw(time);
        let is_up = self.signal(number, signal)?;
        if let Some(slices) = &mut self.slices {
            slices[number] = (until, is_up && !is_suspended);
        }
        Ok(())
    }

    /// Resumes relays that are suspended, before something that may keep this task from doing so in time.
    fn resume_all(&mut self) -> Result<(), Error> {
        let mut slices = self.slices.take();
        let all = slices.iter_mut().flatten().enumerate();
        for (number, (_, is_suspended)) in all {
            if std::mem::take(is_suspended) {
                self.signal(number, Signal::Continue)?;
            }
        }
        self.slices = slices;
        Ok(())
    }

    fn draw(&mut self, bounds: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(bounds))
    }

    fn count(&mut self, what: &str) {
        *self.counts.entry(what.to_owned()).or_default() += 1;
    }

    /// Draws the next round of stops once the last one is over.
    fn plan_round(&mut self, now: Instant) {
        if !self.stops.is_empty() {
            return;
        }
        let mut order: Vec<usize> = (0..self.phases.len()).collect();
        order.shuffle(&mut self.rng);
        let is_together = self.rng.random_bool(TOGETHER_PROBABILITY);
        if is_together && !self.rng.random_bool(ALL_PROBABILITY) {
            order.truncate(order.len() / 2);
        }
        self.count(if is_together { "Together" } else { "InTurn" });
        let gap_ms = if is_together { TOGETHER_MS } else { IN_TURN_MS };
        let mut at = now + self.draw(ROUND_MS) * self.up_factor;
        for number in order {
            self.stops.push((at, number));
            at += self.draw(gap_ms.clone());
        }
    }

    /// Stops the relays that are due and serve.
    fn stop_due(&mut self, now: Instant) -> Result<(), Error> {
        let mut later = Vec::new();
        for (at, number) in std::mem::take(&mut self.stops) {
            let Phase::Serving(from) = self.phases[number] else {
                later.push((at, number));
                continue;
            };
            if now < at.max(from) {
                later.push((at, number));
                continue;
            }
            let extra = self.draw_second_signal(now);
            self.signal(number, Signal::Terminate)?;
            // On a busy machine, sending a signal may take long.
            if let Some(listen) = self.listen(number) {
                self.balancer.record_stop(listen);
            }
            self.phases[number] = Phase::Stopping(Instant::now(), extra);
        }
        self.stops = later;
        Ok(())
    }

    fn draw_second_signal(&mut self, now: Instant) -> Option<(Instant, Signal)> {
        let draw: f64 = self.rng.random();
        let wait = self.draw(SECOND_SIGNAL_DELAY_MS);
        if draw < RELOAD_PROBABILITY {
            return Some((now, Signal::Reload));
        }
        (draw < RELOAD_PROBABILITY + SECOND_STOP_PROBABILITY)
            .then_some((now + wait, Signal::Terminate))
    }

    fn step(&mut self, number: usize) -> Result<(), Error> {
        match self.phases[number] {
            Phase::Serving(_) => {}
            Phase::Stopping(since, extra) => {
                if self.has_exited(number, since)? {
                    let start_at = Instant::now() + self.draw(DOWN_MS);
                    self.phases[number] = Phase::Down(start_at);
                } else if let Some((_, signal)) = extra.filter(|(at, _)| *at <= Instant::now()) {
                    self.signal(number, signal)?;
                    self.phases[number] = Phase::Stopping(since, None);
                }
            }
            Phase::Down(start_at) => {
                if Instant::now() >= start_at {
                    self.start(number)?;
                }
            }
        }
        Ok(())
    }

    /// Whether a process that was asked to stop has exited. One that is seen to run after its grace period is
    /// killed, as the platform does, and recorded. An exit that is merely noticed late, after the disk has kept
    /// this task waiting for seconds, does not count against the process.
    fn has_exited(&mut self, number: usize, since: Instant) -> Result<bool, Error> {
        let id = self.id(number);
        let Some(listen) = self.listen(number) else {
            return Ok(true);
        };
        if let Some(status) = self.cluster.fleet.try_wait(&id)? {
            self.balancer.record_exit(listen);
            if !status.success() {
                self.stuck.push(format!("{id} exited with {status}"));
            }
            return Ok(true);
        }
        if since.elapsed() < Duration::from_secs_f64(GRACE_S) {
            return Ok(false);
        }
        self.stuck
            .push(format!("{id} at {listen} outlasts its grace period"));
        self.state.mark_killed(&id);
        self.cluster.fleet.kill(&id)?;
        self.balancer.record_exit(listen);
        Ok(true)
    }

    /// Starts a relay again. The log of its last process is kept under another name.
    fn start(&mut self, number: usize) -> Result<(), Error> {
        let log = self.cluster.fleet.log(&self.id(number));
        let kept = log.with_extension(format!("{}.log", self.starts[number]));
        std::fs::rename(&log, kept).map_err(|error| Error::Failed {
            reason: error.to_string(),
        })?;
        self.starts[number] += 1;
        self.resume_all()?;
        self.cluster.start_relay(number, self.state)?;
        self.announce(number);
        self.count("Start");
        self.phases[number] = Phase::Serving(Instant::now() + self.draw(UP_MS) * self.up_factor);
        Ok(())
    }

    /// Tells the platform of the process of a relay.
    fn announce(&self, number: usize) {
        let id = self.id(number);
        if let Some(ready) = self.cluster.fleet.ready(&id)
            && let Some(probed) = ready.ready
        {
            self.balancer.add(&id, ready.listen, probed);
        }
    }

    /// Sends a signal to a relay, unless it is down. Returns whether it is up.
    fn signal(&mut self, number: usize, signal: Signal) -> Result<bool, Error> {
        let id = self.id(number);
        if !self.cluster.fleet.has(&id) {
            return Ok(false);
        }
        self.count(&format!("{signal:?}"));
        self.cluster.fleet.signal(&id, signal)?;
        Ok(true)
    }

    fn id(&self, number: usize) -> String {
        self.cluster.relays[number].0.id.clone()
    }

    fn listen(&self, number: usize) -> Option<SocketAddr> {
        let ready = self.cluster.fleet.ready(&self.id(number))?;
        Some(ready.listen)
    }
}
