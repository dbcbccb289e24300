//! A fleet of processes in virtual time whose requests fail and are repeated.

use decide::retry::window::RepeatLimit;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Length of a play.
const LENGTH: Duration = Duration::from_secs(45);
/// Processes that the settings name, whatever their number.
const CONFIGURED: usize = 8;
/// Attempts of a request, the first included.
const ATTEMPTS: u32 = 4;
/// Age of what a process knows of the others.
const LAG: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(4)];
/// Longest time from the start of a process until it knows of the others.
const LISTING: Duration = Duration::from_secs(1);
/// Longest time from a decision to send until the request is at its runner.
pub const TRANSIT: Duration = Duration::from_millis(300);
/// Time within which a runner that fails has been sent what it loses.
const IN_FLIGHT: f64 = 0.5;

/// What a process keeps its repeats by.
pub trait Guard {
    /// A process starts; `is_first` where nothing ran before it.
    fn start(bound: RepeatLimit, now: Duration, is_first: bool) -> Self;
    /// A request that came at `arrived` is sent for the first time.
    fn first(&mut self, now: Duration, arrived: Duration);
    /// Whether one of `processes` may send a repeat, `None` before they are known.
    fn repeat(&mut self, now: Duration, processes: Option<usize>) -> bool;
    /// The bound is another one.
    fn set_limit(&mut self, now: Duration, bound: RepeatLimit);
}

/// What happens in a play.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Processes are killed and come back.
    pub kills: bool,
    /// Processes join for the first time, and others leave.
    pub moves: bool,
    /// Processes that have just started do not know the others.
    pub unlisted: bool,
    /// Traffic rises and falls.
    pub swings: bool,
    /// Some processes get more of the traffic than others, and not always the same.
    pub uneven: bool,
    /// The bound changes.
    pub rebinds: bool,
    /// Requests of a later stage are counted long after they came.
    pub late: bool,
    /// Repeats take a while to arrive.
    pub transit: bool,
}

impl Terms {
    pub const ALL: Self = Self {
        kills: true,
        moves: true,
        unlisted: true,
        swings: true,
        uneven: true,
        rebinds: true,
        late: true,
        transit: true,
    };

    /// The terms of these names only.
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
        }
    }
}

/// What was seen of one play.
#[derive(Default)]
pub struct Seen {
    /// When clients sent their requests.
    pub firsts: Vec<Duration>,
    /// When repeats arrived.
    pub arrivals: Vec<Duration>,
    /// Each bound, and when the first process had it and the last repeat under it arrived.
    pub bounds: Vec<(RepeatLimit, Duration, Duration)>,
    pub refused: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Rebind(usize),
    Kill(usize),
    Start(usize),
    Wave,
    First,
    Count {
        process: usize,
        life: u32,
        sent: Duration,
    },
    AdmissionRequest {
        process: usize,
        life: u32,
        attempt: u32,
    },
}

struct Process<G> {
    guard: G,
    started: Duration,
    lag: Duration,
    listing: Duration,
}

/// A stretch of time with the same traffic.
struct Phase {
    until: Duration,
    rate: f64,
    failing: f64,
    weights: Vec<f64>,
}

struct Play<G> {
    rng: SmallRng,
    terms: Terms,
    bound: RepeatLimit,
    changed: Option<(Duration, RepeatLimit)>,
    phases: Vec<Phase>,
    /// From when to when each process has a row.
    rows: Vec<[Duration; 2]>,
    lives: Vec<u32>,
    processes: Vec<Option<Process<G>>>,
    delay: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    seen: Seen,
}

/// Plays one seed with the terms that are given.
pub fn play<G: Guard>(seed: u64, terms: Terms) -> Seen {
    let mut play = Play::<G>::draw(seed, terms);
    while let Some(Reverse((now, _, event))) = play.queue.pop() {
        play.take(now, event);
    }
    let mut seen = play.seen;
    seen.arrivals.sort_unstable();
    seen
}

fn between(rng: &mut SmallRng, range: [Duration; 2]) -> Duration {
    rng.random_range(range[0]..=range[1])
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

impl<G: Guard> Play<G> {
    fn draw(seed: u64, terms: Terms) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(4..=40_usize);
        let bound = RepeatLimit {
            ratio: rng.random_range(0.1..0.3),
            slack: rng.random_range(20.0..120.0),
            window: seconds(rng.random_range(4.0..10.0)),
        };
        let joining = rng.random_range(0..=count / 3);
        let delayed = rng.random_bool(0.3) && terms.late;
        let mut play = Self {
            phases: draw_phases(&mut rng, terms, count + joining),
            rng,
            terms,
            bound,
            changed: None,
            rows: vec![[Duration::ZERO, Duration::MAX]; count],
            lives: vec![0; count + joining],
            processes: (0..count + joining).map(|_| None).collect(),
            delay: seconds(if delayed { 1.5 } else { 0.02 }),
            queue: BinaryHeap::new(),
            number: 0,
            seen: Seen::default(),
        };
        for process in 0..count {
            play.start(Duration::ZERO, process, true);
        }
        play.draw_members(count, joining);
        play.draw_bounds();
        for phase in 0..play.phases.len() {
            play.push(play.phases[phase].until, Event::Wave);
        }
        play.push(Duration::ZERO, Event::First);
        play
    }

    fn draw_members(&mut self, count: usize, joining: usize) {
        for process in count..count + joining {
            let at = seconds(self.rng.random_range(5.0..40.0));
            let row = at + seconds(self.rng.random_range(0.0..0.5));
            let leaver = self.rng.random_range(0..count);
            let left = seconds(self.rng.random_range(5.0..40.0));
            let until = left + seconds(self.rng.random_range(0.0..1.0));
            if self.terms.moves {
                self.push(at, Event::Start(process));
                self.push(left, Event::Kill(leaver));
                self.rows[leaver][1] = self.rows[leaver][1].min(until);
            }
            let row = if self.terms.moves { row } else { Duration::MAX };
            self.rows.push([row, Duration::MAX]);
        }
        for _ in 0..self.rng.random_range(1..=3) {
            let at = seconds(self.rng.random_range(3.0..35.0));
            let share = self.rng.random_range(0.1..0.7);
            let away = self.rng.random_range(0.3..4.0);
            for process in 0..count {
                let back = at + seconds(away + self.rng.random_range(0.0..0.5));
                let is_hit = self.rng.random_bool(share) && self.terms.kills;
                if is_hit && self.rows[process][1] > back {
                    self.push(at, Event::Kill(process));
                    self.push(back, Event::Start(process));
                }
            }
        }
    }

    fn draw_bounds(&mut self) {
        let at = seconds(self.rng.random_range(8.0..35.0));
        let changed = RepeatLimit {
            ratio: self.bound.ratio * self.rng.random_range(0.5..2.0),
            slack: self.bound.slack * self.rng.random_range(0.5..2.0),
            ..self.bound
        };
        if !self.terms.rebinds || self.rng.random_bool(0.5) {
            let always = (self.bound, Duration::ZERO, Duration::MAX);
            self.seen.bounds.push(always);
            return;
        }
        let spread = Duration::from_millis(500);
        self.changed = Some((at, changed));
        self.seen.bounds = vec![
            (self.bound, Duration::ZERO, at + spread + TRANSIT),
            (changed, at, Duration::MAX),
        ];
        for process in 0..self.processes.len() {
            let moment = at + between(&mut self.rng, [Duration::ZERO, spread]);
            self.push(moment, Event::Rebind(process));
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
        let listing = between(&mut self.rng, [Duration::ZERO, LISTING]);
        let is_known = is_first || !self.terms.unlisted;
        self.processes[process] = Some(Process {
            guard: G::start(bound, now, is_first),
            started: now,
            lag: between(&mut self.rng, LAG),
            listing: if is_known { Duration::ZERO } else { listing },
        });
    }

    fn take(&mut self, now: Duration, event: Event) {
        match event {
            Event::Rebind(process) => {
                let (_, bound) = self.changed.expect("a changed bound");
                if let Some(process) = &mut self.processes[process] {
                    process.guard.set_limit(now, bound);
                }
            }
            Event::Kill(process) => {
                self.lives[process] += 1;
                self.processes[process] = None;
            }
            Event::Start(process) => {
                if self.processes[process].is_none() {
                    self.start(now, process, false);
                }
            }
            Event::Wave => self.wave(now),
            Event::First => self.send(now),
            Event::Count {
                process,
                life,
                sent,
            } => self.count(now, process, life, sent),
            Event::AdmissionRequest {
                process,
                life,
                attempt,
            } => self.ask(now, process, life, attempt),
        }
    }

    /// A runner fails with all that it was sent.
    fn wave(&mut self, now: Duration) {
        let phase = self.phase(now);
        let all: f64 = phase.weights.iter().sum();
        let scale = phase.rate * IN_FLIGHT / all;
        let lost: Vec<f64> = phase.weights.iter().map(|part| part * scale).collect();
        for (process, lost) in lost.into_iter().enumerate() {
            for _ in 0..lost.ceil() as u32 {
                let life = self.lives[process];
                self.push(
                    now,
                    Event::AdmissionRequest {
                        process,
                        life,
                        attempt: 1,
                    },
                );
            }
        }
    }

    fn send(&mut self, now: Duration) {
        let rate = self.phase(now).rate;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        if now + seconds(gap) < LENGTH {
            self.push(now + seconds(gap), Event::First);
        }
        let Some(process) = self.pick(now) else {
            return;
        };
        self.seen.firsts.push(now);
        let delay = between(&mut self.rng, [Duration::ZERO, self.delay]);
        let life = self.lives[process];
        self.push(
            now + delay,
            Event::Count {
                process,
                life,
                sent: now,
            },
        );
    }

    fn pick(&mut self, now: Duration) -> Option<usize> {
        let draw = self.rng.random::<f64>();
        let weights = self.phase(now).weights.iter().zip(&self.processes);
        let live = weights.map(|(weight, process)| process.as_ref().map_or(0.0, |_| *weight));
        let mut rest = draw * live.clone().sum::<f64>();
        live.enumerate().find_map(|(process, weight)| {
            rest -= weight;
            (rest < 0.0).then_some(process)
        })
    }

    fn count(&mut self, now: Duration, process: usize, life: u32, sent: Duration) {
        if self.lives[process] != life {
            return;
        }
        if let Some(process) = &mut self.processes[process] {
            process.guard.first(now, sent);
        }
        self.fail(now, process, life, 1);
    }

    fn fail(&mut self, now: Duration, process: usize, life: u32, attempt: u32) {
        let failing = self.phase(now).failing;
        if attempt >= ATTEMPTS || !self.rng.random_bool(failing) {
            return;
        }
        let took = seconds(0.02 + 1.5 * self.rng.random::<f64>().powi(3));
        self.push(
            now + took,
            Event::AdmissionRequest {
                process,
                life,
                attempt,
            },
        );
    }

    fn ask(&mut self, now: Duration, process: usize, life: u32, attempt: u32) {
        let known = self.known(now, process);
        let Some(asking) = &mut self.processes[process] else {
            return;
        };
        if self.lives[process] != life {
            return;
        }
        if !asking.guard.repeat(now, known) {
            self.seen.refused += 1;
            return;
        }
        let most = if self.terms.transit {
            TRANSIT
        } else {
            Duration::ZERO
        };
        let transit = between(&mut self.rng, [Duration::ZERO, most]);
        self.seen.arrivals.push(now + transit);
        self.fail(now, process, life, attempt + 1);
    }

    /// How many processes there are, as far as one of them knows.
    fn known(&self, now: Duration, process: usize) -> Option<usize> {
        let known = self.processes[process].as_ref()?;
        if now < known.started + known.listing {
            return None;
        }
        let read = now.saturating_sub(known.lag);
        let is_there = |row: &&[Duration; 2]| row[0] <= read && read < row[1];
        Some(self.rows.iter().filter(is_there).count().max(1))
    }
}

/// What a process takes that does not know of the others.
pub fn configured(processes: Option<usize>) -> usize {
    processes.unwrap_or(CONFIGURED)
}

fn draw_phases(rng: &mut SmallRng, terms: Terms, count: usize) -> Vec<Phase> {
    let base = rng.random_range(60.0..200.0);
    let mut phases = Vec::new();
    let mut until = Duration::ZERO;
    while until < LENGTH {
        until += seconds(rng.random_range(1.0..10.0));
        let factor = if rng.random_bool(0.5) { 4.0 } else { 1.0 };
        let weight = |rng: &mut SmallRng| 4.0_f64.powf(rng.random_range(-1.0..1.0));
        let weights: Vec<f64> = (0..count).map(|_| weight(rng)).collect();
        phases.push(Phase {
            until,
            rate: if terms.swings {
                base * factor
            } else {
                2.0 * base
            },
            failing: [0.01, 0.05, 0.3, 0.8][rng.random_range(0..4)],
            weights: if terms.uneven {
                weights
            } else {
                vec![1.0; count]
            },
        });
    }
    phases
}
