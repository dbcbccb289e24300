//! Search over the shipped lease and fence: two processes with clocks of their own, a table that
//! loses answers, orders that arrive at any later time, and an agent that restarts.
#![allow(clippy::unwrap_used, missing_docs)]

mod search;

use protocol::fence::{Fence, Verdict};
use protocol::lease::{Action, Event, Lease, StoredRow, Timing};
use search::{System, fails, holds};
use std::collections::BTreeSet;
use std::time::Duration;

/// By how much two clocks may drift against each other, in seconds; the margin covers it.
const DRIFT: u8 = 1;

/// A guard that is taken away around the shipped machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    NoMargin,
    WriteUnchecked,
    FenceForgotten,
    NoFence,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Clock,
    Tick,
    Table,
    AnswerLost,
    WriteLands,
    Resign,
    Order,
    Arrive(Order),
    AgentReads,
    AgentCrashes,
}

/// An order of a holder; `holder` counts holders and is seen by no guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Order {
    holder: u8,
    fence: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    lease: Lease,
    clock: u8,
    todo: Option<Action>,
    open: Option<Action>,
    /// Which holder in turn the process was when it last got the lease.
    turn: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    mutation: Mutation,
    processes: [Process; 2],
    row: Option<StoredRow>,
    turn: u8,
    orders: BTreeSet<Order>,
    fence: Fence,
    carried_out: u8,
    ordering: bool,
    end: u8,
    faults: u8,
}

fn seconds(count: u8) -> Duration {
    Duration::from_secs(count.into())
}

impl World {
    /// `ordering` brings in orders and the agent, `end` bounds the clocks in seconds, `faults`
    /// lost answers, restarts and planned stops.
    fn new(ordering: bool, end: u8, faults: u8, mutation: Mutation) -> Self {
        let margin = if mutation == Mutation::NoMargin { 0 } else { 1 };
        let timing = Timing {
            duration: seconds(3),
            margin: seconds(margin),
            period: seconds(1),
        };
        let process = |token| Process {
            lease: Lease::new(token, timing),
            clock: 0,
            todo: None,
            open: None,
            turn: 0,
        };
        Self {
            mutation,
            processes: [process(1), process(2)],
            row: None,
            turn: 0,
            orders: BTreeSet::new(),
            fence: Fence::new(),
            carried_out: 0,
            ordering,
            end,
            faults,
        }
    }

    fn may_act(&self, i: usize) -> Option<u64> {
        let process = &self.processes[i];
        process.lease.may_act(seconds(process.clock))
    }

    fn write(&mut self, i: usize, action: Action) -> Event {
        let Action::Write { check, row } = action else {
            return Event::Found(self.row);
        };
        let current = self.row.map(|kept| kept.revision);
        if check != current && self.mutation != Mutation::WriteUnchecked {
            return Event::Found(self.row);
        }
        if self.row.map(|kept| kept.row.holder) != Some(row.holder) {
            self.turn += 1;
            self.processes[i].turn = self.turn;
        }
        let revision = current.unwrap_or(0) + 1;
        self.row = Some(StoredRow { row, revision });
        Event::Written(revision)
    }

    fn answer(&mut self, i: usize, event: Event) {
        let process = &mut self.processes[i];
        process.todo = None;
        process.lease.on(event, seconds(process.clock));
    }

    /// A read is answered at once: a slow one only delays its reader.
    fn tick(&mut self, i: usize) {
        let process = &mut self.processes[i];
        process.todo = process.lease.tick(seconds(process.clock));
        if process.todo == Some(Action::Read) {
            self.table(i);
        }
    }

    fn table(&mut self, i: usize) {
        let action = self.processes[i].todo.unwrap();
        let event = self.write(i, action);
        self.answer(i, event);
    }

    fn arrive(&mut self, order: Order) {
        let verdict = match self.mutation {
            Mutation::NoFence => Verdict::Pass,
            _ => self.fence.admit(order.fence),
        };
        if verdict != Verdict::Pass {
            return;
        }
        if order.holder < self.carried_out {
            self.carried_out = u8::MAX;
        } else {
            self.carried_out = order.holder;
        }
    }

    fn take(&mut self, i: usize, step: Step) {
        match step {
            Step::Clock => self.processes[i].clock += 1,
            Step::Tick => self.tick(i),
            Step::Table => self.table(i),
            Step::AnswerLost => {
                self.processes[i].open = self.processes[i].todo;
                self.answer(i, Event::Unsure);
            }
            Step::WriteLands => {
                let open = self.processes[i].open.take().unwrap();
                self.write(i, open);
            }
            Step::Resign => self.processes[i].lease.resign(),
            Step::Order => {
                let holder = self.processes[i].turn;
                let fence = self.may_act(i).unwrap();
                self.orders.insert(Order { holder, fence });
            }
            Step::Arrive(order) => self.arrive(order),
            Step::AgentReads => {
                let current = self.row.map_or(0, |kept| kept.row.fence);
                self.fence.learn(current);
            }
            Step::AgentCrashes => {
                self.fence = Fence::new();
                if self.mutation == Mutation::FenceForgotten {
                    self.fence.learn(0);
                }
            }
        }
    }

    /// The second clock is never behind the first nor ahead by more than the drift.
    fn may_advance(&self, i: usize) -> bool {
        let [first, second] = [0, 1].map(|i| self.processes[i].clock);
        let limit = [second, first + DRIFT][i].min(self.end);
        [first, second][i] < limit
    }

    fn own_steps(&self, i: usize) -> Vec<Step> {
        let process = &self.processes[i];
        let mut steps = Vec::new();
        if self.may_advance(i) {
            steps.push(Step::Clock);
        }
        match process.todo {
            Some(_) if process.open.is_none() => steps.extend([Step::Table, Step::AnswerLost]),
            Some(_) => steps.push(Step::Table),
            None => steps.push(Step::Tick),
        }
        steps.extend(process.open.map(|_| Step::WriteLands));
        let resigns = i == 0 && self.may_act(i).is_some();
        steps.extend(resigns.then_some(Step::Resign));
        let order = self.may_act(i).filter(|_| self.ordering);
        steps.extend(order.map(|_| Step::Order));
        steps
    }

    fn costs(step: Step) -> bool {
        matches!(step, Step::AnswerLost | Step::Resign | Step::AgentCrashes)
    }
}

impl System for World {
    type Step = (usize, Step);

    fn steps(&self) -> Vec<(Self::Step, Self)> {
        let own = (0..2).flat_map(|i| self.own_steps(i).into_iter().map(move |step| (i, step)));
        let orders = self.orders.iter().map(|order| Step::Arrive(*order));
        let agent = [Step::AgentReads, Step::AgentCrashes];
        let agent = agent.into_iter().chain(orders).map(|step| (0, step));
        let agent = agent.filter(|_| self.ordering);
        own.chain(agent)
            .filter(|(_, step)| self.faults > 0 || !Self::costs(*step))
            .map(|(i, step)| {
                let mut world = self.clone();
                world.faults -= u8::from(Self::costs(step));
                world.take(i, step);
                ((i, step), world)
            })
            .filter(|(_, world)| world != self)
            .collect()
    }

    fn violation(&self) -> Option<&'static str> {
        if self.may_act(0).is_some() && self.may_act(1).is_some() {
            return Some("two holders act");
        }
        (self.carried_out == u8::MAX).then_some("an older order after a newer one")
    }
}

/// A lease's holder is frozen, its clock is slow, and answers are lost. Two processes never act
/// at once.
#[test]
fn lease_clocks() {
    holds("lease", &World::new(false, 5, 1, Mutation::None));
}

/// A holder that was frozen past the lapse sends its order late, and the agent restarts. No
/// engine is turned back by it.
#[test]
fn late_orders() {
    holds("lease and fence", &World::new(true, 4, 1, Mutation::None));
}

/// Each guard is needed: without it two processes move the same model at once, or an old order
/// undoes a newer one.
#[test]
fn lease_guards() {
    let (two, old) = ("two holders act", "an older order after a newer one");
    [
        (Mutation::NoMargin, two, false),
        (Mutation::WriteUnchecked, two, false),
        (Mutation::FenceForgotten, old, true),
        (Mutation::NoFence, old, true),
    ]
    .into_iter()
    .for_each(|(mutation, what, ordering)| {
        let world = World::new(ordering, 4, 1, mutation);
        fails(&format!("{mutation:?}"), &world, what);
    });
}
