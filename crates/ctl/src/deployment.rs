//! A whole deployment on one machine: stand-ins, runners with an agent each, entries.

use crate::Error;
use crate::fleet::{Fleet, Ready};
use crate::listing::{any_port, random_key, register, vm};
use setting::{Operator, Place, Placement, Platform, Policy};
use standin::{Kind, Options};
use std::net::SocketAddr;
use store::Role;

/// Region of all processes.
const REGION: &str = "ee-north";
/// Its failure domains.
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// How often entries read the list of VMs and the change log, in milliseconds.
const POLL_MS: u64 = 50;
/// Targets of one service that an entry keeps links to.
const SUBSET: usize = 64;
/// Calls given to a runner at once.
const CONCURRENCY: u32 = 4;
/// Calls that wait for a runner.
const QUEUE: u32 = 16;

/// A runner to start.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Name of its VM.
    pub vm: String,
    /// Service that it serves.
    pub service: String,
    /// Kind of stand-in.
    pub kind: Kind,
    /// Options of the stand-in.
    pub options: Options,
}

impl Runner {
    /// A runner whose answers name an operation.
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

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Runners, each with an agent.
    pub runners: Vec<Runner>,
    /// Names of the entries.
    pub entries: Vec<String>,
    /// Decisions that entries and agents take.
    pub policy: Policy,
    /// Calls given to a runner at once.
    pub concurrency: u32,
    /// Calls that wait for a runner.
    pub queue: u32,
    /// How often entries read the list of VMs and the change log, in milliseconds.
    pub poll_ms: u64,
    /// How the entries place models.
    pub placement: Placement,
    /// Targets of one service that an entry keeps links to at most.
    pub subset: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            runners: Vec::new(),
            entries: vec!["entry-a1".to_owned(), "entry-b1".to_owned()],
            policy: Policy::Shipped,
            concurrency: CONCURRENCY,
            queue: QUEUE,
            poll_ms: POLL_MS,
            placement: Placement::default(),
            subset: SUBSET,
        }
    }
}

/// Addresses of a deployment that serves.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// What was started.
    pub plan: Plan,
    /// Where the entries serve.
    pub entries: Vec<Ready>,
    /// Where the runners serve, in the order of the plan.
    pub runners: Vec<SocketAddr>,
    /// Where the agents serve, in the order of the plan.
    pub agents: Vec<Ready>,
    /// The platform's stand-ins.
    pub platform: Platform,
    /// The operator's token.
    pub token: String,
    /// The key that entries and agents share.
    pub key: String,
}

impl Deployment {
    /// Starts all processes and lists their VMs.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if a process does not serve.
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
