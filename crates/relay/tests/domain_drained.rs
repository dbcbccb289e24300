//! Selection of runners while the operator drains failure domains.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::{Fake, ready, request, runner};
use relay::drain::Drains;
use relay::follow;
use relay::runner::{Change, Runner};
use relay::{Relay, peer};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use store::RowRevision;
use tokio::time::sleep;

/// Time within which the operator's change must be in force.
const APPLY_TIME: Duration = Duration::from_millis(1_200);

/// Failure domain of the runners of [`ready`].
const DOMAIN: &str = "a";

fn drains(revision: RowRevision, domains: &[&str]) -> Drains {
    Drains {
        revision,
        settled: 0,
        domains: domains.iter().map(|domain| (*domain).into()).collect(),
    }
}

fn runner_count(relay: &Relay<Fake>) -> usize {
    relay
        .fleet(|fleet| fleet.of("plain").len())
        .expect("the list is known")
}

/// A relay that has followed the operator's table through these replies.
async fn relay_after(replies: Vec<FeedReply>) -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    let following = tokio::spawn(follow::operator_table(
        relay.clone(),
        ScriptedFeed::new(replies),
    ));
    sleep(APPLY_TIME).await;
    following.abort();
    relay
}

fn drained() -> FeedReply {
    FeedReply::At(3, vec![("drained-a", Some(json!({})))])
}

/// The operator drains a failure domain before a power cut. Requests that still went there would be
/// lost.
#[tokio::test(start_paused = true)]
async fn no_work_while_drained() {
    let relay = relay_after(vec![drained()]).await;
    assert_eq!(runner_count(&relay), 0);
    assert_eq!(relay.cells(&"stage".into())[0].runners.len(), 0);
    let answer = relay.serve(request("q", "safe")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(relay.downstream.sent().is_empty());
}

/// The drain is ended. A relay that retained it would leave some of the runners idle forever.
#[tokio::test(start_paused = true)]
async fn drain_ended() {
    let relay = relay_after(vec![drained(), FeedReply::At(4, vec![("drained-a", None)])]).await;
    assert_eq!(runner_count(&relay), 2);
    assert_eq!(relay.serve(request("q", "safe")).await.status, 200);
}

/// The part of the history with the end of the drain is gone; the whole table has no row for it any
/// more.
#[tokio::test(start_paused = true)]
async fn drain_ended_in_history_gap() {
    let relay = relay_after(vec![drained(), FeedReply::Gap, FeedReply::At(9, vec![])]).await;
    assert_eq!(runner_count(&relay), 2);
}

/// Two failure domains are drained at once, and one drain ends: the other domain stays drained.
#[tokio::test(start_paused = true)]
async fn two_drains() {
    let both = vec![
        ("drained-a", Some(json!({}))),
        ("drained-b", Some(json!({}))),
    ];
    let relay = relay_after(vec![
        FeedReply::At(3, both),
        FeedReply::At(4, vec![("drained-b", None)]),
    ])
    .await;
    assert_eq!(relay.drains(), drains(4, &[DOMAIN]));
    assert_eq!(runner_count(&relay), 0);
}

/// A runner starts in a drained failure domain, and another one there is removed. The first must get no
/// work yet, and the second must not return when the drain ends, since its requests would fail.
#[tokio::test]
async fn runner_list_changes() {
    let relay = ready(Fake::default());
    relay.drain(&drains(1, &[DOMAIN]), "test");
    relay.update(vec![
        Change::Listed(runner("p-3", "plain")),
        Change::Gone("p-1".into()),
    ]);
    assert_eq!(runner_count(&relay), 0);
    let all = relay.fleet(|fleet| fleet.ids().count());
    assert_eq!(all, Some(4), "drained runners are known");
    relay.drain(&drains(2, &[]), "test");
    assert_eq!(runner_count(&relay), 2);
    assert!(relay.runner("p-1").is_none());
    assert!(relay.runner("p-3").is_some());
}

/// A runner's entry changes from the drained failure domain to another one: the runner gets work there.
#[tokio::test]
async fn runner_changes_domain() {
    let relay = ready(Fake::default());
    relay.drain(&drains(1, &[DOMAIN]), "test");
    let moved = Runner {
        domain: "b".into(),
        ..runner("p-1", "plain")
    };
    relay.update(vec![Change::Listed(moved)]);
    assert_eq!(runner_count(&relay), 1);
}

/// A starting relay learns of a drain before it knows any runner. The first list of runners must not
/// undo the drain.
#[tokio::test]
async fn drain_before_runner_list() {
    let relay = common::unconfigured(Fake::default());
    relay.drain(&drains(1, &[DOMAIN]), "test");
    relay.update(vec![Change::Listed(runner("p-1", "plain"))]);
    assert_eq!(runner_count(&relay), 0);
}

/// A peer's announcement is older than the table, or the other way round. If the older state replaced
/// the newer one, work would go to a drained failure domain until the next change.
#[tokio::test(start_paused = true)]
async fn older_announcement() {
    let relay = relay_after(vec![drained()]).await;
    relay.drain(&drains(2, &[]), "test");
    assert_eq!(runner_count(&relay), 0);

    let relay = ready(Fake::default());
    relay.drain(&drains(8, &[]), "test");
    let script = ScriptedFeed::new(vec![drained()]);
    let following = tokio::spawn(follow::operator_table(relay.clone(), script));
    sleep(APPLY_TIME).await;
    following.abort();
    assert_eq!(runner_count(&relay), 2);
}

/// The table service rejects a relay's requests while the operator drains a failure domain. The relay
/// must apply the drain that a peer announces, or it would send work there for as long as the outage
/// lasts.
#[tokio::test]
async fn announced_by_peer() {
    let relay = ready(Fake::default());
    let (sender, mut receiver) = common::link::open(&relay).await;
    let frame = peer::Frame::Drains(drains(5, &[DOMAIN]));
    sender.send(frame.clone()).await.expect("linked");
    loop {
        // The relay forwards what it has applied to all its peers.
        if receiver.recv().await.expect("linked").expect("open") == frame {
            break;
        }
    }
    assert_eq!(runner_count(&relay), 0);
}
