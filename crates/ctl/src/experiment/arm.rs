//! Runs one deployment under one policy and collects its results.

use super::deployment::Deployment;
use super::execution::ExecutionStats;
use super::fault;
use super::outcome::DeploymentOutcome;
use super::scenario::{Plan, WARM_UP};
use super::system::System;
use crate::Error;
use crate::load::arrival;
use crate::load::caller::Caller;
use crate::load::drive;
use serde::Deserialize;
use setting::Policy;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the engines' queues are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for the runners to log their last executions.
const LOG_DELAY: Duration = Duration::from_millis(300);

/// One deployment under one policy.
#[derive(Debug)]
pub struct Arm {
    /// The deployment.
    pub deployment: &'static Deployment,
    /// Policy of its processes.
    pub policy: Policy,
    /// Requests and faults.
    pub plan: Plan,
    /// Directory of its records.
    pub records: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
}

#[derive(Deserialize)]
struct Load {
    queued: u32,
    running: u32,
}

/// Longest backlog of each engine, by its address.
type Peaks = Arc<Mutex<BTreeMap<SocketAddr, u32>>>;

impl Arm {
    /// Starts the deployment, sends the requests and collects the results.
    ///
    /// # Errors
    ///
    /// [`Error`] if a process does not serve or cannot be reached.
    pub async fn run(self) -> Result<DeploymentOutcome, Error> {
        let plan = &self.plan;
        let mut system =
            System::start(self.deployment, self.policy, plan, &self.records, self.seed).await?;
        let caller = Caller::new(system.entries(), plan.retries);
        let arrivals = arrival::draw(&plan.sources, self.seed);
        let peaks = Peaks::default();
        let peaks_task = tokio::spawn(record_peaks(self.engines(&system), peaks.clone()));
        let mut executions = ExecutionStats::new(WARM_UP);
        let start = Instant::now();
        let load = tokio::spawn(async move { drive::run(&caller, arrivals, WARM_UP).await });
        fault::run(&mut system, &mut executions, &plan.events, start).await?;
        let tally = load.await.map_err(|error| Error::Failed {
            reason: format!("load: {error}"),
        })?;
        peaks_task.abort();
        tokio::time::sleep(LOG_DELAY).await;
        for number in 0..system.runners().len() {
            if !system.is_killed(number) {
                executions.collect(&system, number).await?;
            }
        }
        system.kill_all();
        let peaks = peaks.lock().unwrap_or_else(PoisonError::into_inner);
        let peaks = peaks.values().copied().collect();
        Ok(DeploymentOutcome::new(
            self.deployment,
            tally,
            &executions,
            peaks,
        ))
    }

    fn engines(&self, system: &System) -> Vec<SocketAddr> {
        let engines = self.deployment.engines().name;
        let runners = system.runners().iter();
        runners
            .filter(|runner| runner.service.name == engines)
            .map(|runner| runner.address)
            .collect()
    }
}

/// Records the longest backlog of each engine until the task is aborted.
async fn record_peaks(engines: Vec<SocketAddr>, peaks: Peaks) {
    loop {
        for address in &engines {
            if let Some(load) = read_load(*address).await {
                let mut peaks = peaks.lock().unwrap_or_else(PoisonError::into_inner);
                let peak = peaks.entry(*address).or_default();
                *peak = (*peak).max(load.queued + load.running);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the load of one engine, or `None` if it cannot be read.
async fn read_load(address: SocketAddr) -> Option<Load> {
    let client = crate::client::Client::plain(address);
    let call = client.call(
        hyper::Method::GET,
        "/v1/load",
        hyper::HeaderMap::new(),
        bytes::Bytes::new(),
    );
    call.await.ok()?.json().ok()
}
