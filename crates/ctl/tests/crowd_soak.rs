//! Relays before a request that ends runners, among others that differ from it in nothing but the body.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Trouble;
use std::time::Duration;
use stub::caller::Kind;

/// Long enough for a dozen crashes if nothing holds the request back, and for the holds of others to end.
const TIME: Duration = Duration::from_secs(25);
/// Share of the other callers' requests that must be answered.
const SERVED: f64 = 0.85;

fn served(kind: Kind, seed: u64) {
    let counts = soak::clean(Trouble::Crowd(kind), seed, TIME, 100);
    let share = counts.beside_answered as f64 / counts.beside as f64;
    assert!(share >= SERVED, "{counts:?}");
}

/// Guards against streams that are refused since another request ended the runners which ran them.
#[test]
fn streams_beside_poison() {
    served(Kind::Once, 1);
}

/// The same for requests that may be repeated.
#[test]
fn repeatable_beside_poison() {
    served(Kind::Safe, 2);
}

/// The same for requests that may run once at most.
#[test]
fn once_beside_poison() {
    served(Kind::Unsafe, 3);
}
