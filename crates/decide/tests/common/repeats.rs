//! Simulation of a fleet of processes, in virtual time, whose requests fail and are retried.

use decide::retry::window::RetryBound;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Duration of a simulation.
const RUN_TIME: Duration = Duration::from_secs(45);
/// Number of processes in the settings, independent of the actual number.
const CONFIGURED_PROCESSES: usize = 8;
/// Maximum attempts of a request, including the first.
const ATTEMPT_LIMIT: u32 = 4;
/// Range of the age of a process's list of the other processes.
const PEER_LIST_AGE: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(4)];
/// Longest time from the start of a process until it knows the other processes.
const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(1);
/// Longest time from the decision to send a request until it reaches its runner.
pub const TRANSIT: Duration = Duration::from_millis(300);
/// Time span in seconds whose requests a failing runner loses.
const IN_FLIGHT_SECONDS: f64 = 0.5;

/// Shares of the attempts that may fail in a phase.
const STORMS: [f64; 4] = [0.01, 0.05, 0.3, 0.8];
const CALM: [f64; 4] = [0.0, 0.01, 0.02, 0.05];

/// Policy by which a process limits its retries.
pub trait RetryPolicy {
    /// The policy of a process that starts. `is_first` tells whether it is its first start at the
    /// beginning of the simulation.
    fn start(bound: RetryBound, now: Duration, is_first: bool) -> Self;
    /// Records the first attempt of a request that arrived at `arrived`.
    fn record_first_attempt(&mut self, now: Duration, arrived: Duration);
    /// Whether one of `processes` may send a retry; `None` before their number is known.
    fn try_retry(&mut self, now: Duration, processes: Option<usize>) -> bool;
    /// Replaces the bound.
    fn set_bound(&mut self, now: Duration, bound: RetryBound);
}

/// Conditions that a simulation includes.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Processes are killed and restart.
    pub kills: bool,
    /// New processes join, and others leave.
    pub moves: bool,
    /// Processes that have just started do not know the other processes.
    pub unlisted: bool,
    /// Traffic rises and falls.
    pub swings: bool,
    /// Traffic is distributed unevenly over the processes, and the distribution changes.
    pub uneven: bool,
    /// The bound changes.
    pub rebinds: bool,
    /// Requests of a later stage are counted long after their arrival.
    pub late: bool,
    /// Retries take time to arrive.
    pub transit: bool,
    /// Many attempts fail at times.
    pub storms: bool,
}

impl Conditions {
    pub const ALL: Self = Self {
        kills: true,
        moves: true,
        unlisted: true,
        swings: true,
        uneven: true,
        rebinds: true,
        late: true,
        transit: true,
        storms: true,
    };

    /// Only the conditions in this comma-separated list of names.
    pub fn of(names: &str) -> Self {
        let has = |name| names.split(',').any(|other| other == name);
        Self {
            kills: has("kills"),
            moves: has("moves"),
            unlisted: has("unlisted"),
            swings: has("swings"),
            uneven: has("uneven"),
            rebinds: has("rebinds"),
            late: has("late"),
            transit: has("transit"),
            storms: has("storms"),
        }
    }
}

/// Events of one simulation.
#[derive(Default)]
pub struct Trace {
    /// Times at which clients sent their requests.
    pub first_attempts: Vec<Duration>,
    /// Times at which retries arrived.
    pub arrivals: Vec<Duration>,
    /// Each bound with the times at which the first process applied it and at which the last retry
    /// under it could arrive.
    pub bounds: Vec<(RetryBound, Duration, Duration)>,
    pub refused: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ChangeBound(usize),
    Kill(usize),
    Start(usize),
    RunnerFailure,
    FirstAttempt,
    RecordFirstAttempt {
        process: usize,
        incarnation: u32,
        sent: Duration,
    },
    Retry {
        process: usize,
        incarnation: u32,
        attempt: u32,
    },
}

struct Process<G> {
    policy: G,
    started: Duration,
    list_age: Duration,
    discovery_delay: Duration,
}

/// A period of constant traffic.
struct Phase {
    until: Duration,
    rate: f64,
    failing: f64,
    weights: Vec<f64>,
}

struct Simulation<G> {
    rng: SmallRng,
    conditions: Conditions,
    bound: RetryBound,
    changed: Option<(Duration, RetryBound)>,
    phases: Vec<Phase>,
    /// Times from which and until which each process is registered.
    registered: Vec<[Duration; 2]>,
    incarnations: Vec<u32>,
    processes: Vec<Option<Process<G>>>,
    delay: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    trace: Trace,
}

/// Simulates one seed under these conditions.
pub fn simulate<G: RetryPolicy>(seed: u64, conditions: Conditions) -> Trace {
    let mut simulation = Simulation::<G>::random(seed, conditions);
    while let Some(Reverse((now, _, event))) = simulation.queue.pop() {
        simulation.handle(now, event);
    }
    let mut trace = simulation.trace;
    trace.arrivals.sort_unstable();
    trace
}

fn between(rng: &mut SmallRng, range: [Duration; 2]) -> Duration {
    rng.random_range(range[0]..=range[1])
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

impl<G: RetryPolicy> Simulation<G> {
    fn random(seed: u64, conditions: Conditions) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(4..=40_usize);
        let bound = RetryBound {
            ratio: rng.random_range(0.1..0.3),
            slack: rng.random_range(20.0..120.0),
            window: seconds(rng.random_range(4.0..10.0)),
        };
        let joiners = rng.random_range(0..=count / 3);
        let delayed = rng.random_bool(0.3) && conditions.late;
        let mut simulation = Self {
            phases: random_phases(&mut rng, conditions, count + joiners),
            rng,
            conditions,
            bound,
            changed: None,
            registered: vec![[Duration::ZERO, Duration::MAX]; count],
            incarnations: vec![0; count + joiners],
            processes: (0..count + joiners).map(|_| None).collect(),
            delay: seconds(if delayed { 1.5 } else { 0.02 }),
            queue: BinaryHeap::new(),
            number: 0,
            trace: Trace::default(),
        };
        for process in 0..count {
            simulation.start(Duration::ZERO, process, true);
        }
        simulation.random_members(count, joiners);
        simulation.random_bounds();
        for phase in 0..simulation.phases.len() {
            simulation.push(simulation.phases[phase].until, Event::RunnerFailure);
        }
        simulation.push(Duration::ZERO, Event::FirstAttempt);
        simulation
    }

    fn random_members(&mut self, count: usize, joiners: usize) {
        for process in count..count + joiners {
            let at = seconds(self.rng.random_range(5.0..40.0));
            let row = at + seconds(self.rng.random_range(0.0..0.5));
            let leaver = self.rng.random_range(0..count);
            let left = seconds(self.rng.random_range(5.0..40.0));
            let until = left + seconds(self.rng.random_range(0.0..1.0));
            if self.conditions.moves {
                self.push(at, Event::Start(process));
                self.push(left, Event::Kill(leaver));
                self.registered[leaver][1] = self.registered[leaver][1].min(until);
            }
            let row = if self.conditions.moves {
                row
            } else {
                Duration::MAX
            };
            self.registered.push([row, Duration::MAX]);
        }
        for _ in 0..self.rng.random_range(1..=3) {
            let at = seconds(self.rng.random_range(3.0..35.0));
            let share = self.rng.random_range(0.1..0.7);
            let downtime = self.rng.random_range(0.3..4.0);
            for process in 0..count {
                let restarted = at + seconds(downtime + self.rng.random_range(0.0..0.5));
                let is_hit = self.rng.random_bool(share) && self.conditions.kills;
                if is_hit && self.registered[process][1] > restarted {
                    self.push(at, Event::Kill(process));
                    self.push(restarted, Event::Start(process));
                }
            }
        }
    }

    fn random_bounds(&mut self) {
        let at = seconds(self.rng.random_range(8.0..35.0));
        let changed = RetryBound {
            ratio: self.bound.ratio * self.rng.random_range(0.5..2.0),
            slack: self.bound.slack * self.rng.random_range(0.5..2.0),
            ..self.bound
        };
        if !self.conditions.rebinds || self.rng.random_bool(0.5) {
            let always = (self.bound, Duration::ZERO, Duration::MAX);
            self.trace.bounds.push(always);
            return;
        }
        let spread = Duration::from_millis(500);
        self.changed = Some((at, changed));
        self.trace.bounds = vec![
            (self.bound, Duration::ZERO, at + spread + TRANSIT),
            (changed, at, Duration::MAX),
        ];
        for process in 0..self.processes.len() {
            let time = at + between(&mut self.rng, [Duration::ZERO, spread]);
            self.push(time, Event::ChangeBound(process));
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, event)));
    }

    fn phase(&self, now: Duration) -> &Phase {
        let index = self.phases.partition_point(|phase| phase.until <= now);
        &self.phases[index.min(self.phases.len() - 1)]
    }

    fn start(&mut self, now: Duration, process: usize, is_first: bool) {
        let changed = self.changed.filter(|(at, _)| *at <= now);
        let bound = changed.map_or(self.bound, |(_, bound)| bound);
        let discovery_delay = between(&mut self.rng, [Duration::ZERO, MAX_DISCOVERY_DELAY]);
        let is_known = is_first || !self.conditions.unlisted;
        self.processes[process] = Some(Process {
            policy: G::start(bound, now, is_first),
            started: now,
            list_age: between(&mut self.rng, PEER_LIST_AGE),
            discovery_delay: if is_known {
                Duration::ZERO
            } else {
                discovery_delay
            },
        });
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::ChangeBound(process) => {
                let (_, bound) = self.changed.expect("a changed bound");
                if let Some(process) = &mut self.processes[process] {
                    process.policy.set_bound(now, bound);
                }
            }
            Event::Kill(process) => {
                self.incarnations[process] += 1;
                self.processes[process] = None;
            }
            Event::Start(process) => {
                if self.processes[process].is_none() {
                    self.start(now, process, false);
                }
            }
            Event::RunnerFailure => self.fail_runner(now),
            Event::FirstAttempt => self.send(now),
            Event::RecordFirstAttempt {
                process,
                incarnation,
                sent,
            } => self.count(now, process, incarnation, sent),
            Event::Retry {
                process,
                incarnation,
                attempt,
            } => self.retry(now, process, incarnation, attempt),
        }
    }

    /// A runner fails and loses all requests that it was sent.
    fn fail_runner(&mut self, now: Duration) {
        let phase = self.phase(now);
        let all: f64 = phase.weights.iter().sum();
        let scale = phase.rate * IN_FLIGHT_SECONDS / all;
        let lost: Vec<f64> = phase.weights.iter().map(|part| part * scale).collect();
        for (process, lost) in lost.into_iter().enumerate() {
            for _ in 0..lost.ceil() as u32 {
                let incarnation = self.incarnations[process];
                self.push(
                    now,
                    Event::Retry {
                        process,
                        incarnation,
                        attempt: 1,
                    },
                );
            }
        }
    }

    fn send(&mut self, now: Duration) {
        let rate = self.phase(now).rate;
        let interval = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        if now + seconds(interval) < RUN_TIME {
            self.push(now + seconds(interval), Event::FirstAttempt);
        }
        let Some(process) = self.pick_process(now) else {
            return;
        };
        self.trace.first_attempts.push(now);
        let delay = between(&mut self.rng, [Duration::ZERO, self.delay]);
        let incarnation = self.incarnations[process];
        self.push(
            now + delay,
            Event::RecordFirstAttempt {
                process,
                incarnation,
                sent: now,
            },
        );
    }

    fn pick_process(&mut self, now: Duration) -> Option<usize> {
        let random = self.rng.random::<f64>();
        let weights = self.phase(now).weights.iter().zip(&self.processes);
        let live = weights.map(|(weight, process)| process.as_ref().map_or(0.0, |_| *weight));
        let mut remaining = random * live.clone().sum::<f64>();
        live.enumerate().find_map(|(process, weight)| {
            remaining -= weight;
            (remaining < 0.0).then_some(process)
        })
    }

    fn count(&mut self, now: Duration, process: usize, incarnation: u32, sent: Duration) {
        if self.incarnations[process] != incarnation {
            return;
        }
        if let Some(process) = &mut self.processes[process] {
            process.policy.record_first_attempt(now, sent);
        }
        self.fail(now, process, incarnation, 1);
    }

    fn fail(&mut self, now: Duration, process: usize, incarnation: u32, attempt: u32) {
        let failing = self.phase(now).failing;
        if attempt >= ATTEMPT_LIMIT || !self.rng.random_bool(failing) {
            return;
        }
        let response_time = seconds(0.02 + 1.5 * self.rng.random::<f64>().powi(3));
        self.push(
            now + response_time,
            Event::Retry {
                process,
                incarnation,
                attempt,
            },
        );
    }

    fn retry(&mut self, now: Duration, process: usize, incarnation: u32, attempt: u32) {
        let known_processes = self.known_processes(now, process);
        let Some(sender) = &mut self.processes[process] else {
            return;
        };
        if self.incarnations[process] != incarnation {
            return;
        }
        if !sender.policy.try_retry(now, known_processes) {
            self.trace.refused += 1;
            return;
        }
        let max_transit = if self.conditions.transit {
            TRANSIT
        } else {
            Duration::ZERO
        };
        let transit = between(&mut self.rng, [Duration::ZERO, max_transit]);
        self.trace.arrivals.push(now + transit);
        self.fail(now, process, incarnation, attempt + 1);
    }

    /// Number of processes that this process knows of.
    fn known_processes(&self, now: Duration, process: usize) -> Option<usize> {
        let observer = self.processes[process].as_ref()?;
        if now < observer.started + observer.discovery_delay {
            return None;
        }
        let read = now.saturating_sub(observer.list_age);
        let is_there = |row: &&[Duration; 2]| row[0] <= read && read < row[1];
        Some(self.registered.iter().filter(is_there).count().max(1))
    }
}

/// The number of processes, or the configured one while it is unknown.
pub fn configured(processes: Option<usize>) -> usize {
    processes.unwrap_or(CONFIGURED_PROCESSES)
}

fn random_phases(rng: &mut SmallRng, conditions: Conditions, count: usize) -> Vec<Phase> {
    let base = rng.random_range(60.0..200.0);
    let failing = match conditions.storms {
        true => STORMS,
        false => CALM,
    };
    let mut phases = Vec::new();
    let mut until = Duration::ZERO;
    while until < RUN_TIME {
        until += seconds(rng.random_range(1.0..10.0));
        let factor = if rng.random_bool(0.5) { 4.0 } else { 1.0 };
        let weight = |rng: &mut SmallRng| 4.0_f64.powf(rng.random_range(-1.0..1.0));
        let weights: Vec<f64> = (0..count).map(|_| weight(rng)).collect();
        phases.push(Phase {
            until,
            rate: if conditions.swings {
                base * factor
            } else {
                2.0 * base
            },
            failing: failing[rng.random_range(0..failing.len())],
            weights: if conditions.uneven {
                weights
            } else {
                vec![1.0; count]
            },
        });
    }
    phases
}
