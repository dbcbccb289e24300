//! Measures the latency that an agent adds to a call and prints a line of JSON.
//!
//! The runner, the agent and the entry's side of the link share this process, so that its memory is
//! an upper bound of the agent's. `direct` in the output is for calls to the runner over HTTP,
//! `agent` for calls over a link and through an agent.
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

const WARM_UP_CALLS: usize = 2_000;
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
    let direct = call_directly(&runner).await;
    let through_agent = call_through_agent(&agent).await;
    println!(
        r#"{{"calls":{CALLS},"direct":{},"agent":{},"resident_peak_kb":{}}}"#,
        percentiles(direct),
        percentiles(through_agent),
        peak_resident_kb()
    );
    agent.shut_down().await.unwrap().unwrap();
}

async fn call_directly(runner: &Runner) -> Vec<Duration> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new()).build(connector);
    let mut durations = Vec::with_capacity(WARM_UP_CALLS + CALLS);
    for request in 0..(WARM_UP_CALLS + CALLS) as u128 {
        let start = Instant::now();
        let call = hyper::Request::post(format!("http://{}/v1/run", runner.address))
            .header("x-call", call(request).to_string())
            .body(Full::new(Bytes::from_static(b"json")))
            .unwrap();
        let answer = client.request(call).await.unwrap();
        answer.into_body().collect().await.unwrap();
        durations.push(start.elapsed());
    }
    durations
}

async fn call_through_agent(agent: &Agent) -> Vec<Duration> {
    let (sender, mut receiver) = agent.link().await;
    let mut durations = Vec::with_capacity(WARM_UP_CALLS + CALLS);
    for request in 0..(WARM_UP_CALLS + CALLS) as u128 {
        let start = Instant::now();
        sender.send(offer(request, true, "json")).await.unwrap();
        while !matches!(receiver.recv().await.unwrap().unwrap(), Frame::Done { .. }) {}
        durations.push(start.elapsed());
    }
    durations
}

fn percentiles(mut durations: Vec<Duration>) -> String {
    durations.drain(..WARM_UP_CALLS);
    durations.sort_unstable();
    let at = |percent: usize| durations[durations.len() * percent / 100].as_secs_f64() * 1e6;
    format!(r#"{{"p50_us":{:.1},"p99_us":{:.1}}}"#, at(50), at(99))
}

/// Returns the peak resident memory of this process so far.
fn peak_resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.unwrap().split_whitespace().next().unwrap();
    number.parse().unwrap()
}
