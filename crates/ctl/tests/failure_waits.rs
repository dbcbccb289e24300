//! Calls that wait for a target which leaves, goes for good or comes back elsewhere.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{run, spawn, until_idle, until_runs};
use ctl::error::Outcome;
use ctl::fleet::Signal;
use ctl::rig::bench::Bench;
use ctl::rig::caller::{ClientRequest, ResponseOutcome};
use ctl::rig::record::{READ, REPORT};
use ctl::rig::runner::Plan;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Time of a call that outlasts the waits of all others, in milliseconds.
const LONG: f64 = 8_000.0;
/// Time in which the others are accepted; one that comes later is refused at once.
const BEFORE_LEAVE: Duration = Duration::from_millis(300);
/// Calls that wait.
const WAITING: usize = 8;

/// Callers that ask once.
fn ask_once(
    names: impl IntoIterator<Item = String>,
    entry: SocketAddr,
) -> Vec<JoinHandle<ResponseOutcome>> {
    let ask = |name| tokio::spawn(async move { ClientRequest::new(READ, name).once(entry).await });
    names.into_iter().map(ask).collect()
}

/// One entry and one reader that takes one call at a time.
async fn start(bench: &mut Bench, time: f64) -> SocketAddr {
    let entry = bench.entry("entry-1").await.unwrap();
    let plan = Plan::new(REPORT, 1).time(time);
    bench.runner("reader", plan).await.unwrap();
    bench.ready().await.unwrap();
    entry
}

/// Guards against calls that wait behind the last call of a service whose only target leaves, although
/// nobody can run them any more.
#[test]
fn last_target_leaves() {
    run("last-target-leaves", async |mut bench| {
        let entry = start(&mut bench, LONG).await;
        let running = ask_once(["running".to_owned()], entry);
        until_runs(&bench, REPORT, 1).await;
        let names = (0..WAITING).map(|number| format!("waiting-{number}"));
        let waiting = ask_once(names, entry);
        tokio::time::sleep(BEFORE_LEAVE).await;
        bench.unlist("reader").await.unwrap();
        bench.fleet.signal("reader", Signal::Terminate).unwrap();
        for call in waiting {
            let told = call.await.unwrap();
            assert_eq!(told.outcome(), Some(Outcome::NotRun), "{told:?}");
        }
        assert!(!running[0].is_finished());
        for call in running {
            let told = call.await.unwrap();
            assert!(matches!(told, ResponseOutcome::Whole { .. }), "{told:?}");
        }
        until_idle(&bench, REPORT).await;
        assert_eq!(bench.executions(REPORT).await.len(), 1);
    });
}

/// Guards against an agent that no entry finds since it came back at another address in the same life
/// of its VM.
#[test]
fn agent_moves() {
    run("agent-moves", async |mut bench| {
        let entry = start(&mut bench, 1.0).await;
        bench.kill("reader").await.unwrap();
        bench.move_agent("reader").await.unwrap();
        let callers = spawn([ClientRequest::new(READ, "after")], &[entry]);
        for caller in callers {
            let (_, word) = caller.await.unwrap();
            assert!(word.last().unwrap().is_whole(), "{word:?}");
        }
    });
}
