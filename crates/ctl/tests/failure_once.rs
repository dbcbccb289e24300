//! Calls that must not run twice, while processes crash or are suspended and the table service
//! fails.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{CALLER_TIMEOUT, check_outcome, run, spawn, wait_for_runs, wait_until_idle};
use ctl::error::Outcome;
use ctl::fleet::Signal;
use ctl::rig::bench::Bench;
use ctl::rig::caller::{ClientRequest, ResponseOutcome};
use ctl::rig::probe::{set_faults, status, wait_until};
use ctl::rig::record::{LABEL, PRINT};
use ctl::rig::runner::Plan;
use futures::future::join_all;
use serde_json::json;
use standin::{Kind, Options};
use std::net::SocketAddr;

fn print_request(name: &str) -> ClientRequest {
    ClientRequest::new(PRINT, name).key(name)
}

/// Starts two entries and one label runner with the given execution time in milliseconds.
async fn start(bench: &mut Bench, time: f64) -> [SocketAddr; 2] {
    let first = bench.entry("entry-1").await.unwrap();
    let second = bench.entry("entry-2").await.unwrap();
    let plan = Plan::new(LABEL, 1).time(time);
    bench.runner("label-1", plan).await.unwrap();
    bench.ready().await.unwrap();
    [first, second]
}

/// Waits until an entry has offered a call, which is queued in the agent behind another entry's.
async fn wait_for_offer(entry: SocketAddr) {
    wait_until("a call is offered", || async {
        let status = status(entry).await.unwrap_or_default();
        status["targets"][0]["in_flight"].as_u64() == Some(1)
    })
    .await
    .unwrap();
}

/// Guards against duplicate executions after a crash of the agent: the agent of the only runner is
/// killed while one call runs and others are queued. The restarted agent has no state, and the
/// runner continues the call, so reporting "not run" or retrying it would print the label twice.
#[test]
fn agent_killed() {
    run("agent-killed", async |mut bench| {
        let [entry, other] = start(&mut bench, 700.0).await;
        let printing = print_request("running");
        let caller = spawn([printing.clone()], &[entry]);
        wait_for_runs(&bench, LABEL, 1).await;
        let waiting = (0..4).map(|number| print_request(&format!("waiting-{number}")));
        let waiting = spawn(waiting, &[other]);
        wait_for_offer(other).await;
        bench.kill("label-1").await.unwrap();
        bench.restart_agent("label-1").await.unwrap();
        for caller in waiting {
            let (request, record) = caller.await.unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
            check_outcome(&bench, LABEL, &request, &record).await;
        }
        for caller in caller {
            let (request, record) = caller.await.unwrap();
            assert_eq!(record.last().unwrap().outcome(), Some(Outcome::Unknown));
            check_outcome(&bench, LABEL, &request, &record).await;
        }
        let again = printing.send_until_final(&[other], CALLER_TIMEOUT).await;
        assert_eq!(again.last().unwrap().outcome(), Some(Outcome::Unknown));
        check_outcome(&bench, LABEL, &printing, &again).await;
    });
}

/// Guards against duplicate executions by a resumed agent: the agent is suspended while one call
/// runs and others are queued, and the entry moves the queued calls to another agent. The resumed
/// agent must not act on its old offers.
#[test]
fn agent_frozen() {
    run("agent-frozen", async |mut bench| {
        let [entry, other] = start(&mut bench, 500.0).await;
        let running = spawn([print_request("running")], &[entry]);
        wait_for_runs(&bench, LABEL, 1).await;
        let waiting = (0..4).map(|number| print_request(&format!("waiting-{number}")));
        let waiting = spawn(waiting, &[other]);
        wait_for_offer(other).await;
        bench.fleet.signal("label-1", Signal::Stop).unwrap();
        let plan = Plan::new(LABEL, 1).time(20.0);
        bench.runner("label-2", plan).await.unwrap();
        for caller in waiting {
            let (request, record) = caller.await.unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
            check_outcome(&bench, LABEL, &request, &record).await;
        }
        bench.fleet.signal("label-1", Signal::Continue).unwrap();
        for caller in running {
            let (request, record) = caller.await.unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
            check_outcome(&bench, LABEL, &request, &record).await;
        }
        bench.wait_for_links().await.unwrap();
        wait_until_idle(&bench, LABEL).await;
        assert_eq!(bench.executions(LABEL).await.len(), 5);
    });
}

/// The entry that claimed a key is killed during the call, and the caller sends the same key to the
/// other entry. That entry cannot know whether the call ran: it must not run it again, and reports
/// "unknown" rather than "not run".
#[test]
fn entry_killed() {
    run("entry-killed", async |mut bench| {
        let [first, second] = start(&mut bench, 700.0).await;
        let request = print_request("claimed");
        let caller = spawn([request.clone()], &[first, second]);
        wait_for_runs(&bench, LABEL, 1).await;
        bench.kill("entry-1").await.unwrap();
        for caller in caller {
            let (request, record) = caller.await.unwrap();
            assert_eq!(record.last().unwrap().outcome(), Some(Outcome::Unknown));
            check_outcome(&bench, LABEL, &request, &record).await;
        }
        wait_until_idle(&bench, LABEL).await;
        assert_eq!(bench.executions(LABEL).await.len(), 1);
    });
}

/// The entry that claimed a key is suspended during the call. A caller that sends the same key to
/// the other entry must get a response in limited time, although the suspended entry may never
/// resume; after it has resumed, the key's answer is available.
#[test]
fn entry_frozen() {
    run("entry-frozen", async |mut bench| {
        let [first, second] = start(&mut bench, 700.0).await;
        let request = print_request("claimed");
        let caller = spawn([request.clone()], &[first]);
        wait_for_runs(&bench, LABEL, 1).await;
        bench.fleet.signal("entry-1", Signal::Stop).unwrap();
        let response = request.once(second).await;
        assert_eq!(response.outcome(), Some(Outcome::Unknown), "{response:?}");
        bench.fleet.signal("entry-1", Signal::Continue).unwrap();
        for caller in caller {
            let (request, record) = caller.await.unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
            check_outcome(&bench, LABEL, &request, &record).await;
        }
        assert!(request.once(second).await.is_whole());
        assert_eq!(bench.executions(LABEL).await.len(), 1);
    });
}

/// Many callers send the same key to both entries concurrently, like a double click behind a load
/// balancer. A single execution answers all of them.
#[test]
fn racing_callers() {
    run("racing-callers", async |mut bench| {
        let entries = start(&mut bench, 100.0).await;
        let request = print_request("raced");
        let callers = (0..16).map(|number| request.once(entries[number % 2]));
        for response in join_all(callers).await {
            assert_eq!(
                response,
                ResponseOutcome::Whole {
                    late: false,
                    serial: Some(1)
                }
            );
        }
        assert_eq!(bench.executions(LABEL).await.len(), 1);
    });
}

/// The table service writes claims and answers, but its responses are lost, so that the entry does
/// not know whether it holds a key. Giving up would leave keys claimed forever; claiming them again
/// would run calls twice.
#[test]
fn answers_lost() {
    run("answers-lost", async |mut bench| {
        let entries = start(&mut bench, 1.0).await;
        let faults = json!({"lose_answers": 0.5});
        set_faults(bench.table.address(), &faults).await.unwrap();
        let requests = (0..24).map(|number| print_request(&format!("label-{number}")));
        for caller in spawn(requests, &entries) {
            let (request, record) = caller.await.unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
            check_outcome(&bench, LABEL, &request, &record).await;
        }
    });
}

/// The table service is down, and then so slow that each response arrives after the entry's
/// timeout. No key can be claimed: the entry reports "not run" with a retry delay, nothing runs,
/// and the same key runs once when the service is back.
#[test]
fn table_down() {
    run("table-down", async |mut bench| {
        let [first, second] = start(&mut bench, 1.0).await;
        for (name, faults) in [
            ("down", json!({"down": true})),
            ("slow", json!({"slow_ms": 2500})),
        ] {
            let request = print_request(name);
            set_faults(bench.table.address(), &faults).await.unwrap();
            let response = request.once(first).await;
            let ResponseOutcome::Problem(problem) = response else {
                panic!("{response:?}")
            };
            assert_eq!(problem.outcome, Some(Outcome::NotRun));
            assert!(problem.retry_after.is_some());
            assert_eq!(bench.runs(LABEL, &request.input()).await, 0);
            set_faults(bench.table.address(), &json!({})).await.unwrap();
            let record = request
                .send_until_final(&[second, first], CALLER_TIMEOUT)
                .await;
            assert!(record.last().unwrap().is_whole(), "{record:?}");
            check_outcome(&bench, LABEL, &request, &record).await;
        }
    });
}

/// The table service accepts far fewer writes than there are callers. Callers whose writes it
/// refuses wait or get "not run" with a retry delay; no call runs twice or is lost.
#[test]
fn table_limited() {
    run("table-limited", async |mut bench| {
        let options = Options {
            writes_per_second: 10.0,
            ..Options::default()
        };
        let free = "127.0.0.1:0".parse().unwrap();
        bench.table = standin::start(Kind::Table, free, options).await.unwrap();
        let entries = start(&mut bench, 1.0).await;
        let requests = (0..40).map(|number| print_request(&format!("label-{number}")));
        for caller in spawn(requests, &entries) {
            let (request, record) = caller.await.unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
            check_outcome(&bench, LABEL, &request, &record).await;
        }
    });
}
