//! Planned stops and drains, with streams in progress and a list of VMs that lags and contradicts.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{PATIENCE, run};
use ctl::error::Outcome;
use ctl::fleet::Signal;
use ctl::rig::bench::Bench;
use ctl::rig::caller::{ClientRequest, ResponseOutcome};
use ctl::rig::probe::{status, wait_for_target, wait_until};
use ctl::rig::record::{ASSISTANT, DRAFT, drain};
use ctl::rig::runner::Plan;
use ctl::rig::stream::Stream;
use std::net::SocketAddr;

/// Two entries and two engines.
async fn start(bench: &mut Bench) -> [SocketAddr; 2] {
    let first = bench.entry("entry-1").await.unwrap();
    let second = bench.entry("entry-2").await.unwrap();
    for id in ["one", "two"] {
        let plan = Plan::new(ASSISTANT, 16).time(10.0);
        bench.runner(id, plan).await.unwrap();
    }
    bench.ready().await.unwrap();
    [first, second]
}

/// A stream that has begun.
async fn begun(entry: SocketAddr, name: &str) -> Stream {
    let ask = ClientRequest::new(DRAFT, name).streamed(80);
    let mut stream = ask.open(entry).await.unwrap();
    stream.read(3).await.unwrap();
    stream
}

async fn runs(bench: &Bench, id: &str) -> usize {
    bench.get(id).unwrap().log().await.len()
}

/// Waits until the entries have read the list of VMs as it is now: a VM that is new on it shows up.
async fn list_read(bench: &Bench, entries: &[SocketAddr], mark: &str) {
    let mut vm = bench.get("two").unwrap().vm.clone();
    vm.id = mark.to_owned();
    vm.service = "none".to_owned();
    bench.list(&vm).await.unwrap();
    for entry in entries {
        wait_for_target(*entry, mark, "live").await.unwrap();
    }
}

/// Sends drafts through both entries and checks that none goes to this runner.
async fn none_at(bench: &Bench, id: &str, entries: &[SocketAddr]) {
    let before = runs(bench, id).await;
    for number in 0..12 {
        let ask = ClientRequest::new(DRAFT, format!("later-{number}")).streamed(2);
        let word = ask.send_until_final(&entries[number % 2..], PATIENCE).await;
        assert!(word.last().unwrap().is_whole(), "{word:?}");
    }
    assert_eq!(runs(bench, id).await, before);
}

/// An entry is asked to stop while drafts stream through it, one of them to a caller who came by
/// the other entry. All are read to their end; new requests are told "not run" and go elsewhere.
#[test]
fn entry_stops() {
    run("entry-stops", async |mut bench| {
        let [first, second] = start(&mut bench).await;
        let own = begun(first, "own").await;
        let mut passed_on = begun(first, "passed on").await;
        passed_on.resume(second).await.unwrap();
        let mut through = begun(second, "through").await;
        through.resume(first).await.unwrap();
        bench.fleet.signal("entry-1", Signal::Terminate).unwrap();
        wait_until("the entry drains", || async {
            status(first)
                .await
                .is_some_and(|status| status["draining"] == true)
        })
        .await
        .unwrap();
        let told = ClientRequest::new(DRAFT, "new").once(first).await;
        let ResponseOutcome::Problem(problem) = told else {
            panic!("{told:?}")
        };
        assert_eq!(problem.outcome, Some(Outcome::NotRun));
        assert!(problem.retry_after.is_some());
        for stream in [own, passed_on, through] {
            let told = stream.finish().await;
            assert!(told.is_whole(), "{told:?}");
        }
        assert!(bench.wait_for_exit("entry-1").await.unwrap());
        assert_eq!(bench.executions(ASSISTANT).await.len(), 3);
    });
}

/// An agent is asked to stop while drafts stream from its engine, and the list of VMs goes on
/// showing it as live. The drafts are read to their end, the agent ends only then, and no new
/// draft goes to its engine.
#[test]
fn agent_stops() {
    run("agent-stops", async |mut bench| {
        let entries = start(&mut bench).await;
        let mut streams = Vec::new();
        let mut number = 0;
        while runs(&bench, "one").await < 2 {
            streams.push(begun(entries[number % 2], &format!("draft-{number}")).await);
            number += 1;
        }
        bench.fleet.signal("one", Signal::Terminate).unwrap();
        for entry in entries {
            wait_for_target(entry, "one", "leaving").await.unwrap();
        }
        none_at(&bench, "one", &entries).await;
        for stream in streams {
            let told = stream.finish().await;
            assert!(told.is_whole(), "{told:?}");
        }
        assert!(bench.wait_for_exit("one").await.unwrap());
        assert_eq!(runs(&bench, "one").await, 2);
        none_at(&bench, "one", &entries).await;
    });
}

/// The list of VMs shows a target as leaving, and then an older copy of the list shows it as live
/// again; at last the list forgets it. It gets no new work, and what it streams is not cut off.
#[test]
fn list_contradicts() {
    run("list-contradicts", async |mut bench| {
        let entries = start(&mut bench).await;
        let mut streams = Vec::new();
        while runs(&bench, "one").await == 0 {
            streams.push(begun(entries[0], &format!("draft-{}", streams.len())).await);
        }
        let mut vm = bench.get("one").unwrap().vm.clone();
        vm.leaving = true;
        bench.list(&vm).await.unwrap();
        for entry in entries {
            wait_for_target(entry, "one", "leaving").await.unwrap();
        }
        vm.leaving = false;
        bench.list(&vm).await.unwrap();
        list_read(&bench, &entries, "live-again").await;
        none_at(&bench, "one", &entries).await;
        vm.incarnation = 0;
        bench.list(&vm).await.unwrap();
        list_read(&bench, &entries, "older-life").await;
        none_at(&bench, "one", &entries).await;
        bench.unlist("one").await.unwrap();
        list_read(&bench, &entries, "unlisted").await;
        none_at(&bench, "one", &entries).await;
        for stream in streams {
            assert!(stream.finish().await.is_whole());
        }
    });
}

/// An operator drains a target. It gets no new work at either entry, also after its agent has been
/// started again, until the operator takes the drain back; what it streams is not cut off.
#[test]
fn operator_drains() {
    run("operator-drains", async |mut bench| {
        let entries = start(&mut bench).await;
        let mut streams = Vec::new();
        while runs(&bench, "one").await == 0 {
            streams.push(begun(entries[0], &format!("draft-{}", streams.len())).await);
        }
        let revision = bench.apply(entries[0], &[drain("one")]).await.unwrap();
        bench.wait_for_revision(revision).await.unwrap();
        none_at(&bench, "one", &entries).await;
        for stream in streams {
            assert!(stream.finish().await.is_whole());
        }
        bench.kill("one").await.unwrap();
        bench.restart_agent("one").await.unwrap();
        for entry in entries {
            wait_for_target(entry, "one", "drained").await.unwrap();
        }
        none_at(&bench, "one", &entries).await;
        bench.delete(entries[1], &["drain/one"]).await.unwrap();
        bench.wait_for_links().await.unwrap();
    });
}
