//! The soak of relays that are stopped and started again while streams of several seconds are in progress.
//!
//! * [`balancer`]: the platform's choice of relays for new connections
//! * [`clients`]: clients that keep connections
//! * [`driver`]: stops, starts and reloads
//! * [`account`]: what became of each request; [`trace`]: what the relays' logs say of those that were lost

pub mod account;
pub mod balancer;
pub mod clients;
pub mod driver;
pub mod trace;

use crate::Error;
use crate::fleet::Signal;
use crate::torture::relays::cluster::{Cluster, Layout, RunnerAccess};
use crate::torture::relays::verdict::Verdict;
use crate::torture::relays::{task_error, write_lines};
use crate::torture::state::SoakState;
use account::Account;
use balancer::Balancer;
use clients::Clients;
use driver::Driver;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use stub::config::{CHAIN, MODEL, PLAIN, STAGE, stop_configuration};
use stub::runner::Pace;
use trace::Trace;

/// Runners and routes.
pub const LAYOUT: Layout = Layout {
    access: RunnerAccess::Direct,
    runners: &[
        (PLAIN, 3),
        (MODEL, 4),
        (STAGE, 3),
        (CHAIN[0], 2),
        (CHAIN[1], 3),
        (CHAIN[2], 3),
    ],
    configuration: stop_configuration,
    has_clock: true,
};
/// Requests that a runner runs at once. All streams of the clients together occupy most of the slots.
const SLOTS: usize = 6;

/// Soaks relays for a time under the stops and the load of a seed.
///
/// # Errors
///
/// [`Error::Failed`] if a process or a stand-in cannot be started.
pub async fn soak(
    seed: u64,
    time: Duration,
    logs: PathBuf,
    programs: PathBuf,
) -> Result<Verdict, Error> {
    remove_old_logs(&logs)?;
    let state = SoakState::default();
    let mut cluster = Cluster::start(logs.clone(), programs, LAYOUT, &state).await?;
    cluster.wait_until_ready().await?;
    let pace = Pace { seed, slots: SLOTS };
    let paced = cluster.targets.iter();
    for target in paced.filter(|target| [MODEL, PLAIN].contains(&target.service)) {
        target.runner.set_pace(pace);
    }
    let balancer = Arc::new(Balancer::default());
    let clients = Clients::spawn(&balancer, seed ^ 2, time);
    let mut driver = Driver::new(&mut cluster, &balancer, &state, seed ^ 3);
    driver.run(time).await?;
    let (counts, stuck) = (std::mem::take(&mut driver.counts), driver.stuck.clone());
    let usage = clients.join().await.map_err(|error| task_error(&error))?;
    let records = usage.records;
    let mut verdict = Verdict::default();
    // The relays stop at the same time; one after the other they would take longer.
    for (settings, _) in &cluster.relays {
        cluster.fleet.signal(&settings.id, Signal::Terminate)?;
    }
    if let Err(error) = cluster.fleet.stop() {
        verdict.record_violation("stop at the end", &error);
    }
    write_lines(&logs.join("words"), &records)?;
    write_lines(&logs.join("runs"), &cluster.log.runs())?;
    write_lines(&logs.join("stops"), &balancer.instances())?;
    let account = Account {
        pace,
        balancer: &balancer,
        log: &cluster.log,
    };
    let fates = account.settle(&records);
    let trace = Trace::read(&logs, &fates)?;
    verdict.check_stops(&records, &fates, &trace);
    if let Some(stats) = &mut verdict.counts.stops {
        stats.closed_unused = usage.closed_unused;
    }
    write_text(&logs.join("losses"), &verdict.violations.join("\n"))?;
    verdict.counts.faults = counts;
    for what in stuck {
        verdict.record_violation("planned stop", &what);
    }
    Ok(verdict)
}

/// Removes logs of an earlier soak, whose requests have the same ids.
fn remove_old_logs(logs: &Path) -> Result<(), Error> {
    if !logs.exists() {
        return Ok(());
    }
    std::fs::remove_dir_all(logs).map_err(|error| failed(&error))
}

fn write_text(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|error| failed(&error))
}

fn failed(error: &std::io::Error) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}
