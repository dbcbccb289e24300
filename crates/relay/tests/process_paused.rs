//! Behavior of a process after a pause in which it did not run.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::{Behavior, Fake, TIME_SINCE_BOOT, body, configuration, entry, request, unconfigured};
use relay::downstream::NotRun;
use relay::{Relay, follow};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, advance, sleep};

/// Pause that is long enough for runners to be added and removed.
const PAUSE: Duration = Duration::from_secs(3);
/// Maximum time that a request waits for updates.
const UPDATE_WAIT: Duration = Duration::from_millis(300);

/// Suspends the VM: the monotonic clock stands still.
fn suspend() {
    TIME_SINCE_BOOT.set(TIME_SINCE_BOOT.get() + PAUSE);
}

/// Stops the process for a while: all clocks go on.
async fn stop_process(time: Duration) {
    TIME_SINCE_BOOT.set(TIME_SINCE_BOOT.get() + time);
    advance(time).await;
}

/// A relay that has received the first of the replies.
async fn relay_following(
    fake: &Fake,
    replies: Vec<FeedReply>,
) -> (Arc<Relay<Fake>>, JoinHandle<()>) {
    let relay = unconfigured(fake.clone());
    relay.adopt(configuration(1));
    let following = tokio::spawn(follow::runner_table(
        relay.clone(),
        ScriptedFeed::new(replies),
    ));
    sleep(Duration::from_millis(700)).await;
    assert!(relay.is_ready());
    (relay, following)
}

/// Runner p-1 is known; during the pause it is removed and p-2 is added.
fn runner_replaced() -> Vec<FeedReply> {
    vec![
        FeedReply::Rows(vec![("p-1", entry("plain"))]),
        FeedReply::NoChanges,
        FeedReply::Rows(vec![("p-1", None), ("p-2", entry("plain"))]),
    ]
}

fn contacted_runners(fake: &Fake) -> Vec<String> {
    fake.sent().into_iter().map(|sent| sent.runner).collect()
}

/// While the VM was suspended, runner p-1 was removed and p-2 added. The request for changes from before
/// the pause still waits for some seconds. With the old list, a client's request would wait for a runner
/// that is gone, or go to another one at the same address.
#[tokio::test(start_paused = true)]
async fn updates_before_requests() {
    let fake = Fake::default();
    let (relay, _following) = relay_following(&fake, runner_replaced()).await;
    suspend();
    assert!(!relay.is_caught_up(), "not ready for requests yet");
    let answer = body(relay.serve(request("a", "safe")).await).await;
    assert_eq!(answer, (200, "done".to_owned(), true));
    assert_eq!(contacted_runners(&fake), ["p-2"]);
    assert!(relay.is_caught_up());
}

/// The same if the process was stopped by a signal, so that its timers fire late.
#[tokio::test(start_paused = true)]
async fn process_stopped() {
    let fake = Fake::default();
    let (relay, _following) = relay_following(&fake, runner_replaced()).await;
    stop_process(PAUSE).await;
    body(relay.serve(request("a", "safe")).await).await;
    assert_eq!(contacted_runners(&fake), ["p-2"]);
}

/// The platform is unavailable when the process continues. Its clients must not wait for a response that
/// may take a minute: after a moment, they are served with the known runners.
#[tokio::test(start_paused = true)]
async fn table_service_unavailable() {
    let fake = Fake::default();
    let replies = vec![
        FeedReply::Rows(vec![("p-1", entry("plain"))]),
        FeedReply::NoChanges,
        FeedReply::Unavailable(Duration::from_secs(60)),
    ];
    let (relay, _following) = relay_following(&fake, replies).await;
    suspend();
    let started = Instant::now();
    let answer = body(relay.serve(request("a", "safe")).await).await;
    assert_eq!(answer.0, 200);
    assert!(started.elapsed() >= UPDATE_WAIT, "waited for updates");
    assert!(started.elapsed() < 2 * UPDATE_WAIT);
    assert!(relay.is_caught_up(), "serves with the known runners");
}

/// A process that is busy for a few hundred milliseconds, or gets little processor time, was not paused.
/// Its requests must not wait for the platform each time.
#[tokio::test(start_paused = true)]
async fn busy_process() {
    let fake = Fake::default();
    let (relay, _following) =
        relay_following(&fake, vec![FeedReply::Rows(vec![("p-1", entry("plain"))])]).await;
    assert!(relay.is_caught_up());
    stop_process(Duration::from_millis(400)).await;
    assert!(relay.is_caught_up());
}

/// The VM is suspended while a runner rejects a request. The client has waited all that time. If the
/// next runner got the remaining time by the monotonic clock, it would work for a client that has timed
/// out.
#[tokio::test(start_paused = true)]
async fn remaining_time_after_suspension() {
    let fake = Fake::with_behaviors([Behavior::Refuse(NotRun::Full { spacing: None })]);
    let replies = vec![FeedReply::Rows(vec![
        ("p-1", entry("plain")),
        ("p-2", entry("plain")),
    ])];
    let (relay, _following) = relay_following(&fake, replies).await;
    let response = tokio::spawn({
        let relay = relay.clone();
        async move { body(relay.serve(request("a", "safe")).await).await }
    });
    sleep(Duration::from_millis(2)).await;
    suspend();
    assert_eq!(response.await.expect("no panic").0, 200);
    let remaining: Vec<_> = fake.sent().iter().map(|sent| sent.remaining).collect();
    assert_eq!(remaining.len(), 2);
    assert!(remaining[1] + PAUSE <= remaining[0], "{remaining:?}");
}

/// The task that followed the runners has ended and was started anew. If the old one still counted, requests
/// would wait in vain for its answer after each pause.
#[tokio::test(start_paused = true)]
async fn ended_follower() {
    let fake = Fake::default();
    let replies = vec![FeedReply::Rows(vec![("p-1", entry("plain"))])];
    let (relay, ended) = relay_following(&fake, replies).await;
    ended.abort();
    assert!(ended.await.is_err());
    let feed = ScriptedFeed::new(runner_replaced());
    let _following = tokio::spawn(follow::runner_table(relay.clone(), feed));
    sleep(Duration::from_millis(700)).await;
    suspend();
    assert!(!relay.is_caught_up());
    let started = Instant::now();
    let answer = body(relay.serve(request("a", "safe")).await).await;
    assert_eq!(answer.0, 200);
    assert!(started.elapsed() < UPDATE_WAIT, "{:?}", started.elapsed());
}
