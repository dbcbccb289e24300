//! Search over a service with few runners and a request that crashes them and is sent again as soon as
//! allowed, with every order of attempts, crashes and restarts.
#![allow(clippy::unwrap_used, missing_docs)]

use pathfinding::prelude::bfs_reach;
use protocol::quarantine::{Availability, CRASH_THRESHOLD};

/// Maximum number of runners of the service.
const RUNNERS: usize = 6;

/// Whether an attempt is sent, by the remaining guards.
type Rule = fn(Availability, u32) -> bool;

/// Availability of the service, and the number of runners that have crashed under the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    availability: Availability,
    crashes: u32,
}

fn steps(state: &State, rule: Rule) -> Vec<State> {
    let Availability { up, down } = state.availability;
    let mut next = Vec::new();
    if up > 0 && state.crashes < CRASH_THRESHOLD && rule(state.availability, state.crashes) {
        let availability = Availability {
            up: up - 1,
            down: down + 1,
        };
        let crashes = state.crashes + 1;
        next.push(State {
            availability,
            crashes,
        });
    }
    if down > 0 {
        let availability = Availability {
            up: up + 1,
            down: down - 1,
        };
        next.push(State {
            availability,
            ..*state
        });
    }
    next
}

/// All reachable states of a service whose runners are all up.
fn reachable_states(runners: usize, rule: Rule) -> Vec<State> {
    let start = State {
        availability: Availability {
            up: runners,
            down: 0,
        },
        crashes: 0,
    };
    bfs_reach(start, |state| steps(state, rule)).collect()
}

/// Whether the request can crash the last runner of a service with several runners.
fn crashes_last(rule: Rule) -> bool {
    let mut sizes = 2..=RUNNERS;
    sizes.any(|runners| {
        let states = reachable_states(runners, rule);
        states.iter().any(|state| state.availability.up == 0)
    })
}

/// Whether the request can crash more than half of a service with its second or a later runner.
fn crashes_majority(rule: Rule) -> bool {
    let mut sizes = 3..=RUNNERS;
    sizes.any(|runners| {
        let states = reachable_states(runners, rule);
        let third = states
            .iter()
            .filter(|state| state.crashes == CRASH_THRESHOLD);
        third
            .into_iter()
            .any(|state| state.availability.up * 2 < runners - 1)
    })
}

/// Guards against one request that takes down all of the few runners of a service, so that all other
/// requests fail.
#[test]
fn last_runner_is_spared() {
    assert!(!crashes_last(Availability::allows_attempt));
    assert!(!crashes_majority(Availability::allows_attempt));
}

/// Guards against a request that is never tried again, and so never cleared, because the service has
/// too few runners even when all are up.
#[test]
fn poison_request_reaches_threshold() {
    for runners in 1..=RUNNERS {
        let states = reachable_states(runners, Availability::allows_attempt);
        assert!(
            states.iter().any(|state| state.crashes == CRASH_THRESHOLD),
            "{runners}"
        );
    }
}

/// A request under which one runner exited by chance continues at once.
#[test]
fn request_continues_after_one_crash() {
    for runners in 3..=RUNNERS {
        let availability = Availability {
            up: runners - 1,
            down: 1,
        };
        assert!(availability.allows_attempt(1), "{runners}");
    }
}

/// Each guard is needed: its removal causes a violation.
#[test]
fn each_guard_is_needed() {
    assert!(crashes_last(|_, _| true));
    assert!(crashes_last(|Availability { up, down }, crashes| {
        crashes < 2 || down == 0 || up > 1 && down < up
    }));
    assert!(crashes_majority(|Availability { up, down }, crashes| {
        crashes == 0 || down == 0 || up > 1
    }));
}
