//! Every caller gets its own whole answer, whatever runners, links and connections do.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{PATIENCE, run, spawn, until_runs};
use ctl::rig::bench::Bench;
use ctl::rig::caller::{ClientRequest, ResponseOutcome};
use ctl::rig::probe::{set_faults, wait_for_target};
use ctl::rig::proxy::Mode;
use ctl::rig::record::{ASSISTANT, CHECK, DRAFT, POOLS, PRINT, READ, REPORT, drain};
use ctl::rig::runner::Plan;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// One entry and two runners of a service.
async fn pair(bench: &mut Bench, service: &str, time: f64) -> SocketAddr {
    let entry = bench.entry("entry-1").await.unwrap();
    for id in ["one", "two"] {
        let plan = Plan::new(service, 8).time(time).behind_proxy();
        bench.runner(id, plan).await.unwrap();
    }
    bench.ready().await.unwrap();
    entry
}

/// Leaves new work to one runner of a pair, so that the test knows where it goes.
async fn only(bench: &mut Bench, entry: SocketAddr, other: &str) {
    bench.apply(entry, &[drain(other)]).await.unwrap();
    wait_for_target(entry, other, "drained").await.unwrap();
}

/// Lets both runners of a pair have new work again.
async fn both(bench: &mut Bench, entry: SocketAddr, other: &str) {
    let key = format!("drain/{other}");
    bench.delete(entry, &[&key]).await.unwrap();
    wait_for_target(entry, other, "live").await.unwrap();
}

async fn break_runner(bench: &Bench, id: &str, faults: Value) {
    let runner = bench.get(id).unwrap();
    set_faults(runner.address, &faults).await.unwrap();
}

/// Breaks the answers of one runner of a pair, and asks until it has given one.
async fn all_whole(bench: &Bench, entry: SocketAddr, kind: &str, ask: ClientRequest) {
    break_runner(bench, "one", json!({kind: true})).await;
    let broken = bench.get("one").unwrap();
    let before = broken.log().await.len();
    while broken.log().await.len() == before {
        let word = ask.send_until_final(&[entry], PATIENCE).await;
        assert!(word.last().unwrap().is_whole(), "{kind}: {word:?}");
    }
}

/// A runner mixes up its answers, breaks them off, sends them short or loses them. A caller who
/// got one of them would rework the wrong loom, or half of it; each gets its own answer from the
/// other runner instead.
#[test]
fn broken_answers() {
    run("broken-answers", async |mut bench| {
        let entry = pair(&mut bench, REPORT, 1.0).await;
        for kind in ["cross", "cut", "truncate", "lose_answers"] {
            all_whole(&bench, entry, kind, ClientRequest::new(READ, kind)).await;
        }
    });
}

/// A runner's answer comes long after the deadline. The caller would rather have it late than
/// never, and it says that it is late.
#[test]
fn late_answers() {
    run("late-answers", async |mut bench| {
        let entry = pair(&mut bench, REPORT, 1.0).await;
        for id in ["one", "two"] {
            break_runner(&bench, id, json!({"late_ms": 400})).await;
        }
        let mut ask = ClientRequest::new(READ, "late");
        ask.deadline = Duration::from_millis(50);
        let told = ask.once(entry).await;
        assert!(
            matches!(told, ResponseOutcome::Whole { late: true, .. }),
            "{told:?}"
        );
    });
}

/// An engine breaks streams off in the middle, ends them without their end mark or sends every
/// token twice. The reader of a draft would miss words or read some twice; the stream goes on at
/// the other engine from the token that is due.
#[test]
fn broken_streams() {
    run("broken-streams", async |mut bench| {
        let entry = pair(&mut bench, ASSISTANT, 2.0).await;
        for kind in ["cut", "truncate", "double", "cross"] {
            let ask = ClientRequest::new(DRAFT, kind).streamed(20);
            all_whole(&bench, entry, kind, ask).await;
        }
    });
}

/// The engine that streams a draft dies half way. The stream goes on at another engine, and the
/// reader sees neither a gap nor a word twice.
#[test]
fn engine_dies() {
    run("engine-dies", async |mut bench| {
        let entry = pair(&mut bench, ASSISTANT, 10.0).await;
        only(&mut bench, entry, "two").await;
        let ask = ClientRequest::new(DRAFT, "half way").streamed(60);
        let mut stream = ask.open(entry).await.unwrap();
        stream.read(10).await.unwrap();
        both(&mut bench, entry, "two").await;
        bench.crash_runner("one").await.unwrap();
        assert!(stream.finish().await.is_whole());
        let resumed = bench.get("two").unwrap().log().await;
        assert!(resumed[0].resume >= 10, "{resumed:?}");
    });
}

/// The agent beside the engine that streams a draft is killed half way; as when the engine dies,
/// the stream goes on elsewhere.
#[test]
fn agent_dies() {
    run("agent-dies", async |mut bench| {
        let entry = pair(&mut bench, ASSISTANT, 10.0).await;
        only(&mut bench, entry, "two").await;
        let ask = ClientRequest::new(DRAFT, "half way").streamed(60);
        let mut stream = ask.open(entry).await.unwrap();
        stream.read(10).await.unwrap();
        both(&mut bench, entry, "two").await;
        bench.kill("one").await.unwrap();
        assert!(stream.finish().await.is_whole());
    });
}

/// A caller's connection breaks in the middle of a stream, and the balancer brings it to either
/// entry when it comes back. It goes on behind the last token that it has.
#[test]
fn caller_returns() {
    run("caller-returns", async |mut bench| {
        let other = bench.entry("entry-2").await.unwrap();
        let entry = pair(&mut bench, ASSISTANT, 10.0).await;
        let ask = ClientRequest::new(DRAFT, "broken off").streamed(60);
        let mut stream = ask.open(entry).await.unwrap();
        stream.read(5).await.unwrap();
        stream.resume(other).await.unwrap();
        stream.read(20).await.unwrap();
        stream.resume(entry).await.unwrap();
        assert!(stream.finish().await.is_whole());
        assert_eq!(bench.executions(ASSISTANT).await.len(), 1);
    });
}

/// The link between an entry and an agent is cut, or goes silent without being closed, while a
/// draft streams over it. The reader waits a little and reads on without a gap.
#[test]
fn link_lost() {
    run("link-lost", async |mut bench| {
        let entry = pair(&mut bench, ASSISTANT, 20.0).await;
        only(&mut bench, entry, "two").await;
        for mode in [Mode::Cut, Mode::Freeze] {
            let ask = ClientRequest::new(DRAFT, format!("{mode:?}")).streamed(40);
            let mut stream = ask.open(entry).await.unwrap();
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
            let told = stream.finish().await;
            assert!(told.is_whole(), "{mode:?}: {told:?}");
            wait_for_target(entry, "one", "live").await.unwrap();
        }
    });
}

/// The link to a label printer's agent is cut, or goes silent, while a label prints. It may not be
/// printed again: its answer is asked for once the link is back.
#[test]
fn label_link_lost() {
    run("label-link-lost", async |mut bench| {
        let entry = bench.entry("entry-1").await.unwrap();
        let plan = Plan::new("label", 4).time(300.0).behind_proxy();
        bench.runner("printer", plan).await.unwrap();
        bench.ready().await.unwrap();
        for (runs, mode) in [(1, Mode::Cut), (2, Mode::Freeze)] {
            let ask = ClientRequest::new(PRINT, format!("{mode:?}")).key(format!("{mode:?}"));
            let callers = spawn([ask.clone()], &[entry]);
            until_runs(&bench, "label", runs).await;
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
                let (_, word) = caller.await.unwrap();
                assert!(word.last().unwrap().is_whole(), "{mode:?}: {word:?}");
            }
            assert_eq!(bench.executions("label").await.len(), runs);
        }
    });
}

/// The links to the agents of a whole pipeline are slow, and one of its retrievers answers for
/// other calls. Whole and streamed answers are each caller's own all the same.
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
        let asks = (0..10).map(|number| {
            let ask = ClientRequest::new(CHECK, format!("loom {number}"));
            if number % 2 == 0 {
                ask.streamed(8)
            } else {
                ask
            }
        });
        for ask in asks {
            let word = ask.send_until_final(&[entry], PATIENCE).await;
            assert!(word.last().unwrap().is_whole(), "{word:?}");
        }
    });
}
