//! Soaks of relays of which one gets most new connections.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use std::time::Duration;

const SEED: u64 = 1;
/// Five seconds of usual load and as many of the flood.
const TIME: Duration = Duration::from_secs(10);

/// Guards against requests that fail because most connections are opened to the relay that gets them.
#[test]
fn connections_to_one_relay() {
    soak::run_clean(Scenario::Flood, SEED, TIME, 100);
}
