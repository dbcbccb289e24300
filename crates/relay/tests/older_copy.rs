//! What is believed after the table service has come back from an older copy.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::{Fake, entry, ready, unconfigured};
use relay::drain::Drains;
use relay::{Relay, follow, member};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use store::{RowRevision, Table as _, era};
use tokio::time::sleep;

/// Time by which news are in force, and by which what the copy alone says counts.
const SOON: Duration = Duration::from_millis(1_000);
const LATER: Duration = Duration::from_secs(7);

fn old(number: u64) -> RowRevision {
    era::revision(1, number)
}

fn new(number: u64) -> RowRevision {
    era::revision(2, number)
}

fn leaving() -> Option<Value> {
    Some(json!({ "service": "plain", "leaving": true }))
}

async fn runners(told: Vec<FeedReply>, time: Duration) -> Vec<String> {
    let relay = unconfigured(Fake::default());
    let following = tokio::spawn(follow::runner_table(relay.clone(), ScriptedFeed::new(told)));
    sleep(time).await;
    following.abort();
    let working = relay.fleet(|fleet| fleet.of("plain").to_vec());
    let mut ids: Vec<_> = working
        .into_iter()
        .flatten()
        .map(|runner| runner.id.to_string())
        .collect();
    ids.sort();
    ids
}

/// The copy has a runner as it was before it said that it leaves. Its last requests would be cut off
/// with it.
#[tokio::test(start_paused = true)]
async fn leaves_on() {
    let told = vec![
        FeedReply::At(
            old(7),
            vec![("r-1", entry("plain")), ("r-2", entry("plain"))],
        ),
        FeedReply::At(old(8), vec![("r-2", leaving())]),
        FeedReply::Restored,
        FeedReply::At(
            new(6),
            vec![("r-1", entry("plain")), ("r-2", entry("plain"))],
        ),
    ];
    assert_eq!(runners(told.clone(), SOON * 2).await, ["r-1"]);
    let written_again = FeedReply::At(new(7), vec![("r-2", leaving())]);
    let told = [told, vec![written_again]].concat();
    assert_eq!(runners(told, LATER).await, ["r-1"]);
}

/// A runner started after the copy, and its entry is written again a moment later. It serves meanwhile.
#[tokio::test(start_paused = true)]
async fn missing_for_a_moment() {
    let told = vec![
        FeedReply::At(
            old(7),
            vec![("r-1", entry("plain")), ("r-2", entry("plain"))],
        ),
        FeedReply::Restored,
        FeedReply::At(new(6), vec![("r-1", entry("plain"))]),
    ];
    assert_eq!(runners(told.clone(), SOON).await, ["r-1", "r-2"]);
    assert_eq!(
        runners(told, LATER).await,
        ["r-1"],
        "one that stays away is gone"
    );
}

/// A change whose number was given out before tells something new.
#[tokio::test(start_paused = true)]
async fn number_given_out_again() {
    let told = vec![
        FeedReply::At(old(40), vec![("r-1", entry("plain"))]),
        FeedReply::Restored,
        FeedReply::At(new(37), vec![("r-1", entry("plain"))]),
        FeedReply::At(new(38), vec![("r-2", entry("plain"))]),
        FeedReply::At(new(39), vec![("r-1", None)]),
    ];
    assert_eq!(runners(told, LATER).await, ["r-2"]);
}

/// The copy has an entry that nobody writes again and that does not lapse: the runner is there.
#[tokio::test(start_paused = true)]
async fn believed_in_the_end() {
    let told = vec![
        FeedReply::At(old(7), vec![("r-1", entry("plain"))]),
        FeedReply::Restored,
        FeedReply::At(
            new(6),
            vec![("r-1", entry("plain")), ("r-2", entry("plain"))],
        ),
    ];
    assert_eq!(runners(told.clone(), SOON).await, ["r-1"]);
    assert_eq!(runners(told, LATER).await, ["r-1", "r-2"]);
}

async fn plans(told: Vec<FeedReply>, time: Duration) -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    let following = tokio::spawn(follow::operator_table(
        relay.clone(),
        ScriptedFeed::new(told),
    ));
    sleep(time).await;
    following.abort();
    relay
}

fn drained(relay: &Arc<Relay<Fake>>) -> Vec<String> {
    let domains = relay.drains().domains.into_iter();
    domains.map(|domain| domain.to_string()).collect()
}

fn drain() -> Vec<(&'static str, Option<Value>)> {
    vec![("drained-a", Some(json!({})))]
}

/// A failure domain was drained after the copy. It stays drained until the operator has had the time
/// to write it again.
#[tokio::test(start_paused = true)]
async fn stays_drained() {
    let told = vec![
        FeedReply::At(old(7), vec![]),
        FeedReply::At(old(8), drain()),
        FeedReply::Restored,
        FeedReply::At(new(6), vec![]),
    ];
    assert_eq!(drained(&plans(told.clone(), SOON * 3).await), ["a"]);
    let over = plans(told.clone(), LATER).await;
    assert!(drained(&over).is_empty(), "nobody has written it again");
    let written_again = FeedReply::At(new(7), drain());
    let told = [told, vec![written_again]].concat();
    assert_eq!(drained(&plans(told, LATER).await), ["a"]);
}

/// The operator takes a drain back while the service is on the copy.
#[tokio::test(start_paused = true)]
async fn taken_back() {
    let told = vec![
        FeedReply::At(old(7), drain()),
        FeedReply::Restored,
        FeedReply::At(new(6), drain()),
        FeedReply::At(new(7), vec![("drained-a", None)]),
    ];
    assert!(drained(&plans(told, SOON * 3).await).is_empty());
}

/// The copy holds an older configuration than the one in force. Going back to it would open routes and
/// keys that the operator has taken away.
#[tokio::test(start_paused = true)]
async fn configuration_stays() {
    let told = vec![
        FeedReply::At(old(7), vec![("plan", Some(json!(5)))]),
        FeedReply::Restored,
        FeedReply::At(new(6), vec![("plan", Some(json!(4)))]),
    ];
    let relay = plans(told, SOON * 3).await;
    assert_eq!(
        relay
            .configuration()
            .map(|configuration| configuration.version),
        Some(5)
    );
}

/// What a peer says from before the copy came back is older than what is known since.
#[tokio::test(start_paused = true)]
async fn older_era_told() {
    let told = vec![FeedReply::At(new(6), vec![])];
    let relay = plans(told, SOON).await;
    let late = Drains {
        revision: old(40),
        settled: 0,
        domains: ["a".into()].into(),
    };
    relay.drain(&late, "peer");
    assert!(drained(&relay).is_empty());
}

/// The own row is gone with what was written last. Processes that start later would not know this one.
#[tokio::test(start_paused = true)]
async fn own_row_again() {
    let relay = ready(Fake::default());
    let table = store::Memory::default();
    let enlisting = tokio::spawn(member::register(relay.clone(), table.clone()));
    sleep(Duration::from_secs(60)).await;
    let row = table.read("relay", "relay-1").await.expect("there");
    let put = store::Put {
        table: "relay".to_owned(),
        key: "relay-1".to_owned(),
        value: None,
    };
    let lost = store::Transaction {
        checks: Vec::new(),
        puts: vec![put],
    };
    table.transact(&lost).await.expect("written");
    let told = [
        FeedReply::At(old(7), vec![]),
        FeedReply::Restored,
        FeedReply::At(new(6), vec![]),
    ];
    let following = tokio::spawn(member::follow(relay.clone(), ScriptedFeed::new(told)));
    sleep(LATER).await;
    let again = table.read("relay", "relay-1").await.expect("there");
    assert!(row.is_some());
    assert_eq!(again.map(|row| row.value), row.map(|row| row.value));
    enlisting.abort();
    following.abort();
}

/// The copy has the row of an earlier start of another process. Its address would lead nowhere.
#[tokio::test(start_paused = true)]
async fn earlier_start_of_a_peer() {
    let relay = ready(Fake::default());
    let row = |incarnation: u64| {
        let row = json!({ "id": "relay-2", "incarnation": incarnation, "address": "127.0.0.1:2",
            "weight": 1.0, "settled": true });
        vec![("relay-2", Some(row))]
    };
    let told = [
        FeedReply::At(old(7), row(9)),
        FeedReply::Restored,
        FeedReply::At(new(6), row(8)),
    ];
    let following = tokio::spawn(member::follow(relay.clone(), ScriptedFeed::new(told)));
    sleep(LATER).await;
    following.abort();
    let incarnation = relay.peers.members(|members| {
        let other = members.reachable().next();
        other.map(|member| member.incarnation)
    });
    assert_eq!(incarnation, Some(9));
}
