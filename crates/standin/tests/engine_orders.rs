#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::Harness;
use serde_json::json;
use standin::{Kind, Options};

async fn engine(fencing: bool) -> Harness {
    let options = Options {
        fencing,
        models: vec!["draft@1".into()],
        ..Options::default()
    };
    Harness::start(Kind::Engine, options).await
}

fn load(fence: u64, version: u64) -> serde_json::Value {
    json!({"fence": fence, "order": "load", "model": "draft", "version": version})
}

// Guards against orders from a former lease holder. The holder was paused until its lease expired, a
// new holder sent orders, and the old one resumes and sends another order. If the engine executed
// it, it would serve a model that the current holder does not want.
#[tokio::test]
async fn stale_fencing_token_refused() {
    let harness = engine(true).await;
    assert_eq!(harness.post("/v1/orders", load(2, 2)).await, 200);
    assert_eq!(harness.post("/v1/orders", load(1, 3)).await, 412);
    let models = harness.get("/v1/models").await;
    assert_eq!(models["models"], json!(["draft@1", "draft@2"]));
    assert_eq!(models["fence"], 2);
    let orders = harness.get("/standin/orders").await;
    assert_eq!(orders["orders"][1]["carried_out"], false);
    assert_eq!(orders["orders"][1]["fence"], 1);
}

// The same race with an engine that does not check fencing tokens: it executes the stale order, and
// the list of models shows it to a process that relies on the engine.
#[tokio::test]
async fn stale_fencing_token_ignored() {
    let harness = engine(false).await;
    assert_eq!(harness.post("/v1/orders", load(2, 2)).await, 200);
    assert_eq!(harness.post("/v1/orders", load(1, 3)).await, 200);
    let models = harness.get("/v1/models").await;
    assert_eq!(models["models"], json!(["draft@1", "draft@2", "draft@3"]));
}

#[tokio::test]
async fn role_change() {
    let harness = engine(true).await;
    let order = json!({"fence": 1, "order": "role", "role": "prefill"});
    assert_eq!(harness.post("/v1/orders", order).await, 200);
    assert_eq!(harness.get("/v1/models").await["role"], "prefill");
}

// A call requests a model that has been unloaded. The engine must report that it did not run the
// call, so that the client can try another engine.
#[tokio::test]
async fn missing_model() {
    let harness = engine(true).await;
    let unload = json!({"fence": 1, "order": "unload", "model": "draft", "version": 1});
    let input = json!({"text": "a", "max_tokens": 1, "model": "draft"});
    assert_eq!(harness.post("/v1/run", input.clone()).await, 200);
    assert_eq!(harness.post("/v1/orders", unload).await, 200);
    assert_eq!(harness.post("/v1/run", input).await, 503);
    assert_eq!(harness.statuses().await.len(), 1);
}
