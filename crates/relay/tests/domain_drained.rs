//! Which runners get work while the operator drains failure domains.

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

/// Time within which the operator's word must be in force.
const SOON: Duration = Duration::from_millis(1_200);

/// Where the runners of [`ready`] run.
const DOMAIN: &str = "a";

fn drains(revision: RowRevision, domains: &[&str]) -> Drains {
    Drains {
        revision,
        settled: 0,
        domains: domains.iter().map(|domain| (*domain).into()).collect(),
    }
}

fn known(relay: &Relay<Fake>) -> usize {
    relay
        .fleet(|fleet| fleet.of("plain").len())
        .expect("the list is known")
}

/// A relay that has followed the operator's table for a while.
async fn told(told: Vec<FeedReply>) -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    let following = tokio::spawn(follow::operator_table(
        relay.clone(),
        ScriptedFeed::new(told),
    ));
    sleep(SOON).await;
    following.abort();
    relay
}

fn drained() -> FeedReply {
    FeedReply::At(3, vec![("drained-a", Some(json!({})))])
}

/// The operator drains a failure domain before its power is cut. Requests that still went there would
/// be lost with it.
#[tokio::test(start_paused = true)]
async fn gets_nothing() {
    let relay = told(vec![drained()]).await;
    assert_eq!(known(&relay), 0);
    assert_eq!(relay.cells(&"stage".into())[0].runners.len(), 0);
    let answer = relay.serve(request("q", "safe")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(relay.downstream.sent().is_empty());
}

/// The drain is taken back. A relay that kept to it would leave a part of the runners idle for ever.
#[tokio::test(start_paused = true)]
async fn taken_back() {
    let relay = told(vec![drained(), FeedReply::At(4, vec![("drained-a", None)])]).await;
    assert_eq!(known(&relay), 2);
    assert_eq!(relay.serve(request("q", "safe")).await.status, 200);
}

/// The history that held the end of the drain is gone; the whole table has no row of it any more.
#[tokio::test(start_paused = true)]
async fn taken_back_in_a_gap() {
    let relay = told(vec![drained(), FeedReply::Gap, FeedReply::At(9, vec![])]).await;
    assert_eq!(known(&relay), 2);
}

/// Two failure domains are drained at once, and one of them comes back: the other one stays drained.
#[tokio::test(start_paused = true)]
async fn two_at_once() {
    let both = vec![
        ("drained-a", Some(json!({}))),
        ("drained-b", Some(json!({}))),
    ];
    let relay = told(vec![
        FeedReply::At(3, both),
        FeedReply::At(4, vec![("drained-b", None)]),
    ])
    .await;
    assert_eq!(relay.drains(), drains(4, &[DOMAIN]));
    assert_eq!(known(&relay), 0);
}

/// A runner starts in a drained failure domain, and one that was there leaves it for good. The first
/// must wait, and the second must not come back with the end of the drain: its requests would fail.
#[tokio::test]
async fn list_changes_meanwhile() {
    let relay = ready(Fake::default());
    relay.drain(&drains(1, &[DOMAIN]), "test");
    relay.update(vec![
        Change::Listed(runner("p-3", "plain")),
        Change::Gone("p-1".into()),
    ]);
    assert_eq!(known(&relay), 0);
    let all = relay.fleet(|fleet| fleet.ids().count());
    assert_eq!(all, Some(4), "those that wait are known");
    relay.drain(&drains(2, &[]), "test");
    assert_eq!(known(&relay), 2);
    assert!(relay.runner("p-1").is_none());
    assert!(relay.runner("p-3").is_some());
}

/// A runner's entry moves to another failure domain than the drained one: it gets work there.
#[tokio::test]
async fn moves_out() {
    let relay = ready(Fake::default());
    relay.drain(&drains(1, &[DOMAIN]), "test");
    let moved = Runner {
        domain: "b".into(),
        ..runner("p-1", "plain")
    };
    relay.update(vec![Change::Listed(moved)]);
    assert_eq!(known(&relay), 1);
}

/// A relay that starts hears of a drain before it knows any runner. Taken in then and forgotten with
/// the first list, the drain would never hold there.
#[tokio::test]
async fn told_before_the_list() {
    let relay = common::unconfigured(Fake::default());
    relay.drain(&drains(1, &[DOMAIN]), "test");
    relay.update(vec![Change::Listed(runner("p-1", "plain"))]);
    assert_eq!(known(&relay), 0);
}

/// A peer's word is older than what the table has told, or the other way round. An older word that
/// undid the newer one would send work to a drained failure domain until the next change.
#[tokio::test(start_paused = true)]
async fn older_word() {
    let relay = told(vec![drained()]).await;
    relay.drain(&drains(2, &[]), "test");
    assert_eq!(known(&relay), 0);

    let relay = ready(Fake::default());
    relay.drain(&drains(8, &[]), "test");
    let script = ScriptedFeed::new(vec![drained()]);
    let following = tokio::spawn(follow::operator_table(relay.clone(), script));
    sleep(SOON).await;
    following.abort();
    assert_eq!(known(&relay), 2);
}

/// The table service turns a relay away while the operator drains a failure domain. It hears of it
/// from a peer, or it would go on to send work there for as long as the outage lasts.
#[tokio::test]
async fn told_by_a_peer() {
    let relay = ready(Fake::default());
    let (sender, mut receiver) = common::link::open(&relay).await;
    let frame = peer::Frame::Drains(drains(5, &[DOMAIN]));
    sender.send(frame.clone()).await.expect("linked");
    loop {
        // The relay passes on to all what it has taken in.
        if receiver.recv().await.expect("linked").expect("open") == frame {
            break;
        }
    }
    assert_eq!(known(&relay), 0);
}
