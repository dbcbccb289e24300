//! A request that ends runners, sent again as soon as it may be, at a service of few runners: every order
//! of attempts, ends and returns.
#![allow(clippy::unwrap_used, missing_docs)]

use pathfinding::prelude::bfs_reach;
use protocol::quarantine::{Availability, CRASH_THRESHOLD};

/// Runners of the service at most.
const RUNNERS: usize = 6;

/// Whether an attempt is sent, by the guards that are left.
type Rule = fn(Availability, u32) -> bool;

/// What is left of the service, and how many runners have ended under the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    standing: Availability,
    crashes: u32,
}

fn steps(state: &State, rule: Rule) -> Vec<State> {
    let Availability { up, down } = state.standing;
    let mut next = Vec::new();
    if up > 0 && state.crashes < CRASH_THRESHOLD && rule(state.standing, state.crashes) {
        let standing = Availability {
            up: up - 1,
            down: down + 1,
        };
        let crashes = state.crashes + 1;
        next.push(State { standing, crashes });
    }
    if down > 0 {
        let standing = Availability {
            up: up + 1,
            down: down - 1,
        };
        next.push(State { standing, ..*state });
    }
    next
}

/// All that can become of a service whose runners are all there.
fn reach(runners: usize, rule: Rule) -> Vec<State> {
    let start = State {
        standing: Availability {
            up: runners,
            down: 0,
        },
        crashes: 0,
    };
    bfs_reach(start, |state| steps(state, rule)).collect()
}

/// Whether the request can end the last runner of a service of several.
fn ends_last(rule: Rule) -> bool {
    let mut sizes = 2..=RUNNERS;
    sizes.any(|runners| {
        let states = reach(runners, rule);
        states.iter().any(|state| state.standing.up == 0)
    })
}

/// Whether it can end, with its second runner or a later one, more than half of a service.
fn ends_most(rule: Rule) -> bool {
    let mut sizes = 3..=RUNNERS;
    sizes.any(|runners| {
        let states = reach(runners, rule);
        let third = states
            .iter()
            .filter(|state| state.crashes == CRASH_THRESHOLD);
        third
            .into_iter()
            .any(|state| state.standing.up * 2 < runners - 1)
    })
}

/// Guards against one request that takes down all of the few runners of a service, and with them
/// everybody else's requests.
#[test]
fn last_one_stands() {
    assert!(!ends_last(Availability::allows_attempt));
    assert!(!ends_most(Availability::allows_attempt));
}

/// Guards against a request that is never tried again, and so never cleared, since too few runners are
/// there even when all are.
#[test]
fn tried_again() {
    for runners in 1..=RUNNERS {
        let states = reach(runners, Availability::allows_attempt);
        assert!(
            states.iter().any(|state| state.crashes == CRASH_THRESHOLD),
            "{runners}"
        );
    }
}

/// The first crash costs nothing: a request under which one runner ended by chance goes on at once.
#[test]
fn first_crash_free() {
    for runners in 3..=RUNNERS {
        let standing = Availability {
            up: runners - 1,
            down: 1,
        };
        assert!(standing.allows_attempt(1), "{runners}");
    }
}

/// Each guard that is taken away shows.
#[test]
fn guards() {
    assert!(ends_last(|_, _| true));
    assert!(ends_last(|Availability { up, down }, crashes| {
        crashes < 2 || down == 0 || up > 1 && down < up
    }));
    assert!(ends_most(|Availability { up, down }, crashes| {
        crashes == 0 || down == 0 || up > 1
    }));
}
