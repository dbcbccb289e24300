//! A soak of relays with a client whose request crashes each runner that starts it.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use std::time::Duration;

const SEED: u64 = 1;
/// Long enough for a dozen attempts after three runners have crashed and all relays know it.
const TIME: Duration = Duration::from_secs(12);

/// A client repeats a request that no runner survives, each time at another relay with a new id. Relays
/// that treat each attempt as a new request crash one runner after the other with it.
#[test]
fn same_poison_request() {
    soak::run_clean(Scenario::Poison, SEED, TIME, 100);
}
