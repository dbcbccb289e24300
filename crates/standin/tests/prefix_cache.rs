#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Bench, header};
use serde_json::{Value, json};
use standin::{Kind, Options};

async fn hits(bench: &Bench, prefix: &str) -> String {
    let response = bench.run(&[("x-prefix", prefix)], "a").await;
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
    let bench = Bench::start(Kind::Engine, options()).await;
    assert_eq!(hits(&bench, "a,b").await, "0");
    assert_eq!(hits(&bench, "a,b,c").await, "2");
    assert_eq!(hits(&bench, "d").await, "0");
    assert_eq!(hits(&bench, "a").await, "0");
    let events = bench.get("/v1/cache/events?after=3").await;
    assert_eq!(events["events"][1]["kind"], "evicted");
    assert_eq!(events["events"][1]["block"], "000000000000000a");
    assert_eq!(events["next"], 7);
}

#[tokio::test]
async fn block_transfer() {
    let bench = Bench::start(Kind::Engine, options()).await;
    let status = async |method| {
        let response = bench.send(method, "/v1/kv/ff", &[], "x").await.unwrap();
        response.status().as_u16()
    };
    assert_eq!(status("GET").await, 404);
    assert_eq!(status("PUT").await, 204);
    assert_eq!(status("GET").await, 200);
    assert_eq!(hits(&bench, "ff").await, "1");
}

// Some events are never published. A reader that takes the list for whole would believe in blocks
// that are long gone; the numbers show the gap.
#[tokio::test]
async fn lost_events() {
    let options = Options {
        event_loss: 0.5,
        cache_blocks: 100,
        ..options()
    };
    let bench = Bench::start(Kind::Engine, options).await;
    let blocks: Vec<_> = (1..=64).map(|block| format!("{block:x}")).collect();
    hits(&bench, &blocks.join(",")).await;
    let page = bench.get("/v1/cache/events?after=0").await;
    let events = page["events"].as_array().unwrap();
    let numbers: Vec<_> = events.iter().map(|event| &event["sequence"]).collect();
    assert!(!numbers.is_empty() && numbers.len() < 64, "{numbers:?}");
    assert_eq!(&page["next"], *numbers.last().unwrap());
}

// Events come late. Right after a call its blocks are in the cache, but no event says so yet.
#[tokio::test]
async fn late_events() {
    let options = Options {
        lag_ms: 3_600_000.0,
        ..options()
    };
    let bench = Bench::start(Kind::Engine, options).await;
    hits(&bench, "a").await;
    let events: Value = bench.get("/v1/cache/events?after=0").await;
    assert_eq!(events, json!({"events": [], "next": 0}));
    assert_eq!(hits(&bench, "a").await, "1");
}
