//! Short soaks of relays.

use ctl::torture::relays::verdict::Counts;
use ctl::torture::relays::{Scenario, soak};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

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
    let programs = programs.unwrap().to_owned();
    let verdict = runtime.block_on(soak(scenario, seed, time, logs.clone(), programs));
    let verdict = verdict.unwrap();
    let is_served = verdict.counts.answered > min_answered;
    if verdict.is_clean() && is_served {
        return verdict.counts;
    }
    let kept = keep(&logs);
    assert!(
        verdict.is_clean(),
        "seed {seed}, logs in {kept:?}: {:#?}",
        verdict.violations
    );
    panic!(
        "seed {seed}, logs in {kept:?}, too few answers: {:?}",
        verdict.counts
    );
}

/// Moves the logs of a failed soak to where no later one overwrites them.
fn keep(logs: &Path) -> PathBuf {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let kept = logs.with_extension(format!("failed-{}", since.as_secs()));
    std::fs::rename(logs, &kept).unwrap();
    kept
}
