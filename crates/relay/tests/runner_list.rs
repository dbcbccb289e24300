//! Selection of runners as the platform's runner table changes.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::{Fake, entry, unconfigured};
use relay::{Relay, follow};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

async fn follow_for(replies: Vec<FeedReply>, time: Duration) -> Arc<Relay<Fake>> {
    let relay = unconfigured(Fake::default());
    let following = tokio::spawn(follow::runner_table(
        relay.clone(),
        ScriptedFeed::new(replies),
    ));
    sleep(time).await;
    following.abort();
    relay
}

fn runner_count(relay: &Relay<Fake>, service: &str) -> usize {
    relay.fleet(|fleet| fleet.of(service).len()).unwrap_or(0)
}

/// Time within which changes must be in force: half of the minimum time for which leaving runners go on
/// to serve.
const APPLY_TIME: Duration = Duration::from_millis(1_200);
const OUTAGE: FeedReply = FeedReply::Unavailable(Duration::from_millis(100));

/// During an outage of the table service the runners' entries expire, and on its return the same changes
/// contain their removal and their new entries. Guards against a relay that is left without runners, and
/// so refuses every request until it is restarted.
#[tokio::test(start_paused = true)]
async fn expired_and_rewritten() {
    let replies = vec![
        FeedReply::Rows(vec![("r-1", entry("plain"))]),
        OUTAGE,
        FeedReply::Rows(vec![("r-1", None), ("r-1", entry("plain"))]),
    ];
    let relay = follow_for(replies, Duration::from_secs(10)).await;
    assert_eq!(runner_count(&relay, "plain"), 1);
}

/// An entry that expired during an outage is rewritten a second after its end. The runner must serve
/// until then. A relay that applied the removal would refuse requests while all runners are idle.
#[tokio::test(start_paused = true)]
async fn expired_for_a_second() {
    let replies = vec![
        FeedReply::Rows(vec![("r-1", entry("plain"))]),
        OUTAGE,
        FeedReply::Rows(vec![("r-1", None)]),
    ];
    let relay = follow_for(replies.clone(), Duration::from_secs(1)).await;
    assert_eq!(runner_count(&relay, "plain"), 1);
    let relay = follow_for(replies, Duration::from_secs(3)).await;
    assert_eq!(
        runner_count(&relay, "plain"),
        0,
        "a runner that does not return is gone"
    );
}

/// A runner leaves and its entry is removed while the table service is available. It must get no new
/// requests from then on, since these would be cut off.
#[tokio::test(start_paused = true)]
async fn removed_at_once() {
    let replies = vec![
        FeedReply::Rows(vec![("r-1", entry("plain")), ("r-2", entry("plain"))]),
        FeedReply::Rows(vec![("r-1", None)]),
        FeedReply::Rows(vec![(
            "r-2",
            Some(json!({ "service": "plain", "leaving": true })),
        )]),
    ];
    let relay = follow_for(replies, APPLY_TIME).await;
    assert_eq!(runner_count(&relay, "plain"), 0);
}

/// The history is truncated, and with it the change that removed a runner. The whole table does not
/// contain the runner any more. A relay that only added the listed runners would send requests to it
/// forever.
#[tokio::test(start_paused = true)]
async fn removed_in_history_gap() {
    let replies = vec![
        FeedReply::Rows(vec![("r-1", entry("plain")), ("r-2", entry("plain"))]),
        FeedReply::Gap,
        FeedReply::Rows(vec![("r-2", entry("plain"))]),
    ];
    let relay = follow_for(replies, APPLY_TIME).await;
    assert!(relay.runner("r-1").is_none());
    assert!(relay.runner("r-2").is_some());
}

/// Another writer has written an invalid entry. It must be skipped, and the entries around it applied. A
/// follower that stopped there would have no runners at all.
#[tokio::test(start_paused = true)]
async fn invalid_entry() {
    let replies = vec![FeedReply::Rows(vec![
        ("r-1", entry("plain")),
        ("odd", Some(json!(7))),
        ("r-2", entry("plain")),
    ])];
    let relay = follow_for(replies, APPLY_TIME).await;
    assert_eq!(runner_count(&relay, "plain"), 2);
}

/// A runner restarts under the same id, without any state from before. What was recorded about its
/// earlier start, such as failures, must not apply to the new one.
#[tokio::test(start_paused = true)]
async fn runner_restarted() {
    let started = |at: u64| Some(json!({ "service": "plain", "started": at }));
    let replies = vec![
        FeedReply::Rows(vec![("r-1", started(1))]),
        FeedReply::Rows(vec![("r-1", started(2))]),
    ];
    let relay = follow_for(replies, APPLY_TIME).await;
    assert_eq!(
        relay.runner("r-1").and_then(|runner| runner.started),
        Some(2)
    );
    assert_eq!(runner_count(&relay, "plain"), 1);
}

/// The table service answers some requests, rejects others and lets some time out. Changes that it does
/// send must be applied at once, and earlier ones must persist. A relay that treated each failure as an
/// outage would apply changes seconds too late, or lose its runners.
#[tokio::test(start_paused = true)]
async fn unreliable_table_service() {
    let timeout = FeedReply::Unavailable(Duration::from_millis(700));
    let replies = vec![
        FeedReply::Rows(vec![("r-1", entry("plain"))]),
        OUTAGE,
        FeedReply::Rows(vec![("r-2", entry("plain"))]),
        timeout.clone(),
        OUTAGE,
        FeedReply::Rows(vec![(
            "r-1",
            Some(json!({ "service": "plain", "leaving": true })),
        )]),
        timeout,
        FeedReply::Rows(vec![("r-3", entry("plain"))]),
    ];
    let relay = follow_for(replies, Duration::from_secs(5)).await;
    assert!(relay.runner("r-1").is_none());
    assert_eq!(runner_count(&relay, "plain"), 2);
}
