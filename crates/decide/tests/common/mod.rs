//! Simulation of a pool of runners in virtual time, for tests of routing.
#![allow(dead_code, unreachable_pub)]

use decide::retry::eject::EjectionPolicy;
use decide::route::{Call, LoadReport, Pool, ResponseStats, Router, Target};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

pub mod bound;
pub mod policy;
pub mod reference;
pub mod repeats;
pub mod script;
pub mod stage;

/// Parameters of a simulation; times are in milliseconds.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub entries: usize,
    pub runners: usize,
    pub slots: usize,
    pub service_ms: u64,
    /// Calls a second of all entry processes together.
    pub rate: f64,
    pub report_lag_ms: u64,
    pub seconds: u64,
}

/// Results of a simulation.
#[derive(Default)]
pub struct Outcome {
    pub elapsed_ms: Vec<u64>,
    pub calls: Vec<u64>,
    pub late_calls: Vec<u64>,
    /// Longest queue of any runner, by second.
    pub peaks: Vec<usize>,
    /// Mean queue length of all runners, by second.
    pub means: Vec<f64>,
}

enum Event {
    Done {
        entry: usize,
        runner: usize,
        busy: Duration,
        elapsed: Duration,
    },
    LoadReport {
        entry: usize,
        runner: usize,
        load: usize,
    },
}

struct Runner {
    slots: BinaryHeap<Reverse<u64>>,
    ends: Vec<u64>,
}

impl Runner {
    fn load(&mut self, now: u64) -> usize {
        self.ends.retain(|end| *end > now);
        self.ends.len()
    }

    fn run(&mut self, now: u64, busy: u64) -> u64 {
        let Reverse(free) = self.slots.pop().unwrap();
        let end = free.max(now) + busy;
        self.slots.push(Reverse(end));
        self.ends.push(end);
        end
    }
}

fn runner_name(runner: usize) -> String {
    format!("r{runner}")
}

/// Sends calls through one router per entry process. `slowdown` returns the factor by which a runner
/// is slower at a time in milliseconds. Times within the simulation are in microseconds.
pub fn simulate<R: Router + Default>(
    scenario: Scenario,
    seed: u64,
    slowdown: impl Fn(usize, u64) -> u64,
) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut entries: Vec<(Pool, R)> = (0..scenario.entries).map(|_| entry(scenario)).collect();
    let mut runners: Vec<Runner> = (0..scenario.runners)
        .map(|_| idle_runner(scenario.slots))
        .collect();
    let mut events = Vec::new();
    let mut heap = BinaryHeap::new();
    let mut outcome = Outcome {
        calls: vec![0; scenario.runners],
        late_calls: vec![0; scenario.runners],
        ..Outcome::default()
    };
    let (mut now, mut second) = (0_u64, 0);
    while now < scenario.seconds * 1_000_000 {
        now += ((1.0 - rng.random::<f64>()).ln() / -scenario.rate * 1e6) as u64;
        while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Reverse((at, number)) = heap.pop().unwrap();
            handle_event(&events[number], at, &mut entries);
            if let Event::Done { entry, runner, .. } = events[number] {
                let load = runners[runner].load(at);
                heap.push(Reverse((at + scenario.report_lag_ms * 1_000, events.len())));
                events.push(Event::LoadReport {
                    entry,
                    runner,
                    load,
                });
            }
        }
        if now / 1_000_000 > second {
            second = now / 1_000_000;
            let loads: Vec<usize> = runners.iter_mut().map(|runner| runner.load(now)).collect();
            outcome.peaks.push(*loads.iter().max().unwrap());
            outcome
                .means
                .push(loads.iter().sum::<usize>() as f64 / loads.len() as f64);
        }
        let entry = rng.random_range(0..scenario.entries);
        let runner = send(&mut entries[entry], now, &mut rng);
        let length_factor = ((1.0 - rng.random::<f64>()).ln() * -1_000.0) as u64 + 1;
        let busy = scenario.service_ms * length_factor * slowdown(runner, now / 1_000);
        let end = runners[runner].run(now, busy);
        outcome.elapsed_ms.push((end - now) / 1_000);
        outcome.calls[runner] += 1;
        outcome.late_calls[runner] += u64::from(now > scenario.seconds * 900_000);
        let busy = Duration::from_micros(busy);
        let elapsed = Duration::from_micros(end - now);
        let done = Event::Done {
            entry,
            runner,
            busy,
            elapsed,
        };
        heap.push(Reverse((end, events.len())));
        events.push(done);
    }
    outcome
}

fn entry<R: Router + Default>(scenario: Scenario) -> (Pool, R) {
    let mut pool = Pool::new(EjectionPolicy::default());
    for runner in 0..scenario.runners {
        pool.insert(Target::new(runner_name(runner), "a", scenario.slots as u32));
    }
    (pool, R::default())
}

fn idle_runner(slots: usize) -> Runner {
    Runner {
        slots: (0..slots).map(|_| Reverse(0)).collect(),
        ends: Vec::new(),
    }
}

fn send<R: Router>(entry: &mut (Pool, R), now: u64, rng: &mut SmallRng) -> usize {
    let now = Duration::from_micros(now);
    let call = Call {
        now,
        domain: "a",
        prefix: &[],
        tried: &[],
        slack: Duration::from_secs(1),
    };
    let (pool, router) = entry;
    let id = router.pick(pool, &call, rng).unwrap();
    pool.sent(&id, now);
    id[1..].parse().unwrap()
}

fn handle_event<R>(event: &Event, at: u64, entries: &mut [(Pool, R)]) {
    let now = Duration::from_micros(at);
    match *event {
        Event::Done {
            entry,
            runner,
            busy,
            elapsed,
        } => {
            let stats = ResponseStats {
                busy,
                elapsed,
                prefix: &[],
                hits: 0,
            };
            entries[entry].0.answered(&runner_name(runner), now, &stats);
        }
        Event::LoadReport {
            entry,
            runner,
            load,
        } => {
            let report = LoadReport {
                queued: load as u32,
                running: 0,
                limit: 0,
            };
            entries[entry].0.reported(&runner_name(runner), now, report);
        }
    }
}

/// Quantile of the times; `share` is from 0 to 1.
pub fn quantile(times: &[u64], share: f64) -> u64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    times[((times.len() - 1) as f64 * share) as usize]
}
