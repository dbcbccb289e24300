//! A soak of relays with a runner that announces a limit in its responses.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use std::time::Duration;

const SEED: u64 = 1;
/// Covers several windows over which a limit is checked.
const TIME: Duration = Duration::from_secs(10);

/// An overloaded runner announces how many requests per second it accepts. Relays that do not know the
/// limit, or that each apply it on their own, exceed it together and overload the runner, which then
/// fails all that it serves.
#[test]
fn limit_shared() {
    soak::run_clean(Scenario::Limit, SEED, TIME, 100);
}
