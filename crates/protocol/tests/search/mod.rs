//! Breadth-first search over everything that can happen to a small system.
#![allow(dead_code)]

use std::fmt::Debug;
use std::hash::Hash;

/// Upper bound of states; a larger system fails the test instead of being cut short.
const STATES: usize = 3_000_000;

/// A system whose steps are all that can happen next.
pub(crate) trait System: Clone + Eq + Hash {
    /// What can happen.
    type Step: Debug;

    /// All that can happen now, with the system after it.
    fn steps(&self) -> Vec<(Self::Step, Self)>;

    /// The property that does not hold, if any.
    fn violation(&self) -> Option<&'static str>;
}

/// Visits every reachable state, fails on the first violation, and prints the number of states.
pub(crate) fn holds<S: System>(name: &str, start: &S) {
    let mut states = 0;
    for state in pathfinding::directed::bfs::bfs_reach(start.clone(), next) {
        states += 1;
        assert!(states < STATES, "{name}: search cut short");
        if state.violation().is_some() {
            let (what, trace) = find(start, |_| true).unwrap();
            panic!("{name}: {what} after\n{trace}");
        }
    }
    println!("{name}: {states} states, bound {STATES}");
}

/// Finds a shortest way to this violation and prints it.
pub(crate) fn fails<S: System>(name: &str, start: &S, violation: &str) {
    let found = find(start, |what| what == violation);
    let (_, trace) = found.unwrap_or_else(|| panic!("{name}: no way to '{violation}'"));
    println!("{name}: {violation} after\n{trace}");
}

/// Shortest way to a wanted violation.
pub(crate) fn find<S: System>(
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
