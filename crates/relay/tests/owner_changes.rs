//! Results while processes disagree on the owner of a cell, after a lost link, and after a runner has
//! restarted.

mod common;

use common::pair::pair;
use common::stage::{cell, order};
use common::{Fake, configured, member_at, ready, runner, unconfigured};
use relay::batch::ReleaseKind;
use relay::downstream::Handle;
use relay::peer::{self, Frame};
use relay::runner::Change;
use relay::{Relay, Runner};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use wire::{Key, Listener};

/// Time within which runners are told of released results.
const RELEASE_TIME: Duration = Duration::from_secs(1);
/// Time after which a process that could not be reached is tried again, and its results are reported.
const SUSPECT_TIME: Duration = Duration::from_secs(3);
/// Timeout of each step that uses real time, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Results that leave room for one more at a runner.
fn nearly_full(id: &str, name: &str) -> Vec<Handle> {
    let address = runner(id, "stage").address;
    let handle = |number| format!("{address}/{name}-{number}").into();
    (0..11).map(handle).collect()
}

fn stage_runner(id: &str, started: u64) -> Runner {
    Runner {
        started: Some(started),
        ..runner(id, "stage")
    }
}

async fn make(relay: &Arc<Relay<Fake>>, id: &str) -> Vec<Handle> {
    let outcome = peer::execute_order(relay, &cell(), order(id, 3)).await;
    outcome.expect("made")
}

fn is_released(fake: &Fake, handles: &[Handle]) -> bool {
    let released = fake.released.lock().expect("free");
    handles.iter().all(|handle| released.contains(handle))
}

fn is_any_released(fake: &Fake, handles: &[Handle]) -> bool {
    let released = fake.released.lock().expect("free");
    handles.iter().any(|handle| released.contains(handle))
}

/// Two processes own the cell at the same time. Guards against a result that one of them frees although a
/// request of the other needs it, and against one that is released and stays stored.
#[tokio::test(start_paused = true)]
async fn two_owners() {
    let (asking, owner) = pair(2, 2).await;
    let fake = asking.relay.downstream.clone();
    asking
        .relay
        .peers
        .members(|members| members.suspect(&owner.member));
    let (own, other) = tokio::join!(make(&asking.relay, "a"), make(&owner.relay, "b"));
    asking
        .relay
        .peers
        .release(&asking.relay, &own, ReleaseKind::Over);
    sleep(RELEASE_TIME).await;
    assert!(is_released(&fake, &own));
    assert!(!is_any_released(&fake, &other));
    owner
        .relay
        .peers
        .release(&owner.relay, &other, ReleaseKind::Over);
    sleep(RELEASE_TIME).await;
    assert!(is_released(&fake, &other));
}

/// A process that was frozen owns the cell again. Guards against results made meanwhile that it does not
/// know of, and against releases that go to the interim owner.
#[tokio::test(start_paused = true)]
async fn frozen_owner_returns() {
    let (asking, owner) = pair(2, 2).await;
    let fake = asking.relay.downstream.clone();
    asking
        .relay
        .peers
        .members(|members| members.suspect(&owner.member));
    let results = make(&asking.relay, "a").await;
    let held = nearly_full("s-1", "held");
    let peers = &asking.relay.peers;
    peers.record_results(&asking.relay, &cell(), &held, 100);
    sleep(SUSPECT_TIME).await;
    make(&owner.relay, "b").await;
    let call = fake.stage_calls().pop().expect("a call");
    assert_eq!(call.runner, "s-2");
    assert!(!is_any_released(&fake, &results));
    let mut all = results;
    all.extend(held);
    peers.release(&asking.relay, &all, ReleaseKind::Over);
    sleep(RELEASE_TIME).await;
    assert!(is_released(&fake, &all));
}

/// The link to the owner is lost with the report of results that it has not read. Guards against an owner
/// that never learns of them, and against a release that is lost as well.
#[tokio::test]
async fn link_lost_with_report() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener: Listener<Frame> = Listener::bind(any, Key::new("key")).await.expect("bound");
    let address = listener.address().expect("bound");
    let fake = Fake::default();
    let relay = configured(unconfigured(fake.clone()));
    let is_owner = |id: &String| {
        relay.peers.members(|members| {
            members.put(member_at(id, address), 1);
            let is_owner = *members.owner("stage/0").id == **id;
            if !is_owner {
                members.remove(id);
            }
            is_owner
        })
    };
    let owner = (2..100)
        .map(|number| format!("relay-{number}"))
        .find(is_owner);
    owner.expect("an owner");
    tokio::spawn(peer::report_held_results(relay.clone()));
    let held = nearly_full("s-1", "held");
    let first = cell();
    let other = relay::batch::Cell { index: 1, ..first };
    // The results were made in another cell, so that the owner has to be told.
    relay.peers.record_results(&relay, &other, &held, 100);
    let reports = async {
        for _ in 0..2 {
            let (_sender, mut receiver) = listener.accept().await.expect("a link");
            loop {
                let frame = receiver.recv().await.expect("open").expect("open");
                if matches!(frame, Frame::Held { .. }) {
                    break;
                }
            }
        }
    };
    timeout(TIMEOUT, reports).await.expect("reported twice");
    sleep(Duration::from_millis(50)).await;
    drop(listener);
    relay.peers.release(&relay, &held, ReleaseKind::Over);
    let released = async {
        while !is_released(&fake, &held) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, released).await.expect("released");
}

/// Number of pieces of the first call to the only runner of the stage.
async fn first_call(relay: &Arc<Relay<Fake>>, fake: &Fake) -> usize {
    let _outcome = relay.batcher(&cell()).submit(relay, order("a", 3));
    sleep(Duration::from_millis(500)).await;
    fake.stage_calls()[0].items.len()
}

/// A runner has crashed and returns with a new start time, under its old address. Guards against results of
/// its earlier start that leave it without work until they would have expired.
#[tokio::test(start_paused = true)]
async fn returned_empty() {
    for is_unlisted in [true, false] {
        let fake = Fake::default();
        let relay = ready(fake.clone());
        relay.update(vec![
            Change::Gone("s-2".into()),
            Change::Listed(stage_runner("s-1", 1)),
        ]);
        let held = nearly_full("s-1", "held").into_iter();
        let held: Vec<(Handle, u64)> = held.map(|handle| (handle, 100)).collect();
        relay.batcher(&cell()).record_results(&relay, &held);
        if is_unlisted {
            relay.update(vec![Change::Gone("s-1".into())]);
        }
        relay.update(vec![Change::Listed(stage_runner("s-1", 2))]);
        assert_eq!(first_call(&relay, &fake).await, 3, "{is_unlisted}");
    }
}

/// Guards against a runner that has not restarted and is taken for empty after a moment off the list.
#[tokio::test(start_paused = true)]
async fn returned_with_results() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    relay.update(vec![
        Change::Gone("s-2".into()),
        Change::Listed(stage_runner("s-1", 1)),
    ]);
    let held = nearly_full("s-1", "held").into_iter();
    let held: Vec<(Handle, u64)> = held.map(|handle| (handle, 100)).collect();
    relay.batcher(&cell()).record_results(&relay, &held);
    relay.update(vec![Change::Gone("s-1".into())]);
    relay.update(vec![Change::Listed(stage_runner("s-1", 1))]);
    assert_eq!(first_call(&relay, &fake).await, 1);
}

/// A request needs results of two starts of a runner when the owner of the cell stops. Guards against
/// results of the later start that are forgotten with those of the earlier one.
#[tokio::test(start_paused = true)]
async fn reported_after_restart() {
    let (asking, owner) = pair(2, 2).await;
    let relays = [&asking.relay, &owner.relay];
    for relay in relays {
        relay.update(vec![Change::Listed(stage_runner("s-1", 1))]);
    }
    let peers = &asking.relay.peers;
    let lost = nearly_full("s-1", "lost");
    peers.record_results(&asking.relay, &cell(), &lost, 100);
    for relay in relays {
        relay.update(vec![Change::Listed(stage_runner("s-1", 2))]);
    }
    let held = nearly_full("s-1", "held");
    peers.record_results(&asking.relay, &cell(), &held, 100);
    let left = (owner.member.id, owner.member.incarnation);
    peers.members(|members| members.mark_left(left.0, left.1));
    sleep(Duration::from_millis(500)).await;
    make(&asking.relay, "a").await;
    assert_eq!(asking.relay.downstream.stage_calls()[0].runner, "s-2");
}
