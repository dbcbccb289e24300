//! The processes of one deployment.

use super::deployment::{Deployment, Service};
use super::scenario::Plan;
use super::settings::{self, Shared};
use crate::client::Client;
use crate::fleet::Fleet;
use crate::listing::{post, register, vm};
use crate::{Error, option};
use serde::de::DeserializeOwned;
use serde_json::Value;
use setting::Policy;
use standin::Faults;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use store::Role;
use tokio::time::Instant;

/// Entries of a deployment, each in a failure domain of its own.
const ENTRIES: usize = 2;
/// Longest wait until the entries know all targets and the records.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Wait between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// A runner with its agent.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Name of its VM.
    pub id: String,
    /// Service that it serves.
    pub service: &'static Service,
    /// Where the stand-in serves.
    pub address: SocketAddr,
    domain: &'static str,
}

/// A deployment that serves.
#[derive(Debug)]
pub struct System {
    fleet: Fleet,
    directory: PathBuf,
    shared: Shared,
    entries: Vec<SocketAddr>,
    runners: Vec<Runner>,
    dead: HashSet<usize>,
}

impl System {
    /// Starts all processes, applies the records and waits until every entry serves every target.
    ///
    /// # Errors
    ///
    /// [`Error`] if a process does not serve or the records are not accepted.
    pub async fn start(
        deployment: &'static Deployment,
        policy: Policy,
        plan: &Plan,
        records: &Path,
        seed: u64,
    ) -> Result<Self, Error> {
        let name = format!("linnetdrift-experiment-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        let mut fleet = Fleet::new(&directory)?;
        let shared = settings::start(&mut fleet, deployment, policy)?;
        let mut system = Self {
            fleet,
            directory,
            shared,
            entries: Vec::new(),
            runners: Vec::new(),
            dead: HashSet::new(),
        };
        system.start_runners(deployment, plan, seed).await?;
        system.start_entries(deployment).await?;
        system.wait(|status| status["ready"] == true).await?;
        let revision = system.apply(records)?;
        let count = system.runners.len();
        system
            .wait(|status| status["revision"] == revision && live(status) == count)
            .await?;
        Ok(system)
    }

    /// Where the entries serve.
    #[must_use]
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// All runners, those that have died included.
    #[must_use]
    pub fn runners(&self) -> &[Runner] {
        &self.runners
    }

    /// Number of the runner at this place among those of its service.
    #[must_use]
    pub fn runner(&self, service: &str, place: usize) -> usize {
        let runners = self.runners.iter().enumerate();
        let mut own = runners.filter(|(_, runner)| runner.service.name == service);
        own.nth(place).map_or(0, |(number, _)| number)
    }

    /// Numbers of the runners in a failure domain.
    #[must_use]
    pub fn in_domain(&self, domain: &str) -> Vec<usize> {
        let runners = self.runners.iter().enumerate();
        runners
            .filter(|(_, runner)| runner.domain == domain)
            .map(|(number, _)| number)
            .collect()
    }

    /// Whether a runner has been ended.
    #[must_use]
    pub fn is_dead(&self, number: usize) -> bool {
        self.dead.contains(&number)
    }

    /// Ends a runner at once.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it cannot be ended.
    pub fn kill_runner(&mut self, number: usize) -> Result<(), Error> {
        self.dead.insert(number);
        let name = runner_name(&self.runners[number].id);
        self.fleet.kill(&name)
    }

    /// Ends the agent beside a runner at once.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it cannot be ended.
    pub fn kill_agent(&mut self, number: usize) -> Result<(), Error> {
        let name = self.runners[number].id.clone();
        self.fleet.kill(&name)
    }

    /// Sets the faults of a runner.
    ///
    /// # Errors
    ///
    /// [`Error`] if it cannot be reached.
    pub async fn set_faults(&self, number: usize, faults: &Faults) -> Result<(), Error> {
        post(self.runners[number].address, "/standin/faults", faults).await
    }

    /// Makes the table service answer nothing but `503`.
    ///
    /// # Errors
    ///
    /// [`Error`] if it cannot be reached.
    pub async fn store_down(&self) -> Result<(), Error> {
        let faults = Faults {
            down: standin::fault::Fraction::All(true),
            ..Faults::default()
        };
        post(self.shared.platform.table, "/standin/faults", &faults).await
    }

    /// Reads JSON from a process of the deployment.
    ///
    /// # Errors
    ///
    /// [`Error`] if it cannot be reached or answers something else.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        Client::plain(address).get(path).await
    }

    /// Ends all processes that are left, at once: what they ran is known by now, and graceful stops
    /// of all agents would take longer than the run.
    pub fn end(self) {
        drop(self.fleet);
        // Settings and logs of a run that went well are of no use.
        let _ = std::fs::remove_dir_all(&self.directory);
    }

    async fn start_runners(
        &mut self,
        deployment: &'static Deployment,
        plan: &Plan,
        seed: u64,
    ) -> Result<(), Error> {
        for service in deployment.services {
            for place in 0..service.runners {
                let seed = seed.wrapping_mul(1_000) + self.runners.len() as u64;
                let domain = deployment.domains[place % deployment.domains.len()];
                let id = format!("{}-{domain}{place}", service.name);
                let options = plan.options(service.options(seed));
                let address = self
                    .fleet
                    .standin(&runner_name(&id), service.kind, &options)?;
                let agent = self.shared.agent(&id, domain, service, address);
                let ready = self.fleet.agent(&agent)?;
                let vm = vm(&id, Role::Target, service.name, &agent.place, ready);
                register(self.shared.platform.vms, &vm).await?;
                self.runners.push(Runner {
                    id,
                    service,
                    address,
                    domain,
                });
            }
        }
        Ok(())
    }

    async fn start_entries(&mut self, deployment: &Deployment) -> Result<(), Error> {
        for domain in deployment.domains.iter().take(ENTRIES) {
            let id = format!("entry-{domain}1");
            let entry = self.shared.entry(&id, domain);
            let ready = self.fleet.entry(&entry)?;
            let vm = vm(&id, Role::Entry, "", &entry.place, ready);
            register(self.shared.platform.vms, &vm).await?;
            self.entries.push(ready.listen);
        }
        Ok(())
    }

    /// Applies the records as an operator does and gives their revision.
    fn apply(&self, records: &Path) -> Result<Value, Error> {
        let entry = self.entries[0].to_string();
        let run = Command::new(self.fleet.program("linnetdrift"))
            .arg("apply")
            .arg(records)
            .args(["--format", "json", "--entry", &entry])
            .env(option::TOKEN_VARIABLE, &self.shared.token)
            .output()
            .map_err(|error| failed(format!("linnetdrift apply: {error}")))?;
        if !run.status.success() {
            return Err(failed(String::from_utf8_lossy(&run.stderr)));
        }
        let answer: Value = serde_json::from_slice(&run.stdout)
            .map_err(|error| failed(format!("linnetdrift apply: {error}")))?;
        Ok(answer["revision"].clone())
    }

    /// Waits until the status of every entry is as it should be.
    async fn wait(&self, done: impl Fn(&Value) -> bool) -> Result<(), Error> {
        let end = Instant::now() + READY_TIMEOUT;
        for entry in &self.entries {
            loop {
                let status: Value = self.get(*entry, "/v1/status").await?;
                if done(&status) {
                    break;
                }
                if Instant::now() > end {
                    return Err(failed(format!("{entry} did not get ready: {status}")));
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
        Ok(())
    }
}

fn runner_name(id: &str) -> String {
    format!("{id}-runner")
}

fn live(status: &Value) -> usize {
    let targets = status["targets"].as_array();
    let targets = targets.into_iter().flatten();
    targets.filter(|target| target["state"] == "live").count()
}

fn failed(reason: impl Into<String>) -> Error {
    Error::Failed {
        reason: reason.into(),
    }
}
