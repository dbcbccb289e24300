//! A soak of relays whose table service is restored from an older backup.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use std::time::Duration;

const SEED: u64 = 9;
/// Covers the time within which a change of the tables is in force several times, before and after the
/// restore.
const TIME: Duration = Duration::from_secs(16);

/// The restore loses what was written in the seconds before, and the lost versions are assigned again. A
/// relay that relies on versions alone continues to read after the end of the tables, or takes a new
/// change for a known one, and sends work to a runner that is marked as leaving.
#[test]
fn older_backup() {
    soak::run_clean(Scenario::Restore, SEED, TIME, 100);
}
