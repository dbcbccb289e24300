//! Relays before a runner that names a limit in its answers.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Trouble;
use std::time::Duration;

const SEED: u64 = 1;
/// Some spans of the length over which a limit is judged.
const TIME: Duration = Duration::from_secs(10);

/// A runner in need says how many requests a second it takes. Relays that do not know it, or each keep
/// to it alone, send more together, and it goes under with all that it serves.
#[test]
fn limit_shared() {
    soak::clean(Trouble::Limit, SEED, TIME, 100);
}
