//! Relays before a table service that comes back from an older copy.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Trouble;
use std::time::Duration;

const SEED: u64 = 9;
/// Some times that within which a change of the tables is in force, before and after.
const TIME: Duration = Duration::from_secs(16);

/// What was written in the seconds before the copy came back is gone, and its versions are given out
/// again. A relay that goes by versions alone reads on behind what there is, or takes a new change for
/// one that it knows, and sends work to a runner that has said that it leaves.
#[test]
fn older_copy() {
    soak::clean(Trouble::Restore, SEED, TIME, 100);
}
