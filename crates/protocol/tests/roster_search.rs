//! Search over the shipped roster: processes that join, read late, pause and start again.
#![allow(clippy::unwrap_used, missing_docs)]

mod search;

use protocol::activation::Activation;
use search::{System, fails, holds};
use std::time::Duration;

/// Ticks that are played, and suspensions and restarts in all.
const END: u8 = 4;
const TROUBLES: u8 = 1;
/// Greatest age of a list that is acted on, and time between two processes' acts, in ticks.
const MOST: u64 = 1;
const APART: u64 = 1;
/// Processes. Each takes the only place from those before it.
const PROCESSES: usize = 2;

const VIOLATION: &str = "two processes act within the time that must lie between them";

fn ticks(count: u8) -> Duration {
    Duration::from_secs(u64::from(count))
}

/// A guard that is taken away around the shipped roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    /// A process acts as soon as its row is on the list.
    NoWait,
    /// No time lies between the end of one place and the beginning of the next.
    NoGap,
    /// A list counts as current when it arrives, not when it was read.
    CurrentOnArrival,
    /// A list is acted on however old it is.
    AnyAge,
    /// A process that did not run for a while goes by its clock.
    PauseUnnoticed,
    /// A row that is there at the start counts as known to all.
    SettledAtOnce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Join(usize),
    Settle(usize),
    Ask(usize),
    Deliver(usize),
    Act(usize),
    Suspend(usize),
    Resume(usize),
    Restart(usize),
}

/// The list as it was at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct List {
    /// By the clock of the one that reads it.
    read: u8,
    rows: [bool; PROCESSES],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    roster: Activation,
    known: [bool; PROCESSES],
    /// What its clock has not counted.
    uncounted: u8,
    suspended: bool,
    waiting: Option<List>,
    acted: Option<u8>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Row {
    listed: bool,
    settled: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    mutation: Mutation,
    now: u8,
    rows: [Row; PROCESSES],
    processes: [Process; PROCESSES],
    troubles: u8,
    broken: bool,
}

fn roster(mutation: Mutation) -> Activation {
    let apart = if mutation == Mutation::NoGap {
        0
    } else {
        APART
    };
    Activation::new(Duration::from_secs(MOST), Duration::from_secs(apart))
}

impl World {
    fn new(mutation: Mutation) -> Self {
        let process = Process {
            roster: roster(mutation),
            known: [false; PROCESSES],
            uncounted: 0,
            suspended: false,
            waiting: None,
            acted: None,
        };
        Self {
            mutation,
            now: 0,
            rows: Default::default(),
            processes: [process.clone(), process],
            troubles: 0,
            broken: false,
        }
    }

    fn clock(&self, process: usize) -> u8 {
        self.now - self.processes[process].uncounted
    }

    fn after(&self, step: Step) -> Option<Self> {
        let mut next = self.clone();
        let possible = match step {
            Step::Tick => next.tick(),
            Step::Resume(process) => next.resume(process),
            Step::Join(process)
            | Step::Settle(process)
            | Step::Ask(process)
            | Step::Deliver(process)
            | Step::Act(process)
            | Step::Suspend(process)
            | Step::Restart(process)
                if next.processes[process].suspended =>
            {
                false
            }
            Step::Join(process) => next.join(process),
            Step::Settle(process) => next.settle(process),
            Step::Ask(process) => next.ask(process),
            Step::Deliver(process) => next.deliver(process),
            Step::Act(process) => next.act(process),
            Step::Suspend(process) => {
                next.processes[process].suspended = true;
                next.trouble()
            }
            Step::Restart(process) => next.restart(process),
        };
        possible.then_some(next)
    }

    fn trouble(&mut self) -> bool {
        self.troubles += 1;
        self.troubles <= TROUBLES
    }

    fn tick(&mut self) -> bool {
        self.now += 1;
        for process in &mut self.processes {
            process.uncounted += u8::from(process.suspended);
            // What lies back so far breaks nothing any more.
            let late = |acted: &u8| u64::from(self.now - acted) < APART;
            process.acted = process.acted.filter(late);
        }
        self.now <= END
    }

    /// Writes the own row, unless it is there: then it says whether an earlier start had settled.
    fn join(&mut self, process: usize) -> bool {
        let now = ticks(self.clock(process));
        let row = &mut self.rows[process];
        let own = &mut self.processes[process];
        let settled = row.settled || (row.listed && self.mutation == Mutation::SettledAtOnce);
        if settled {
            own.roster.mark_known();
        }
        if self.mutation == Mutation::NoWait {
            own.roster.mark_known();
        }
        row.listed = true;
        own.roster.mark_registered(now);
        let joined = own.known[process];
        own.known[process] = true;
        !joined
    }

    fn settle(&mut self, process: usize) -> bool {
        let now = ticks(self.clock(process));
        let known_from = self.processes[process].roster.known_from();
        let settled = known_from.is_some_and(|moment| moment <= now);
        let row = &mut self.rows[process];
        let news = settled && !row.settled;
        row.settled |= settled;
        news
    }

    fn ask(&mut self, process: usize) -> bool {
        let list = List {
            read: self.clock(process),
            rows: self.rows.map(|row| row.listed),
        };
        self.processes[process].waiting.replace(list).is_none()
    }

    fn deliver(&mut self, process: usize) -> bool {
        let now = self.clock(process);
        let Some(list) = self.processes[process].waiting.take() else {
            return false;
        };
        let own = &mut self.processes[process];
        for (known, listed) in own.known.iter_mut().zip(list.rows) {
            *known |= listed;
        }
        let late = self.mutation == Mutation::CurrentOnArrival;
        own.roster.read(ticks(if late { now } else { list.read }));
        true
    }

    fn act(&mut self, process: usize) -> bool {
        let now = ticks(self.clock(process));
        let own = &mut self.processes[process];
        let first = own.known.iter().rposition(|known| *known);
        let known = own.roster.known_from().is_some_and(|moment| moment <= now);
        let acts = own.roster.may_act(now) || (known && self.mutation == Mutation::AnyAge);
        if first != Some(process) || !acts {
            return false;
        }
        own.acted = Some(self.now);
        let others = self.processes.iter().enumerate();
        let acted = others.filter(|(other, _)| *other != process);
        let last = acted.filter_map(|(_, other)| other.acted).max();
        self.broken |= last.is_some_and(|last| u64::from(self.now - last) < APART);
        true
    }

    fn resume(&mut self, process: usize) -> bool {
        let own = &mut self.processes[process];
        if self.mutation != Mutation::PauseUnnoticed {
            own.roster.invalidate();
            own.waiting = None;
        }
        std::mem::replace(&mut own.suspended, false)
    }

    fn restart(&mut self, process: usize) -> bool {
        let mutation = self.mutation;
        let own = &mut self.processes[process];
        let fresh = Process {
            roster: roster(mutation),
            known: [false; PROCESSES],
            uncounted: 0,
            suspended: false,
            waiting: None,
            acted: own.acted,
        };
        let news = *own != fresh;
        *own = fresh;
        news && self.trouble()
    }
}

impl System for World {
    type Step = Step;

    fn steps(&self) -> Vec<(Step, Self)> {
        let all = (0..PROCESSES).flat_map(|process| {
            [
                Step::Join(process),
                Step::Settle(process),
                Step::Ask(process),
                Step::Deliver(process),
                Step::Act(process),
                Step::Suspend(process),
                Step::Resume(process),
                Step::Restart(process),
            ]
        });
        let steps = all.chain([Step::Tick]);
        steps
            .filter_map(|step| Some((step, self.after(step)?)))
            .collect()
    }

    fn violation(&self) -> Option<&'static str> {
        self.broken.then_some(VIOLATION)
    }
}

/// Processes join, read the list late, are suspended and start again. The one that loses its place
/// and the one that gets it never act close to one another: a runner that has just started would be
/// sent twice what it bears.
#[test]
fn never_together() {
    holds("roster", &World::new(Mutation::None));
}

/// Each guard is needed: without it, both act at once.
#[test]
fn guards_needed() {
    let mutations = [
        Mutation::NoWait,
        Mutation::NoGap,
        Mutation::CurrentOnArrival,
        Mutation::AnyAge,
        Mutation::PauseUnnoticed,
        Mutation::SettledAtOnce,
    ];
    for mutation in mutations {
        fails(&format!("{mutation:?}"), &World::new(mutation), VIOLATION);
    }
}
