//! A deployment of separate processes whose engines are given orders.
#![allow(dead_code)]

use bytes::Bytes;
use ctl::deployment::{Deployment, Plan, Runner};
use ctl::fleet::{Fleet, Ready, Signal};
use ctl::operator::Change;
use ctl::rig::probe;
use ctl::{Client, Common, Format, OperatorClient};
use hyper::Method;
use hyper::header::HeaderMap;
use serde_json::{Value, json};
use setting::Placement;
use standin::{Kind, Options};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const DESK: &str = env!("CARGO_BIN_EXE_linnetdrift");
/// Service of all engines.
pub(crate) const SERVICE: &str = "assistant";

pub(crate) struct Bench {
    pub(crate) deployment: Deployment,
    pub(crate) fleet: Fleet,
    directory: PathBuf,
}

impl Bench {
    /// Two entries and engines that have the given models loaded; `fencing` says whether the
    /// engines check numbers.
    pub(crate) async fn start(name: &str, fencing: bool, engines: &[&[&str]]) -> Self {
        let own = format!("linnetdrift-{name}-{fencing}-{}", std::process::id());
        let directory = std::env::temp_dir().join(own);
        let programs = Path::new(DESK).parent().unwrap();
        let mut fleet = Fleet::with_programs(&directory, programs).unwrap();
        let engine = |(number, models): (usize, &&[&str])| Runner {
            options: Options {
                fencing,
                models: models.iter().map(|model| (*model).to_owned()).collect(),
                tokens: 1,
                ..Options::default()
            },
            ..Runner::new(
                &format!("engine-{number}"),
                SERVICE,
                Kind::Engine,
                "generate",
            )
        };
        let plan = Plan {
            runners: engines.iter().enumerate().map(engine).collect(),
            placement: Placement {
                loads: 1,
                every_ms: 100,
                lease_ms: 3_000,
            },
            ..Plan::default()
        };
        let deployment = Deployment::start(&mut fleet, plan).await.unwrap();
        let bench = Self {
            deployment,
            fleet,
            directory,
        };
        for entry in 0..bench.deployment.entries.len() {
            let ready = async || bench.status(entry).await["ready"] == true;
            until("the entry is ready", ready).await;
        }
        bench
    }

    /// Applies records by way of one entry.
    pub(crate) async fn apply(&self, entry: usize, documents: &Value) {
        let common = Common {
            entries: vec![self.entry(entry).to_string().parse().unwrap()],
            ca: None,
            token: Some(self.deployment.token.clone()),
            format: Format::Json,
        };
        let mut operator = OperatorClient::new(&common).unwrap();
        let mut change = Change::with_random_token();
        change.documents = serde_json::from_value(documents.clone()).unwrap();
        for document in &change.documents {
            let key = document.key();
            let stored = operator.record(&key).await.unwrap();
            let revision = stored.map(|stored| stored.revision);
            change.base.insert(key, revision);
        }
        operator.apply(&change).await.unwrap();
    }

    pub(crate) fn entry(&self, entry: usize) -> SocketAddr {
        self.deployment.entries[entry].listen
    }

    pub(crate) async fn status(&self, entry: usize) -> Value {
        get(self.entry(entry), "/v1/status").await
    }

    /// Whether an entry says that it holds the lease.
    pub(crate) async fn holds(&self, entry: usize) -> bool {
        let held = "linnetdrift_entry_placement_lease_held 1";
        metrics(&self.deployment.entries[entry])
            .await
            .contains(&held.to_owned())
    }

    /// Whether an agent has handed back a call that its engine would not start.
    pub(crate) async fn refused(&self, engine: usize) -> bool {
        let refused = r#"linnetdrift_agent_refusals_total{reason="unreachable"}"#;
        let lines = metrics(&self.deployment.agents[engine]).await;
        lines.iter().any(|line| line.starts_with(refused))
    }

    /// The entry that holds the lease, once there is one.
    pub(crate) async fn holder(&self) -> usize {
        until("an entry holds the lease", async || {
            self.holds(0).await || self.holds(1).await
        })
        .await;
        usize::from(!self.holds(0).await)
    }

    /// Fencing numbers of the orders that an engine carried out, in the order in which they came.
    pub(crate) async fn carried_out(&self, engine: usize) -> Vec<u64> {
        let journal = get(self.deployment.runners[engine], "/standin/orders").await;
        let orders = journal["orders"].as_array().unwrap().iter();
        let carried_out = orders.filter(|order| order["carried_out"] == true);
        carried_out
            .map(|order| order["fence"].as_u64().unwrap())
            .collect()
    }

    pub(crate) async fn models(&self, engine: usize) -> Value {
        get(self.deployment.runners[engine], "/v1/models").await["models"].clone()
    }

    /// Freezes an entry, or lets it go on.
    pub(crate) fn signal(&self, entry: usize, signal: Signal) {
        let id = &self.deployment.plan.entries[entry];
        self.fleet.signal(id, signal).unwrap();
    }

    /// Ends an agent at once and starts it anew with the same settings.
    pub(crate) async fn restart_agent(&mut self, engine: usize) {
        let name = &self.deployment.plan.runners[engine].vm;
        self.fleet.kill(name).unwrap();
        let path = self.directory.join(format!("{name}.json"));
        let settings = std::fs::read_to_string(path).unwrap();
        let settings = serde_json::from_str(&settings).unwrap();
        self.deployment.agents[engine] = self.fleet.agent(&settings).unwrap();
    }

    pub(crate) fn stop(mut self) {
        self.fleet.stop().unwrap();
        std::fs::remove_dir_all(&self.directory).unwrap();
    }
}

/// A record of the engines' service with these models and their least replicas.
pub(crate) fn service(fencing: bool, models: &[(&str, u32)]) -> Value {
    let model = |(name, min): &(&str, u32)| json!({"name": name, "min": min, "max": 4});
    let models: Vec<_> = models.iter().map(model).collect();
    let fencing = if fencing { "checked" } else { "unchecked" };
    json!({"schema": 2, "kind": "service", "name": SERVICE, "runner": "engine", "concurrency": 4,
        "fencing": fencing, "models": models})
}

/// A version of a pipeline of one stage, answered by a model.
pub(crate) fn pipeline(version: u32, model: &str) -> Value {
    let stage = json!({"name": "generate", "service": SERVICE, "model": model});
    json!({"schema": 2, "kind": "pipeline", "name": "check", "version": version,
        "deadline_ms": 10_000, "stages": [stage]})
}

pub(crate) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> ctl::client::FullResponse {
    let mut headers = HeaderMap::new();
    headers.insert("linnetdrift-workspace", "ferry-yard".parse().unwrap());
    let client = Client::plain(address);
    client.call(method, path, headers, body).await.unwrap()
}

/// Lines of a process's metrics.
async fn metrics(ready: &Ready) -> Vec<String> {
    let address = ready.metrics.unwrap();
    let answer = call(address, Method::GET, "/metrics", Bytes::new()).await;
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    text.lines().map(str::to_owned).collect()
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> Value {
    probe::get(address, path).await.unwrap()
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let bounded = || async {
        let answer = tokio::time::timeout(probe::LIMIT, holds()).await;
        answer.unwrap_or_else(|_| panic!("no answer while waiting until {what}"))
    };
    probe::until(what, bounded).await.unwrap();
}
