//! Soaks of relays with a request that crashes runners, among others that differ from it only in the body.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use std::time::Duration;
use stub::caller::Kind;

/// Long enough for a dozen crashes if the request is not quarantined, and for quarantines of others to end.
const TIME: Duration = Duration::from_secs(25);
/// Share of the other clients' requests that must be answered.
const MIN_ANSWERED_SHARE: f64 = 0.85;

fn check_served(kind: Kind, seed: u64) {
    let counts = soak::run_clean(Scenario::Crowd(kind), seed, TIME, 100);
    let share = counts.beside_answered as f64 / counts.beside as f64;
    assert!(share >= MIN_ANSWERED_SHARE, "{counts:?}");
}

/// Guards against streams that are rejected because another request crashed the runners that ran them.
#[test]
fn streams_beside_poison() {
    check_served(Kind::Once, 1);
}

/// Guards against repeatable requests that are rejected for the same reason.
#[test]
fn repeatable_beside_poison() {
    check_served(Kind::Safe, 2);
}

/// Guards against requests that may run at most once and are rejected for the same reason.
#[test]
fn once_beside_poison() {
    check_served(Kind::Unsafe, 3);
}
