//! The fair queue compared with a simple reference implementation.
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
    virtual_time: u64,
    calls: Vec<(Duration, u64)>,
}

/// Keeps all flows in one vector and scans it for every decision.
#[derive(Default)]
struct ReferenceQueue {
    flows: Vec<Flow>,
    system_virtual_time: u64,
    sequence: u64,
}

impl ReferenceQueue {
    fn flow(&mut self, name: &WorkspaceId, share: u32) -> usize {
        let position = self.flows.iter().position(|flow| flow.name == *name);
        let position = position.unwrap_or_else(|| {
            self.flows.push(Flow {
                name: name.clone(),
                share: 1,
                virtual_time: self.system_virtual_time,
                calls: Vec::new(),
            });
            self.flows.len() - 1
        });
        self.flows[position].share = u64::from(share);
        position
    }

    fn push(&mut self, name: &WorkspaceId, share: u32, latest_start: Duration) {
        let position = self.flow(name, share);
        let flow = &mut self.flows[position];
        if flow.calls.is_empty() {
            flow.virtual_time = flow.virtual_time.max(self.system_virtual_time);
        }
        flow.calls.push((latest_start, self.sequence));
        self.sequence += 1;
    }

    fn pop(&mut self) -> Option<(WorkspaceId, u64)> {
        let mut order: Vec<usize> = (0..self.flows.len())
            .filter(|&position| !self.flows[position].calls.is_empty())
            .collect();
        order.sort_by_key(|&position| (self.flows[position].virtual_time, position));
        let first = self.flows[*order.first()?].virtual_time;
        self.system_virtual_time = self.system_virtual_time.max(first);
        let within_lookahead = |position: &&usize| {
            let flow = &self.flows[**position];
            flow.virtual_time <= first + cost(COST, flow.share) * LOOKAHEAD
        };
        let most_urgent = |position: &&usize| *self.flows[**position].calls.iter().min().unwrap();
        let position = *order
            .iter()
            .take_while(within_lookahead)
            .take(4)
            .min_by_key(most_urgent)?;
        let flow = &mut self.flows[position];
        let (at, _) = flow
            .calls
            .iter()
            .enumerate()
            .min_by_key(|(_, call)| **call)?;
        let (_, sequence) = flow.calls.remove(at);
        Some((flow.name.clone(), sequence))
    }

    fn charge(&mut self, name: &WorkspaceId, share: u32) {
        let position = self.flow(name, share);
        let idle = self.flows.iter().all(|flow| flow.calls.is_empty());
        let flow = &mut self.flows[position];
        let start = flow.virtual_time.max(self.system_virtual_time);
        if idle {
            self.system_virtual_time = start;
        }
        flow.virtual_time = start + cost(COST, flow.share);
    }

    fn correct(&mut self, name: &WorkspaceId, true_cost: Duration) {
        if let Some(flow) = self.flows.iter_mut().find(|flow| flow.name == *name) {
            flow.virtual_time = (flow.virtual_time + cost(true_cost, flow.share))
                .saturating_sub(cost(COST, flow.share));
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
fn matches_reference() {
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
        let (mut fair, mut reference) = (FairQueue::new(LOOKAHEAD), ReferenceQueue::default());
        let mut sequence = 0;
        for step in steps {
            match step {
                Step::Push(flow, due) => {
                    let latest_start = Duration::from_millis(due);
                    fair.push(Call {
                        workspace: names[flow].clone(),
                        share: share(flow),
                        latest_start,
                        item: sequence,
                    });
                    reference.push(&names[flow], share(flow), latest_start);
                    sequence += 1;
                }
                Step::Pop => {
                    let popped = fair.pop(COST).map(|call| {
                        fair.charge(&call.workspace, call.share, COST);
                        (call.workspace, call.item)
                    });
                    let expected = reference.pop();
                    if let Some((name, _)) = &expected {
                        let flow = names.iter().position(|other| other == name).unwrap();
                        reference.charge(name, share(flow));
                    }
                    prop_assert_eq!(popped, expected);
                }
                Step::Correct(flow, cost) => {
                    let cost = Duration::from_millis(cost);
                    fair.correct(&names[flow], COST, cost);
                    reference.correct(&names[flow], cost);
                }
            }
            let waiting: usize = reference.flows.iter().map(|flow| flow.calls.len()).sum();
            prop_assert_eq!(fair.len(), waiting);
        }
        Ok(())
    });
    outcome.unwrap();
}
