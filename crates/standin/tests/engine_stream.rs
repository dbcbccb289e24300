#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Harness, header, text};
use http_body_util::BodyExt;
use standin::{Kind, Options, answer};

const SSE: (&str, &str) = ("accept", "text/event-stream");

fn options() -> Options {
    Options {
        step_ms: 0.0,
        prefill_ms: 0.0,
        tokens: 6,
        ..Options::default()
    }
}

fn events(text: &str, numbers: impl Iterator<Item = u32>) -> String {
    numbers
        .map(|k| {
            let token = answer::token(text, k);
            format!("id: {k}\ndata: {{\"token\":\"{token}\"}}\n\n")
        })
        .collect()
}

const DONE_EVENT: &str = "event: done\ndata: {\"chunks\":6}\n\n";

#[tokio::test]
async fn complete_responses() {
    let harness = Harness::start(Kind::Engine, options()).await;
    let response = harness.run(&[("x-call", "aa-0-0"), SSE], "crimp").await;
    assert_eq!(header(&response, "x-call"), "aa-0-0");
    assert_eq!(text(response).await, events("crimp", 0..6) + DONE_EVENT);
    let response = harness.run(&[("x-call", "ab-0-0")], "crimp").await;
    header(&response, "x-busy-us").parse::<u64>().unwrap();
    let body: serde_json::Value = serde_json::from_str(&text(response).await).unwrap();
    assert_eq!(body["text"], answer::tokens("crimp", 6));
    assert_eq!(harness.statuses().await, ["answered", "answered"]);
}

// The connection to the client broke after some events, and the client requests the rest. If the
// stream resumed at a wrong event, the user's text would have a gap or a repeated word.
#[tokio::test]
async fn resumed_stream() {
    let harness = Harness::start(Kind::Engine, options()).await;
    let headers = [("x-call", "aa-0-1"), ("x-resume", "4"), SSE];
    let response = harness.run(&headers, "crimp").await;
    assert_eq!(text(response).await, events("crimp", 4..6) + DONE_EVENT);
}

// The engine is shut down gracefully while a stream is in progress. The client must receive all
// tokens and the `done` event.
#[tokio::test]
async fn stop_under_stream() {
    let options = Options {
        step_ms: 5.0,
        ..options()
    };
    let mut harness = Harness::start(Kind::Engine, options).await;
    let server = harness.server.take().unwrap();
    let response = harness.run(&[SSE], "crimp").await;
    let (all, ()) = tokio::join!(text(response), server.stop());
    assert_eq!(all, events("crimp", 0..6) + DONE_EVENT);
}

#[tokio::test]
async fn shared_batch() {
    let options = Options {
        batch: 2,
        step_ms: 1.0,
        tokens: 1_000_000,
        ..options()
    };
    let harness = Harness::start(Kind::Engine, options).await;
    let mut first = harness.run(&[SSE], "a").await.into_body();
    let mut second = harness.run(&[SSE], "b").await.into_body();
    harness.wait_for_load(2, 0).await;
    for body in [&mut first, &mut second] {
        let event = body.frame().await.unwrap().unwrap().into_data().unwrap();
        assert!(event.starts_with(b"id: 0\n"));
    }
}

// The batch is full, and later calls wait; the call with the higher priority arrives last. If it
// were not admitted first, an urgent request would wait behind bulk work.
#[tokio::test]
async fn full_batch() {
    let options = Options {
        batch: 1,
        step_ms: 1.0,
        tokens: 1_000_000,
        ..options()
    };
    let harness = Harness::start(Kind::Engine, options).await;
    let long = harness.run(&[("x-call", "long-0-0"), SSE], "a").await;
    let low = async {
        let headers = [("x-call", "low-0-0"), ("x-priority", "1"), SSE];
        drop(harness.run(&headers, "b").await);
    };
    let high = async {
        harness.wait_for_load(1, 1).await;
        let headers = [("x-call", "high-0-0"), ("x-priority", "9"), SSE];
        drop(harness.run(&headers, "c").await);
    };
    let stop = async {
        harness.wait_for_load(1, 2).await;
        drop(long);
    };
    tokio::join!(low, high, stop);
    let log = harness.get("/standin/log").await;
    let calls: Vec<_> = (0..3).map(|i| &log["executions"][i]["request"]).collect();
    assert_eq!(calls, ["long", "high", "low"]);
}

// A client cancels a running call and a waiting call. The waiting call must be reported as not run
// and must never appear in the log; otherwise, a retry would run it twice.
#[tokio::test]
async fn cancelled_calls() {
    let options = Options {
        batch: 1,
        step_ms: 1.0,
        tokens: 1_000_000,
        ..options()
    };
    let harness = Harness::start(Kind::Engine, options).await;
    let running = harness.run(&[("x-call", "aa-0-0"), SSE], "a").await;
    let waiting = harness.run(&[("x-call", "bb-0-0"), SSE], "b");
    let cancel = async {
        harness.wait_for_load(1, 1).await;
        let code = harness
            .post("/v1/cancel/bb-0-0", serde_json::json!({}))
            .await;
        assert_eq!(code, 204);
    };
    let (waiting, ()) = tokio::join!(waiting, cancel);
    assert_eq!(waiting.status(), 503);
    assert_eq!(header(&waiting, "x-not-run"), "1");
    harness
        .post("/v1/cancel/aa-0-0", serde_json::json!({}))
        .await;
    assert!(!text(running).await.contains("event: done"));
    harness.wait_for_statuses(&["cancelled"]).await;
}

// Faults cut a stream in the middle, end one without its `done` event, send each event twice, and
// respond for another call. Each would give the user a wrong text unless it is detected.
#[tokio::test]
async fn faulty_streams() {
    let harness = Harness::start(Kind::Engine, options()).await;
    let fault = async |fault: &str| {
        let headers = [("x-call", fault), SSE];
        let faults = serde_json::json!({ fault: true });
        assert_eq!(harness.post("/standin/faults", faults).await, 204);
        harness.run(&headers, "crimp").await
    };
    let cut = fault("cut").await.into_body().collect().await;
    assert!(cut.is_err());
    let truncated = text(fault("truncate").await).await;
    assert_eq!(truncated, events("crimp", 0..6));
    let doubled = text(fault("double").await).await;
    assert!(doubled.starts_with(&events("crimp", [0, 0, 1, 1].into_iter())));
    let crossed = fault("cross").await;
    assert_eq!(header(&crossed, "x-call"), "double");
    drop(crossed);
    assert_eq!(harness.statuses().await[..3], ["cut", "cut", "answered"]);
}
