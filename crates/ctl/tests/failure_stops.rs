//! Planned stops and drains with streams in progress, while the list of VMs is stale or
//! inconsistent.

#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{CALLER_TIMEOUT, run};
use ctl::error::Outcome;
use ctl::fleet::Signal;
use ctl::rig::bench::Bench;
use ctl::rig::caller::{ClientRequest, ResponseOutcome};
use ctl::rig::probe::{status, wait_for_target, wait_until};
use ctl::rig::record::{ASSISTANT, DRAFT, drain};
use ctl::rig::runner::Plan;
use ctl::rig::stream::Stream;
use std::net::SocketAddr;

/// Starts two entries and two engines.
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

/// Starts a stream and reads its first tokens.
async fn start_stream(entry: SocketAddr, name: &str) -> Stream {
    let request = ClientRequest::new(DRAFT, name).streamed(80);
    let mut stream = request.open(entry).await.unwrap();
    stream.read(3).await.unwrap();
    stream
}

async fn execution_count(bench: &Bench, id: &str) -> usize {
    bench.get(id).unwrap().log().await.len()
}

/// Waits until the entries have read the current list of VMs, which they show by a VM that is added
/// here.
async fn wait_for_list(bench: &Bench, entries: &[SocketAddr], mark: &str) {
    let mut vm = bench.get("two").unwrap().vm.clone();
    vm.id = mark.to_owned();
    vm.service = "none".to_owned();
    bench.list(&vm).await.unwrap();
    for entry in entries {
        wait_for_target(*entry, mark, "live").await.unwrap();
    }
}

/// Sends requests through both entries and checks that none of them goes to this runner.
async fn check_no_new_work(bench: &Bench, id: &str, entries: &[SocketAddr]) {
    let before = execution_count(bench, id).await;
    for number in 0..12 {
        let request = ClientRequest::new(DRAFT, format!("later-{number}")).streamed(2);
        let record = request
            .send_until_final(&entries[number % 2..], CALLER_TIMEOUT)
            .await;
        assert!(record.last().unwrap().is_whole(), "{record:?}");
    }
    assert_eq!(execution_count(bench, id).await, before);
}

/// An entry is stopped while answers stream through it, one of them to a caller of the other entry.
/// All streams are completed; new requests are refused with "not run" and can be sent elsewhere.
#[test]
fn entry_stops() {
    run("entry-stops", async |mut bench| {
        let [first, second] = start(&mut bench).await;
        let direct = start_stream(first, "own").await;
        let mut resumed = start_stream(first, "passed on").await;
        resumed.resume(second).await.unwrap();
        let mut forwarded = start_stream(second, "through").await;
        forwarded.resume(first).await.unwrap();
        bench.fleet.signal("entry-1", Signal::Terminate).unwrap();
        wait_until("the entry drains", || async {
            status(first)
                .await
                .is_some_and(|status| status["draining"] == true)
        })
        .await
        .unwrap();
        let response = ClientRequest::new(DRAFT, "new").once(first).await;
        let ResponseOutcome::Problem(problem) = response else {
            panic!("{response:?}")
        };
        assert_eq!(problem.outcome, Some(Outcome::NotRun));
        assert!(problem.retry_after.is_some());
        for stream in [direct, resumed, forwarded] {
            let response = stream.finish().await;
            assert!(response.is_whole(), "{response:?}");
        }
        assert!(bench.wait_for_exit("entry-1").await.unwrap());
        assert_eq!(bench.executions(ASSISTANT).await.len(), 3);
    });
}

/// An agent is stopped while answers stream from its engine, and the list of VMs still shows it as
/// live. The streams are completed, the agent exits only then, and its engine gets no new requests.
#[test]
fn agent_stops() {
    run("agent-stops", async |mut bench| {
        let entries = start(&mut bench).await;
        let mut streams = Vec::new();
        let mut number = 0;
        while execution_count(&bench, "one").await < 2 {
            streams.push(start_stream(entries[number % 2], &format!("draft-{number}")).await);
            number += 1;
        }
        bench.fleet.signal("one", Signal::Terminate).unwrap();
        for entry in entries {
            wait_for_target(entry, "one", "leaving").await.unwrap();
        }
        check_no_new_work(&bench, "one", &entries).await;
        for stream in streams {
            let response = stream.finish().await;
            assert!(response.is_whole(), "{response:?}");
        }
        assert!(bench.wait_for_exit("one").await.unwrap());
        assert_eq!(execution_count(&bench, "one").await, 2);
        check_no_new_work(&bench, "one", &entries).await;
    });
}

/// The list of VMs shows a target as leaving, then an older copy of the list shows it as live
/// again, and finally the target is removed from the list. It gets no new work, and its streams are
/// not interrupted.
#[test]
fn list_contradicts() {
    run("list-contradicts", async |mut bench| {
        let entries = start(&mut bench).await;
        let mut streams = Vec::new();
        while execution_count(&bench, "one").await == 0 {
            streams.push(start_stream(entries[0], &format!("draft-{}", streams.len())).await);
        }
        let mut vm = bench.get("one").unwrap().vm.clone();
        vm.leaving = true;
        bench.list(&vm).await.unwrap();
        for entry in entries {
            wait_for_target(entry, "one", "leaving").await.unwrap();
        }
        vm.leaving = false;
        bench.list(&vm).await.unwrap();
        wait_for_list(&bench, &entries, "live-again").await;
        check_no_new_work(&bench, "one", &entries).await;
        vm.incarnation = 0;
        bench.list(&vm).await.unwrap();
        wait_for_list(&bench, &entries, "older-life").await;
        check_no_new_work(&bench, "one", &entries).await;
        bench.unlist("one").await.unwrap();
        wait_for_list(&bench, &entries, "unlisted").await;
        check_no_new_work(&bench, "one", &entries).await;
        for stream in streams {
            assert!(stream.finish().await.is_whole());
        }
    });
}

/// An operator drains a target. It gets no new work from either entry, even after a restart of its
/// agent, until the operator ends the drain; its streams are not interrupted.
#[test]
fn operator_drains() {
    run("operator-drains", async |mut bench| {
        let entries = start(&mut bench).await;
        let mut streams = Vec::new();
        while execution_count(&bench, "one").await == 0 {
            streams.push(start_stream(entries[0], &format!("draft-{}", streams.len())).await);
        }
        let revision = bench.apply(entries[0], &[drain("one")]).await.unwrap();
        bench.wait_for_revision(revision).await.unwrap();
        check_no_new_work(&bench, "one", &entries).await;
        for stream in streams {
            assert!(stream.finish().await.is_whole());
        }
        bench.kill("one").await.unwrap();
        bench.restart_agent("one").await.unwrap();
        for entry in entries {
            wait_for_target(entry, "one", "drained").await.unwrap();
        }
        check_no_new_work(&bench, "one", &entries).await;
        bench.delete(entries[1], &["drain/one"]).await.unwrap();
        bench.wait_for_links().await.unwrap();
    });
}
