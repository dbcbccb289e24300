//! Measures the cost of an entry's idle links to targets.

use super::usage::{self, Usage};
use crate::Error;
use crate::client::Client;
use crate::deployment::Plan;
use crate::fleet::Fleet;
use hyper::Method;
use hyper::header::HeaderMap;
use serde::Serialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use wire::{Key, Listener};

/// Numbers of targets.
const SIZES: [usize; 4] = [0, 100, 400, 1_600];
/// Duration of the measurement at each number of targets.
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// The result for one number of targets.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    targets: usize,
    /// Processor time of the entry, as a percentage of one core.
    core_percent: f64,
    #[serde(flatten)]
    usage: Usage,
}

/// Runs the measurement.
///
/// # Errors
///
/// [`Error::Failed`] if the entry does not serve or does not reach all targets.
pub async fn run(fleet: &mut Fleet) -> Result<Vec<Point>, Error> {
    let plan = Plan {
        entries: vec!["entry-a1".to_owned()],
        poll_ms: 1_000,
        subset: 10_000,
        ..Plan::default()
    };
    let deployment = super::start(fleet, plan, vec![super::workspace(0)]).await?;
    let entry = deployment.entries[0].listen;
    let process = fleet.process_id("entry-a1").unwrap_or_default();
    let mut points = Vec::new();
    let mut known = 0;
    for size in SIZES {
        for index in known..size {
            let address = listen(&deployment.key).await?;
            register(deployment.platform.vms, index, address).await?;
        }
        known = size;
        super::until(entry, |status| super::live(status) == size).await?;
        points.push(measure(process, size).await);
    }
    Ok(points)
}

async fn measure(process: u32, targets: usize) -> Point {
    let before = usage::of(process);
    tokio::time::sleep(MEASURE_TIME).await;
    let usage = usage::of(process);
    let spent = usage.processor.saturating_sub(before.processor);
    Point {
        targets,
        core_percent: 100.0 * spent.as_secs_f64() / MEASURE_TIME.as_secs_f64(),
        usage,
    }
}

/// Starts a fake agent that accepts links and ignores what they carry.
async fn listen(key: &str) -> Result<SocketAddr, Error> {
    let key = Key::new(key.as_bytes());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener: Listener = Listener::bind(any, key).await.map_err(failed)?;
    let address = listener.address().map_err(failed)?;
    tokio::spawn(async move {
        let mut links = Vec::new();
        while let Ok((sender, mut receiver)) = listener.accept().await {
            links.push(sender);
            tokio::spawn(async move { while let Ok(Some(_)) = receiver.recv().await {} });
        }
    });
    Ok(address)
}

async fn register(list: SocketAddr, index: usize, address: SocketAddr) -> Result<(), Error> {
    let vm = json!({"id": format!("target-{index}"), "incarnation": 1, "role": "target",
        "service": format!("service-{}", index % 16), "domain": "a", "address": address});
    let client = Client::plain(list);
    let body = vm.to_string().into();
    client
        .call(Method::POST, "/standin/vm", HeaderMap::new(), body)
        .await?;
    Ok(())
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Failed {
        reason: error.to_string(),
    }
}
