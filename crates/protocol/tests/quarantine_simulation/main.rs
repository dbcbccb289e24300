//! Seeded simulation of processes that exchange reports about poison requests, in virtual time.
//! Messages are lost, late and duplicated; processes start late, are paused and are partitioned.
//!
//! A request that crashes runners is sent again and again to any process, while other requests run
//! at the same runners. Attempts wait until enough runners are up, so that the return of one runner
//! releases those of all processes. The removal of any guard causes a violation for some seed.
#![allow(clippy::unwrap_used, missing_docs)]

mod attempts;
mod messages;
mod world;

use world::{Load, Mutation, World};

const SEEDS: u64 = 150;

const IMMEDIATE: Load = Load {
    poison_attempts: 1,
    waits: false,
    release: 10_000,
    max_failed_trials: u32::MAX,
};
/// While attempts wait, the poison request goes on for longer and crashes trials of other requests. The first
/// failed one extends their hold to 20 s.
const WAITING: Load = Load {
    poison_attempts: 1,
    waits: true,
    release: 25_000,
    max_failed_trials: 1,
};
const COINCIDING: Load = Load {
    poison_attempts: 3,
    ..WAITING
};
const LOADS: [Load; 3] = [IMMEDIATE, WAITING, COINCIDING];

/// Violations of all seeds, and the number of other requests that were refused.
fn run_all(mutation: Mutation, load: Load) -> (Vec<String>, usize) {
    let mut all = Vec::new();
    let mut refusals = 0;
    for seed in 0..SEEDS {
        let (violations, refused) = World::new(mutation, load, seed).run();
        all.extend(violations.into_iter().map(|what| format!("{seed}: {what}")));
        refusals += refused;
    }
    println!(
        "{mutation:?}, {load:?}: {}, {:?}; {refusals} refused",
        all.len(),
        all.first()
    );
    (all, refusals)
}

/// Guards against harmless requests that stay quarantined, and a poison request that keeps crashing
/// runners.
#[test]
fn views_converge() {
    for load in LOADS {
        let (violations, _) = run_all(Mutation::None, load);
        assert!(
            violations.is_empty(),
            "{} violations: {violations:#?}",
            violations.len()
        );
    }
}

/// Each guard is needed: without it, other requests stay quarantined, or the poison request runs
/// on.
#[test]
fn each_guard_is_needed() {
    let mutations = [
        Mutation::KeepCrashesLocal,
        Mutation::BlameLaterRequests,
        Mutation::SendDeferred,
        Mutation::GrantLocally,
    ];
    for mutation in mutations {
        let found = LOADS.map(|load| run_all(mutation, load).0);
        assert!(!found.concat().is_empty(), "{mutation:?}");
    }
}

/// Guards against refusing requests that other processes know to be harmless.
#[test]
fn announced_responses_prevent_refusals() {
    let (_, with) = run_all(Mutation::None, IMMEDIATE);
    let (_, without) = run_all(Mutation::KeepClearsLocal, IMMEDIATE);
    assert!(
        without > 3 * with,
        "{with} refused with announcements, {without} without"
    );
}
