//! Soaks of relays with a request that makes runners unresponsive, beside others of the same service.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use ctl::torture::relays::verdict::AnswerStats;
use std::time::Duration;
use stub::caller::Kind;

/// Long enough for a dozen unresponsive runners if the request is not quarantined, and for its first
/// trial.
const TIME: Duration = Duration::from_secs(25);
/// Share of the other clients' requests that must be answered.
const MIN_ANSWERED_SHARE: f64 = 0.85;

fn check_served(kind: Kind, seed: u64) {
    let counts = soak::run_clean(Scenario::Silence(kind), seed, TIME, 100);
    let others = counts.others.values().copied().sum::<AnswerStats>();
    assert!(others.answered_share() >= MIN_ANSWERED_SHARE, "{counts:?}");
}

/// Guards against a stream that is resumed at one runner after the other and makes each unresponsive.
#[test]
fn silenced_by_stream() {
    check_served(Kind::Stream, 1);
}

/// Guards against a repeatable request that makes one runner after the other unresponsive.
#[test]
fn silenced_by_repeatable() {
    check_served(Kind::Safe, 2);
}

/// Guards against a request that may run at most once and makes one runner after the other unresponsive.
#[test]
fn silenced_by_once() {
    check_served(Kind::Unsafe, 3);
}
