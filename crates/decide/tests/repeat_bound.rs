//! The bound on repeats over a whole fleet, while processes are lost and come back and traffic changes.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::repeats::{Guard, Seen, Terms, configured, play};
use decide::retry::window::{Quota, RepeatLimit};
use std::time::Duration;

/// Plays in CI; `REPEAT_PLAYS` asks for more.
const PLAYS: u64 = 200;

/// What a relay does.
struct Shipped(Quota);

impl Guard for Shipped {
    fn start(bound: RepeatLimit, _now: Duration, _is_first: bool) -> Self {
        Self(Quota::new(bound))
    }

    fn first(&mut self, now: Duration, _arrived: Duration) {
        self.0.record_first_attempts(now, 1);
    }

    fn repeat(&mut self, now: Duration, processes: Option<usize>) -> bool {
        self.0.try_repeat(now, configured(processes))
    }

    fn set_limit(&mut self, now: Duration, bound: RepeatLimit) {
        self.0.set_limit(now, bound);
    }
}

/// Nanoseconds from the start; a window may begin before it.
type Nanos = i64;

fn nanos(at: Duration) -> Nanos {
    i64::try_from(at.as_nanos()).unwrap_or(i64::MAX)
}

/// The rule, for what was seen of one play.
struct Rule {
    requests: Vec<Nanos>,
    arrivals: Vec<Nanos>,
    bounds: Vec<(RepeatLimit, Nanos, Nanos)>,
    window: Nanos,
}

impl Rule {
    fn new(seen: &Seen) -> Self {
        let all = |moments: &[Duration]| moments.iter().copied().map(nanos).collect();
        let bounds = seen.bounds.iter();
        Self {
            requests: all(&seen.firsts),
            arrivals: all(&seen.arrivals),
            bounds: bounds
                .map(|(bound, since, until)| (*bound, nanos(*since), nanos(*until)))
                .collect(),
            window: nanos(seen.bounds[0].0.window),
        }
    }

    /// How many of the sorted moments lie in the window from a moment on.
    fn within(&self, moments: &[Nanos], from: Nanos) -> f64 {
        let begin = moments.partition_point(|at| *at < from);
        let inside = moments[begin..].partition_point(|at| *at < from + self.window);
        inside as f64
    }

    /// What the service may get beyond the first of each request in the window from a moment on.
    fn allowed(&self, from: Nanos) -> f64 {
        let requests = [0, self.window / 2, self.window]
            .map(|earlier| self.within(&self.requests, from - earlier))
            .into_iter()
            .fold(0.0, f64::max);
        let in_force = self
            .bounds
            .iter()
            .filter(|(_, since, until)| from <= *until && from + self.window > *since);
        in_force
            .map(|(bound, ..)| bound.ratio * requests + bound.slack)
            .fold(0.0, f64::max)
    }

    /// By what part of what is allowed the worst of all windows exceeds it; below zero if none does.
    ///
    /// What a window has beyond that grows only where a repeat enters it, or a request leaves one of
    /// the three windows in which requests are counted.
    fn excess(&self) -> f64 {
        let enters = self.arrivals.iter().map(|at| at - self.window + 1);
        let leaves = self.requests.iter().flat_map(|at| {
            let after = at + 1;
            [after, after + self.window / 2, after + self.window]
        });
        let slack = self.bounds.iter().map(|(bound, ..)| bound.slack);
        let slack = slack.fold(f64::MAX, f64::min);
        let excess = |from| {
            let repeats = self.within(&self.arrivals, from);
            (repeats > slack).then(|| repeats / self.allowed(from) - 1.0)
        };
        enters.chain(leaves).filter_map(excess).fold(-1.0, f64::max)
    }
}

/// The plays of a run: `REPEAT_PLAYS` seeds from 0 on, with the terms that `REPEAT_TERMS` names.
fn plays() -> u64 {
    let plays = std::env::var("REPEAT_PLAYS").ok();
    plays.map_or(PLAYS, |plays| plays.parse().unwrap())
}

fn terms() -> Terms {
    let terms = std::env::var("REPEAT_TERMS").ok();
    terms.map_or(Terms::ALL, |names| Terms::of(&names))
}

/// Plays that break the rule, and by how much.
#[derive(Debug, Default)]
struct Verdict {
    broken: Vec<(u64, f64)>,
    requests: usize,
    repeats: usize,
    refused: usize,
}

impl Verdict {
    fn of<G: Guard>(terms: Terms) -> Self {
        let mut verdict = Self::default();
        for seed in 0..plays() {
            let seen = play::<G>(seed, terms);
            let excess = Rule::new(&seen).excess();
            if excess > 1e-9 {
                verdict.broken.push((seed, excess));
            }
            verdict.requests += seen.firsts.len();
            verdict.repeats += seen.arrivals.len();
            verdict.refused += seen.refused;
        }
        verdict
    }

    fn worst(&self) -> f64 {
        self.broken.iter().map(|(_, by)| *by).fold(0.0, f64::max)
    }

    fn print(&self, what: &str) {
        let first = self.broken.first().map(|(seed, _)| *seed);
        println!(
            "{what:10} {:4} broken, first {first:?}, worst {:.1}%; {} requests, {} repeats, {} refused",
            self.broken.len(),
            100.0 * self.worst(),
            self.requests,
            self.repeats,
            self.refused
        );
    }
}

/// Guards against more repeats at a service than the bound of the whole fleet, in any window.
#[test]
fn fleet_repeats_bounded() {
    let verdict = Verdict::of::<Shipped>(terms());
    verdict.print("shipped");
    assert!(verdict.broken.is_empty(), "{:?}", verdict.broken);
}
