//! Calls go where their model is loaded, as separate processes.
#![allow(clippy::unwrap_used, missing_docs)]

mod bench;

use bench::{Bench, call, get, pipeline, service, until};
use ctl::rig::probe;
use hyper::Method;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const RUN: &str = "/v1/pipelines/check/versions/";

/// Time after a call at which the engine's agent ends.
const BEFORE_END: Duration = Duration::from_millis(300);

/// Runs a version of the pipeline.
async fn run(bench: &Bench, entry: usize, version: u32) -> ctl::client::FullResponse {
    run_at(bench.entry(entry), version).await
}

async fn run_at(entry: SocketAddr, version: u32) -> ctl::client::FullResponse {
    let path = format!("{RUN}{version}/run");
    let body = json!({"text": "a"}).to_string().into();
    call(entry, Method::POST, &path, body).await
}

async fn executions(bench: &Bench, engine: usize) -> usize {
    let log = get(bench.deployment.runners[engine], "/standin/log").await;
    log["executions"].as_array().unwrap().len()
}

/// An operator rolls out a version with a new model while callers still use the old one. If a call
/// went to an engine with the other model it would be refused there, or answered by the wrong one.
#[tokio::test]
async fn versions_side_by_side() {
    let bench = Bench::start("rollout", true, &[&["old"], &["old"], &[]]).await;
    let old = json!([service(true, &[("old", 2)]), pipeline(1, "old")]);
    bench.apply(0, &old).await;
    until("version 1 serves", async || {
        run(&bench, 0, 1).await.status == 200
    })
    .await;
    let new = json!([service(true, &[("old", 2), ("new", 1)]), pipeline(2, "new")]);
    bench.apply(0, &new).await;
    for entry in [0, 1] {
        until("version 2 serves", async || {
            run(&bench, entry, 2).await.status == 200
        })
        .await;
        until("version 1 serves", async || {
            run(&bench, entry, 1).await.status == 200
        })
        .await;
    }
    let (before, others) = (executions(&bench, 2).await, executions(&bench, 0).await);
    for entry in [0, 1, 0, 1] {
        assert_eq!(run(&bench, entry, 2).await.status, 200);
    }
    assert_eq!(executions(&bench, 2).await, before + 4);
    assert_eq!(executions(&bench, 0).await, others);
    assert_eq!(run(&bench, 0, 1).await.status, 200);
    assert_eq!(executions(&bench, 2).await, before + 4);
    assert_eq!(bench.models(0).await, json!(["old"]));
    for engine in [0, 1, 2] {
        assert!(!bench.refused(engine).await);
    }
    bench.stop();
}

/// No engine has the model and none loads it. A caller that was kept waiting would lose the time in
/// which it could go elsewhere; it is told at once that nothing ran and when to come back. Its call
/// makes the model wanted, so that a later one is answered.
#[tokio::test]
async fn absent_model() {
    let bench = Bench::start("absent", false, &[&["old"]]).await;
    let models = &[("old", 1), ("new", 0)];
    let records = json!([
        service(false, models),
        pipeline(1, "old"),
        pipeline(2, "new")
    ]);
    bench.apply(0, &records).await;
    until("version 1 serves", async || {
        run(&bench, 0, 1).await.status == 200
    })
    .await;
    let refused = run(&bench, 0, 2).await;
    assert_eq!(refused.status, 503);
    let problem = refused.json::<serde_json::Value>().unwrap();
    assert_eq!(problem["outcome"], "not_run");
    assert!(refused.headers.contains_key("retry-after"));
    bench.stop();
}

/// Nobody has declared more than the model itself. The first caller's refused call has it loaded.
#[tokio::test]
async fn wanted_model() {
    let bench = Bench::start("wanted", false, &[&[]]).await;
    let records = json!([service(false, &[("new", 0)]), pipeline(1, "new")]);
    bench.apply(0, &records).await;
    until("version 1 serves", async || {
        run(&bench, 0, 1).await.status == 200
    })
    .await;
    assert_eq!(bench.models(0).await, json!(["new"]));
    bench.stop();
}

/// Guards against a model that is never loaded since only callers of another entry than the lease
/// holder ask for it.
#[tokio::test]
async fn wanted_elsewhere() {
    let bench = Bench::start("elsewhere", false, &[&[]]).await;
    let records = json!([service(false, &[("new", 0)]), pipeline(1, "new")]);
    bench.apply(0, &records).await;
    let other = 1 - bench.holder().await;
    until("version 1 serves", async || {
        run(&bench, other, 1).await.status == 200
    })
    .await;
    bench.stop();
}

/// Guards against a call that is never answered: it was accepted since the only engine had not said yet
/// what it holds, and then the engine's agent went for good.
#[tokio::test]
async fn engine_gone() {
    let mut bench = Bench::start("gone", false, &[&[]]).await;
    let records = json!([service(false, &[("new", 0)]), pipeline(1, "new")]);
    bench.apply(0, &records).await;
    let other = 1 - bench.holder().await;
    let entry = bench.entry(other);
    let calling = tokio::spawn(run_at(entry, 1));
    tokio::time::sleep(BEFORE_END).await;
    // It comes back at an address that no list names.
    bench.restart_agent(0).await;
    let answer = tokio::time::timeout(probe::LIMIT, calling).await;
    let answer = answer.expect("the call is answered").unwrap();
    // On a busy machine the model may have been loaded before the agent ended.
    if executions(&bench, 0).await == 0 {
        assert_eq!(answer.status, 503);
        let problem = answer.json::<serde_json::Value>().unwrap();
        assert_eq!(problem["outcome"], "not_run");
        assert!(answer.headers.contains_key("retry-after"));
    }
    bench.stop();
}
