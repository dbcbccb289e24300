//! Measures what an agent adds to a call and prints a line of JSON.
//!
//! Runner, agent and entry's end share this process, so that its memory is an upper bound of the
//! agent's. `direct` calls the runner over HTTP, `agent` goes through a link and an agent.
#![allow(clippy::unwrap_used, missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use bytes::Bytes;
use common::{Agent, Runner, call, offer, settings};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use std::time::{Duration, Instant};
use wire::Frame;

const WARM_UP: usize = 2_000;
const CALLS: usize = 20_000;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async { tokio::spawn(measure()).await.unwrap() });
}

async fn measure() {
    let runner = Runner::start().await;
    let agent = Agent::start(settings(runner.address)).await;
    let direct = direct(&runner).await;
    let through = through(&agent).await;
    println!(
        r#"{{"calls":{CALLS},"direct":{},"agent":{},"resident_peak_kb":{}}}"#,
        times(direct),
        times(through),
        resident()
    );
    agent.leave().await.unwrap().unwrap();
}

async fn direct(runner: &Runner) -> Vec<Duration> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new()).build(connector);
    let mut taken = Vec::with_capacity(WARM_UP + CALLS);
    for request in 0..(WARM_UP + CALLS) as u128 {
        let start = Instant::now();
        let call = hyper::Request::post(format!("http://{}/v1/run", runner.address))
            .header("x-call", call(request).to_string())
            .body(Full::new(Bytes::from_static(b"json")))
            .unwrap();
        let answer = client.request(call).await.unwrap();
        answer.into_body().collect().await.unwrap();
        taken.push(start.elapsed());
    }
    taken
}

async fn through(agent: &Agent) -> Vec<Duration> {
    let (sender, mut receiver) = agent.link().await;
    let mut taken = Vec::with_capacity(WARM_UP + CALLS);
    for request in 0..(WARM_UP + CALLS) as u128 {
        let start = Instant::now();
        sender.send(offer(request, true, "json")).await.unwrap();
        while !matches!(receiver.recv().await.unwrap().unwrap(), Frame::Done { .. }) {}
        taken.push(start.elapsed());
    }
    taken
}

fn times(mut taken: Vec<Duration>) -> String {
    taken.drain(..WARM_UP);
    taken.sort_unstable();
    let at = |share: usize| taken[taken.len() * share / 100].as_secs_f64() * 1e6;
    format!(r#"{{"p50_us":{:.1},"p99_us":{:.1}}}"#, at(50), at(99))
}

/// Largest resident memory so far in KB.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.unwrap().split_whitespace().next().unwrap();
    number.parse().unwrap()
}
