//! The pool and the routers against an obvious slow version.
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

/// What a target's record must come to, kept the obvious way.
#[derive(Clone, Debug, Default)]
struct Slow {
    in_flight: u32,
    limit: u32,
    leaving: bool,
    failures: u32,
    ejections: u32,
    until: Option<u64>,
}

impl Slow {
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

fn readmit(slow: &mut BTreeMap<TargetId, Slow>, now: u64) {
    for target in slow.values_mut().filter(|target| !target.leaving) {
        if target.until.is_some_and(|until| until <= now) {
            target.until = None;
            target.failures = target.failures.saturating_sub(1);
        }
    }
}

/// Where no other target is left, those that are out come back.
fn readmit_last(slow: &mut BTreeMap<TargetId, Slow>) {
    if !slow.values().any(Slow::live) {
        readmit(slow, u64::MAX);
    }
}

fn failed(slow: &mut BTreeMap<TargetId, Slow>, id: &TargetId, now: u64, rule: &EjectionPolicy) {
    let out = slow.values().filter(|target| !target.live()).count() + 1;
    let allowed = out as f64 <= rule.cap * slow.len() as f64;
    let Some(target) = slow.get_mut(id).filter(|target| target.live()) else {
        return;
    };
    target.failures += 1;
    if target.failures >= rule.failures && allowed {
        let out = rule.first * 2_u32.pow(target.ejections);
        target.until = Some(now + out.min(rule.longest).as_millis() as u64);
        target.ejections += 1;
    }
}

fn apply(step: &Step, now: &mut u64, pool: &mut Pool, slow: &mut BTreeMap<TargetId, Slow>) {
    let rule = EjectionPolicy::default();
    let at = Duration::from_millis(*now);
    let answer = ResponseStats {
        busy: Duration::from_millis(5),
        elapsed: Duration::from_millis(90),
        prefix: &[],
        hits: 0,
    };
    let returned = |slow: &mut BTreeMap<TargetId, Slow>, id: &TargetId| {
        if let Some(target) = slow.get_mut(id) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    };
    match *step {
        Step::Insert(id) => {
            pool.insert(Target::new(name(id), "a", 4));
            let fresh = Slow {
                limit: 4,
                ..Slow::default()
            };
            slow.entry(name(id)).or_insert(fresh);
        }
        Step::Remove(id) => {
            assert_eq!(
                pool.remove(&name(id)).is_some(),
                slow.remove(&name(id)).is_some()
            );
            readmit_last(slow);
        }
        Step::Sent(id) => {
            pool.sent(&name(id), at);
            readmit(slow, *now);
            if let Some(target) = slow.get_mut(&name(id)) {
                target.in_flight += 1;
            }
        }
        Step::Returned(id) => {
            pool.returned(&name(id));
            returned(slow, &name(id));
        }
        Step::Answered(id) => {
            pool.answered(&name(id), at, &answer);
            returned(slow, &name(id));
            readmit(slow, *now);
            if let Some(target) = slow.get_mut(&name(id)) {
                (target.failures, target.ejections) = (0, 0);
            }
        }
        Step::Failed(id) => {
            pool.failed(&name(id), at);
            returned(slow, &name(id));
            readmit(slow, *now);
            failed(slow, &name(id), *now, &rule);
        }
        Step::Leave(id) => {
            pool.leave(&name(id));
            slow.entry(name(id))
                .and_modify(|target| target.leaving = true);
            readmit_last(slow);
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
            slow.entry(name(id))
                .and_modify(|target| target.limit = limit);
        }
        Step::Wait(span) => *now += span,
    }
}

#[test]
fn same_state() {
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
        let (mut pool, mut slow, mut now) = (Pool::default(), BTreeMap::new(), 0);
        for step in &steps {
            apply(step, &mut now, &mut pool, &mut slow);
            let mut live: Vec<_> = pool.live().iter().map(|target| &target.id).collect();
            live.sort();
            let expected: Vec<_> = slow.iter().filter(|(_, target)| target.live()).collect();
            prop_assert_eq!(live, expected.iter().map(|(id, _)| *id).collect::<Vec<_>>());
            let capacity: u32 = expected.iter().map(|(_, target)| target.limit).sum();
            prop_assert_eq!(pool.capacity(), capacity);
            prop_assert_eq!(pool.targets().len(), slow.len());
            for (id, target) in &slow {
                prop_assert_eq!(pool.get(id).unwrap().in_flight(), target.in_flight);
            }
        }
        check_routers(&pool, &slow, now)
    });
    outcome.unwrap();
}

/// Each router finds a target exactly when a look at all of them does, and only a usable one.
fn check_routers(
    pool: &Pool,
    slow: &BTreeMap<TargetId, Slow>,
    now: u64,
) -> Result<(), TestCaseError> {
    let mut rng = SmallRng::seed_from_u64(now);
    let names: Vec<TargetId> = slow.keys().cloned().collect();
    for tried in 0..=names.len() {
        let call = Call {
            now: Duration::from_millis(now),
            domain: "a",
            prefix: &[],
            tried: &names[..tried],
            slack: Duration::from_secs(1),
        };
        let usable = |id: &TargetId| slow[id].live() && !call.tried.contains(id);
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
