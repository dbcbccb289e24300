//! Two faults together.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{PATIENCE, check, run, spawn, until_idle, until_runs};
use ctl::error::Outcome;
use ctl::fleet::Signal;
use ctl::rig::bench::Bench;
use ctl::rig::caller::{ClientRequest, ResponseOutcome};
use ctl::rig::probe::{get, set_faults, status, wait_for_target, wait_until};
use ctl::rig::proxy::Mode;
use ctl::rig::record::{ASSISTANT, DRAFT, LABEL, PRINT};
use ctl::rig::runner::Plan;
use serde_json::{Value, json};
use std::net::SocketAddr;

fn print(name: &str) -> ClientRequest {
    ClientRequest::new(PRINT, name).key(name)
}

/// Two entries and a label printer behind a relay.
async fn start(bench: &mut Bench, time: f64) -> [SocketAddr; 2] {
    let first = bench.entry("entry-1").await.unwrap();
    let second = bench.entry("entry-2").await.unwrap();
    let plan = Plan::new(LABEL, 1).time(time).behind_proxy();
    bench.runner("printer", plan).await.unwrap();
    bench.ready().await.unwrap();
    [first, second]
}

async fn until_offered(entry: SocketAddr) {
    wait_until("a call is offered", || async {
        let status = status(entry).await.unwrap_or_default();
        status["targets"][0]["in_flight"].as_u64() == Some(1)
    })
    .await
    .unwrap();
}

/// The table service goes down while a label prints and another waits, and then their agent dies.
/// What prints can only be told as "unknown"; what waits is printed by the restarted agent, once,
/// though its answer cannot be noted; a caller with the same key gets that answer at either entry.
#[test]
fn store_and_agent() {
    run("store-and-agent", async |mut bench| {
        let [first, second] = start(&mut bench, 500.0).await;
        let printing = spawn([print("printing")], &[first]);
        until_runs(&bench, LABEL, 1).await;
        let waiting = spawn([print("waiting")], &[second]);
        until_offered(second).await;
        set_faults(bench.table.address(), &json!({"down": true}))
            .await
            .unwrap();
        bench.kill("printer").await.unwrap();
        bench.restart_agent("printer").await.unwrap();
        for caller in printing {
            let (ask, word) = caller.await.unwrap();
            assert_eq!(word.last().unwrap().outcome(), Some(Outcome::Unknown));
            check(&bench, LABEL, &ask, &word).await;
        }
        for caller in waiting {
            let (ask, word) = caller.await.unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
            check(&bench, LABEL, &ask, &word).await;
        }
        set_faults(bench.table.address(), &json!({})).await.unwrap();
        for entry in [first, second] {
            let word = print("waiting").send_until_final(&[entry], PATIENCE).await;
            assert!(word.last().unwrap().is_whole(), "{word:?}");
        }
        until_idle(&bench, LABEL).await;
        assert_eq!(bench.executions(LABEL).await.len(), 2);
    });
}

/// An agent freezes with a label in its queue, and the entry that sent it dies. When the agent wakes
/// up, nobody is there to let the label start. A caller who sends the key to the other entry is told
/// "unknown", since that entry cannot tell, and the label is not printed twice.
#[test]
fn entry_and_agent() {
    run("entry-and-agent", async |mut bench| {
        let [first, second] = start(&mut bench, 400.0).await;
        let printing = spawn([print("printing")], &[second]);
        until_runs(&bench, LABEL, 1).await;
        let waiting = spawn([print("waiting")], &[first, second]);
        until_offered(first).await;
        bench.fleet.signal("printer", Signal::Stop).unwrap();
        bench.kill("entry-1").await.unwrap();
        for caller in waiting {
            let (ask, word) = caller.await.unwrap();
            assert_eq!(word.last().unwrap().outcome(), Some(Outcome::Unknown));
            check(&bench, LABEL, &ask, &word).await;
        }
        bench.fleet.signal("printer", Signal::Continue).unwrap();
        for caller in printing {
            let (ask, word) = caller.await.unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
            check(&bench, LABEL, &ask, &word).await;
        }
        let after = print("after").send_until_final(&[second], PATIENCE).await;
        assert!(after.last().unwrap().is_whole(), "{after:?}");
        assert_eq!(bench.executions(LABEL).await.len(), 2);
    });
}

/// The link to the printer's agent is cut again and again while the table service loses its answers.
/// Neither side knows for a while what the other holds; every label comes out once.
#[test]
fn link_and_store() {
    run("link-and-store", async |mut bench| {
        let entries = start(&mut bench, 30.0).await;
        set_faults(bench.table.address(), &json!({"lose_answers": 0.4}))
            .await
            .unwrap();
        let asks = (0..16).map(|number| print(&format!("label-{number}")));
        let callers = spawn(asks, &entries);
        for runs in [2, 5, 8, 11] {
            until_runs(&bench, LABEL, runs).await;
            let relay = bench.get("printer").unwrap().proxy.as_ref().unwrap();
            relay.set(Mode::Cut);
            for entry in entries {
                wait_for_target(entry, "printer", "unlinked").await.unwrap();
            }
            relay.set(Mode::Pass);
        }
        for caller in callers {
            let (ask, word) = caller.await.unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
            check(&bench, LABEL, &ask, &word).await;
        }
    });
}

/// An entry is asked to stop while the engine that streams a draft through it is frozen. It waits
/// for the stream, which goes on at another engine, and ends only when its reader has all of it.
#[test]
fn stop_and_freeze() {
    run("stop-and-freeze", async |mut bench| {
        let entry = bench.entry("entry-1").await.unwrap();
        let plan = Plan::new(ASSISTANT, 8).time(10.0);
        bench.runner("one", plan.clone()).await.unwrap();
        bench.ready().await.unwrap();
        let ask = ClientRequest::new(DRAFT, "held up").streamed(60);
        let mut stream = ask.open(entry).await.unwrap();
        stream.read(5).await.unwrap();
        bench.fleet.signal("one", Signal::Stop).unwrap();
        bench.fleet.signal("entry-1", Signal::Terminate).unwrap();
        bench.runner("two", plan).await.unwrap();
        let told = stream.finish().await;
        assert!(told.is_whole(), "{told:?}");
        assert!(bench.wait_for_exit("entry-1").await.unwrap());
        bench.fleet.signal("one", Signal::Continue).unwrap();
    });
}

/// An agent is asked to stop while its link has gone silent. The draft that it streams goes on at
/// another engine; the agent ends all the same, since nobody can take its answer any more.
#[test]
fn stop_and_cut() {
    run("stop-and-cut", async |mut bench| {
        let entry = bench.entry("entry-1").await.unwrap();
        let plan = Plan::new(ASSISTANT, 8).time(10.0).behind_proxy();
        bench.runner("one", plan.clone()).await.unwrap();
        bench.ready().await.unwrap();
        let ask = ClientRequest::new(DRAFT, "cut off").streamed(60);
        let mut stream = ask.open(entry).await.unwrap();
        stream.read(5).await.unwrap();
        bench
            .get("one")
            .unwrap()
            .proxy
            .as_ref()
            .unwrap()
            .set(Mode::Freeze);
        bench.fleet.signal("one", Signal::Terminate).unwrap();
        bench.runner("two", plan).await.unwrap();
        let told = stream.finish().await;
        assert!(told.is_whole(), "{told:?}");
        assert!(bench.wait_for_exit("one").await.unwrap());
    });
}

/// The entry that a key's answer is kept at dies while the object store is down. The key's next
/// caller is told "unknown" and not "not run"; once the store is back, a kept answer is there whole.
#[test]
fn entry_and_objects() {
    run("entry-and-objects", async |mut bench| {
        let [first, second] = start(&mut bench, 10.0).await;
        let ask = print("kept");
        assert!(ask.once(first).await.is_whole());
        let claim = "/v1/rows/claim?key=4:yard:kept";
        wait_until("the answer is kept", || async {
            let row: Value = get(bench.table.address(), claim).await.unwrap();
            row["value"]["progress"] == "answered"
        })
        .await
        .unwrap();
        set_faults(bench.objects.address(), &json!({"down": true}))
            .await
            .unwrap();
        bench.kill("entry-1").await.unwrap();
        let told = ask.once(second).await;
        assert_eq!(told.outcome(), Some(Outcome::Unknown), "{told:?}");
        set_faults(bench.objects.address(), &json!({}))
            .await
            .unwrap();
        let told = ask.once(second).await;
        assert_eq!(
            told,
            ResponseOutcome::Whole {
                late: false,
                serial: Some(1)
            }
        );
        assert_eq!(bench.executions(LABEL).await.len(), 1);
    });
}
