//! What a process does after it has not run for a while.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::{Behavior, Fake, TIME_SINCE_BOOT, body, configuration, entry, request, unconfigured};
use relay::downstream::NotRun;
use relay::{Relay, follow};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, advance, sleep};

/// Long enough that runners have come and gone meanwhile.
const PAUSE: Duration = Duration::from_secs(3);
/// Longest time that a request waits for news.
const WAIT: Duration = Duration::from_millis(300);

/// The VM is suspended: the steady clock stands still.
fn suspend() {
    TIME_SINCE_BOOT.set(TIME_SINCE_BOOT.get() + PAUSE);
}

/// The process does not run for a while; all clocks go on.
async fn stop(time: Duration) {
    TIME_SINCE_BOOT.set(TIME_SINCE_BOOT.get() + time);
    advance(time).await;
}

/// A relay that has heard the first of what the feed tells.
async fn following(fake: &Fake, told: Vec<FeedReply>) -> (Arc<Relay<Fake>>, JoinHandle<()>) {
    let relay = unconfigured(fake.clone());
    relay.adopt(configuration(1));
    let following = tokio::spawn(follow::runner_table(relay.clone(), ScriptedFeed::new(told)));
    sleep(Duration::from_millis(700)).await;
    assert!(relay.is_ready());
    (relay, following)
}

/// Runner p-1 is known; during the pause it leaves and p-2 comes.
fn replaced() -> Vec<FeedReply> {
    vec![
        FeedReply::Rows(vec![("p-1", entry("plain"))]),
        FeedReply::NoChanges,
        FeedReply::Rows(vec![("p-1", None), ("p-2", entry("plain"))]),
    ]
}

fn runners(fake: &Fake) -> Vec<String> {
    fake.sent().into_iter().map(|sent| sent.runner).collect()
}

/// Runner p-1 has left while the VM was suspended, and p-2 has come. The question for changes from
/// before waits for some seconds still. A caller whose request went by the old list would wait for
/// a runner that is not there, or meet another one at its address.
#[tokio::test(start_paused = true)]
async fn news_first() {
    let fake = Fake::default();
    let (relay, _following) = following(&fake, replaced()).await;
    suspend();
    assert!(!relay.is_caught_up(), "no callers are wanted yet");
    let answer = body(relay.serve(request("a", "safe")).await).await;
    assert_eq!(answer, (200, "done".to_owned(), true));
    assert_eq!(runners(&fake), ["p-2"]);
    assert!(relay.is_caught_up());
}

/// The same where the process was stopped by a signal, so that its timers are late.
#[tokio::test(start_paused = true)]
async fn stopped() {
    let fake = Fake::default();
    let (relay, _following) = following(&fake, replaced()).await;
    stop(PAUSE).await;
    body(relay.serve(request("a", "safe")).await).await;
    assert_eq!(runners(&fake), ["p-2"]);
}

/// The platform is away when the process goes on. Its callers must not wait for an answer that may
/// take a minute: after a moment they are served by what was known.
#[tokio::test(start_paused = true)]
async fn no_news() {
    let fake = Fake::default();
    let told = vec![
        FeedReply::Rows(vec![("p-1", entry("plain"))]),
        FeedReply::NoChanges,
        FeedReply::Unavailable(Duration::from_secs(60)),
    ];
    let (relay, _following) = following(&fake, told).await;
    suspend();
    let begun = Instant::now();
    let answer = body(relay.serve(request("a", "safe")).await).await;
    assert_eq!(answer.0, 200);
    assert!(begun.elapsed() >= WAIT, "news was waited for");
    assert!(begun.elapsed() < 2 * WAIT);
    assert!(relay.is_caught_up(), "one that cannot know more serves on");
}

/// A process that is busy for a few hundred milliseconds, or just has little of its processor, has
/// not paused. Its requests must not wait for the platform each time.
#[tokio::test(start_paused = true)]
async fn busy_process() {
    let fake = Fake::default();
    let (relay, _following) =
        following(&fake, vec![FeedReply::Rows(vec![("p-1", entry("plain"))])]).await;
    assert!(relay.is_caught_up());
    stop(Duration::from_millis(400)).await;
    assert!(relay.is_caught_up());
}

/// The VM is suspended while a runner refuses a request. The caller has waited all that time; told
/// of the time that the steady clock left, the next runner would work for nobody.
#[tokio::test(start_paused = true)]
async fn time_left() {
    let fake = Fake::with_behaviors([Behavior::Refuse(NotRun::Full { spacing: None })]);
    let told = vec![FeedReply::Rows(vec![
        ("p-1", entry("plain")),
        ("p-2", entry("plain")),
    ])];
    let (relay, _following) = following(&fake, told).await;
    let serving = tokio::spawn({
        let relay = relay.clone();
        async move { body(relay.serve(request("a", "safe")).await).await }
    });
    sleep(Duration::from_millis(2)).await;
    suspend();
    assert_eq!(serving.await.expect("no panic").0, 200);
    let left: Vec<_> = fake.sent().iter().map(|sent| sent.remaining).collect();
    assert_eq!(left.len(), 2);
    assert!(left[1] + PAUSE <= left[0], "{left:?}");
}
