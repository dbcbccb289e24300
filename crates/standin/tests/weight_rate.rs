#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Harness, text};
use serde_json::json;
use standin::{Kind, Options};

// The store serves one slow download at a time. A second one is rejected with `Retry-After`; a
// process that ignores it would delay all models that are to be loaded.
#[tokio::test]
async fn busy_store() {
    let options = Options {
        slots: 1,
        weight_bytes: 64 << 10,
        weight_bytes_per_second: 1e6,
        ..Options::default()
    };
    let harness = Harness::start(Kind::Weight, options).await;
    let path = "/v1/weights/draft";
    let first = harness.send("GET", path, &[], "").await.unwrap();
    let second = harness.send("GET", path, &[], "").await.unwrap();
    assert_eq!(second.status(), 429);
    assert_eq!(second.headers()["retry-after"], "1");
    assert_eq!(text(first).await.len(), 64 << 10);
    while harness.send("GET", path, &[], "").await.unwrap().status() != 200 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn loaded_model() {
    let options = Options {
        weight_bytes_per_second: 50e6,
        ..Options::default()
    };
    let store = Harness::start(Kind::Weight, options).await;
    let options = Options {
        weights: Some(store.address),
        ..Options::default()
    };
    let engine = Harness::start(Kind::Engine, options).await;
    let order = json!({"fence": 1, "order": "load", "model": "draft", "version": 2});
    assert_eq!(engine.post("/v1/orders", order).await, 200);
    assert_eq!(engine.get("/v1/models").await["models"], json!(["draft@2"]));
}
