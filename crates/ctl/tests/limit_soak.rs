//! Relays before a runner that names a limit in its answers.

#![allow(clippy::unwrap_used, missing_docs)]

use ctl::torture::relays::{Trouble, soak};
use std::path::{Path, PathBuf};
use std::time::Duration;

const SEED: u64 = 1;
/// Some spans of the length over which a limit is judged.
const TIME: Duration = Duration::from_secs(10);

/// A runner in need says how many requests a second it takes. Relays that do not know it, or each keep
/// to it alone, send more together, and it goes under with all that it serves.
#[test]
fn limit_shared() {
    let programs = Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).parent();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("limit_soak");
    let soaking = soak(
        Trouble::Limit,
        SEED,
        TIME,
        logs,
        programs.unwrap().to_owned(),
    );
    let verdict = runtime.block_on(soaking).unwrap();
    assert!(verdict.is_clean(), "{:#?}", verdict.trails);
    assert!(verdict.counts.answered > 100, "{:?}", verdict.counts);
}
