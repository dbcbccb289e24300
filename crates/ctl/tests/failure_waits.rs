//! Calls that wait for a target which is leaving, has gone or returns at another address.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{run, spawn, wait_for_runs, wait_until_idle};
use ctl::error::Outcome;
use ctl::fleet::Signal;
use ctl::rig::bench::Bench;
use ctl::rig::caller::{ClientRequest, ResponseOutcome};
use ctl::rig::record::{READ, REPORT};
use ctl::rig::runner::Plan;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Duration of a call that outlasts the waiting times of all others, in milliseconds.
const LONG_CALL_MS: f64 = 8_000.0;
/// Time in which the other calls are accepted; a later call is refused immediately.
const BEFORE_LEAVE: Duration = Duration::from_millis(300);
/// Number of calls that wait.
const WAITING: usize = 8;

/// Starts callers that send their request once.
fn ask_once(
    names: impl IntoIterator<Item = String>,
    entry: SocketAddr,
) -> Vec<JoinHandle<ResponseOutcome>> {
    let send = |name| tokio::spawn(async move { ClientRequest::new(READ, name).once(entry).await });
    names.into_iter().map(send).collect()
}

/// Starts one entry and one runner that accepts one call at a time.
async fn start(bench: &mut Bench, time: f64) -> SocketAddr {
    let entry = bench.entry("entry-1").await.unwrap();
    let plan = Plan::new(REPORT, 1).time(time);
    bench.runner("reader", plan).await.unwrap();
    bench.ready().await.unwrap();
    entry
}

/// Guards against calls that wait behind the last call of a service whose only target is leaving,
/// although no target can run them any more.
#[test]
fn last_target_leaves() {
    run("last-target-leaves", async |mut bench| {
        let entry = start(&mut bench, LONG_CALL_MS).await;
        let running = ask_once(["running".to_owned()], entry);
        wait_for_runs(&bench, REPORT, 1).await;
        let names = (0..WAITING).map(|number| format!("waiting-{number}"));
        let waiting = ask_once(names, entry);
        tokio::time::sleep(BEFORE_LEAVE).await;
        bench.unlist("reader").await.unwrap();
        bench.fleet.signal("reader", Signal::Terminate).unwrap();
        for call in waiting {
            let response = call.await.unwrap();
            assert_eq!(response.outcome(), Some(Outcome::NotRun), "{response:?}");
        }
        assert!(!running[0].is_finished());
        for call in running {
            let response = call.await.unwrap();
            assert!(
                matches!(response, ResponseOutcome::Whole { .. }),
                "{response:?}"
            );
        }
        wait_until_idle(&bench, REPORT).await;
        assert_eq!(bench.executions(REPORT).await.len(), 1);
    });
}

/// Guards against an agent that no entry finds because it restarted at another address within the
/// same incarnation of its VM.
#[test]
fn agent_moves() {
    run("agent-moves", async |mut bench| {
        let entry = start(&mut bench, 1.0).await;
        bench.kill("reader").await.unwrap();
        bench.move_agent("reader").await.unwrap();
        let callers = spawn([ClientRequest::new(READ, "after")], &[entry]);
        for caller in callers {
            let (_, record) = caller.await.unwrap();
            assert!(record.last().unwrap().is_whole(), "{record:?}");
        }
    });
}
