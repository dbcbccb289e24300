//! The follower and the members compared with reference models that keep all messages and evaluate
//! them anew for each result. The seed is fixed, so that results are reproducible.
#![allow(clippy::unwrap_used, missing_docs)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use protocol::follower::{self, Follower};
use protocol::member::{MemberUpdate, Members, State};
use protocol::{Incarnation, Revision};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(20_260_705),
        ..ProptestConfig::default()
    }
}

/// An update about a VM.
#[derive(Clone, Copy, Debug)]
enum Update {
    FromVm(Incarnation, bool),
    Listed(Incarnation, bool),
    Unlisted,
    Unresponsive(Incarnation),
    Drain(bool),
}

fn update() -> impl Strategy<Value = Update> {
    let incarnation = 1..4_u64;
    prop_oneof![
        (incarnation.clone(), any::<bool>())
            .prop_map(|(incarnation, leaving)| Update::FromVm(incarnation, leaving)),
        (incarnation.clone(), any::<bool>())
            .prop_map(|(incarnation, leaving)| Update::Listed(incarnation, leaving)),
        Just(Update::Unlisted),
        incarnation.prop_map(Update::Unresponsive),
        any::<bool>().prop_map(Update::Drain),
    ]
}

/// Derives a VM's state from all updates about it.
fn expected_state(updates: &[Update]) -> State {
    let about = |update: &Update| match *update {
        Update::FromVm(incarnation, leaving) | Update::Listed(incarnation, leaving) => {
            Some((incarnation, leaving))
        }
        _ => None,
    };
    let Some(incarnation) = updates
        .iter()
        .filter_map(about)
        .map(|(incarnation, _)| incarnation)
        .max()
    else {
        return State::Gone;
    };
    let since = updates
        .iter()
        .position(|update| about(update).is_some_and(|(other, _)| other == incarnation));
    let responsive = updates[since.unwrap()..]
        .iter()
        .rev()
        .find_map(|update| match *update {
            Update::FromVm(other, _) if other == incarnation => Some(true),
            Update::Unresponsive(other) if other == incarnation => Some(false),
            _ => None,
        });
    let listed = updates.iter().rev().find_map(|update| match update {
        Update::Listed(..) => Some(true),
        Update::Unlisted => Some(false),
        _ => None,
    });
    let drained = updates.iter().rev().find_map(|update| match update {
        Update::Drain(drained) => Some(*drained),
        _ => None,
    });
    let leaving = updates
        .iter()
        .filter_map(about)
        .any(|(other, leaving)| other == incarnation && leaving);
    match responsive.or(listed) {
        Some(true) if leaving || drained == Some(true) => State::Leaving,
        Some(true) => State::Live,
        _ => State::Gone,
    }
}

fn follower_event() -> impl Strategy<Value = follower::Event> {
    let revision = 1..6_u64;
    prop_oneof![
        revision.clone().prop_map(follower::Event::Head),
        revision.clone().prop_map(follower::Event::Push),
        revision.clone().prop_map(follower::Event::Peers),
        revision.clone().prop_map(follower::Event::Entry),
        revision.prop_map(follower::Event::Snapshot),
        Just(follower::Event::Down),
    ]
}

/// Derives from all events the revision up to which all changes are in force, and whether the
/// process may serve.
fn expected_follower(follower_event: &[follower::Event]) -> (Revision, bool) {
    let (mut applied, mut down, mut ready) = (0, false, false);
    let mut goals = Vec::new();
    for event in follower_event {
        match *event {
            follower::Event::Entry(revision) if revision == applied + 1 => applied = revision,
            follower::Event::Snapshot(revision) => applied = applied.max(revision),
            follower::Event::Head(revision) => {
                goals.push(revision);
                down = false;
            }
            follower::Event::Peers(revision) if down => goals.push(revision),
            follower::Event::Down => down = true,
            _ => {}
        }
        ready |= goals.iter().max().is_some_and(|goal| applied >= *goal);
    }
    (applied, ready)
}

proptest! {
    #![proptest_config(config())]

    /// Messages about the configuration arrive late, twice and out of order.
    #[test]
    fn follower_matches_model(all in prop::collection::vec(follower_event(), 0..40)) {
        let mut follower = Follower::new();
        for (i, event) in all.iter().enumerate() {
            follower.on(*event);
            let actual = (follower.applied(), follower.is_ready());
            prop_assert_eq!(actual, expected_follower(&all[..=i]));
        }
    }

    /// Updates about a VM from itself, the list, operators and missed heartbeats arrive in any
    /// order.
    #[test]
    fn members_match_model(updates in prop::collection::vec(update(), 0..40)) {
        let mut members = Members::new();
        for (i, update) in updates.iter().enumerate() {
            let member_update = |incarnation, leaving| MemberUpdate { incarnation, leaving };
            match *update {
                Update::FromVm(number, leaving) => members.observe("vm", member_update(number, leaving)),
                Update::Listed(number, leaving) => members.set_listed([("vm", member_update(number, leaving))]),
                Update::Unlisted => members.set_listed([]),
                Update::Unresponsive(incarnation) => members.mark_unresponsive("vm", incarnation),
                Update::Drain(drained) => members.set_drained("vm", drained),
            }
            prop_assert_eq!(members.state("vm"), expected_state(&updates[..=i]));
        }
    }
}
