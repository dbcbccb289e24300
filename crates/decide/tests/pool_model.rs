//! The pool and the routers compared with a simple reference model.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::retry::eject::EjectionPolicy;
use decide::route::{
    Call, LoadReport, Pool, ResponseStats, RoundRobin, Router, Sampled, Target, TargetId,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Expected state of a target.
#[derive(Clone, Debug, Default)]
struct ReferenceTarget {
    in_flight: u32,
    limit: u32,
    leaving: bool,
    failures: u32,
    ejections: u32,
    until: Option<u64>,
}

impl ReferenceTarget {
    fn live(&self) -> bool {
        !self.leaving && self.until.is_none()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Insert(u8),
    Remove(u8),
    Sent(u8),
    Returned(u8),
    Answered(u8),
    Failed(u8),
    Leave(u8),
    Reported(u8, u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let target = 0..12_u8;
    prop_oneof![
        4 => target.clone().prop_map(Step::Insert),
        1 => target.clone().prop_map(Step::Remove),
        6 => target.clone().prop_map(Step::Sent),
        1 => target.clone().prop_map(Step::Returned),
        2 => target.clone().prop_map(Step::Answered),
        8 => target.clone().prop_map(Step::Failed),
        1 => target.clone().prop_map(Step::Leave),
        2 => (target, 1..9_u32).prop_map(|(id, limit)| Step::Reported(id, limit)),
        2 => (0..3_000_u64).prop_map(Step::Wait),
    ]
}

fn name(id: u8) -> TargetId {
    format!("t{id}").into()
}

fn readmit(reference: &mut BTreeMap<TargetId, ReferenceTarget>, now: u64) {
    for target in reference.values_mut().filter(|target| !target.leaving) {
        if target.until.is_some_and(|until| until <= now) {
            target.until = None;
            target.failures = target.failures.saturating_sub(1);
        }
    }
}

/// Readmits ejected targets if no other one is left.
fn readmit_if_none_live(reference: &mut BTreeMap<TargetId, ReferenceTarget>) {
    if !reference.values().any(ReferenceTarget::live) {
        readmit(reference, u64::MAX);
    }
}

fn failed(
    reference: &mut BTreeMap<TargetId, ReferenceTarget>,
    id: &TargetId,
    now: u64,
    policy: &EjectionPolicy,
) {
    let ejected = reference.values().filter(|target| !target.live()).count() + 1;
    let allowed = ejected as f64 <= policy.cap * reference.len() as f64;
    let Some(target) = reference.get_mut(id).filter(|target| target.live()) else {
        return;
    };
    target.failures += 1;
    if target.failures >= policy.failures && allowed {
        let duration = policy.first * 2_u32.pow(target.ejections);
        target.until = Some(now + duration.min(policy.longest).as_millis() as u64);
        target.ejections += 1;
    }
}

fn apply(
    step: &Step,
    now: &mut u64,
    pool: &mut Pool,
    reference: &mut BTreeMap<TargetId, ReferenceTarget>,
) {
    let policy = EjectionPolicy::default();
    let at = Duration::from_millis(*now);
    let stats = ResponseStats {
        busy: Duration::from_millis(5),
        elapsed: Duration::from_millis(90),
        prefix: &[],
        hits: 0,
    };
    let returned = |reference: &mut BTreeMap<TargetId, ReferenceTarget>, id: &TargetId| {
        if let Some(target) = reference.get_mut(id) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    };
    match *step {
        Step::Insert(id) => {
            pool.insert(Target::new(name(id), "a", 4));
            let target = ReferenceTarget {
                limit: 4,
                ..ReferenceTarget::default()
            };
            reference.entry(name(id)).or_insert(target);
        }
        Step::Remove(id) => {
            assert_eq!(
                pool.remove(&name(id)).is_some(),
                reference.remove(&name(id)).is_some()
            );
            readmit_if_none_live(reference);
        }
        Step::Sent(id) => {
            pool.sent(&name(id), at);
            readmit(reference, *now);
            if let Some(target) = reference.get_mut(&name(id)) {
                target.in_flight += 1;
            }
        }
        Step::Returned(id) => {
            pool.returned(&name(id));
            returned(reference, &name(id));
        }
        Step::Answered(id) => {
            pool.answered(&name(id), at, &stats);
            returned(reference, &name(id));
            readmit(reference, *now);
            if let Some(target) = reference.get_mut(&name(id)) {
                (target.failures, target.ejections) = (0, 0);
            }
        }
        Step::Failed(id) => {
            pool.failed(&name(id), at);
            returned(reference, &name(id));
            readmit(reference, *now);
            failed(reference, &name(id), *now, &policy);
        }
        Step::Leave(id) => {
            pool.leave(&name(id));
            reference
                .entry(name(id))
                .and_modify(|target| target.leaving = true);
            readmit_if_none_live(reference);
        }
        Step::Reported(id, limit) => {
            pool.reported(
                &name(id),
                at,
                LoadReport {
                    queued: 0,
                    running: 0,
                    limit,
                },
            );
            reference
                .entry(name(id))
                .and_modify(|target| target.limit = limit);
        }
        Step::Wait(span) => *now += span,
    }
}

#[test]
fn matches_reference() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 500,
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    );
    let outcome = runner.run(&prop::collection::vec(step(), 0..150), |steps| {
        let (mut pool, mut reference, mut now) = (Pool::default(), BTreeMap::new(), 0);
        for step in &steps {
            apply(step, &mut now, &mut pool, &mut reference);
            let mut live: Vec<_> = pool.live().iter().map(|target| &target.id).collect();
            live.sort();
            let expected: Vec<_> = reference
                .iter()
                .filter(|(_, target)| target.live())
                .collect();
            prop_assert_eq!(live, expected.iter().map(|(id, _)| *id).collect::<Vec<_>>());
            let capacity: u32 = expected.iter().map(|(_, target)| target.limit).sum();
            prop_assert_eq!(pool.capacity(), capacity);
            prop_assert_eq!(pool.targets().len(), reference.len());
            for (id, target) in &reference {
                prop_assert_eq!(pool.get(id).unwrap().in_flight(), target.in_flight);
            }
        }
        check_routers(&pool, &reference, now)
    });
    outcome.unwrap();
}

/// Each router finds a target exactly if a scan of all targets does, and selects only usable ones.
fn check_routers(
    pool: &Pool,
    reference: &BTreeMap<TargetId, ReferenceTarget>,
    now: u64,
) -> Result<(), TestCaseError> {
    let mut rng = SmallRng::seed_from_u64(now);
    let names: Vec<TargetId> = reference.keys().cloned().collect();
    for tried in 0..=names.len() {
        let call = Call {
            now: Duration::from_millis(now),
            domain: "a",
            prefix: &[],
            tried: &names[..tried],
            slack: Duration::from_secs(1),
        };
        let usable = |id: &TargetId| reference[id].live() && !call.tried.contains(id);
        let any = names.iter().any(usable);
        let picks = [
            Sampled.pick(pool, &call, &mut rng),
            RoundRobin::default().pick(pool, &call, &mut rng),
        ];
        for pick in picks {
            prop_assert_eq!(pick.is_some(), any);
            prop_assert!(pick.is_none_or(|id| usable(&id)));
        }
    }
    Ok(())
}
