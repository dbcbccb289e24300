//! Which runners get work as the platform's list changes.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::{Fake, entry, unconfigured};
use relay::{Relay, follow};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

async fn follow_for(told: Vec<FeedReply>, time: Duration) -> Arc<Relay<Fake>> {
    let relay = unconfigured(Fake::default());
    let following = tokio::spawn(follow::runner_table(relay.clone(), ScriptedFeed::new(told)));
    sleep(time).await;
    following.abort();
    relay
}

fn known(relay: &Relay<Fake>, service: &str) -> usize {
    relay.fleet(|fleet| fleet.of(service).len()).unwrap_or(0)
}

/// Time within which news must be in force: half of what runners that leave serve on for, at least.
const SOON: Duration = Duration::from_millis(1_200);
const AWAY: FeedReply = FeedReply::Unavailable(Duration::from_millis(100));

/// While the table service is away the runners' entries lapse, and on its return the follower is
/// told in one go that they are gone and that they are back. The relay would go on without any
/// runner, and refuse every request, until it is started anew.
#[tokio::test(start_paused = true)]
async fn lapsed_and_back() {
    let told = vec![
        FeedReply::Rows(vec![("r-1", entry("plain"))]),
        AWAY,
        FeedReply::Rows(vec![("r-1", None), ("r-1", entry("plain"))]),
    ];
    let relay = follow_for(told, Duration::from_secs(10)).await;
    assert_eq!(known(&relay, "plain"), 1);
}

/// An entry that lapsed during an outage is back a second after its end. Until then the runner
/// serves as before; a relay that believed the gap would refuse requests with all runners idle.
#[tokio::test(start_paused = true)]
async fn lapsed_for_a_second() {
    let told = vec![
        FeedReply::Rows(vec![("r-1", entry("plain"))]),
        AWAY,
        FeedReply::Rows(vec![("r-1", None)]),
    ];
    let relay = follow_for(told.clone(), Duration::from_secs(1)).await;
    assert_eq!(known(&relay, "plain"), 1);
    let relay = follow_for(told, Duration::from_secs(3)).await;
    assert_eq!(known(&relay, "plain"), 0, "one that stays away is gone");
}

/// A runner leaves and its entry goes while the table service is well: it gets nothing new from
/// then on, or its last requests would be cut off with it.
#[tokio::test(start_paused = true)]
async fn gone_at_once() {
    let told = vec![
        FeedReply::Rows(vec![("r-1", entry("plain")), ("r-2", entry("plain"))]),
        FeedReply::Rows(vec![("r-1", None)]),
        FeedReply::Rows(vec![(
            "r-2",
            Some(json!({ "service": "plain", "leaving": true })),
        )]),
    ];
    let relay = follow_for(told, SOON).await;
    assert_eq!(known(&relay, "plain"), 0);
}

/// The history is gone, and with it the word that a runner has left. The whole list does not name
/// it any more; a relay that only added what is listed would send to it for ever.
#[tokio::test(start_paused = true)]
async fn gone_in_a_gap() {
    let told = vec![
        FeedReply::Rows(vec![("r-1", entry("plain")), ("r-2", entry("plain"))]),
        FeedReply::Gap,
        FeedReply::Rows(vec![("r-2", entry("plain"))]),
    ];
    let relay = follow_for(told, SOON).await;
    assert!(relay.runner("r-1").is_none());
    assert!(relay.runner("r-2").is_some());
}

/// Another writer leaves an entry that makes no sense. It names no runner, and the entries around
/// it hold; a follower that stopped there would know no runner at all.
#[tokio::test(start_paused = true)]
async fn unreadable_entry() {
    let told = vec![FeedReply::Rows(vec![
        ("r-1", entry("plain")),
        ("odd", Some(json!(7))),
        ("r-2", entry("plain")),
    ])];
    let relay = follow_for(told, SOON).await;
    assert_eq!(known(&relay, "plain"), 2);
}

/// A runner starts again under the id that it had and knows nothing of before. What was learned of
/// its past, a failure record say, does not hold for the new one.
#[tokio::test(start_paused = true)]
async fn started_again() {
    let started = |at: u64| Some(json!({ "service": "plain", "started": at }));
    let told = vec![
        FeedReply::Rows(vec![("r-1", started(1))]),
        FeedReply::Rows(vec![("r-1", started(2))]),
    ];
    let relay = follow_for(told, SOON).await;
    assert_eq!(
        relay.runner("r-1").and_then(|runner| runner.started),
        Some(2)
    );
    assert_eq!(known(&relay, "plain"), 1);
}

/// The table service answers some questions, refuses others and leaves some hanging. What it does
/// tell counts at once, and what it told before holds: a relay that took each failure for an outage
/// would sit on news of seconds ago, or forget its runners.
#[tokio::test(start_paused = true)]
async fn answers_some() {
    let hanging = FeedReply::Unavailable(Duration::from_millis(700));
    let told = vec![
        FeedReply::Rows(vec![("r-1", entry("plain"))]),
        AWAY,
        FeedReply::Rows(vec![("r-2", entry("plain"))]),
        hanging.clone(),
        AWAY,
        FeedReply::Rows(vec![(
            "r-1",
            Some(json!({ "service": "plain", "leaving": true })),
        )]),
        hanging,
        FeedReply::Rows(vec![("r-3", entry("plain"))]),
    ];
    let relay = follow_for(told, Duration::from_secs(5)).await;
    assert!(relay.runner("r-1").is_none());
    assert_eq!(known(&relay, "plain"), 2);
}
