//! Short soaks of relays.

use ctl::torture::relays::verdict::Counts;
use ctl::torture::relays::{Scenario, soak};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Soaks relays under a scenario. Fails if there are violations or too few requests were answered.
pub(crate) fn run_clean(
    scenario: Scenario,
    seed: u64,
    time: Duration,
    min_answered: u64,
) -> Counts {
    let programs = Path::new(env!("CARGO_BIN_EXE_linnetdriftd")).parent();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let folder = format!("soak-{scenario:?}-{seed}").replace([' ', ':', ',', '{', '}'], "");
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
    let soak = soak(scenario, seed, time, logs, programs.unwrap().to_owned());
    let verdict = runtime.block_on(soak).unwrap();
    assert!(verdict.is_clean(), "seed {seed}: {:#?}", verdict.violations);
    assert!(
        verdict.counts.answered > min_answered,
        "{:?}",
        verdict.counts
    );
    verdict.counts
}
