//! Search over the activation: processes that register, read the list late, are suspended and
//! restart.
#![allow(clippy::unwrap_used, missing_docs)]

mod search;

use protocol::activation::Activation;
use search::{System, holds, violates};
use std::time::Duration;

/// Maximum number of ticks, and of suspensions and restarts in total.
const END: u8 = 4;
const MAX_FAULTS: u8 = 1;
/// Greatest age of a list on which a process acts, and minimum time between the actions of two
/// processes, in ticks.
const MAX_AGE: u64 = 1;
const HANDOVER_GAP: u64 = 1;
/// Number of processes. Each takes the only place from those before it.
const PROCESSES: usize = 2;

const VIOLATION: &str = "two processes act within the handover gap";

fn ticks(count: u8) -> Duration {
    Duration::from_secs(u64::from(count))
}

/// A guard that is removed around the activation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    /// A process acts as soon as its row is on the list.
    ActAtOnce,
    /// No time passes between the loss of a place by one process and its use by the next.
    NoGap,
    /// A list counts as current as of its arrival, not as of when it was read.
    CurrentOnArrival,
    /// A list is used however old it is.
    AnyAge,
    /// A process that was suspended relies on its clock.
    SuspensionUnnoticed,
    /// A row that exists at the start counts as known to all processes.
    KnownAtOnce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Join(usize),
    MarkKnown(usize),
    Read(usize),
    Deliver(usize),
    Act(usize),
    Suspend(usize),
    Resume(usize),
    Restart(usize),
}

/// The list as of some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct List {
    /// Time of the read, on the reader's clock.
    read: u8,
    rows: [bool; PROCESSES],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    activation: Activation,
    known: [bool; PROCESSES],
    /// Suspended time that its clock has not counted.
    uncounted: u8,
    suspended: bool,
    pending_list: Option<List>,
    acted: Option<u8>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Row {
    listed: bool,
    known_to_all: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    mutation: Mutation,
    now: u8,
    rows: [Row; PROCESSES],
    processes: [Process; PROCESSES],
    faults: u8,
    violated: bool,
}

fn activation(mutation: Mutation) -> Activation {
    let gap = if mutation == Mutation::NoGap {
        0
    } else {
        HANDOVER_GAP
    };
    Activation::new(Duration::from_secs(MAX_AGE), Duration::from_secs(gap))
}

impl World {
    fn new(mutation: Mutation) -> Self {
        let process = Process {
            activation: activation(mutation),
            known: [false; PROCESSES],
            uncounted: 0,
            suspended: false,
            pending_list: None,
            acted: None,
        };
        Self {
            mutation,
            now: 0,
            rows: Default::default(),
            processes: [process.clone(), process],
            faults: 0,
            violated: false,
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
            | Step::MarkKnown(process)
            | Step::Read(process)
            | Step::Deliver(process)
            | Step::Act(process)
            | Step::Suspend(process)
            | Step::Restart(process)
                if next.processes[process].suspended =>
            {
                false
            }
            Step::Join(process) => next.join(process),
            Step::MarkKnown(process) => next.mark_known(process),
            Step::Read(process) => next.read(process),
            Step::Deliver(process) => next.deliver(process),
            Step::Act(process) => next.act(process),
            Step::Suspend(process) => {
                next.processes[process].suspended = true;
                next.record_fault()
            }
            Step::Restart(process) => next.restart(process),
        };
        possible.then_some(next)
    }

    fn record_fault(&mut self) -> bool {
        self.faults += 1;
        self.faults <= MAX_FAULTS
    }

    fn tick(&mut self) -> bool {
        self.now += 1;
        for process in &mut self.processes {
            process.uncounted += u8::from(process.suspended);
            // Earlier actions can no longer violate the gap.
            let late = |acted: &u8| u64::from(self.now - acted) < HANDOVER_GAP;
            process.acted = process.acted.filter(late);
        }
        self.now <= END
    }

    /// Writes the process's own row, unless it exists; in that case, the row shows whether an
    /// earlier start had waited long enough.
    fn join(&mut self, process: usize) -> bool {
        let now = ticks(self.clock(process));
        let row = &mut self.rows[process];
        let own = &mut self.processes[process];
        let known_to_all =
            row.known_to_all || (row.listed && self.mutation == Mutation::KnownAtOnce);
        if known_to_all {
            own.activation.mark_known();
        }
        if self.mutation == Mutation::ActAtOnce {
            own.activation.mark_known();
        }
        row.listed = true;
        own.activation.mark_registered(now);
        let joined = own.known[process];
        own.known[process] = true;
        !joined
    }

    fn mark_known(&mut self, process: usize) -> bool {
        let now = ticks(self.clock(process));
        let known_from = self.processes[process].activation.known_from();
        let known_to_all = known_from.is_some_and(|moment| moment <= now);
        let row = &mut self.rows[process];
        let changed = known_to_all && !row.known_to_all;
        row.known_to_all |= known_to_all;
        changed
    }

    fn read(&mut self, process: usize) -> bool {
        let list = List {
            read: self.clock(process),
            rows: self.rows.map(|row| row.listed),
        };
        self.processes[process].pending_list.replace(list).is_none()
    }

    fn deliver(&mut self, process: usize) -> bool {
        let now = self.clock(process);
        let Some(list) = self.processes[process].pending_list.take() else {
            return false;
        };
        let own = &mut self.processes[process];
        for (known, listed) in own.known.iter_mut().zip(list.rows) {
            *known |= listed;
        }
        let late = self.mutation == Mutation::CurrentOnArrival;
        own.activation
            .read(ticks(if late { now } else { list.read }));
        true
    }

    fn act(&mut self, process: usize) -> bool {
        let now = ticks(self.clock(process));
        let own = &mut self.processes[process];
        let first = own.known.iter().rposition(|known| *known);
        let known = own
            .activation
            .known_from()
            .is_some_and(|moment| moment <= now);
        let acts = own.activation.may_act(now) || (known && self.mutation == Mutation::AnyAge);
        if first != Some(process) || !acts {
            return false;
        }
        own.acted = Some(self.now);
        let others = self.processes.iter().enumerate();
        let acted = others.filter(|(other, _)| *other != process);
        let last = acted.filter_map(|(_, other)| other.acted).max();
        self.violated |= last.is_some_and(|last| u64::from(self.now - last) < HANDOVER_GAP);
        true
    }

    fn resume(&mut self, process: usize) -> bool {
        let own = &mut self.processes[process];
        if self.mutation != Mutation::SuspensionUnnoticed {
            own.activation.invalidate();
            own.pending_list = None;
        }
        std::mem::replace(&mut own.suspended, false)
    }

    fn restart(&mut self, process: usize) -> bool {
        let mutation = self.mutation;
        let own = &mut self.processes[process];
        let fresh = Process {
            activation: activation(mutation),
            known: [false; PROCESSES],
            uncounted: 0,
            suspended: false,
            pending_list: None,
            acted: own.acted,
        };
        let changed = *own != fresh;
        *own = fresh;
        changed && self.record_fault()
    }
}

impl System for World {
    type Step = Step;

    fn steps(&self) -> Vec<(Step, Self)> {
        let all = (0..PROCESSES).flat_map(|process| {
            [
                Step::Join(process),
                Step::MarkKnown(process),
                Step::Read(process),
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
        self.violated.then_some(VIOLATION)
    }
}

/// Processes register, read the list late, are suspended and restart. The process that loses its
/// place and the one that gets it never act in quick succession; otherwise a runner that has just
/// started would be sent twice the load that it can take.
#[test]
fn never_act_together() {
    holds("roster", &World::new(Mutation::None));
}

/// Each guard is needed: without it, both processes act at once.
#[test]
fn each_guard_is_needed() {
    let mutations = [
        Mutation::ActAtOnce,
        Mutation::NoGap,
        Mutation::CurrentOnArrival,
        Mutation::AnyAge,
        Mutation::SuspensionUnnoticed,
        Mutation::KnownAtOnce,
    ];
    for mutation in mutations {
        violates(&format!("{mutation:?}"), &World::new(mutation), VIOLATION);
    }
}
