//! Soaks of relays with requests that share a prompt part which crashes runners, among others of the same
//! kind and caller.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use std::time::Duration;
use stub::caller::Kind;

/// Long enough for a dozen crashes if the part is not recognized, and for holds of other parts to end.
const TIME: Duration = Duration::from_secs(25);
/// Share of the other requests that must be answered.
const MIN_ANSWERED_SHARE: f64 = 0.85;

fn check_served(kind: Kind, seed: u64) {
    let counts = soak::run_clean(Scenario::Part(kind), seed, TIME, 100);
    let share = counts.beside_answered as f64 / counts.beside as f64;
    assert!(share >= MIN_ANSWERED_SHARE, "{counts:?}");
}

/// Guards against a prompt part that crashes one runner after the other because no two requests with it are
/// alike, and against refusing others that share its other parts.
#[test]
fn streams_with_deadly_part() {
    check_served(Kind::Once, 1);
}

/// Guards against the same for streams that other runners may resume.
#[test]
fn resumable_with_deadly_part() {
    check_served(Kind::Stream, 2);
}
