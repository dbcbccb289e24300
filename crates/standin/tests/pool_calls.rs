#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Harness, header, text};
use serde_json::json;
use standin::{Kind, Options};

/// Longer than any test runs.
const ENDLESS_MS: f64 = 3_600_000.0;

fn options(service_ms: f64) -> Options {
    Options {
        name: "rerank".into(),
        service_ms,
        slots: 1,
        ..Options::default()
    }
}

#[tokio::test]
async fn responses_and_log() {
    let harness = Harness::start(Kind::Pool, options(0.0)).await;
    let response = harness.run(&[("x-call", "aa-2-0")], "drawing").await;
    assert_eq!(header(&response, "x-call"), "aa-2-0");
    assert_eq!(text(response).await, r#"{"text":"rerank(drawing)"}"#);
    let plain = Harness::start(Kind::Plain, options(0.0)).await;
    plain.run(&[], "label").await;
    let second = text(plain.run(&[], "label").await).await;
    assert_eq!(second, r#"{"text":"rerank(label)","serial":2}"#);
    let log = harness.get("/standin/log").await;
    assert_eq!(log["executions"][0]["request"], "aa");
    assert_eq!(log["executions"][0]["ended"], "answered");
    let rest = harness.get("/standin/log?since=1").await;
    assert_eq!(rest, json!({"executions": []}));
}

// All slots are taken and three calls wait. The call with the highest priority runs first although
// it arrived last. A call that is cancelled while it waits has not run and must not be in the log.
#[tokio::test]
async fn waiting_calls() {
    let harness = Harness::start(Kind::Pool, options(ENDLESS_MS)).await;
    let run = async |id: &str, priority: &str, waiting| {
        harness
            .wait_for_load(u64::from(waiting > 0), u64::saturating_sub(waiting, 1))
            .await;
        let headers = [("x-call", id), ("x-priority", priority)];
        harness.run(&headers, "a").await.status().as_u16()
    };
    let cancel = async |id: &str| harness.post(&format!("/v1/cancel/{id}"), json!({})).await;
    let cancels = async {
        harness.wait_for_load(1, 3).await;
        cancel("cc-0-0").await;
        cancel("aa-0-0").await;
        harness.wait_for_statuses(&["cancelled", "running"]).await;
        cancel("dd-0-0").await;
        harness
            .wait_for_statuses(&["cancelled", "cancelled", "running"])
            .await;
        cancel("bb-0-0").await;
    };
    let (a, b, c, d, ()) = tokio::join!(
        run("aa-0-0", "1", 0),
        run("bb-0-0", "1", 1),
        run("cc-0-0", "5", 2),
        run("dd-0-0", "9", 3),
        cancels
    );
    assert_eq!([a, b, c, d], [500, 500, 503, 500]);
    let log = harness.get("/standin/log").await;
    let calls: Vec<_> = (0..3).map(|i| &log["executions"][i]["request"]).collect();
    assert_eq!(calls, ["aa", "dd", "bb"]);
}

// A message was duplicated in transit, so that two calls with the same id are in progress, and one
// of them ends first. A cancel must still reach the other; otherwise, it would occupy its slot for
// nothing.
#[tokio::test]
async fn duplicate_call() {
    let options = Options {
        slots: 2,
        ..options(ENDLESS_MS)
    };
    let harness = Harness::start(Kind::Pool, options).await;
    let headers = [("x-call", "aa-0-0")];
    let first = async {
        tokio::select! {
            _ = harness.run(&headers, "a") => unreachable!(),
            () = harness.wait_for_statuses(&["running", "running"]) => {}
        }
        harness.wait_for_load(1, 0).await;
        harness.post("/v1/cancel/aa-0-0", json!({})).await;
    };
    let (second, ()) = tokio::join!(harness.run(&headers, "a"), first);
    assert_eq!(second.status(), 500);
}

// A client disconnects while its call waits. The call must be removed from the queue immediately;
// otherwise, the load would report abandoned calls to routers.
#[tokio::test]
async fn waiting_client_disconnects() {
    for kind in [Kind::Pool, Kind::Engine] {
        let options = Options {
            batch: 1,
            step_ms: ENDLESS_MS,
            ..options(ENDLESS_MS)
        };
        let harness = Harness::start(kind, options).await;
        let waiting = async {
            harness.wait_for_load(1, 0).await;
            tokio::select! {
                _ = harness.run(&[], "b") => unreachable!(),
                () = harness.wait_for_load(1, 1) => {}
            }
            harness.wait_for_load(1, 0).await;
        };
        tokio::select! {
            _ = harness.run(&[], "a") => unreachable!(),
            () = waiting => {}
        }
    }
}

// A client disconnects while its call is in progress. A pool stops the call and gives the slot to
// the next one; otherwise, abandoned calls would delay others.
#[tokio::test]
async fn client_disconnects() {
    let harness = Harness::start(Kind::Pool, options(ENDLESS_MS)).await;
    let run = harness.run(&[("x-call", "aa-0-0")], "a");
    tokio::select! {
        _ = run => unreachable!(),
        () = harness.wait_for_load(1, 0) => {}
    }
    harness.wait_for_statuses(&["cancelled"]).await;
    harness.wait_for_load(0, 0).await;
}

// The client of a label print disconnects, and the call is cancelled. Since it has started, it runs
// to its end: only then does the log show correctly how often a label was printed.
#[tokio::test]
async fn plain_call_completes() {
    let harness = Harness::start(Kind::Plain, options(50.0)).await;
    let run = harness.run(&[("x-call", "aa-0-0")], "a");
    tokio::select! {
        _ = run => unreachable!(),
        () = harness.wait_for_statuses(&["running"]) => {}
    }
    assert_eq!(harness.post("/v1/cancel/aa-0-0", json!({})).await, 204);
    harness.wait_for_statuses(&["answered"]).await;
}

// A graceful shutdown while a call is in progress: the client still receives the complete response.
#[tokio::test]
async fn graceful_stop() {
    let mut harness = Harness::start(Kind::Pool, options(50.0)).await;
    let server = harness.server.take().unwrap();
    let stop = async {
        harness.wait_for_statuses(&["running"]).await;
        server.stop().await;
    };
    let (response, ()) = tokio::join!(harness.run(&[], "a"), stop);
    assert_eq!(text(response).await, r#"{"text":"rerank(a)"}"#);
    assert!(
        tokio::net::TcpStream::connect(harness.address)
            .await
            .is_err()
    );
}

// The runner crashes while a call is in progress: the connection breaks without a response.
#[tokio::test]
async fn runner_crash() {
    let mut harness = Harness::start(Kind::Pool, options(ENDLESS_MS)).await;
    let server = harness.server.take().unwrap();
    let die = async {
        harness.wait_for_load(1, 0).await;
        drop(server);
    };
    let input = json!({"text": "a"});
    let (answer, ()) = tokio::join!(harness.send("POST", "/v1/run", &[], input), die);
    assert!(answer.is_err());
}

// The response is lost in transit: the client sees a closed connection, although the call has run.
// A blind retry would run it twice.
#[tokio::test]
async fn lost_response() {
    let harness = Harness::start(Kind::Plain, options(0.0)).await;
    harness
        .post("/standin/faults", json!({"lose_answers": 1}))
        .await;
    let input = json!({"text": "a"});
    let lost = harness.send("POST", "/v1/run", &[], input.clone()).await;
    assert!(lost.is_err());
    assert_eq!(harness.post("/v1/run", input).await, 200);
    assert_eq!(harness.statuses().await, ["cut", "answered"]);
}

// The runner refuses a call before it starts. The log must stay empty, so that "not run" is true.
#[tokio::test]
async fn refused_call() {
    let harness = Harness::start(Kind::Pool, options(0.0)).await;
    harness
        .post("/standin/faults", json!({"refuse": true}))
        .await;
    let response = harness.run(&[], "a").await;
    assert_eq!(response.status(), 503);
    assert_eq!(header(&response, "x-not-run"), "1");
    assert!(harness.statuses().await.is_empty());
}

// An unknown fault is rejected: otherwise, a typing error would leave the stand-in without faults.
#[tokio::test]
async fn unknown_fault() {
    let harness = Harness::start(Kind::Pool, options(0.0)).await;
    assert_eq!(
        harness.post("/standin/faults", json!({"dwon": true})).await,
        400
    );
}
