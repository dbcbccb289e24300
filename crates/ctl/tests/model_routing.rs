//! Routing of calls to engines that have their model loaded, with separate processes.
#![allow(clippy::unwrap_used, missing_docs)]

mod bench;

use bench::{Bench, call, get, pipeline, service, wait_until};
use ctl::rig::probe;
use hyper::Method;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

const RUN: &str = "/v1/pipelines/check/versions/";

/// Time between a call and the restart of the engine's agent.
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

/// Guards against calls that reach an engine with another model, which would refuse them or answer
/// with the wrong model: an operator rolls out a version with a new model while callers still use
/// the old version.
#[tokio::test]
async fn versions_side_by_side() {
    let bench = Bench::start("rollout", true, &[&["old"], &["old"], &[]]).await;
    let old = json!([service(true, &[("old", 2)]), pipeline(1, "old")]);
    bench.apply(0, &old).await;
    wait_until("version 1 serves", async || {
        run(&bench, 0, 1).await.status == 200
    })
    .await;
    let new = json!([service(true, &[("old", 2), ("new", 1)]), pipeline(2, "new")]);
    bench.apply(0, &new).await;
    for entry in [0, 1] {
        wait_until("version 2 serves", async || {
            run(&bench, entry, 2).await.status == 200
        })
        .await;
        wait_until("version 1 serves", async || {
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
        assert!(!bench.has_refused(engine).await);
    }
    bench.stop();
}

/// No engine has the model or loads it. Waiting would cost the caller the time to go elsewhere, so
/// it gets "not run" with a retry delay immediately. Its call creates demand for the model, so that
/// a later call is answered.
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
    wait_until("version 1 serves", async || {
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

/// The record requires no replicas of the model. The refused call of the first caller causes the
/// model to be loaded.
#[tokio::test]
async fn model_loaded_on_demand() {
    let bench = Bench::start("wanted", false, &[&[]]).await;
    let records = json!([service(false, &[("new", 0)]), pipeline(1, "new")]);
    bench.apply(0, &records).await;
    wait_until("version 1 serves", async || {
        run(&bench, 0, 1).await.status == 200
    })
    .await;
    assert_eq!(bench.models(0).await, json!(["new"]));
    bench.stop();
}

/// Guards against a model that is never loaded because only callers of an entry without the lease
/// request it.
#[tokio::test]
async fn demand_at_other_entry() {
    let bench = Bench::start("elsewhere", false, &[&[]]).await;
    let records = json!([service(false, &[("new", 0)]), pipeline(1, "new")]);
    bench.apply(0, &records).await;
    let other = 1 - bench.lease_holder().await;
    wait_until("version 1 serves", async || {
        run(&bench, other, 1).await.status == 200
    })
    .await;
    bench.stop();
}

/// Guards against a call that is never answered: it was accepted because the only engine had not
/// yet reported its models, and then the engine's agent disappeared permanently.
#[tokio::test]
async fn engine_disappears() {
    let mut bench = Bench::start("gone", false, &[&[]]).await;
    let records = json!([service(false, &[("new", 0)]), pipeline(1, "new")]);
    bench.apply(0, &records).await;
    let other = 1 - bench.lease_holder().await;
    let entry = bench.entry(other);
    let calling = tokio::spawn(run_at(entry, 1));
    tokio::time::sleep(BEFORE_END).await;
    // The restarted agent listens at an address that is on no list.
    bench.restart_agent(0).await;
    let answer = tokio::time::timeout(probe::WAIT_TIMEOUT, calling).await;
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
