//! The bound on the retries of a whole fleet while processes crash and restart and traffic changes.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::repeats::{Conditions, RetryPolicy, Trace, configured, simulate};
use decide::retry::window::{RetryBound, RetryQuota};
use std::time::Duration;

/// Number of seeds that CI simulates; `REPEAT_PLAYS` overrides it.
const SEEDS: u64 = 200;

/// The policy of a relay.
struct Shipped(RetryQuota);

impl RetryPolicy for Shipped {
    fn start(bound: RetryBound, _now: Duration, _is_first: bool) -> Self {
        Self(RetryQuota::new(bound))
    }

    fn record_first_attempt(&mut self, now: Duration, _arrived: Duration) {
        self.0.record_first_attempts(now, 1);
    }

    fn try_retry(&mut self, now: Duration, processes: Option<usize>) -> bool {
        self.0.try_retry(now, configured(processes))
    }

    fn set_bound(&mut self, now: Duration, bound: RetryBound) {
        self.0.set_bound(now, bound);
    }
}

/// Nanoseconds since the start; signed because a window may begin before it.
type Nanos = i64;

fn nanos(at: Duration) -> Nanos {
    i64::try_from(at.as_nanos()).unwrap_or(i64::MAX)
}

/// Check of the bound for the trace of one simulation.
struct BoundCheck {
    requests: Vec<Nanos>,
    arrivals: Vec<Nanos>,
    bounds: Vec<(RetryBound, Nanos, Nanos)>,
    window: Nanos,
}

impl BoundCheck {
    fn new(trace: &Trace) -> Self {
        let all = |times: &[Duration]| times.iter().copied().map(nanos).collect();
        let bounds = trace.bounds.iter();
        Self {
            requests: all(&trace.first_attempts),
            arrivals: all(&trace.arrivals),
            bounds: bounds
                .map(|(bound, since, until)| (*bound, nanos(*since), nanos(*until)))
                .collect(),
            window: nanos(trace.bounds[0].0.window),
        }
    }

    /// Number of the sorted times within the window that begins at `from`.
    fn within(&self, times: &[Nanos], from: Nanos) -> f64 {
        let begin = times.partition_point(|at| *at < from);
        let inside = times[begin..].partition_point(|at| *at < from + self.window);
        inside as f64
    }

    /// Retries that the service may receive in the window that begins at `from`.
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

    /// Largest excess of any window relative to what is allowed there; negative if none exceeds it.
    ///
    /// As the window moves, the excess grows only where a retry enters it, or where a request leaves one
    /// of the three windows in which requests are counted.
    fn worst_excess(&self) -> f64 {
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

/// Number of seeds, from 0 on, which `REPEAT_PLAYS` overrides. `REPEAT_TERMS` selects the conditions.
fn seeds() -> u64 {
    let seeds = std::env::var("REPEAT_PLAYS").ok();
    seeds.map_or(SEEDS, |seeds| seeds.parse().unwrap())
}

fn conditions() -> Conditions {
    let conditions = std::env::var("REPEAT_TERMS").ok();
    conditions.map_or(Conditions::ALL, |names| Conditions::of(&names))
}

/// Seeds that violate the bound and by how much, and totals of all simulations.
#[derive(Debug, Default)]
struct Summary {
    violations: Vec<(u64, f64)>,
    requests: usize,
    repeats: usize,
    refused: usize,
}

impl Summary {
    fn of<G: RetryPolicy>(conditions: Conditions) -> Self {
        let mut summary = Self::default();
        for seed in 0..seeds() {
            let trace = simulate::<G>(seed, conditions);
            let worst_excess = BoundCheck::new(&trace).worst_excess();
            if worst_excess > 1e-9 {
                summary.violations.push((seed, worst_excess));
            }
            summary.requests += trace.first_attempts.len();
            summary.repeats += trace.arrivals.len();
            summary.refused += trace.refused;
        }
        summary
    }

    fn worst_violation(&self) -> f64 {
        self.violations
            .iter()
            .map(|(_, by)| *by)
            .fold(0.0, f64::max)
    }

    fn print(&self, what: &str) {
        let first = self.violations.first().map(|(seed, _)| *seed);
        println!(
            "{what:10} {:4} broken, first {first:?}, worst {:.1}%; {} requests, {} repeats, {} refused",
            self.violations.len(),
            100.0 * self.worst_violation(),
            self.requests,
            self.repeats,
            self.refused
        );
    }
}

/// Guards against more retries at a service, in any window, than the bound of the whole fleet allows.
#[test]
fn fleet_repeats_bounded() {
    let summary = Summary::of::<Shipped>(conditions());
    summary.print("shipped");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
}
