//! Scripts for a few processes that receive their requests in bursts and retry as much as they may, at
//! times just before or after the ends of windows.

use super::policy::{Policy, Start};
use super::reference::ARRIVAL;
use super::repeats::{TRANSIT, Trace};
use decide::Map;
use decide::retry::window::RetryBound;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Length of the window of all scripts.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Quarters of a window that a random script takes.
const QUARTERS: u32 = 24;
/// Shortest time between two events.
const INSTANT: Duration = Duration::from_millis(1);
/// Time after which a process knows of a change of the others.
const LIST_AGE: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(4)];
/// Longest time from when a client sends a request until its last stage begins.
const STAGES: Duration = Duration::from_millis(1_500);
/// Longest time in which a change of the bound reaches all processes.
const BOUND_SPREAD: Duration = Duration::from_millis(500);
/// Retries that a process tries to send at a time.
const PENDING: usize = 1_000;

#[derive(Clone, Copy)]
pub enum Event {
    /// A process counts the first attempts of requests that clients sent at a time.
    FirstAttempts {
        process: usize,
        count: u32,
        sent: Duration,
    },
    /// A process sends as many retries as it may, which take a time to arrive.
    Retries { process: usize, transit: Duration },
    /// A process crashes.
    Kill { process: usize },
    /// A process starts.
    Start { process: usize, start: Start },
    /// A process learns how many processes there are.
    List { process: usize, count: usize },
    /// A process applies another bound.
    SetBound { process: usize, bound: RetryBound },
}

/// Events with their times, and each bound with the time in which retries under it may arrive.
pub struct Script {
    pub initial: RetryBound,
    pub events: Vec<(Duration, Event)>,
    pub bounds: Vec<(RetryBound, Duration, Duration)>,
}

impl Script {
    /// Runs the script with the policy `P` in each process.
    pub fn run<P: Policy>(&self) -> Trace {
        let mut events = self.events.clone();
        events.sort_by_key(|(at, _)| *at);
        let mut fleet = Fleet::<P> {
            initial: self.initial,
            policies: Map::default(),
            bounds: Map::default(),
            trace: Trace {
                bounds: self.bounds.clone(),
                ..Trace::default()
            },
        };
        for (now, event) in events {
            fleet.handle(now, event);
        }
        fleet.trace.first_attempts.sort_unstable();
        fleet.trace.arrivals.sort_unstable();
        fleet.trace
    }
}

struct Fleet<P> {
    initial: RetryBound,
    policies: Map<usize, P>,
    bounds: Map<usize, RetryBound>,
    trace: Trace,
}

impl<P: Policy> Fleet<P> {
    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Start { process, start } => {
                let bound = *self.bounds.get(&process).unwrap_or(&self.initial);
                self.policies.insert(process, P::start(bound, now, start));
            }
            Event::Kill { process } => drop(self.policies.remove(&process)),
            Event::SetBound { process, bound } => {
                self.bounds.insert(process, bound);
                if let Some(policy) = self.policies.get_mut(&process) {
                    policy.set_bound(now, bound);
                }
            }
            Event::List { process, count } => {
                if let Some(policy) = self.policies.get_mut(&process) {
                    policy.record_processes(now, count);
                }
            }
            Event::FirstAttempts {
                process,
                count,
                sent,
            } => {
                let requests = std::iter::repeat_n(sent, count as usize);
                self.trace.first_attempts.extend(requests);
                if let Some(policy) = self.policies.get_mut(&process) {
                    policy.record_first_attempts(now, now.min(sent + ARRIVAL), count);
                }
            }
            Event::Retries { process, transit } => self.retry(now, process, transit),
        }
    }

    fn retry(&mut self, now: Duration, process: usize, transit: Duration) {
        let Some(policy) = self.policies.get_mut(&process) else {
            return;
        };
        let granted = (0..PENDING).take_while(|_| policy.try_retry(now)).count();
        let arrivals = std::iter::repeat_n(now + transit, granted);
        self.trace.arrivals.extend(arrivals);
        self.trace.refused += PENDING - granted;
    }
}

/// A random script.
pub fn random(seed: u64) -> Script {
    let mut rng = SmallRng::seed_from_u64(seed);
    let processes = rng.random_range(1..=4);
    let bound = RetryBound {
        ratio: rng.random_range(0.1..1.0),
        slack: [0.0, 8.0, 40.0, 200.0][rng.random_range(0..4)],
        window: WINDOW,
    };
    let mut writer = Writer {
        rng,
        processes,
        events: Vec::new(),
    };
    for process in 0..processes {
        let start = Start::First;
        writer.push(Duration::ZERO, Event::Start { process, start });
    }
    writer.write_starts();
    let bounds = writer.write_bounds(bound);
    for _ in 0..writer.rng.random_range(2..12) {
        writer.write_burst();
    }
    for _ in 0..writer.rng.random_range(2..16) {
        let at = writer.time();
        let transit = writer.one_of([Duration::ZERO, Duration::ZERO, TRANSIT]);
        let process = writer.rng.random_range(0..2 * processes);
        writer.push(at, Event::Retries { process, transit });
    }
    Script {
        initial: bound,
        events: writer.events,
        bounds,
    }
}

struct Writer {
    rng: SmallRng,
    processes: usize,
    events: Vec<(Duration, Event)>,
}

impl Writer {
    fn push(&mut self, at: Duration, event: Event) {
        self.events.push((at, event));
    }

    fn one_of(&mut self, times: [Duration; 3]) -> Duration {
        times[self.rng.random_range(0..times.len())]
    }

    /// A time just before or after a quarter of a window, or any other.
    fn time(&mut self) -> Duration {
        let quarter = WINDOW / 4 * self.rng.random_range(4..QUARTERS);
        let offset = self.one_of([INSTANT, ARRIVAL, TRANSIT]);
        match self.rng.random_range(0..4) {
            0 => quarter,
            1 => quarter - offset,
            2 => quarter + offset,
            _ => quarter + (WINDOW / 4).mul_f64(self.rng.random()),
        }
    }

    fn write_burst(&mut self) {
        let sent = self.time();
        let process = self.rng.random_range(0..2 * self.processes);
        let count = self.rng.random_range(20..400_u32);
        let delay = self.one_of([Duration::ZERO, ARRIVAL, STAGES]);
        let event = Event::FirstAttempts {
            process,
            count,
            sent,
        };
        self.push(sent + delay, event);
    }

    /// Each process may crash and start again at once, or leave while another joins.
    fn write_starts(&mut self) {
        let mut registered = vec![[Duration::ZERO, Duration::MAX]; self.processes];
        for process in 0..self.processes {
            let at = self.time();
            match self.rng.random_range(0..4) {
                0 => {
                    let start = Start::Restart;
                    self.push(at, Event::Kill { process });
                    self.push(at + INSTANT, Event::Start { process, start });
                    let count = self.processes;
                    self.push(at + LIST_AGE[1], Event::List { process, count });
                }
                1 => {
                    let (joined, start) = (self.time(), Start::Join);
                    let joiner = self.processes + process;
                    self.push(
                        joined,
                        Event::Start {
                            process: joiner,
                            start,
                        },
                    );
                    registered.push([joined, Duration::MAX]);
                    self.push(at, Event::Kill { process });
                    registered[process][1] = at;
                }
                _ => {}
            }
        }
        self.write_lists(&registered);
    }

    /// Each process learns of each change after a time of its own.
    fn write_lists(&mut self, registered: &[[Duration; 2]]) {
        let changes = registered.iter().flatten().copied();
        let changes: Vec<Duration> = changes.filter(|at| *at < Duration::MAX).collect();
        for process in 0..2 * self.processes {
            let age = self.rng.random_range(LIST_AGE[0]..=LIST_AGE[1]);
            for at in &changes {
                let is_there = |row: &&[Duration; 2]| row[0] <= *at && *at < row[1];
                let count = registered.iter().filter(is_there).count().max(1);
                let age = if at.is_zero() { Duration::ZERO } else { age };
                self.push(*at + age, Event::List { process, count });
            }
        }
    }

    /// Changes the bound once; returns both bounds with their times.
    fn write_bounds(&mut self, bound: RetryBound) -> Vec<(RetryBound, Duration, Duration)> {
        let at = self.time();
        let mut factor = || [0.25, 1.0, 4.0][self.rng.random_range(0..3)];
        let changed = RetryBound {
            ratio: bound.ratio * factor(),
            slack: bound.slack * factor(),
            window: WINDOW,
        };
        for process in 0..2 * self.processes {
            let delay = BOUND_SPREAD.mul_f64(self.rng.random());
            let event = Event::SetBound {
                process,
                bound: changed,
            };
            self.push(at + delay, event);
        }
        vec![
            (bound, Duration::ZERO, at + BOUND_SPREAD + TRANSIT),
            (changed, at, Duration::MAX),
        ]
    }
}
