//! Soaks of relays with requests whose pieces crash the runners of a stage, beside others with and
//! without stages.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use std::time::Duration;

/// Long enough for a dozen crashes if the request is not quarantined, and for its first trial.
const TIME: Duration = Duration::from_secs(25);
/// Shares of the other requests with stages that must be answered beside one such request and beside two.
const MIN_SHARE_BESIDE_ONE: f64 = 0.9;
const MIN_SHARE_BESIDE_TWO: f64 = 0.85;

fn check_served(requests: usize, stage: usize, seed: u64, min_share: f64) {
    let counts = soak::run_clean(Scenario::Piece { requests, stage }, seed, TIME, 100);
    let (staged, streams) = (counts.others["Staged"], counts.others["Stream"]);
    assert!(staged.answered_share() >= min_share, "{counts:?}");
    assert_eq!(streams.sent, streams.answered, "{counts:?}");
}

/// Guards against requests that are not served although nothing crashes runners.
#[test]
fn no_deadly_piece() {
    check_served(0, 0, 1, 1.0);
}

/// Guards against a request whose pieces crash the runners of the first stage one after the other.
#[test]
fn first_stage() {
    check_served(1, 0, 2, MIN_SHARE_BESIDE_ONE);
}

/// Guards against a request whose pieces crash the runners of a later stage one after the other.
#[test]
fn second_stage() {
    check_served(1, 1, 3, MIN_SHARE_BESIDE_ONE);
}

/// Guards against two such requests that are confused with each other or with those beside them.
#[test]
fn two_deadly_pieces() {
    check_served(2, 0, 4, MIN_SHARE_BESIDE_TWO);
}
