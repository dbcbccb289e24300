//! Durable requests survive the failure of the entry that accepted them.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{CALLER_TIMEOUT, run, wait_for_runs, wait_until_idle};
use ctl::client::Client;
use ctl::fleet::Signal;
use ctl::rig::bench::Bench;
use ctl::rig::probe::{set_faults, wait_until};
use ctl::rig::record::REPORT;
use ctl::rig::runner::Plan;
use hyper::Method;
use hyper::header::{HeaderMap, HeaderValue};
use record::Document;
use serde_json::{Value, json};
use std::net::SocketAddr;

const TEXT: &str = "chapter 3";

fn durable() -> Document {
    serde_json::from_value(json!({
        "schema": 2, "kind": "pipeline", "name": "durable", "version": 1, "deadline_ms": 60_000,
        "durable": true, "stages": [{"name": "read", "service": REPORT}],
    }))
    .unwrap()
}

/// Starts two entries and one runner with the given execution time in milliseconds, and applies the
/// record of a durable pipeline.
async fn start(bench: &mut Bench, time: f64) -> [SocketAddr; 2] {
    let first = bench.entry("entry-1").await.unwrap();
    let second = bench.entry("entry-2").await.unwrap();
    let plan = Plan::new(REPORT, 4).time(time);
    bench.runner("reporter", plan).await.unwrap();
    bench.ready().await.unwrap();
    let revision = bench.apply(first, &[durable()]).await.unwrap();
    bench.wait_for_revision(revision).await.unwrap();
    [first, second]
}

/// Submits a request without waiting for its answer.
async fn submit(entry: SocketAddr) -> (u16, Value) {
    let mut headers = HeaderMap::new();
    headers.insert("linnetdrift-workspace", HeaderValue::from_static("thesis"));
    headers.insert("prefer", HeaderValue::from_static("wait=0"));
    let body = json!({"text": TEXT}).to_string().into();
    let path = "/v1/pipelines/durable/versions/1/run";
    let client = Client::plain(entry);
    let answer = client.call(Method::POST, path, headers, body);
    let answer = answer.await.unwrap();
    (answer.status.as_u16(), answer.json().unwrap())
}

async fn fetch(entry: SocketAddr, request: &Value) -> Option<Value> {
    let path = format!("/v1/requests/{}", request.as_str()?);
    let client = Client::plain(entry);
    let answer = client.call(Method::GET, &path, HeaderMap::new(), bytes::Bytes::new());
    let answer = tokio::time::timeout(CALLER_TIMEOUT, answer)
        .await
        .ok()?
        .ok()?;
    let complete = answer.status.as_u16() == 200;
    complete.then(|| answer.json().ok()).flatten()
}

async fn wait_for_answer(entry: SocketAddr, request: &Value) -> Value {
    wait_until("the request is answered", || async {
        fetch(entry, request).await.is_some()
    })
    .await
    .unwrap();
    fetch(entry, request).await.unwrap()["output"]["text"].clone()
}

/// An entry accepts a durable request and is killed while a runner executes it. The other entry
/// takes the request over, and the caller fetches the complete answer there.
#[test]
fn entry_killed() {
    run("durable-killed", async |mut bench| {
        let [first, second] = start(&mut bench, 300.0).await;
        let (status, response) = submit(first).await;
        assert_eq!(status, 202);
        wait_for_runs(&bench, REPORT, 1).await;
        bench.fleet.signal("entry-1", Signal::Kill).unwrap();
        let text = wait_for_answer(second, &response["request"]).await;
        assert_eq!(text, standin::answer::wrap(REPORT, TEXT));
    });
}

/// An entry is suspended with a durable request and resumes after another entry has answered it.
/// Both entries return the same answer, and the request is removed from the journal.
#[test]
fn entry_frozen() {
    run("durable-frozen", async |mut bench| {
        let [first, second] = start(&mut bench, 300.0).await;
        let (_, response) = submit(first).await;
        wait_for_runs(&bench, REPORT, 1).await;
        bench.fleet.signal("entry-1", Signal::Stop).unwrap();
        let text = wait_for_answer(second, &response["request"]).await;
        bench.fleet.signal("entry-1", Signal::Continue).unwrap();
        assert_eq!(wait_for_answer(first, &response["request"]).await, text);
        wait_until_idle(&bench, REPORT).await;
        wait_until("the journal is empty", || async {
            journal_size(&bench).await == 0
        })
        .await
        .unwrap();
    });
}

/// The table service is down when a durable request arrives. The request is reported as not run,
/// and it must not run after the service has recovered either.
#[test]
fn journal_unavailable() {
    run("durable-away", async |mut bench| {
        let [first, second] = start(&mut bench, 1.0).await;
        set_faults(bench.table.address(), &json!({"down": true}))
            .await
            .unwrap();
        let (_, response) = submit(first).await;
        let request = &response["request"];
        wait_until("the refusal is reported", || async {
            fetch_outcome(first, request).await.as_deref() == Some("not_run")
        })
        .await
        .unwrap();
        set_faults(bench.table.address(), &json!({})).await.unwrap();
        // After the outage, a later request completes at the other entry; the refused one has not
        // run.
        let (_, later) = submit(second).await;
        wait_for_answer(second, &later["request"]).await;
        wait_until("the journal is empty", || async {
            journal_size(&bench).await == 0
        })
        .await
        .unwrap();
        assert_eq!(bench.executions(REPORT).await.len(), 1);
    });
}

/// The table service's response to a journal write is lost after the write took effect. The request
/// still runs once and is answered.
#[test]
fn answer_lost() {
    run("durable-lost", async |mut bench| {
        let [first, _] = start(&mut bench, 1.0).await;
        set_faults(bench.table.address(), &json!({"lose_answers": 1}))
            .await
            .unwrap();
        let (_, response) = submit(first).await;
        let text = wait_for_answer(first, &response["request"]).await;
        assert_eq!(text, standin::answer::wrap(REPORT, TEXT));
        assert_eq!(bench.executions(REPORT).await.len(), 1);
    });
}

async fn fetch_outcome(entry: SocketAddr, request: &Value) -> Option<String> {
    let path = format!("/v1/requests/{}", request.as_str()?);
    let client = Client::plain(entry);
    let answer = client.call(Method::GET, &path, HeaderMap::new(), bytes::Bytes::new());
    let answer: Value = answer.await.ok()?.json().ok()?;
    answer["outcome"].as_str().map(str::to_owned)
}

/// Returns the number of requests in the journal.
async fn journal_size(bench: &Bench) -> usize {
    let client = Client::plain(bench.table.address());
    let path = "/v1/rows/journal?after=&limit=100";
    let answer = client.call(Method::GET, path, HeaderMap::new(), bytes::Bytes::new());
    let rows: Value = answer.await.unwrap().json().unwrap();
    rows["rows"].as_array().map_or(0, Vec::len)
}
