//! State of a relay after the table service was restored from an older backup.

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

/// Time within which changes are in force, and time after which unconfirmed contents of the backup are.
const APPLY_TIME: Duration = Duration::from_millis(1_000);
const EXPIRY_TIME: Duration = Duration::from_secs(7);

fn before_restore(number: u64) -> RowRevision {
    era::revision(1, number)
}

fn after_restore(number: u64) -> RowRevision {
    era::revision(2, number)
}

fn leaving() -> Option<Value> {
    Some(json!({ "service": "plain", "leaving": true }))
}

async fn working_runners(replies: Vec<FeedReply>, time: Duration) -> Vec<String> {
    let relay = unconfigured(Fake::default());
    let following = tokio::spawn(follow::runner_table(
        relay.clone(),
        ScriptedFeed::new(replies),
    ));
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

/// The backup contains the entry of a runner from before it announced to leave. Requests to that runner
/// would be cut off when it exits.
#[tokio::test(start_paused = true)]
async fn leaving_runner_stays_leaving() {
    let replies = vec![
        FeedReply::At(
            before_restore(7),
            vec![("r-1", entry("plain")), ("r-2", entry("plain"))],
        ),
        FeedReply::At(before_restore(8), vec![("r-2", leaving())]),
        FeedReply::Restored,
        FeedReply::At(
            after_restore(6),
            vec![("r-1", entry("plain")), ("r-2", entry("plain"))],
        ),
    ];
    assert_eq!(
        working_runners(replies.clone(), APPLY_TIME * 2).await,
        ["r-1"]
    );
    let rewritten = FeedReply::At(after_restore(7), vec![("r-2", leaving())]);
    let replies = [replies, vec![rewritten]].concat();
    assert_eq!(working_runners(replies, EXPIRY_TIME).await, ["r-1"]);
}

/// A runner started after the backup, and its entry is rewritten a moment later. The runner must serve
/// meanwhile.
#[tokio::test(start_paused = true)]
async fn runner_missing_in_backup() {
    let replies = vec![
        FeedReply::At(
            before_restore(7),
            vec![("r-1", entry("plain")), ("r-2", entry("plain"))],
        ),
        FeedReply::Restored,
        FeedReply::At(after_restore(6), vec![("r-1", entry("plain"))]),
    ];
    assert_eq!(
        working_runners(replies.clone(), APPLY_TIME).await,
        ["r-1", "r-2"]
    );
    assert_eq!(
        working_runners(replies, EXPIRY_TIME).await,
        ["r-1"],
        "a runner that does not return is gone"
    );
}

/// A change whose revision number was used before the restore is a new change.
#[tokio::test(start_paused = true)]
async fn revision_number_reused() {
    let replies = vec![
        FeedReply::At(before_restore(40), vec![("r-1", entry("plain"))]),
        FeedReply::Restored,
        FeedReply::At(after_restore(37), vec![("r-1", entry("plain"))]),
        FeedReply::At(after_restore(38), vec![("r-2", entry("plain"))]),
        FeedReply::At(after_restore(39), vec![("r-1", None)]),
    ];
    assert_eq!(working_runners(replies, EXPIRY_TIME).await, ["r-2"]);
}

/// The backup contains an entry that is neither rewritten nor expires: the runner must be running.
#[tokio::test(start_paused = true)]
async fn unconfirmed_entry_applied_later() {
    let replies = vec![
        FeedReply::At(before_restore(7), vec![("r-1", entry("plain"))]),
        FeedReply::Restored,
        FeedReply::At(
            after_restore(6),
            vec![("r-1", entry("plain")), ("r-2", entry("plain"))],
        ),
    ];
    assert_eq!(working_runners(replies.clone(), APPLY_TIME).await, ["r-1"]);
    assert_eq!(working_runners(replies, EXPIRY_TIME).await, ["r-1", "r-2"]);
}

async fn relay_after(replies: Vec<FeedReply>, time: Duration) -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    let following = tokio::spawn(follow::operator_table(
        relay.clone(),
        ScriptedFeed::new(replies),
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

/// A failure domain was drained after the backup. It stays drained until the operator has had the time
/// to rewrite the drain.
#[tokio::test(start_paused = true)]
async fn drain_retained() {
    let replies = vec![
        FeedReply::At(before_restore(7), vec![]),
        FeedReply::At(before_restore(8), drain()),
        FeedReply::Restored,
        FeedReply::At(after_restore(6), vec![]),
    ];
    assert_eq!(
        drained(&relay_after(replies.clone(), APPLY_TIME * 3).await),
        ["a"]
    );
    let expired = relay_after(replies.clone(), EXPIRY_TIME).await;
    assert!(drained(&expired).is_empty(), "the drain was not rewritten");
    let rewritten = FeedReply::At(after_restore(7), drain());
    let replies = [replies, vec![rewritten]].concat();
    assert_eq!(drained(&relay_after(replies, EXPIRY_TIME).await), ["a"]);
}

/// The operator ends a drain after the restore.
#[tokio::test(start_paused = true)]
async fn drain_ended() {
    let replies = vec![
        FeedReply::At(before_restore(7), drain()),
        FeedReply::Restored,
        FeedReply::At(after_restore(6), drain()),
        FeedReply::At(after_restore(7), vec![("drained-a", None)]),
    ];
    assert!(drained(&relay_after(replies, APPLY_TIME * 3).await).is_empty());
}

/// The backup contains an older configuration than the one in force. Applying it would restore routes
/// and keys that the operator has removed.
#[tokio::test(start_paused = true)]
async fn newer_configuration_retained() {
    let replies = vec![
        FeedReply::At(before_restore(7), vec![("plan", Some(json!(5)))]),
        FeedReply::Restored,
        FeedReply::At(after_restore(6), vec![("plan", Some(json!(4)))]),
    ];
    let relay = relay_after(replies, APPLY_TIME * 3).await;
    assert_eq!(
        relay
            .configuration()
            .map(|configuration| configuration.version),
        Some(5)
    );
}

/// A peer's announcement from before the restore is older than what was read since.
#[tokio::test(start_paused = true)]
async fn announcement_from_older_era() {
    let replies = vec![FeedReply::At(after_restore(6), vec![])];
    let relay = relay_after(replies, APPLY_TIME).await;
    let late = Drains {
        revision: before_restore(40),
        settled: 0,
        domains: ["a".into()].into(),
    };
    relay.drain(&late, "peer");
    assert!(drained(&relay).is_empty());
}

/// The backup lacks the row of this process. Processes that start later would not know this one.
#[tokio::test(start_paused = true)]
async fn own_row_rewritten() {
    let relay = ready(Fake::default());
    let table = store::Memory::default();
    let registering = tokio::spawn(member::register(relay.clone(), table.clone()));
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
    let replies = [
        FeedReply::At(before_restore(7), vec![]),
        FeedReply::Restored,
        FeedReply::At(after_restore(6), vec![]),
    ];
    let following = tokio::spawn(member::follow(relay.clone(), ScriptedFeed::new(replies)));
    sleep(EXPIRY_TIME).await;
    let again = table.read("relay", "relay-1").await.expect("there");
    assert!(row.is_some());
    assert_eq!(again.map(|row| row.value), row.map(|row| row.value));
    registering.abort();
    following.abort();
}

/// The backup contains the row of an earlier start of another process, whose address is not valid any
/// more.
#[tokio::test(start_paused = true)]
async fn earlier_peer_row_ignored() {
    let relay = ready(Fake::default());
    let row = |incarnation: u64| {
        let row = json!({ "id": "relay-2", "incarnation": incarnation, "address": "127.0.0.1:2",
            "weight": 1.0, "settled": true });
        vec![("relay-2", Some(row))]
    };
    let replies = [
        FeedReply::At(before_restore(7), row(9)),
        FeedReply::Restored,
        FeedReply::At(after_restore(6), row(8)),
    ];
    let following = tokio::spawn(member::follow(relay.clone(), ScriptedFeed::new(replies)));
    sleep(EXPIRY_TIME).await;
    following.abort();
    let incarnation = relay.peers.members(|members| {
        let other = members.reachable().next();
        other.map(|member| member.incarnation)
    });
    assert_eq!(incarnation, Some(9));
}
