//! The bound on the retries of a whole fleet while processes crash and restart and traffic changes.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::bound::BoundCheck;
use common::policy::{Drawn, Policy, Shipped};
use common::reference::{Reference, Trailing, Variant, variant};
use common::repeats::{Conditions, RetryPolicy, Trace, simulate};
use common::script;

/// Number of seeds that CI simulates; `REPEAT_PLAYS` overrides it.
const SEEDS: u64 = 200;
/// Number of scripts that CI runs.
const SCRIPTS: u64 = 1_000;
/// Number of seeds on which refusals are counted; `REPEAT_PLAYS` overrides it.
const REFUSAL_SEEDS: u64 = 100;
/// Number of seeds on which variants are compared; `REPEAT_PLAYS` overrides it.
const COMPARED_SEEDS: u64 = 2;
/// Share of the requests that may be refused a retry in addition to those that the trailing window
/// refuses.
const MAX_ADDITIONAL_REFUSALS: f64 = 0.01;

/// Number of seeds, from 0 on, which `REPEAT_PLAYS` overrides. `REPEAT_TERMS` selects the conditions.
fn seeds(default: u64) -> u64 {
    let seeds = std::env::var("REPEAT_PLAYS").ok();
    seeds.map_or(default, |seeds| seeds.parse().unwrap())
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
    fn of(traces: impl Iterator<Item = (u64, Trace)>) -> Self {
        let mut summary = Self::default();
        for (seed, trace) in traces {
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

    fn simulated<G: RetryPolicy>(conditions: Conditions, seeds: u64) -> Self {
        Self::of((0..seeds).map(|seed| (seed, simulate::<G>(seed, conditions))))
    }

    fn scripted<P: Policy>(seeds: u64) -> Self {
        Self::of((0..seeds).map(|seed| (seed, script::random(seed).run::<P>())))
    }

    /// Retries that were refused, relative to the requests.
    fn refusals(&self) -> f64 {
        self.refused as f64 / self.requests as f64
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
    let summary = Summary::simulated::<Drawn<Shipped>>(conditions(), seeds(SEEDS));
    summary.print("shipped");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
}

/// Guards against the same where requests arrive in bursts and each process retries as much as it may.
#[test]
fn bursts_bounded() {
    let summary = Summary::scripted::<Shipped>(seeds(SCRIPTS));
    summary.print("shipped");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
}

/// Guards against a bound that is met by refusing far more retries while no process is lost and few
/// attempts fail.
#[test]
fn few_refused() {
    let conditions = Conditions::of("swings,uneven,late,transit");
    let seeds = seeds(REFUSAL_SEEDS);
    let shipped = Summary::simulated::<Drawn<Shipped>>(conditions, seeds);
    let trailing = Summary::simulated::<Drawn<Trailing>>(conditions, seeds);
    shipped.print("shipped");
    trailing.print("trailing");
    let additional = shipped.refusals() - trailing.refusals();
    assert!(additional <= MAX_ADDITIONAL_REFUSALS, "{additional:.4}");
}

variant!(Whole);
variant!(Current, WEIGHTS: [f64; 3] = [1.0, 0.0, 0.0]);
variant!(Middle, WEIGHTS: [f64; 3] = [0.0, 1.0, 0.0]);
variant!(Previous, WEIGHTS: [f64; 3] = [0.0, 0.0, 1.0]);
variant!(Thirds, WEIGHTS: [f64; 3] = [0.33, 0.34, 0.33]);
variant!(Mixed, WEIGHTS: [f64; 3] = [0.25, 0.5, 0.25]);

/// Compares the windows in which first attempts may be counted: each keeps the bound, and refuses more
/// or fewer retries.
#[test]
fn windows_compared() {
    let (conditions, seeds) = (conditions(), seeds(COMPARED_SEEDS));
    let trailing = Summary::simulated::<Drawn<Trailing>>(conditions, seeds);
    trailing.print("trailing");
    let kept = [
        (
            "shipped",
            Summary::simulated::<Drawn<Shipped>>(conditions, seeds),
        ),
        ("whole", reference::<Whole>(conditions, seeds)),
        ("current", reference::<Current>(conditions, seeds)),
        ("middle", reference::<Middle>(conditions, seeds)),
        ("previous", reference::<Previous>(conditions, seeds)),
        ("thirds", reference::<Thirds>(conditions, seeds)),
        ("mixed", reference::<Mixed>(conditions, seeds)),
    ];
    for (name, summary) in &kept {
        summary.print(name);
        assert!(summary.violations.is_empty(), "{name}");
    }
    assert!(!trailing.violations.is_empty());
}

fn reference<V: Variant>(conditions: Conditions, seeds: u64) -> Summary {
    Summary::simulated::<Drawn<Reference<V>>>(conditions, seeds)
}
