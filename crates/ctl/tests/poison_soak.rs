//! Relays before a caller whose request ends each runner that begins to run it.

#![allow(clippy::unwrap_used, missing_docs)]

use ctl::torture::relays::{Trouble, soak};
use std::path::{Path, PathBuf};
use std::time::Duration;

const SEED: u64 = 1;
/// Long enough for a dozen attempts once three runners have ended and all relays know it.
const TIME: Duration = Duration::from_secs(12);

/// A caller repeats a request that no runner survives, each time at another relay under a new name.
/// Relays that take each attempt for a new request end one runner after the other with it.
#[test]
fn same_poison_request() {
    let programs = Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).parent();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("poison_soak");
    let soaking = soak(
        Trouble::Poison,
        SEED,
        TIME,
        logs,
        programs.unwrap().to_owned(),
    );
    let verdict = runtime.block_on(soaking).unwrap();
    assert!(verdict.is_clean(), "{:#?}", verdict.trails);
    assert!(verdict.counts.answered > 100, "{:?}", verdict.counts);
}
