//! The processes of the demonstration: stand-ins, agents beside the runners, two entries.

use crate::client::Client;
use crate::fleet::{Fleet, Ready};
use crate::{Error, output};
use hyper::Method;
use hyper::header::HeaderMap;
use platform::{Role, Vm};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use setting::{Operator, Place, Platform, Policy};
use standin::{Kind, Options};
use std::net::{Ipv4Addr, SocketAddr};

/// Region of the demonstration.
const REGION: &str = "ee-north";
/// Its failure domains.
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// How often entries read the list of VMs and the change log, in milliseconds.
const POLL_MS: u64 = 50;
/// Calls given to a runner at once.
const CONCURRENCY: u32 = 4;
/// Calls that wait for a runner.
const QUEUE: u32 = 16;

/// A runner of the demonstration.
pub(super) struct Runner {
    /// Name of its VM.
    pub(super) vm: &'static str,
    /// Service that it serves.
    pub(super) service: &'static str,
    kind: Kind,
    operation: &'static str,
}

/// The runners of the demonstration.
pub(super) const RUNNERS: [Runner; 6] = [
    runner("encoder-a1", "encoder", Kind::Pool, "encode"),
    runner("retriever-b1", "retriever", Kind::Pool, "retrieve"),
    runner("reranker-c1", "reranker", Kind::Pool, "rerank"),
    runner("assistant-a1", "assistant", Kind::Engine, "generate"),
    runner("assistant-b1", "assistant", Kind::Engine, "generate"),
    runner("label-d1", "label", Kind::Plain, "print"),
];

const fn runner(
    vm: &'static str,
    service: &'static str,
    kind: Kind,
    operation: &'static str,
) -> Runner {
    Runner {
        vm,
        service,
        kind,
        operation,
    }
}

/// Addresses of a deployment that serves.
pub(super) struct Deployment {
    /// Where the entries serve.
    pub(super) entries: Vec<SocketAddr>,
    /// Where the runners serve, in the order of [`RUNNERS`].
    pub(super) runners: Vec<SocketAddr>,
    /// The operator's token.
    pub(super) token: String,
}

/// What all processes of the deployment share.
struct Shared {
    platform: Platform,
    key: String,
    token: String,
}

impl Deployment {
    /// Starts all processes and lists their VMs.
    pub(super) async fn start(fleet: &mut Fleet) -> Result<Self, Error> {
        let shared = Shared {
            platform: Platform {
                table: fleet.standin("table", Kind::Table, &Options::default())?,
                objects: fleet.standin("object", Kind::Object, &Options::default())?,
                vms: fleet.standin("vm", Kind::Vm, &Options::default())?,
                weights: Some(fleet.standin("weight", Kind::Weight, &Options::default())?),
            },
            key: draw(),
            token: draw(),
        };
        let list = Client::plain(shared.platform.vms);
        let mut runners = Vec::new();
        for (index, runner) in RUNNERS.iter().enumerate() {
            let address = start_runner(fleet, runner)?;
            let place = place(index);
            let ready = fleet.agent(&agent(&shared, runner, &place, address))?;
            register(
                &list,
                &vm(runner.vm, Role::Target, runner.service, &place, ready),
            )
            .await?;
            runners.push(address);
        }
        let mut entries = Vec::new();
        for (index, id) in ["entry-a1", "entry-b1"].into_iter().enumerate() {
            let place = place(index);
            let ready = fleet.entry(&entry(&shared, id, &place))?;
            register(&list, &vm(id, Role::Entry, "", &place, ready)).await?;
            entries.push(ready.listen);
        }
        let (agents, entry_count) = (RUNNERS.len(), entries.len());
        output::line(format_args!(
            "started 4 platform stand-ins, {agents} runners with an agent each, {entry_count} entries"
        ))?;
        Ok(Self {
            entries,
            runners,
            token: shared.token,
        })
    }
}

fn start_runner(fleet: &mut Fleet, runner: &Runner) -> Result<SocketAddr, Error> {
    let options = Options {
        name: runner.operation.to_owned(),
        ..Options::default()
    };
    let name = format!("{}-runner", runner.vm);
    fleet.standin(&name, runner.kind, &options)
}

fn place(index: usize) -> Place {
    Place {
        region: REGION.to_owned(),
        domain: DOMAINS[index % DOMAINS.len()].to_owned(),
    }
}

fn draw() -> String {
    format!("{:032x}", StdRng::from_os_rng().random::<u128>())
}

fn free() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn entry(shared: &Shared, id: &str, place: &Place) -> setting::Entry {
    setting::Entry {
        id: id.to_owned(),
        place: place.clone(),
        listen: free(),
        metrics: free(),
        platform: shared.platform.clone(),
        key: shared.key.clone(),
        operators: vec![Operator {
            name: "demo".to_owned(),
            token: shared.token.clone(),
        }],
        tls: None,
        policy: Policy::Shipped,
        vms_poll_ms: POLL_MS,
        head_poll_ms: POLL_MS,
        news: None,
    }
}

fn agent(shared: &Shared, runner: &Runner, place: &Place, address: SocketAddr) -> setting::Agent {
    setting::Agent {
        id: runner.vm.to_owned(),
        place: place.clone(),
        listen: free(),
        metrics: free(),
        platform: shared.platform.clone(),
        key: shared.key.clone(),
        service: runner.service.to_owned(),
        runner: address,
        concurrency: CONCURRENCY,
        queue: QUEUE,
        policy: Policy::Shipped,
        news: None,
    }
}

fn vm(id: &str, role: Role, service: &str, place: &Place, ready: Ready) -> Vm {
    Vm {
        id: id.to_owned(),
        incarnation: 1,
        role,
        service: service.to_owned(),
        region: place.region.clone(),
        domain: place.domain.clone(),
        address: ready.listen,
        news: ready.news,
        leaving: false,
    }
}

/// Adds a VM to the stand-in's list, as the platform does when it starts one.
async fn register(list: &Client, vm: &Vm) -> Result<(), Error> {
    let body = serde_json::to_vec(vm).map_err(|error| Error::Failed {
        reason: error.to_string(),
    })?;
    let path = "/standin/vm";
    let answer = list
        .call(Method::POST, path, HeaderMap::new(), body.into())
        .await?;
    match answer.status.is_success() {
        true => Ok(()),
        false => Err(Error::Refused {
            problem: answer.problem(),
        }),
    }
}
