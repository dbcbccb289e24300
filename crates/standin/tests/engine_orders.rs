#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::Bench;
use serde_json::json;
use standin::{Kind, Options};

async fn engine(fencing: bool) -> Bench {
    let options = Options {
        fencing,
        models: vec!["draft@1".into()],
        ..Options::default()
    };
    Bench::start(Kind::Engine, options).await
}

fn load(fence: u64, version: u64) -> serde_json::Value {
    json!({"fence": fence, "order": "load", "model": "draft", "version": version})
}

// A holder of the lease was frozen, its lease lapsed, a new holder gave orders, and the old one
// wakes up and gives another. If that one were carried out, the engine would serve a model that
// nobody in charge wants.
#[tokio::test]
async fn old_fence_refused() {
    let bench = engine(true).await;
    assert_eq!(bench.post("/v1/orders", load(2, 2)).await, 200);
    assert_eq!(bench.post("/v1/orders", load(1, 3)).await, 412);
    let models = bench.get("/v1/models").await;
    assert_eq!(models["models"], json!(["draft@1", "draft@2"]));
    assert_eq!(models["fence"], 2);
    let orders = bench.get("/standin/orders").await;
    assert_eq!(orders["orders"][1]["carried_out"], false);
    assert_eq!(orders["orders"][1]["fence"], 1);
}

// The same race at an engine that does not look at fencing numbers: it carries out the old order,
// so that whoever relies on the engine notices in the list of models.
#[tokio::test]
async fn old_fence_ignored() {
    let bench = engine(false).await;
    assert_eq!(bench.post("/v1/orders", load(2, 2)).await, 200);
    assert_eq!(bench.post("/v1/orders", load(1, 3)).await, 200);
    let models = bench.get("/v1/models").await;
    assert_eq!(models["models"], json!(["draft@1", "draft@2", "draft@3"]));
}

#[tokio::test]
async fn role_change() {
    let bench = engine(true).await;
    let order = json!({"fence": 1, "order": "role", "role": "prefill"});
    assert_eq!(bench.post("/v1/orders", order).await, 200);
    assert_eq!(bench.get("/v1/models").await["role"], "prefill");
}

// A caller asks for a model that has been unloaded. The engine must say that it did not run the
// call, so that the caller may try another engine.
#[tokio::test]
async fn missing_model() {
    let bench = engine(true).await;
    let unload = json!({"fence": 1, "order": "unload", "model": "draft", "version": 1});
    let input = json!({"text": "a", "max_tokens": 1, "model": "draft"});
    assert_eq!(bench.post("/v1/run", input.clone()).await, 200);
    assert_eq!(bench.post("/v1/orders", unload).await, 200);
    assert_eq!(bench.post("/v1/run", input).await, 503);
    assert_eq!(bench.endings().await.len(), 1);
}
