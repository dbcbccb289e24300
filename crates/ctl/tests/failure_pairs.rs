//! Combinations of two faults.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{CALLER_TIMEOUT, check_outcome, run, spawn, wait_for_runs, wait_until_idle};
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

fn print_request(name: &str) -> ClientRequest {
    ClientRequest::new(PRINT, name).key(name)
}

/// Starts two entries and a label printer behind a proxy.
async fn start(bench: &mut Bench, time: f64) -> [SocketAddr; 2] {
    let first = bench.entry("entry-1").await.unwrap();
    let second = bench.entry("entry-2").await.unwrap();
    let plan = Plan::new(LABEL, 1).time(time).behind_proxy();
    bench.runner("printer", plan).await.unwrap();
    bench.ready().await.unwrap();
    [first, second]
}

async fn wait_for_offer(entry: SocketAddr) {
    wait_until("a call is offered", || async {
        let status = status(entry).await.unwrap_or_default();
        status["targets"][0]["in_flight"].as_u64() == Some(1)
    })
    .await
    .unwrap();
}

/// The table service goes down while one call runs and another is queued, and then their agent is
/// killed. The running call can only be reported as "unknown". The queued one runs once at the
/// restarted agent, although its answer cannot be recorded, and a caller with the same key gets
/// that answer at either entry.
#[test]
fn store_and_agent() {
    run("store-and-agent", async |mut bench| {
        let [first, second] = start(&mut bench, 500.0).await;
        let printing = spawn([print_request("printing")], &[first]);
        wait_for_runs(&bench, LABEL, 1).await;
        let waiting = spawn([print_request("waiting")], &[second]);
        wait_for_offer(second).await;
        set_faults(bench.table.address(), &json!({"down": true}))
            .await
            .unwrap();
        bench.kill("printer").await.unwrap();
        bench.restart_agent("printer").await.unwrap();
        for caller in printing {
            let (request, record) = caller.await.unwrap();
            assert_eq!(record.last().unwrap().outcome(), Some(Outcome::Unknown));
            check_outcome(&bench, LABEL, &request, &record).await;
        }
        for caller in waiting {
            let (request, record) = caller.await.unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
            check_outcome(&bench, LABEL, &request, &record).await;
        }
        set_faults(bench.table.address(), &json!({})).await.unwrap();
        for entry in [first, second] {
            let record = print_request("waiting")
                .send_until_final(&[entry], CALLER_TIMEOUT)
                .await;
            assert!(record.last().unwrap().is_whole(), "{record:?}");
        }
        wait_until_idle(&bench, LABEL).await;
        assert_eq!(bench.executions(LABEL).await.len(), 2);
    });
}

/// An agent is suspended with a call in its queue, and the entry that sent the call is killed. When
/// the agent resumes, no entry can grant the call. A caller that sends the key to the other entry
/// gets "unknown", since that entry cannot know the outcome, and the call does not run twice.
#[test]
fn entry_and_agent() {
    run("entry-and-agent", async |mut bench| {
        let [first, second] = start(&mut bench, 400.0).await;
        let printing = spawn([print_request("printing")], &[second]);
        wait_for_runs(&bench, LABEL, 1).await;
        let waiting = spawn([print_request("waiting")], &[first, second]);
        wait_for_offer(first).await;
        bench.fleet.signal("printer", Signal::Stop).unwrap();
        bench.kill("entry-1").await.unwrap();
        for caller in waiting {
            let (request, record) = caller.await.unwrap();
            assert_eq!(record.last().unwrap().outcome(), Some(Outcome::Unknown));
            check_outcome(&bench, LABEL, &request, &record).await;
        }
        bench.fleet.signal("printer", Signal::Continue).unwrap();
        for caller in printing {
            let (request, record) = caller.await.unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
            check_outcome(&bench, LABEL, &request, &record).await;
        }
        let after = print_request("after")
            .send_until_final(&[second], CALLER_TIMEOUT)
            .await;
        assert!(after.last().unwrap().is_whole(), "{after:?}");
        assert_eq!(bench.executions(LABEL).await.len(), 2);
    });
}

/// The link to the agent is cut repeatedly while the table service's responses are lost. Neither
/// side knows the state of the other for a while; every call runs once.
#[test]
fn link_and_store() {
    run("link-and-store", async |mut bench| {
        let entries = start(&mut bench, 30.0).await;
        set_faults(bench.table.address(), &json!({"lose_answers": 0.4}))
            .await
            .unwrap();
        let requests = (0..16).map(|number| print_request(&format!("label-{number}")));
        let callers = spawn(requests, &entries);
        for runs in [2, 5, 8, 11] {
            wait_for_runs(&bench, LABEL, runs).await;
            let relay = bench.get("printer").unwrap().proxy.as_ref().unwrap();
            relay.set(Mode::Cut);
            for entry in entries {
                wait_for_target(entry, "printer", "unlinked").await.unwrap();
            }
            relay.set(Mode::Pass);
        }
        for caller in callers {
            let (request, record) = caller.await.unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
            check_outcome(&bench, LABEL, &request, &record).await;
        }
    });
}

/// An entry is stopped while the engine that streams through it is suspended. The entry waits for
/// the stream, which is resumed at another engine, and exits only when the reader has received all
/// of it.
#[test]
fn stop_and_freeze() {
    run("stop-and-freeze", async |mut bench| {
        let entry = bench.entry("entry-1").await.unwrap();
        let plan = Plan::new(ASSISTANT, 8).time(10.0);
        bench.runner("one", plan.clone()).await.unwrap();
        bench.ready().await.unwrap();
        let request = ClientRequest::new(DRAFT, "held up").streamed(60);
        let mut stream = request.open(entry).await.unwrap();
        stream.read(5).await.unwrap();
        bench.fleet.signal("one", Signal::Stop).unwrap();
        bench.fleet.signal("entry-1", Signal::Terminate).unwrap();
        bench.runner("two", plan).await.unwrap();
        let response = stream.finish().await;
        assert!(response.is_whole(), "{response:?}");
        assert!(bench.wait_for_exit("entry-1").await.unwrap());
        bench.fleet.signal("one", Signal::Continue).unwrap();
    });
}

/// An agent is stopped while its link does not respond. Its stream is resumed at another engine,
/// and the agent exits anyway, since no entry can receive its answer any more.
#[test]
fn stop_and_cut() {
    run("stop-and-cut", async |mut bench| {
        let entry = bench.entry("entry-1").await.unwrap();
        let plan = Plan::new(ASSISTANT, 8).time(10.0).behind_proxy();
        bench.runner("one", plan.clone()).await.unwrap();
        bench.ready().await.unwrap();
        let request = ClientRequest::new(DRAFT, "cut off").streamed(60);
        let mut stream = request.open(entry).await.unwrap();
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
        let response = stream.finish().await;
        assert!(response.is_whole(), "{response:?}");
        assert!(bench.wait_for_exit("one").await.unwrap());
    });
}

/// The entry that stores a key's answer is killed while the object store is down. The next caller
/// with this key gets "unknown" and not "not run"; once the store is back, a stored answer is
/// returned completely.
#[test]
fn entry_and_objects() {
    run("entry-and-objects", async |mut bench| {
        let [first, second] = start(&mut bench, 10.0).await;
        let request = print_request("kept");
        assert!(request.once(first).await.is_whole());
        let claim = "/v1/rows/claim?key=4:yard:kept";
        wait_until("the answer is stored", || async {
            let row: Value = get(bench.table.address(), claim).await.unwrap();
            row["value"]["progress"] == "answered"
        })
        .await
        .unwrap();
        set_faults(bench.objects.address(), &json!({"down": true}))
            .await
            .unwrap();
        bench.kill("entry-1").await.unwrap();
        let response = request.once(second).await;
        assert_eq!(response.outcome(), Some(Outcome::Unknown), "{response:?}");
        set_faults(bench.objects.address(), &json!({}))
            .await
            .unwrap();
        let response = request.once(second).await;
        assert_eq!(
            response,
            ResponseOutcome::Whole {
                late: false,
                serial: Some(1)
            }
        );
        assert_eq!(bench.executions(LABEL).await.len(), 1);
    });
}
