//! `measure`: measures how the cost of each role grows with its load, on one machine, as JSON.
//!
//! * [`latency`]: cost of a call compared with calling the runner directly
//! * [`links`]: cost of an entry's links to targets
//! * [`records`]: cost of the records in force and of their changes at an entry
//! * [`placement`]: time until a new model is warm
//! * [`claims`]: transactions of the table service per claim

pub mod claims;
pub mod latency;
pub mod links;
pub mod placement;
pub mod records;
pub mod usage;

use crate::client::Client;
use crate::command::{Command, Help};
use crate::deployment::{Deployment, Plan};
use crate::fleet::Fleet;
use crate::{Common, Error, option, output};
use getopts::{Matches, Options};
use hyper::Method;
use hyper::header::HeaderMap;
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait until an entry's status is as a measurement needs it.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of a status.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Measures the cost of the roles.
#[derive(Debug)]
pub struct Measure {
    what: String,
}

impl Command for Measure {
    const HELP: Help = Help {
        name: "measure",
        arguments: "WHAT",
        about: "Measure latency, links, records, claims or placement on this machine",
    };

    fn declare(_options: &mut Options) {}

    fn parse(matches: &Matches) -> Result<Self, Error> {
        let what = option::single_argument(matches, "WHAT")?;
        match what.as_str() {
            "latency" | "links" | "records" | "claims" | "placement" => Ok(Self { what }),
            _ => Err(Error::usage(format!("unknown measurement `{what}`"))),
        }
    }

    async fn run(self, _common: &Common) -> Result<(), Error> {
        let directory =
            std::env::temp_dir().join(format!("linnetdrift-measure-{}", std::process::id()));
        let mut fleet = Fleet::new(&directory)?;
        match self.what.as_str() {
            "latency" => report(&latency::run(&mut fleet).await?)?,
            "links" => report(&links::run(&mut fleet).await?)?,
            "records" => report(&records::run(&mut fleet).await?)?,
            "placement" => report(&placement::run(&mut fleet).await?)?,
            _ => report(&claims::run(&mut fleet).await?)?,
        }
        fleet.stop()?;
        // The settings and logs are needed only after a failure.
        let _ = std::fs::remove_dir_all(&directory);
        Ok(())
    }
}

fn report(result: &impl Serialize) -> Result<(), Error> {
    output::print(crate::Format::Json, "", result)
}

/// Starts a deployment and waits until these records are in force and all targets are live.
async fn start(fleet: &mut Fleet, plan: Plan, records: Vec<Value>) -> Result<Deployment, Error> {
    let deployment = Deployment::start(fleet, plan).await?;
    for ready in &deployment.entries {
        until(ready.listen, |status| status["ready"] == true).await?;
    }
    if let Some(first) = deployment.entries.first() {
        apply(first.listen, &deployment.token, json!({}), records).await?;
    }
    let due = deployment.agents.len();
    for ready in &deployment.entries {
        until(ready.listen, |status| {
            status["revision"] != 0 && live(status) == due
        })
        .await?;
    }
    Ok(deployment)
}

/// Creates the record of a workspace.
fn workspace(index: usize) -> Value {
    json!({"schema": 1, "kind": "workspace", "name": format!("workspace-{index}"), "share": 1})
}

/// Returns the number of live targets in an entry's status.
fn live(status: &Value) -> usize {
    let targets = status["targets"].as_array();
    targets.map_or(0, |targets| {
        targets.iter().filter(|one| one["state"] == "live").count()
    })
}

/// Applies records with a new unique token; `base` has the revisions of those that exist.
async fn apply(
    entry: SocketAddr,
    token: &str,
    base: Value,
    records: Vec<Value>,
) -> Result<(), Error> {
    let unique = format!("{:032x}", rand::random::<u128>());
    let body = json!({"token": unique, "base": base, "documents": records}).to_string();
    let mut headers = HeaderMap::new();
    if let Ok(value) = format!("Bearer {token}").parse() {
        headers.insert("authorization", value);
    }
    let client = Client::plain(entry);
    let answer = client
        .call(Method::POST, "/v1/apply", headers, body.into())
        .await?;
    match answer.status.is_success() {
        true => Ok(()),
        false => Err(Error::Failed {
            reason: String::from_utf8_lossy(&answer.body).into_owned(),
        }),
    }
}

/// Waits until an entry's status meets a condition.
async fn until(entry: SocketAddr, done: impl Fn(&Value) -> bool) -> Result<(), Error> {
    let client = Client::plain(entry);
    let end = Instant::now() + READY_TIMEOUT;
    loop {
        let answer = client
            .call(
                Method::GET,
                "/v1/status",
                HeaderMap::new(),
                bytes::Bytes::new(),
            )
            .await?;
        let status: Value = answer.json()?;
        if done(&status) {
            return Ok(());
        }
        if Instant::now() > end {
            return Err(Error::Failed {
                reason: format!("an entry did not become ready; its status is {status}"),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
