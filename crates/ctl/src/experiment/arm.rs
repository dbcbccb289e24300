//! One deployment under one policy, from its start to its figures.

use super::deployment::Deployment;
use super::fault;
use super::ground::Ground;
use super::outcome::Part;
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

/// Time between two looks at the engines' queues.
const LOOK: Duration = Duration::from_millis(200);
/// Time for the runners to write down what they ran last.
const SETTLE: Duration = Duration::from_millis(300);

/// One deployment under one policy.
#[derive(Debug)]
pub struct Arm {
    /// The deployment.
    pub deployment: &'static Deployment,
    /// Which decisions its processes take.
    pub policy: Policy,
    /// What is sent and what goes wrong.
    pub plan: Plan,
    /// Directory of its records.
    pub records: PathBuf,
    /// Seed of all draws.
    pub seed: u64,
}

#[derive(Deserialize)]
struct Load {
    queued: u32,
    running: u32,
}

/// Longest backlog of each runner, by its address.
type Peaks = Arc<Mutex<BTreeMap<SocketAddr, u32>>>;

impl Arm {
    /// Starts the deployment, sends the requests and gathers the figures.
    ///
    /// # Errors
    ///
    /// [`Error`] if a process does not serve or cannot be reached.
    pub async fn run(self) -> Result<Part, Error> {
        let plan = &self.plan;
        let mut system =
            System::start(self.deployment, self.policy, plan, &self.records, self.seed).await?;
        let caller = Caller::new(system.entries(), plan.returns);
        let arrivals = arrival::draw(&plan.sources, self.seed);
        let peaks = Peaks::default();
        let watch = tokio::spawn(watch(self.engines(&system), peaks.clone()));
        let mut ground = Ground::new(WARM_UP);
        let start = Instant::now();
        let load = tokio::spawn(async move { drive::run(&caller, arrivals, WARM_UP).await });
        fault::run(&mut system, &mut ground, &plan.events, start).await?;
        let tally = load.await.map_err(|error| Error::Failed {
            reason: format!("load: {error}"),
        })?;
        watch.abort();
        tokio::time::sleep(SETTLE).await;
        for number in 0..system.runners().len() {
            if !system.is_dead(number) {
                ground.collect(&system, number).await?;
            }
        }
        system.end();
        let peaks = peaks.lock().unwrap_or_else(PoisonError::into_inner);
        let peaks = peaks.values().copied().collect();
        Ok(Part::new(self.deployment, tally, &ground, peaks))
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

/// Notes the longest backlog of each engine until it is aborted.
async fn watch(engines: Vec<SocketAddr>, peaks: Peaks) {
    loop {
        for address in &engines {
            if let Some(load) = look(*address).await {
                let mut peaks = peaks.lock().unwrap_or_else(PoisonError::into_inner);
                let peak = peaks.entry(*address).or_default();
                *peak = (*peak).max(load.queued + load.running);
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// The load of one engine, unless it has died.
async fn look(address: SocketAddr) -> Option<Load> {
    let client = crate::client::Client::plain(address);
    let call = client.call(
        hyper::Method::GET,
        "/v1/load",
        hyper::HeaderMap::new(),
        bytes::Bytes::new(),
    );
    call.await.ok()?.json().ok()
}
