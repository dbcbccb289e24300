//! Relays before a table service that comes back from an older copy.

#![allow(clippy::unwrap_used, missing_docs)]

use ctl::torture::relays::{Trouble, soak};
use std::path::{Path, PathBuf};
use std::time::Duration;

const SEED: u64 = 9;
/// Some times that within which a change of the tables is in force, before and after.
const TIME: Duration = Duration::from_secs(16);

/// What was written in the seconds before the copy came back is gone, and its versions are given out
/// again. A relay that goes by versions alone reads on behind what there is, or takes a new change for
/// one that it knows, and sends work to a runner that has said that it leaves.
#[test]
fn older_copy() {
    let programs = Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).parent();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("restore_soak");
    let soaking = soak(
        Trouble::Restore,
        SEED,
        TIME,
        logs,
        programs.unwrap().to_owned(),
    );
    let verdict = runtime.block_on(soaking).unwrap();
    assert!(verdict.is_clean(), "{:#?}", verdict.trails);
    assert!(verdict.counts.answered > 100, "{:?}", verdict.counts);
}
