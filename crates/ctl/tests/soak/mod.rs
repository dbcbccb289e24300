//! Short soaks of relays.

use ctl::torture::relays::verdict::Counts;
use ctl::torture::relays::{Trouble, soak};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Soaks relays under a trouble, and fails if something happened that must not or too little was served.
pub(crate) fn clean(trouble: Trouble, seed: u64, time: Duration, least: u64) -> Counts {
    let programs = Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).parent();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let folder = format!("soak-{trouble:?}-{seed}").replace([' ', ':', ',', '{', '}'], "");
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
    let soaking = soak(trouble, seed, time, logs, programs.unwrap().to_owned());
    let verdict = runtime.block_on(soaking).unwrap();
    assert!(verdict.is_clean(), "seed {seed}: {:#?}", verdict.trails);
    assert!(verdict.counts.answered > least, "{:?}", verdict.counts);
    verdict.counts
}
