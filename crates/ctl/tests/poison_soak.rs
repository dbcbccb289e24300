//! Relays before a caller whose request ends each runner that begins to run it.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Trouble;
use std::time::Duration;

const SEED: u64 = 1;
/// Long enough for a dozen attempts once three runners have ended and all relays know it.
const TIME: Duration = Duration::from_secs(12);

/// A caller repeats a request that no runner survives, each time at another relay under a new name.
/// Relays that take each attempt for a new request end one runner after the other with it.
#[test]
fn same_poison_request() {
    soak::clean(Trouble::Poison, SEED, TIME, 100);
}
