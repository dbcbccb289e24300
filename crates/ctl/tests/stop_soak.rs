//! A short soak of relays that are stopped during long streams.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use std::time::Duration;

/// Long enough for two stops of each relay, each of which takes up to 8 s.
const TIME: Duration = Duration::from_secs(22);

/// Guards against requests that a relay has passed on to a runner and whose connection ends without a complete
/// response, around stops of the relay and otherwise, and against streams with missing or repeated events.
#[test]
fn stops_lose_nothing() {
    let counts = soak::run_clean(Scenario::Stops, 1, TIME, 150);
    assert!(counts.faults["Start"] >= 4, "{counts:?}");
}
