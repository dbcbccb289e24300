//! Calls that may not be repeated, while processes die or freeze and the table service fails.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{PATIENCE, check, run, spawn, until_idle, until_runs};
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

fn print(name: &str) -> ClientRequest {
    ClientRequest::new(PRINT, name).key(name)
}

/// Two entries and one label runner that prints for so many milliseconds.
async fn start(bench: &mut Bench, time: f64) -> [SocketAddr; 2] {
    let first = bench.entry("entry-1").await.unwrap();
    let second = bench.entry("entry-2").await.unwrap();
    let plan = Plan::new(LABEL, 1).time(time);
    bench.runner("label-1", plan).await.unwrap();
    bench.ready().await.unwrap();
    [first, second]
}

/// Waits until an entry has offered a call, which waits in the agent behind another entry's.
async fn until_offered(entry: SocketAddr) {
    wait_until("a call is offered", || async {
        let status = status(entry).await.unwrap_or_default();
        status["targets"][0]["in_flight"].as_u64() == Some(1)
    })
    .await
    .unwrap();
}

/// The agent of the only label runner is killed while one label prints and others wait behind it.
/// The agent remembers nothing, and the printer goes on printing. A user who is told "not run" or
/// is sent to the restarted agent without care gets a label twice.
#[test]
fn agent_killed() {
    run("agent-killed", async |mut bench| {
        let [entry, other] = start(&mut bench, 700.0).await;
        let printing = print("running");
        let caller = spawn([printing.clone()], &[entry]);
        until_runs(&bench, LABEL, 1).await;
        let waiting = (0..4).map(|number| print(&format!("waiting-{number}")));
        let waiting = spawn(waiting, &[other]);
        until_offered(other).await;
        bench.kill("label-1").await.unwrap();
        bench.restart_agent("label-1").await.unwrap();
        for caller in waiting {
            let (ask, word) = caller.await.unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
            check(&bench, LABEL, &ask, &word).await;
        }
        for caller in caller {
            let (ask, word) = caller.await.unwrap();
            assert_eq!(word.last().unwrap().outcome(), Some(Outcome::Unknown));
            check(&bench, LABEL, &ask, &word).await;
        }
        let again = printing.send_until_final(&[other], PATIENCE).await;
        assert_eq!(again.last().unwrap().outcome(), Some(Outcome::Unknown));
        check(&bench, LABEL, &printing, &again).await;
    });
}

/// An agent's VM freezes while a label prints and others wait in the agent. The entry gives the
/// waiting ones to another agent after a while; then the frozen one wakes up with its old offers.
/// If it acted on them, those labels would come out of both printers.
#[test]
fn agent_frozen() {
    run("agent-frozen", async |mut bench| {
        let [entry, other] = start(&mut bench, 500.0).await;
        let running = spawn([print("running")], &[entry]);
        until_runs(&bench, LABEL, 1).await;
        let waiting = (0..4).map(|number| print(&format!("waiting-{number}")));
        let waiting = spawn(waiting, &[other]);
        until_offered(other).await;
        bench.fleet.signal("label-1", Signal::Stop).unwrap();
        let plan = Plan::new(LABEL, 1).time(20.0);
        bench.runner("label-2", plan).await.unwrap();
        for caller in waiting {
            let (ask, word) = caller.await.unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
            check(&bench, LABEL, &ask, &word).await;
        }
        bench.fleet.signal("label-1", Signal::Continue).unwrap();
        for caller in running {
            let (ask, word) = caller.await.unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
            check(&bench, LABEL, &ask, &word).await;
        }
        bench.wait_for_links().await.unwrap();
        until_idle(&bench, LABEL).await;
        assert_eq!(bench.executions(LABEL).await.len(), 5);
    });
}

/// The entry that claimed a label's key dies while the label prints. The caller sends the same key
/// to the other entry, which cannot know whether it was printed: it must not print it again, and
/// says "unknown" rather than "not run".
#[test]
fn entry_killed() {
    run("entry-killed", async |mut bench| {
        let [first, second] = start(&mut bench, 700.0).await;
        let ask = print("claimed");
        let caller = spawn([ask.clone()], &[first, second]);
        until_runs(&bench, LABEL, 1).await;
        bench.kill("entry-1").await.unwrap();
        for caller in caller {
            let (ask, word) = caller.await.unwrap();
            assert_eq!(word.last().unwrap().outcome(), Some(Outcome::Unknown));
            check(&bench, LABEL, &ask, &word).await;
        }
        until_idle(&bench, LABEL).await;
        assert_eq!(bench.executions(LABEL).await.len(), 1);
    });
}

/// The entry that claimed a label's key is frozen while the label prints. A caller that comes to
/// the other entry with the same key must get a word within a while, though nobody knows whether
/// the frozen entry will ever wake up; once it has, the key's answer is there.
#[test]
fn entry_frozen() {
    run("entry-frozen", async |mut bench| {
        let [first, second] = start(&mut bench, 700.0).await;
        let ask = print("claimed");
        let caller = spawn([ask.clone()], &[first]);
        until_runs(&bench, LABEL, 1).await;
        bench.fleet.signal("entry-1", Signal::Stop).unwrap();
        let told = ask.once(second).await;
        assert_eq!(told.outcome(), Some(Outcome::Unknown), "{told:?}");
        bench.fleet.signal("entry-1", Signal::Continue).unwrap();
        for caller in caller {
            let (ask, word) = caller.await.unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
            check(&bench, LABEL, &ask, &word).await;
        }
        assert!(ask.once(second).await.is_whole());
        assert_eq!(bench.executions(LABEL).await.len(), 1);
    });
}

/// The same label is asked for by many callers at both entries at once, as a double click behind a
/// balancer does. One execution serves them all; a second one would put one serial on two looms.
#[test]
fn racing_callers() {
    run("racing-callers", async |mut bench| {
        let entries = start(&mut bench, 100.0).await;
        let ask = print("raced");
        let callers = (0..16).map(|number| ask.once(entries[number % 2]));
        for told in join_all(callers).await {
            assert_eq!(
                told,
                ResponseOutcome::Whole {
                    late: false,
                    serial: Some(1)
                }
            );
        }
        assert_eq!(bench.executions(LABEL).await.len(), 1);
    });
}

/// The table service writes claims and answers, but its own answers are lost, so that the entry
/// does not know whether it holds a key. Giving up would leave keys claimed for ever; claiming anew
/// would print twice.
#[test]
fn answers_lost() {
    run("answers-lost", async |mut bench| {
        let entries = start(&mut bench, 1.0).await;
        let faults = json!({"lose_answers": 0.5});
        set_faults(bench.table.address(), &faults).await.unwrap();
        let asks = (0..24).map(|number| print(&format!("label-{number}")));
        for caller in spawn(asks, &entries) {
            let (ask, word) = caller.await.unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
            check(&bench, LABEL, &ask, &word).await;
        }
    });
}

/// The table service is down, and then so slow that each answer comes after the entry has stopped
/// waiting. No key can be claimed: the caller is told "not run" with a time to come back, nothing is
/// printed, and the same key prints once as soon as the service is back.
#[test]
fn table_down() {
    run("table-down", async |mut bench| {
        let [first, second] = start(&mut bench, 1.0).await;
        for (name, faults) in [
            ("down", json!({"down": true})),
            ("slow", json!({"slow_ms": 2500})),
        ] {
            let ask = print(name);
            set_faults(bench.table.address(), &faults).await.unwrap();
            let told = ask.once(first).await;
            let ResponseOutcome::Problem(problem) = told else {
                panic!("{told:?}")
            };
            assert_eq!(problem.outcome, Some(Outcome::NotRun));
            assert!(problem.retry_after.is_some());
            assert_eq!(bench.runs(LABEL, &ask.input()).await, 0);
            set_faults(bench.table.address(), &json!({})).await.unwrap();
            let word = ask.send_until_final(&[second, first], PATIENCE).await;
            assert!(word.last().unwrap().is_whole(), "{word:?}");
            check(&bench, LABEL, &ask, &word).await;
        }
    });
}

/// The table service takes far fewer writes than there are callers. Those that it refuses are told
/// "not run" with a time to come back, or wait; no label is printed twice or forgotten.
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
        let asks = (0..40).map(|number| print(&format!("label-{number}")));
        for caller in spawn(asks, &entries) {
            let (ask, word) = caller.await.unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
            check(&bench, LABEL, &ask, &word).await;
        }
    });
}
