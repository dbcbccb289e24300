//! A few processes that get their requests in lumps and repeat all that they may, at moments that lie just
//! before or behind the ends of windows.

use super::repeats::{ARRIVAL, Guard, LAG, STAGES, Seen, Start, TRANSIT};
use decide::Map;
use decide::retry::window::Bound;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);
/// Quarters of a window that a play lasts.
const QUARTERS: u32 = 24;
const INSTANT: Duration = Duration::from_millis(1);
/// Longest time in which a changed bound comes to all processes.
const SPREAD: Duration = Duration::from_millis(500);
/// Repeats that a process has to send at most, at a time.
const PENDING: usize = 1_000;

#[derive(Clone, Copy)]
pub enum Event {
    /// Requests that were sent at a moment.
    Lump(usize, u32, Duration),
    Greedy(usize, Duration),
    Kill(usize),
    Start(usize, Start),
    List(usize, usize),
    Rebind(usize, Bound),
}

struct Script {
    rng: SmallRng,
    bound: Bound,
    processes: usize,
    events: Vec<(Duration, Event)>,
    bounds: Vec<(Bound, Duration, Duration)>,
}

/// Plays one seed.
pub fn lumps<G: Guard>(seed: u64) -> Seen {
    let script = Script::draw(seed);
    run::<G>(script.bound, script.events, script.bounds)
}

/// Plays what is written down, with bounds that are in force from one moment to another.
pub fn run<G: Guard>(
    first: Bound,
    mut events: Vec<(Duration, Event)>,
    bounds: Vec<(Bound, Duration, Duration)>,
) -> Seen {
    events.sort_by_key(|(at, _)| *at);
    let mut seen = Seen {
        bounds,
        ..Seen::default()
    };
    let mut guards: Map<usize, G> = Map::default();
    let mut current: Map<usize, Bound> = Map::default();
    for (now, event) in events {
        match event {
            Event::Start(process, start) => {
                let bound = current.get(&process).unwrap_or(&first);
                guards.insert(process, G::start(*bound, now, start));
            }
            Event::Kill(process) => drop(guards.remove(&process)),
            Event::Rebind(process, bound) => {
                current.insert(process, bound);
                if let Some(guard) = guards.get_mut(&process) {
                    guard.rebind(now, bound);
                }
            }
            Event::List(process, count) => {
                if let Some(guard) = guards.get_mut(&process) {
                    guard.listed(now, count);
                }
            }
            Event::Lump(process, count, sent) => {
                seen.firsts.extend((0..count).map(|_| sent));
                if let Some(guard) = guards.get_mut(&process) {
                    (0..count).for_each(|_| guard.first(now, now.min(sent + ARRIVAL)));
                }
            }
            Event::Greedy(process, transit) => {
                if let Some(guard) = guards.get_mut(&process) {
                    let granted = (0..PENDING).take_while(|_| guard.repeat(now)).count();
                    let arrivals = std::iter::repeat_n(now + transit, granted);
                    seen.arrivals.extend(arrivals);
                    seen.refused += PENDING - granted;
                }
            }
        }
    }
    seen.firsts.sort_unstable();
    seen.arrivals.sort_unstable();
    seen
}

impl Script {
    fn draw(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let processes = rng.random_range(1..=4);
        let bound = Bound {
            ratio: rng.random_range(0.1..1.0),
            slack: [0.0, 8.0, 40.0, 200.0][rng.random_range(0..4)],
            window: WINDOW,
        };
        let mut script = Self {
            rng,
            bound,
            processes,
            events: Vec::new(),
            bounds: Vec::new(),
        };
        for process in 0..processes {
            script.push(Duration::ZERO, Event::Start(process, Start::First));
        }
        script.draw_lives();
        script.draw_bounds();
        for _ in 0..script.rng.random_range(2..12) {
            script.draw_lump();
        }
        for _ in 0..script.rng.random_range(2..16) {
            let at = script.moment();
            let transit = script.one_of([Duration::ZERO, Duration::ZERO, TRANSIT]);
            let process = script.rng.random_range(0..2 * processes);
            script.push(at, Event::Greedy(process, transit));
        }
        script
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.events.push((at, event));
    }

    fn one_of(&mut self, times: [Duration; 3]) -> Duration {
        times[self.rng.random_range(0..times.len())]
    }

    /// One just before or behind a quarter of a window, or anywhere.
    fn moment(&mut self) -> Duration {
        let quarter = WINDOW / 4 * self.rng.random_range(4..QUARTERS);
        let off = self.one_of([INSTANT, ARRIVAL, TRANSIT]);
        match self.rng.random_range(0..4) {
            0 => quarter,
            1 => quarter - off,
            2 => quarter + off,
            _ => quarter + (WINDOW / 4).mul_f64(self.rng.random()),
        }
    }

    fn draw_lump(&mut self) {
        let at = self.moment();
        let process = self.rng.random_range(0..2 * self.processes);
        let count = self.rng.random_range(20..400_u32);
        let after = self.one_of([Duration::ZERO, ARRIVAL, STAGES]);
        self.push(at + after, Event::Lump(process, count, at));
    }

    /// Each process may be killed and come back at once, or leave, and one come in its place.
    fn draw_lives(&mut self) {
        let mut rows = vec![[Duration::ZERO, Duration::MAX]; self.processes];
        for process in 0..self.processes {
            let at = self.moment();
            match self.rng.random_range(0..4) {
                0 => {
                    self.push(at, Event::Kill(process));
                    self.push(at + INSTANT, Event::Start(process, Start::Again));
                    let listed = at + LAG[1];
                    self.push(listed, Event::List(process, self.processes));
                }
                1 => {
                    let late = self.processes + process;
                    let joined = self.moment();
                    self.push(joined, Event::Start(late, Start::New));
                    rows.push([joined, Duration::MAX]);
                    self.push(at, Event::Kill(process));
                    rows[process][1] = at;
                }
                _ => {}
            }
        }
        self.draw_lists(&rows);
    }

    /// Each process learns of each change after a time of its own.
    fn draw_lists(&mut self, rows: &[[Duration; 2]]) {
        let changes: Vec<Duration> = rows.iter().flatten().copied().collect();
        for process in 0..2 * self.processes {
            let lag = self.rng.random_range(LAG[0]..=LAG[1]);
            for at in changes.iter().filter(|at| **at < Duration::MAX) {
                let is_there = |row: &&[Duration; 2]| row[0] <= *at && *at < row[1];
                let count = rows.iter().filter(is_there).count();
                let lag = if at.is_zero() { Duration::ZERO } else { lag };
                self.push(*at + lag, Event::List(process, count.max(1)));
            }
        }
    }

    fn draw_bounds(&mut self) {
        let at = self.moment();
        let mut factor = || [0.25, 1.0, 4.0][self.rng.random_range(0..3)];
        let changed = Bound {
            ratio: self.bound.ratio * factor(),
            slack: self.bound.slack * factor(),
            window: WINDOW,
        };
        self.bounds = vec![
            (self.bound, Duration::ZERO, at + SPREAD + TRANSIT),
            (changed, at, Duration::MAX),
        ];
        for process in 0..2 * self.processes {
            let late = SPREAD.mul_f64(self.rng.random());
            self.push(at + late, Event::Rebind(process, changed));
        }
    }
}
