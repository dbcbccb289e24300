//! Every caller gets its own complete answer, despite faults of runners, links and connections.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{CALLER_TIMEOUT, run, spawn, wait_for_runs};
use ctl::rig::bench::Bench;
use ctl::rig::caller::{ClientRequest, ResponseOutcome};
use ctl::rig::probe::{set_faults, wait_for_target};
use ctl::rig::proxy::Mode;
use ctl::rig::record::{ASSISTANT, CHECK, DRAFT, POOLS, PRINT, READ, REPORT, drain};
use ctl::rig::runner::Plan;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Starts one entry and two runners of a service.
async fn start_pair(bench: &mut Bench, service: &str, time: f64) -> SocketAddr {
    let entry = bench.entry("entry-1").await.unwrap();
    for id in ["one", "two"] {
        let plan = Plan::new(service, 8).time(time).behind_proxy();
        bench.runner(id, plan).await.unwrap();
    }
    bench.ready().await.unwrap();
    entry
}

/// Drains one runner of a pair, so that new work goes to the other one.
async fn drain_runner(bench: &mut Bench, entry: SocketAddr, other: &str) {
    bench.apply(entry, &[drain(other)]).await.unwrap();
    wait_for_target(entry, other, "drained").await.unwrap();
}

/// Ends the drain, so that both runners of a pair get new work again.
async fn undrain_runner(bench: &mut Bench, entry: SocketAddr, other: &str) {
    let key = format!("drain/{other}");
    bench.delete(entry, &[&key]).await.unwrap();
    wait_for_target(entry, other, "live").await.unwrap();
}

async fn break_runner(bench: &Bench, id: &str, faults: Value) {
    let runner = bench.get(id).unwrap();
    set_faults(runner.address, &faults).await.unwrap();
}

/// Injects a fault into the answers of one runner of a pair, and sends requests until that runner
/// has executed one.
async fn check_answers(bench: &Bench, entry: SocketAddr, kind: &str, request: ClientRequest) {
    break_runner(bench, "one", json!({kind: true})).await;
    let broken = bench.get("one").unwrap();
    let before = broken.log().await.len();
    while broken.log().await.len() == before {
        let record = request.send_until_final(&[entry], CALLER_TIMEOUT).await;
        assert!(record.last().unwrap().is_whole(), "{kind}: {record:?}");
    }
}

/// Guards against answers of other calls and incomplete answers that reach a caller: a runner swaps
/// its answers, interrupts, truncates or loses them. Each caller gets its own answer from the other
/// runner instead.
#[test]
fn broken_answers() {
    run("broken-answers", async |mut bench| {
        let entry = start_pair(&mut bench, REPORT, 1.0).await;
        for kind in ["cross", "cut", "truncate", "lose_answers"] {
            check_answers(&bench, entry, kind, ClientRequest::new(READ, kind)).await;
        }
    });
}

/// An answer that arrives long after the deadline is delivered anyway and marked as late.
#[test]
fn late_answers() {
    run("late-answers", async |mut bench| {
        let entry = start_pair(&mut bench, REPORT, 1.0).await;
        for id in ["one", "two"] {
            break_runner(&bench, id, json!({"late_ms": 400})).await;
        }
        let mut request = ClientRequest::new(READ, "late");
        request.deadline = Duration::from_millis(50);
        let response = request.once(entry).await;
        assert!(
            matches!(response, ResponseOutcome::Whole { late: true, .. }),
            "{response:?}"
        );
    });
}

/// Guards against missing or repeated tokens: an engine interrupts streams, ends them without an
/// end event or sends every token twice. The stream is resumed at the other engine from the next
/// token.
#[test]
fn broken_streams() {
    run("broken-streams", async |mut bench| {
        let entry = start_pair(&mut bench, ASSISTANT, 2.0).await;
        for kind in ["cut", "truncate", "double", "cross"] {
            let request = ClientRequest::new(DRAFT, kind).streamed(20);
            check_answers(&bench, entry, kind, request).await;
        }
    });
}

/// The engine crashes in the middle of a stream. The stream is resumed at another engine without
/// missing or repeated tokens.
#[test]
fn engine_killed() {
    run("engine-dies", async |mut bench| {
        let entry = start_pair(&mut bench, ASSISTANT, 10.0).await;
        drain_runner(&mut bench, entry, "two").await;
        let request = ClientRequest::new(DRAFT, "half way").streamed(60);
        let mut stream = request.open(entry).await.unwrap();
        stream.read(10).await.unwrap();
        undrain_runner(&mut bench, entry, "two").await;
        bench.crash_runner("one").await.unwrap();
        assert!(stream.finish().await.is_whole());
        let resumed = bench.get("two").unwrap().log().await;
        assert!(resumed[0].resume >= 10, "{resumed:?}");
    });
}

/// The agent of the streaming engine is killed in the middle of a stream. As after a crash of the
/// engine, the stream is resumed at another engine.
#[test]
fn agent_killed() {
    run("agent-dies", async |mut bench| {
        let entry = start_pair(&mut bench, ASSISTANT, 10.0).await;
        drain_runner(&mut bench, entry, "two").await;
        let request = ClientRequest::new(DRAFT, "half way").streamed(60);
        let mut stream = request.open(entry).await.unwrap();
        stream.read(10).await.unwrap();
        undrain_runner(&mut bench, entry, "two").await;
        bench.kill("one").await.unwrap();
        assert!(stream.finish().await.is_whole());
    });
}

/// A caller's connection breaks in the middle of a stream, and the load balancer routes its retry
/// to either entry. The stream is resumed after the last token that the caller received.
#[test]
fn caller_reconnects() {
    run("caller-returns", async |mut bench| {
        let other = bench.entry("entry-2").await.unwrap();
        let entry = start_pair(&mut bench, ASSISTANT, 10.0).await;
        let request = ClientRequest::new(DRAFT, "broken off").streamed(60);
        let mut stream = request.open(entry).await.unwrap();
        stream.read(5).await.unwrap();
        stream.resume(other).await.unwrap();
        stream.read(20).await.unwrap();
        stream.resume(entry).await.unwrap();
        assert!(stream.finish().await.is_whole());
        assert_eq!(bench.executions(ASSISTANT).await.len(), 1);
    });
}

/// The link between an entry and an agent is closed, or stops responding without being closed, in
/// the middle of a stream. The stream is resumed after a short delay without a gap.
#[test]
fn stream_link_lost() {
    run("link-lost", async |mut bench| {
        let entry = start_pair(&mut bench, ASSISTANT, 20.0).await;
        drain_runner(&mut bench, entry, "two").await;
        for mode in [Mode::Cut, Mode::Freeze] {
            let request = ClientRequest::new(DRAFT, format!("{mode:?}")).streamed(40);
            let mut stream = request.open(entry).await.unwrap();
            stream.read(5).await.unwrap();
            bench.get("one").unwrap().proxy.as_ref().unwrap().set(mode);
            wait_for_target(entry, "one", "unlinked").await.unwrap();
            bench
                .get("one")
                .unwrap()
                .proxy
                .as_ref()
                .unwrap()
                .set(Mode::Pass);
            let response = stream.finish().await;
            assert!(response.is_whole(), "{mode:?}: {response:?}");
            wait_for_target(entry, "one", "live").await.unwrap();
        }
    });
}

/// Guards against a second execution of a call that must not be retried: the link to the agent is
/// closed, or stops responding, during the call. The answer is fetched once the link is back.
#[test]
fn label_link_lost() {
    run("label-link-lost", async |mut bench| {
        let entry = bench.entry("entry-1").await.unwrap();
        let plan = Plan::new("label", 4).time(300.0).behind_proxy();
        bench.runner("printer", plan).await.unwrap();
        bench.ready().await.unwrap();
        for (runs, mode) in [(1, Mode::Cut), (2, Mode::Freeze)] {
            let request = ClientRequest::new(PRINT, format!("{mode:?}")).key(format!("{mode:?}"));
            let callers = spawn([request.clone()], &[entry]);
            wait_for_runs(&bench, "label", runs).await;
            bench
                .get("printer")
                .unwrap()
                .proxy
                .as_ref()
                .unwrap()
                .set(mode);
            wait_for_target(entry, "printer", "unlinked").await.unwrap();
            bench
                .get("printer")
                .unwrap()
                .proxy
                .as_ref()
                .unwrap()
                .set(Mode::Pass);
            for caller in callers {
                let (_, record) = caller.await.unwrap();
                assert!(record.last().unwrap().is_whole(), "{mode:?}: {record:?}");
            }
            assert_eq!(bench.executions("label").await.len(), runs);
        }
    });
}

/// The links to the agents of a pipeline with four stages are slow, and one runner swaps its
/// answers. Each caller still gets its own answer, streamed or not.
#[test]
fn four_stages() {
    run("four-stages", async |mut bench| {
        let entry = bench.entry("entry-1").await.unwrap();
        let [encoder, retriever, reranker] = POOLS;
        for (id, service) in [
            ("encoder-1", encoder),
            ("retriever-1", retriever),
            ("retriever-2", retriever),
            ("reranker-1", reranker),
            ("assistant-1", ASSISTANT),
        ] {
            let plan = Plan::new(service, 8).time(1.0).behind_proxy();
            bench.runner(id, plan).await.unwrap();
        }
        bench.ready().await.unwrap();
        for runner in &bench.runners {
            let delay = Mode::Delay(Duration::from_millis(2));
            runner.proxy.as_ref().unwrap().set(delay);
        }
        break_runner(&bench, "retriever-1", json!({"cross": true})).await;
        let requests = (0..10).map(|number| {
            let request = ClientRequest::new(CHECK, format!("loom {number}"));
            if number % 2 == 0 {
                request.streamed(8)
            } else {
                request
            }
        });
        for request in requests {
            let record = request.send_until_final(&[entry], CALLER_TIMEOUT).await;
            assert!(record.last().unwrap().is_whole(), "{record:?}");
        }
    });
}
