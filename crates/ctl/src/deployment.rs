//! A complete deployment on one machine: stand-ins, runners with an agent each, and entries.

use crate::Error;
use crate::fleet::{Fleet, Ready};
use crate::listing::{any_port, random_key, register, vm};
use setting::{Operator, Place, Placement, Platform, Policy};
use standin::{Kind, Options};
use std::net::SocketAddr;
use store::Role;

/// Region of all VMs.
const REGION: &str = "ee-north";
/// Failure domains of the region.
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Default interval at which entries poll the list of VMs and the change log, in milliseconds.
const DEFAULT_POLL_MS: u64 = 50;
/// Default number of targets of one service that an entry keeps links to.
const DEFAULT_SUBSET: usize = 64;
/// Default number of calls that a runner gets concurrently.
const DEFAULT_CONCURRENCY: u32 = 4;
/// Default number of calls that wait for a runner.
const DEFAULT_QUEUE: u32 = 16;

/// A runner to start.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Name of its VM.
    pub vm: String,
    /// Service that it serves.
    pub service: String,
    /// Kind of the stand-in.
    pub kind: Kind,
    /// Options of the stand-in.
    pub options: Options,
}

impl Runner {
    /// Creates a runner whose answers contain the name of an operation.
    pub fn new(vm: &str, service: &str, kind: Kind, operation: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            service: service.to_owned(),
            kind,
            options: Options {
                name: operation.to_owned(),
                ..Options::default()
            },
        }
    }
}

/// Processes to start, with their settings.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Runners; each gets an agent.
    pub runners: Vec<Runner>,
    /// Names of the entries.
    pub entries: Vec<String>,
    /// Set of decision algorithms that entries and agents use.
    pub policy: Policy,
    /// Calls that a runner gets concurrently.
    pub concurrency: u32,
    /// Calls that wait for a runner.
    pub queue: u32,
    /// Interval at which entries poll the list of VMs and the change log, in milliseconds.
    pub poll_ms: u64,
    /// Model placement settings of the entries.
    pub placement: Placement,
    /// Maximum number of targets of one service that an entry keeps links to.
    pub subset: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            runners: Vec::new(),
            entries: vec!["entry-a1".to_owned(), "entry-b1".to_owned()],
            policy: Policy::Shipped,
            concurrency: DEFAULT_CONCURRENCY,
            queue: DEFAULT_QUEUE,
            poll_ms: DEFAULT_POLL_MS,
            placement: Placement::default(),
            subset: DEFAULT_SUBSET,
        }
    }
}

/// A running deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Processes that were started.
    pub plan: Plan,
    /// Addresses of the entries, in the order of the plan.
    pub entries: Vec<Ready>,
    /// Addresses of the runners, in the order of the plan.
    pub runners: Vec<SocketAddr>,
    /// Addresses of the agents, in the order of the plan.
    pub agents: Vec<Ready>,
    /// Addresses of the platform's stand-ins.
    pub platform: Platform,
    /// The operator's token.
    pub token: String,
    /// Shared key of entries and agents.
    pub key: String,
}

impl Deployment {
    /// Starts all processes and registers their VMs.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a process does not become ready.
    pub async fn start(fleet: &mut Fleet, plan: Plan) -> Result<Self, Error> {
        let platform = Platform {
            table: fleet.standin("table", Kind::Table, &Options::default())?,
            objects: fleet.standin("object", Kind::Object, &Options::default())?,
            vms: fleet.standin("vm", Kind::Vm, &Options::default())?,
            weights: Some(fleet.standin("weight", Kind::Weight, &Options::default())?),
        };
        let mut deployment = Self {
            plan,
            entries: Vec::new(),
            runners: Vec::new(),
            agents: Vec::new(),
            platform,
            token: random_key(),
            key: random_key(),
        };
        deployment.start_runners(fleet).await?;
        deployment.start_entries(fleet).await?;
        Ok(deployment)
    }

    async fn start_runners(&mut self, fleet: &mut Fleet) -> Result<(), Error> {
        for (index, runner) in self.plan.runners.clone().iter().enumerate() {
            let place = place(index);
            let name = format!("{}-runner", runner.vm);
            let address = fleet.standin(&name, runner.kind, &runner.options)?;
            let ready = fleet.agent(&self.agent(runner, &place, address))?;
            let vm = vm(&runner.vm, Role::Target, &runner.service, &place, ready);
            register(self.platform.vms, &vm).await?;
            self.runners.push(address);
            self.agents.push(ready);
        }
        Ok(())
    }

    async fn start_entries(&mut self, fleet: &mut Fleet) -> Result<(), Error> {
        for (index, id) in self.plan.entries.clone().iter().enumerate() {
            let place = place(index);
            let ready = fleet.entry(&self.entry(id, &place))?;
            register(self.platform.vms, &vm(id, Role::Entry, "", &place, ready)).await?;
            self.entries.push(ready);
        }
        Ok(())
    }

    fn entry(&self, id: &str, place: &Place) -> setting::Entry {
        setting::Entry {
            id: id.to_owned(),
            place: place.clone(),
            listen: any_port(),
            metrics: any_port(),
            platform: self.platform.clone(),
            key: self.key.clone(),
            operators: vec![Operator {
                name: "demo".to_owned(),
                token: self.token.clone(),
            }],
            tls: None,
            policy: self.plan.policy,
            vms_poll_ms: self.plan.poll_ms,
            head_poll_ms: self.plan.poll_ms,
            journal_beat_ms: 5_000,
            subset: self.plan.subset,
            news: Some(any_port()),
            placement: self.plan.placement,
        }
    }

    fn agent(&self, runner: &Runner, place: &Place, address: SocketAddr) -> setting::Agent {
        setting::Agent {
            id: runner.vm.clone(),
            place: place.clone(),
            listen: any_port(),
            metrics: any_port(),
            platform: self.platform.clone(),
            key: self.key.clone(),
            service: runner.service.clone(),
            runner: address,
            concurrency: self.plan.concurrency,
            queue: self.plan.queue,
            policy: self.plan.policy,
            news: None,
        }
    }
}

fn place(index: usize) -> Place {
    Place {
        region: REGION.to_owned(),
        domain: DOMAINS[index % DOMAINS.len()].to_owned(),
    }
}
