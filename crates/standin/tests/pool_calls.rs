#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Bench, header, text};
use serde_json::json;
use standin::{Kind, Options};

/// Long enough for no test to see its end.
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
async fn own_answers() {
    let bench = Bench::start(Kind::Pool, options(0.0)).await;
    let response = bench.run(&[("x-call", "aa-2-0")], "drawing").await;
    assert_eq!(header(&response, "x-call"), "aa-2-0");
    assert_eq!(text(response).await, r#"{"text":"rerank(drawing)"}"#);
    let plain = Bench::start(Kind::Plain, options(0.0)).await;
    plain.run(&[], "label").await;
    let second = text(plain.run(&[], "label").await).await;
    assert_eq!(second, r#"{"text":"rerank(label)","serial":2}"#);
    let log = bench.get("/standin/log").await;
    assert_eq!(log["executions"][0]["request"], "aa");
    assert_eq!(log["executions"][0]["ended"], "answered");
    let rest = bench.get("/standin/log?since=1").await;
    assert_eq!(rest, json!({"executions": []}));
}

// All slots are taken and three calls wait. The most urgent goes first although it came last; one
// that is cancelled while it waits has not run, and the log must not show it.
#[tokio::test]
async fn waiting_calls() {
    let bench = Bench::start(Kind::Pool, options(ENDLESS_MS)).await;
    let run = async |id: &str, priority: &str, waiting| {
        bench
            .until_load(u64::from(waiting > 0), u64::saturating_sub(waiting, 1))
            .await;
        let headers = [("x-call", id), ("x-priority", priority)];
        bench.run(&headers, "a").await.status().as_u16()
    };
    let cancel = async |id: &str| bench.post(&format!("/v1/cancel/{id}"), json!({})).await;
    let cancels = async {
        bench.until_load(1, 3).await;
        cancel("cc-0-0").await;
        cancel("aa-0-0").await;
        bench.until_endings(&["cancelled", "running"]).await;
        cancel("dd-0-0").await;
        bench
            .until_endings(&["cancelled", "cancelled", "running"])
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
    let log = bench.get("/standin/log").await;
    let calls: Vec<_> = (0..3).map(|i| &log["executions"][i]["request"]).collect();
    assert_eq!(calls, ["aa", "dd", "bb"]);
}

// A message was doubled on its way, so that two calls of one identity are at work, and one of them
// ends first. A cancel must still reach the other, or it would hold its slot for nothing.
#[tokio::test]
async fn doubled_call() {
    let options = Options {
        slots: 2,
        ..options(ENDLESS_MS)
    };
    let bench = Bench::start(Kind::Pool, options).await;
    let headers = [("x-call", "aa-0-0")];
    let first = async {
        tokio::select! {
            _ = bench.run(&headers, "a") => unreachable!(),
            () = bench.until_endings(&["running", "running"]) => {}
        }
        bench.until_load(1, 0).await;
        bench.post("/v1/cancel/aa-0-0", json!({})).await;
    };
    let (second, ()) = tokio::join!(bench.run(&headers, "a"), first);
    assert_eq!(second.status(), 500);
}

// The caller goes away while its call waits. It must leave the queue at once, or the load would tell
// routers of work that nobody wants any more.
#[tokio::test]
async fn waiting_caller_gone() {
    for kind in [Kind::Pool, Kind::Engine] {
        let options = Options {
            batch: 1,
            step_ms: ENDLESS_MS,
            ..options(ENDLESS_MS)
        };
        let bench = Bench::start(kind, options).await;
        let waiting = async {
            bench.until_load(1, 0).await;
            tokio::select! {
                _ = bench.run(&[], "b") => unreachable!(),
                () = bench.until_load(1, 1) => {}
            }
            bench.until_load(1, 0).await;
        };
        tokio::select! {
            _ = bench.run(&[], "a") => unreachable!(),
            () = waiting => {}
        }
    }
}

// The caller goes away while its call is at work. A pool stops and gives the slot to the next
// call; otherwise abandoned work would crowd out live work.
#[tokio::test]
async fn caller_gone() {
    let bench = Bench::start(Kind::Pool, options(ENDLESS_MS)).await;
    let run = bench.run(&[("x-call", "aa-0-0")], "a");
    tokio::select! {
        _ = run => unreachable!(),
        () = bench.until_load(1, 0) => {}
    }
    bench.until_endings(&["cancelled"]).await;
    bench.until_load(0, 0).await;
}

// A label print loses its caller and is told to cancel. It has started, so it goes on to the end:
// only then does the log tell truly how often a label was printed.
#[tokio::test]
async fn plain_goes_on() {
    let bench = Bench::start(Kind::Plain, options(50.0)).await;
    let run = bench.run(&[("x-call", "aa-0-0")], "a");
    tokio::select! {
        _ = run => unreachable!(),
        () = bench.until_endings(&["running"]) => {}
    }
    assert_eq!(bench.post("/v1/cancel/aa-0-0", json!({})).await, 204);
    bench.until_endings(&["answered"]).await;
}

// A planned stop while a call is at work: the caller still gets its whole answer.
#[tokio::test]
async fn graceful_stop() {
    let mut bench = Bench::start(Kind::Pool, options(50.0)).await;
    let server = bench.server.take().unwrap();
    let stop = async {
        bench.until_endings(&["running"]).await;
        server.stop().await;
    };
    let (response, ()) = tokio::join!(bench.run(&[], "a"), stop);
    assert_eq!(text(response).await, r#"{"text":"rerank(a)"}"#);
    assert!(tokio::net::TcpStream::connect(bench.address).await.is_err());
}

// The runner dies while a call is at work: the caller sees a broken connection and no answer.
#[tokio::test]
async fn sudden_death() {
    let mut bench = Bench::start(Kind::Pool, options(ENDLESS_MS)).await;
    let server = bench.server.take().unwrap();
    let die = async {
        bench.until_load(1, 0).await;
        drop(server);
    };
    let input = json!({"text": "a"});
    let (answer, ()) = tokio::join!(bench.send("POST", "/v1/run", &[], input), die);
    assert!(answer.is_err());
}

// The answer is lost on its way: the caller sees a closed connection, yet the call has run. A blind
// retry would run it twice.
#[tokio::test]
async fn lost_answer() {
    let bench = Bench::start(Kind::Plain, options(0.0)).await;
    bench
        .post("/standin/faults", json!({"lose_answers": 1}))
        .await;
    let input = json!({"text": "a"});
    let lost = bench.send("POST", "/v1/run", &[], input.clone()).await;
    assert!(lost.is_err());
    assert_eq!(bench.post("/v1/run", input).await, 200);
    assert_eq!(bench.endings().await, ["cut", "answered"]);
}

// The runner refuses before it starts. The log stays empty, so that "not run" is true.
#[tokio::test]
async fn refused_call() {
    let bench = Bench::start(Kind::Pool, options(0.0)).await;
    bench.post("/standin/faults", json!({"refuse": true})).await;
    let response = bench.run(&[], "a").await;
    assert_eq!(response.status(), 503);
    assert_eq!(header(&response, "x-not-run"), "1");
    assert!(bench.endings().await.is_empty());
}

// A fault that does not exist is asked for: a typing error must not pass as a sound stand-in.
#[tokio::test]
async fn unknown_fault() {
    let bench = Bench::start(Kind::Pool, options(0.0)).await;
    assert_eq!(
        bench.post("/standin/faults", json!({"dwon": true})).await,
        400
    );
}
