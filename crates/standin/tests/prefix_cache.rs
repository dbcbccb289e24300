#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Harness, header};
use serde_json::{Value, json};
use standin::{Kind, Options};

async fn hits(harness: &Harness, prefix: &str) -> String {
    let response = harness.run(&[("x-prefix", prefix)], "a").await;
    header(&response, "x-prefix-hits")
}

fn options() -> Options {
    Options {
        step_ms: 0.0,
        prefill_ms: 0.0,
        tokens: 1,
        cache_blocks: 3,
        ..Options::default()
    }
}

#[tokio::test]
async fn least_recent_block() {
    let harness = Harness::start(Kind::Engine, options()).await;
    assert_eq!(hits(&harness, "a,b").await, "0");
    assert_eq!(hits(&harness, "a,b,c").await, "2");
    assert_eq!(hits(&harness, "d").await, "0");
    assert_eq!(hits(&harness, "a").await, "0");
    let events = harness.get("/v1/cache/events?after=3").await;
    assert_eq!(events["events"][1]["kind"], "evicted");
    assert_eq!(events["events"][1]["block"], "000000000000000a");
    assert_eq!(events["next"], 7);
}

#[tokio::test]
async fn block_transfer() {
    let harness = Harness::start(Kind::Engine, options()).await;
    let status = async |method| {
        let response = harness.send(method, "/v1/kv/ff", &[], "x").await.unwrap();
        response.status().as_u16()
    };
    assert_eq!(status("GET").await, 404);
    assert_eq!(status("PUT").await, 204);
    assert_eq!(status("GET").await, 200);
    assert_eq!(hits(&harness, "ff").await, "1");
}

// Some events are never published. A reader that considers the list complete would assume blocks
// that were evicted long ago; the gap in the sequence numbers shows the loss.
#[tokio::test]
async fn lost_events() {
    let options = Options {
        event_loss: 0.5,
        cache_blocks: 100,
        ..options()
    };
    let harness = Harness::start(Kind::Engine, options).await;
    let blocks: Vec<_> = (1..=64).map(|block| format!("{block:x}")).collect();
    hits(&harness, &blocks.join(",")).await;
    let page = harness.get("/v1/cache/events?after=0").await;
    let events = page["events"].as_array().unwrap();
    let numbers: Vec<_> = events.iter().map(|event| &event["sequence"]).collect();
    assert!(!numbers.is_empty() && numbers.len() < 64, "{numbers:?}");
    assert_eq!(&page["next"], *numbers.last().unwrap());
}

// Events are delayed. Directly after a call, its blocks are in the cache, but no event is visible.
#[tokio::test]
async fn delayed_events() {
    let options = Options {
        lag_ms: 3_600_000.0,
        ..options()
    };
    let harness = Harness::start(Kind::Engine, options).await;
    hits(&harness, "a").await;
    let events: Value = harness.get("/v1/cache/events?after=0").await;
    assert_eq!(events, json!({"events": [], "next": 0}));
    assert_eq!(hits(&harness, "a").await, "1");
}
