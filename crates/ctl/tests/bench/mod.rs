//! A deployment of separate processes, in which the entries send placement orders to engines.
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

const CLIENT: &str = env!("CARGO_BIN_EXE_linnetdrift");
/// Service of all engines.
pub(crate) const SERVICE: &str = "assistant";

pub(crate) struct Bench {
    pub(crate) deployment: Deployment,
    pub(crate) fleet: Fleet,
    directory: PathBuf,
}

impl Bench {
    /// Starts two entries and engines that have the given models loaded; `fencing` determines
    /// whether the engines check fencing tokens.
    pub(crate) async fn start(name: &str, fencing: bool, engines: &[&[&str]]) -> Self {
        let name = format!("linnetdrift-{name}-{fencing}-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        let programs = Path::new(CLIENT).parent().unwrap();
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
            wait_until("the entry is ready", ready).await;
        }
        bench
    }

    /// Applies records through one entry.
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

    /// Returns whether an entry reports that it holds the placement lease.
    pub(crate) async fn holds_lease(&self, entry: usize) -> bool {
        let held = "linnetdrift_entry_placement_lease_held 1";
        metrics(&self.deployment.entries[entry])
            .await
            .contains(&held.to_owned())
    }

    /// Returns whether an agent has refused a call because its engine did not start it.
    pub(crate) async fn has_refused(&self, engine: usize) -> bool {
        let refused = r#"linnetdrift_agent_refusals_total{reason="unreachable"}"#;
        let lines = metrics(&self.deployment.agents[engine]).await;
        lines.iter().any(|line| line.starts_with(refused))
    }

    /// Waits until an entry holds the placement lease and returns its index.
    pub(crate) async fn lease_holder(&self) -> usize {
        wait_until("an entry holds the lease", async || {
            self.holds_lease(0).await || self.holds_lease(1).await
        })
        .await;
        usize::from(!self.holds_lease(0).await)
    }

    /// Returns the fencing tokens of the orders that an engine executed, in order of arrival.
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

    /// Sends a signal to an entry, for example to suspend or resume it.
    pub(crate) fn signal(&self, entry: usize, signal: Signal) {
        let id = &self.deployment.plan.entries[entry];
        self.fleet.signal(id, signal).unwrap();
    }

    /// Kills an agent and restarts it with the same settings.
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

/// Returns the record of the engines' service with these models and their minimum replicas.
pub(crate) fn service(fencing: bool, models: &[(&str, u32)]) -> Value {
    let model = |(name, min): &(&str, u32)| json!({"name": name, "min": min, "max": 4});
    let models: Vec<_> = models.iter().map(model).collect();
    let fencing = if fencing { "checked" } else { "unchecked" };
    json!({"schema": 2, "kind": "service", "name": SERVICE, "runner": "engine", "concurrency": 4,
        "fencing": fencing, "models": models})
}

/// Returns a version of a pipeline with one stage that uses a model.
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

/// Fetches the metrics of a process, as lines.
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
pub(crate) async fn wait_until(what: &str, holds: impl AsyncFn() -> bool) {
    let bounded = || async {
        let answer = tokio::time::timeout(probe::WAIT_TIMEOUT, holds()).await;
        answer.unwrap_or_else(|_| panic!("no answer while waiting until {what}"))
    };
    probe::wait_until(what, bounded).await.unwrap();
}
