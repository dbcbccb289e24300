//! Relays before requests whose pieces end the runners of a stage, beside others with and without stages.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Trouble;
use std::time::Duration;

/// Long enough for a dozen crashes if nothing holds the request back, and for its first trial.
const TIME: Duration = Duration::from_secs(25);
/// Share of the other requests with stages that must be answered beside one such request, and beside two.
const ONE: f64 = 0.9;
const TWO: f64 = 0.85;

fn served(requests: usize, stage: usize, seed: u64, least: f64) {
    let counts = soak::clean(Trouble::Piece { requests, stage }, seed, TIME, 100);
    let (staged, streams) = (counts.others["Staged"], counts.others["Stream"]);
    assert!(staged.part() >= least, "{counts:?}");
    assert_eq!(streams.sent, streams.answered, "{counts:?}");
}

/// Guards against others that are not served though nothing ends runners.
#[test]
fn no_deadly_piece() {
    served(0, 0, 1, 1.0);
}

/// Guards against a request whose pieces end one runner of the first stage after the other.
#[test]
fn first_stage() {
    served(1, 0, 2, ONE);
}

/// Guards against a request whose pieces end one runner of a later stage after the other.
#[test]
fn second_stage() {
    served(1, 1, 3, ONE);
}

/// Guards against two such requests that are taken for one another, or for those beside them.
#[test]
fn two_deadly_pieces() {
    served(2, 0, 4, TWO);
}
