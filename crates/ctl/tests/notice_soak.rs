//! Soaks of relays with runners that say in their responses that they are shutting down or want rest.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use std::time::Duration;

const SEED: u64 = 1;
/// Long enough for several rests.
const TIME: Duration = Duration::from_secs(12);

/// Guards against relays that know what runners say only from their entries, which may say nothing.
#[test]
fn notices_without_entries() {
    soak::run_clean(Scenario::Notices, SEED, TIME, 100);
}
