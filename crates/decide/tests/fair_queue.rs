//! The fair queue against an obvious slow version.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::WorkspaceId;
use decide::admit::{Call, fair::FairQueue};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;

const LOOKAHEAD: u64 = 3;
const COST: Duration = Duration::from_millis(10);

struct Flow {
    name: WorkspaceId,
    share: u64,
    tag: u64,
    calls: Vec<(Duration, u64)>,
}

/// Keeps all flows in one vector and looks at each of them for every decision.
#[derive(Default)]
struct Slow {
    flows: Vec<Flow>,
    clock: u64,
    number: u64,
}

impl Slow {
    fn flow(&mut self, name: &WorkspaceId, share: u32) -> usize {
        let place = self.flows.iter().position(|flow| flow.name == *name);
        let place = place.unwrap_or_else(|| {
            self.flows.push(Flow {
                name: name.clone(),
                share: 1,
                tag: self.clock,
                calls: Vec::new(),
            });
            self.flows.len() - 1
        });
        self.flows[place].share = u64::from(share);
        place
    }

    fn push(&mut self, name: &WorkspaceId, share: u32, latest_start: Duration) {
        let place = self.flow(name, share);
        let flow = &mut self.flows[place];
        if flow.calls.is_empty() {
            flow.tag = flow.tag.max(self.clock);
        }
        flow.calls.push((latest_start, self.number));
        self.number += 1;
    }

    fn pop(&mut self) -> Option<(WorkspaceId, u64)> {
        let mut order: Vec<usize> = (0..self.flows.len())
            .filter(|&place| !self.flows[place].calls.is_empty())
            .collect();
        order.sort_by_key(|&place| (self.flows[place].tag, place));
        let first = self.flows[*order.first()?].tag;
        self.clock = self.clock.max(first);
        let near = |place: &&usize| {
            let flow = &self.flows[**place];
            flow.tag <= first + cost(COST, flow.share) * LOOKAHEAD
        };
        let head = |place: &&usize| *self.flows[**place].calls.iter().min().unwrap();
        let place = *order.iter().take_while(near).take(4).min_by_key(head)?;
        let flow = &mut self.flows[place];
        let (at, _) = flow
            .calls
            .iter()
            .enumerate()
            .min_by_key(|(_, call)| **call)?;
        let (_, number) = flow.calls.remove(at);
        Some((flow.name.clone(), number))
    }

    fn charge(&mut self, name: &WorkspaceId, share: u32) {
        let place = self.flow(name, share);
        let idle = self.flows.iter().all(|flow| flow.calls.is_empty());
        let flow = &mut self.flows[place];
        let start = flow.tag.max(self.clock);
        if idle {
            self.clock = start;
        }
        flow.tag = start + cost(COST, flow.share);
    }

    fn correct(&mut self, name: &WorkspaceId, true_cost: Duration) {
        if let Some(flow) = self.flows.iter_mut().find(|flow| flow.name == *name) {
            flow.tag =
                (flow.tag + cost(true_cost, flow.share)).saturating_sub(cost(COST, flow.share));
        }
    }
}

fn cost(cost: Duration, share: u64) -> u64 {
    cost.as_nanos() as u64 / share
}

#[derive(Clone, Debug)]
enum Step {
    Push(usize, u64),
    Pop,
    Correct(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..8_usize, 0..1_000_u64).prop_map(|(flow, due)| Step::Push(flow, due)),
        3 => Just(Step::Pop),
        1 => (0..8_usize, 0..40_u64).prop_map(|(flow, cost)| Step::Correct(flow, cost)),
    ]
}

#[test]
fn same_order() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 500,
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    );
    let names: Vec<WorkspaceId> = (0..8).map(|n| format!("w{n}").into()).collect();
    let share = |flow: usize| 1 + flow as u32 % 3;
    let steps = prop::collection::vec(step(), 0..200);
    let outcome = runner.run(&steps, |steps| {
        let (mut fair, mut slow) = (FairQueue::new(LOOKAHEAD), Slow::default());
        let mut number = 0;
        for step in steps {
            match step {
                Step::Push(flow, due) => {
                    let latest_start = Duration::from_millis(due);
                    fair.push(Call {
                        workspace: names[flow].clone(),
                        share: share(flow),
                        latest_start,
                        item: number,
                    });
                    slow.push(&names[flow], share(flow), latest_start);
                    number += 1;
                }
                Step::Pop => {
                    let popped = fair.pop(COST).map(|call| {
                        fair.charge(&call.workspace, call.share, COST);
                        (call.workspace, call.item)
                    });
                    let expected = slow.pop();
                    if let Some((name, _)) = &expected {
                        let flow = names.iter().position(|other| other == name).unwrap();
                        slow.charge(name, share(flow));
                    }
                    prop_assert_eq!(popped, expected);
                }
                Step::Correct(flow, cost) => {
                    let cost = Duration::from_millis(cost);
                    fair.correct(&names[flow], COST, cost);
                    slow.correct(&names[flow], cost);
                }
            }
            let waiting: usize = slow.flows.iter().map(|flow| flow.calls.len()).sum();
            prop_assert_eq!(fair.len(), waiting);
        }
        Ok(())
    });
    outcome.unwrap();
}
