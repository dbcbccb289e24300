//! Breadth-first search over all reachable states of a small system.
#![allow(dead_code)]

use std::fmt::Debug;
use std::hash::Hash;

/// Upper bound of the number of states; a larger system fails the test instead of being truncated.
const MAX_STATES: usize = 3_000_000;

/// A system that lists all possible next steps.
pub(crate) trait System: Clone + Eq + Hash {
    /// A step of the system.
    type Step: Debug;

    /// All possible steps, each with the resulting state.
    fn steps(&self) -> Vec<(Self::Step, Self)>;

    /// The violated property, if any.
    fn violation(&self) -> Option<&'static str>;
}

/// Visits every reachable state, fails on the first violation, and prints the number of states.
pub(crate) fn holds<S: System>(name: &str, start: &S) {
    let mut states = 0;
    for state in pathfinding::directed::bfs::bfs_reach(start.clone(), next) {
        states += 1;
        assert!(states < MAX_STATES, "{name}: search truncated");
        if state.violation().is_some() {
            let (what, trace) = find_violation(start, |_| true).unwrap();
            panic!("{name}: {what} after\n{trace}");
        }
    }
    println!("{name}: {states} states, bound {MAX_STATES}");
}

/// Finds a shortest path to the given violation and prints it; fails if there is none.
pub(crate) fn violates<S: System>(name: &str, start: &S, violation: &str) {
    let found = find_violation(start, |what| what == violation);
    let (_, trace) = found.unwrap_or_else(|| panic!("{name}: no way to '{violation}'"));
    println!("{name}: {violation} after\n{trace}");
}

/// Shortest path to a violation that `wanted` accepts.
pub(crate) fn find_violation<S: System>(
    start: &S,
    wanted: impl Fn(&str) -> bool,
) -> Option<(&'static str, String)> {
    let success = |state: &S| state.violation().is_some_and(&wanted);
    let path = pathfinding::directed::bfs::bfs(start, next, success)?;
    let trace = path.windows(2).filter_map(|pair| step(&pair[0], &pair[1]));
    let trace: Vec<String> = trace.map(|step| format!("  {step:?}")).collect();
    Some((path.last()?.violation()?, trace.join("\n")))
}

fn next<S: System>(state: &S) -> Vec<S> {
    state.steps().into_iter().map(|(_, after)| after).collect()
}

fn step<S: System>(before: &S, after: &S) -> Option<S::Step> {
    let mut steps = before.steps().into_iter();
    steps.find_map(|(step, state)| (state == *after).then_some(step))
}
