//! Search over the lease and the fence with two processes whose clocks differ, a table that loses
//! responses, orders that arrive at any later time, and an agent that restarts.
#![allow(clippy::unwrap_used, missing_docs)]

mod search;

use protocol::fence::{Decision, Fence};
use protocol::lease::{Action, Event, Lease, StoredRow, Timing};
use search::{System, holds, violates};
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum drift between the two clocks in seconds; the margin covers it.
const DRIFT: u8 = 1;

/// A guard that is removed around the state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    NoMargin,
    UncheckedWrite,
    FenceForgotten,
    NoFence,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Clock,
    Tick,
    Reply,
    ReplyLost,
    WriteApplied,
    Resign,
    Order,
    OrderArrives(Order),
    AgentReads,
    AgentCrashes,
}

/// An order of a holder; `holder` numbers the holders and is not used by any guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Order {
    holder: u8,
    fence: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    lease: Lease,
    clock: u8,
    next_action: Option<Action>,
    unsure: Option<Action>,
    /// Number of the term in which the process last held the lease.
    term: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    mutation: Mutation,
    processes: [Process; 2],
    row: Option<StoredRow>,
    term: u8,
    orders: BTreeSet<Order>,
    fence: Fence,
    carried_out: u8,
    with_orders: bool,
    end: u8,
    faults: u8,
}

fn seconds(count: u8) -> Duration {
    Duration::from_secs(count.into())
}

impl World {
    /// `with_orders` includes orders and the agent, `end` bounds the clocks in seconds, and
    /// `faults` bounds lost responses, restarts and planned stops.
    fn new(with_orders: bool, end: u8, faults: u8, mutation: Mutation) -> Self {
        let margin = if mutation == Mutation::NoMargin { 0 } else { 1 };
        let timing = Timing {
            duration: seconds(3),
            margin: seconds(margin),
            period: seconds(1),
        };
        let process = |token| Process {
            lease: Lease::new(token, timing),
            clock: 0,
            next_action: None,
            unsure: None,
            term: 0,
        };
        Self {
            mutation,
            processes: [process(1), process(2)],
            row: None,
            term: 0,
            orders: BTreeSet::new(),
            fence: Fence::new(),
            carried_out: 0,
            with_orders,
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
        let current = self.row.map(|stored| stored.revision);
        if check != current && self.mutation != Mutation::UncheckedWrite {
            return Event::Found(self.row);
        }
        if self.row.map(|stored| stored.row.holder) != Some(row.holder) {
            self.term += 1;
            self.processes[i].term = self.term;
        }
        let revision = current.unwrap_or(0) + 1;
        self.row = Some(StoredRow { row, revision });
        Event::Written(revision)
    }

    fn complete_operation(&mut self, i: usize, event: Event) {
        let process = &mut self.processes[i];
        process.next_action = None;
        process.lease.on(event, seconds(process.clock));
    }

    /// A read completes immediately, since a slow one only delays its reader.
    fn tick(&mut self, i: usize) {
        let process = &mut self.processes[i];
        process.next_action = process.lease.tick(seconds(process.clock));
        if process.next_action == Some(Action::Read) {
            self.execute_operation(i);
        }
    }

    fn execute_operation(&mut self, i: usize) {
        let action = self.processes[i].next_action.unwrap();
        let event = self.write(i, action);
        self.complete_operation(i, event);
    }

    fn order_arrives(&mut self, order: Order) {
        let decision = match self.mutation {
            Mutation::NoFence => Decision::Pass,
            _ => self.fence.admit(order.fence),
        };
        if decision != Decision::Pass {
            return;
        }
        if order.holder < self.carried_out {
            self.carried_out = u8::MAX;
        } else {
            self.carried_out = order.holder;
        }
    }

    fn apply(&mut self, i: usize, step: Step) {
        match step {
            Step::Clock => self.processes[i].clock += 1,
            Step::Tick => self.tick(i),
            Step::Reply => self.execute_operation(i),
            Step::ReplyLost => {
                self.processes[i].unsure = self.processes[i].next_action;
                self.complete_operation(i, Event::Unsure);
            }
            Step::WriteApplied => {
                let unsure = self.processes[i].unsure.take().unwrap();
                self.write(i, unsure);
            }
            Step::Resign => self.processes[i].lease.resign(),
            Step::Order => {
                let holder = self.processes[i].term;
                let fence = self.may_act(i).unwrap();
                self.orders.insert(Order { holder, fence });
            }
            Step::OrderArrives(order) => self.order_arrives(order),
            Step::AgentReads => {
                let current = self.row.map_or(0, |stored| stored.row.fence);
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

    /// The second clock is never behind the first one, nor ahead by more than the drift.
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
        match process.next_action {
            Some(_) if process.unsure.is_none() => steps.extend([Step::Reply, Step::ReplyLost]),
            Some(_) => steps.push(Step::Reply),
            None => steps.push(Step::Tick),
        }
        steps.extend(process.unsure.map(|_| Step::WriteApplied));
        let resigns = i == 0 && self.may_act(i).is_some();
        steps.extend(resigns.then_some(Step::Resign));
        let order = self.may_act(i).filter(|_| self.with_orders);
        steps.extend(order.map(|_| Step::Order));
        steps
    }

    fn is_fault(step: Step) -> bool {
        matches!(step, Step::ReplyLost | Step::Resign | Step::AgentCrashes)
    }
}

impl System for World {
    type Step = (usize, Step);

    fn steps(&self) -> Vec<(Self::Step, Self)> {
        let own = (0..2).flat_map(|i| self.own_steps(i).into_iter().map(move |step| (i, step)));
        let orders = self.orders.iter().map(|order| Step::OrderArrives(*order));
        let agent = [Step::AgentReads, Step::AgentCrashes];
        let agent = agent.into_iter().chain(orders).map(|step| (0, step));
        let agent = agent.filter(|_| self.with_orders);
        own.chain(agent)
            .filter(|(_, step)| self.faults > 0 || !Self::is_fault(*step))
            .map(|(i, step)| {
                let mut world = self.clone();
                world.faults -= u8::from(Self::is_fault(step));
                world.apply(i, step);
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

/// The holder of a lease is suspended, its clock is slow, and responses are lost. Two processes
/// never act at once.
#[test]
fn one_holder_at_a_time() {
    holds("lease", &World::new(false, 5, 1, Mutation::None));
}

/// A holder that was suspended until its lease expired sends its order late, and the agent
/// restarts. The order does not revert the engine.
#[test]
fn outdated_orders_rejected() {
    holds("lease and fence", &World::new(true, 4, 1, Mutation::None));
}

/// Each guard is needed: without it, two processes move the same model at once, or an old order
/// undoes a newer one.
#[test]
fn each_guard_is_needed() {
    let (two, old) = ("two holders act", "an older order after a newer one");
    [
        (Mutation::NoMargin, two, false),
        (Mutation::UncheckedWrite, two, false),
        (Mutation::FenceForgotten, old, true),
        (Mutation::NoFence, old, true),
    ]
    .into_iter()
    .for_each(|(mutation, what, with_orders)| {
        let world = World::new(with_orders, 4, 1, mutation);
        violates(&format!("{mutation:?}"), &world, what);
    });
}
