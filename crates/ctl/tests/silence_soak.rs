//! Relays before a request that silences runners, beside others of the same service.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Trouble;
use ctl::torture::relays::verdict::Share;
use std::time::Duration;
use stub::caller::Kind;

/// Long enough for a dozen silent runners if nothing holds the request back, and for its first trial.
const TIME: Duration = Duration::from_secs(25);
/// Share of the other callers' requests that must be answered.
const SERVED: f64 = 0.85;

fn served(kind: Kind, seed: u64) {
    let counts = soak::clean(Trouble::Silence(kind), seed, TIME, 100);
    let others = counts.others.values().copied().sum::<Share>();
    assert!(others.part() >= SERVED, "{counts:?}");
}

/// Guards against a stream that goes on at one runner after the other and silences each.
#[test]
fn silenced_by_stream() {
    served(Kind::Stream, 1);
}

/// Guards against a repeatable request that silences one runner after the other.
#[test]
fn silenced_by_repeatable() {
    served(Kind::Safe, 2);
}

/// Guards against a request that may run once at most and silences one runner after the other.
#[test]
fn silenced_by_once() {
    served(Kind::Unsafe, 3);
}
