//! Start credits: which requests of chains start, and when their credits come back.

mod common;

use common::credits::{
    ALONE, ASK_TIME, Asker, WINDOW, assert_returned, calls_of, has_piece, spawn, spawn_waiting,
};
use common::pair::{advance_time, pair};
use common::poison::{attempt_on, fake, reply, serve};
use common::{Fake, runner, with_policies};
use relay::Relay;
use relay::downstream::PieceOutcome;
use relay::runner::Change;
use setting::Policy;
use setting::relay::Policies;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time within which a request that cannot be on time is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Timeout of steps in virtual time.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a gate computes its capacity anew.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(200);
/// Runners that form more than one cell.
const RUNNERS: usize = 19;

/// A relay with two runners of each service, whose gate is its own.
async fn single() -> Arc<Relay<Fake>> {
    with_flow(Policy::Shipped)
}

fn with_flow(flow: Policy) -> Arc<Relay<Fake>> {
    tokio::spawn(advance_time());
    let policy = Policies {
        flow,
        ..Policies::default()
    };
    with_policies(fake(), policy)
}

/// Guards against credits that are kept after the stages of their requests are done.
#[tokio::test(start_paused = true)]
async fn returned_when_done() {
    let relay = single().await;
    assert!(reply(spawn(&relay, "a")).await.is_served());
    assert_returned(&relay).await;
}

/// Guards against credits that are kept after a request has started and was refused later.
#[tokio::test(start_paused = true)]
async fn returned_when_refused() {
    let relay = single().await;
    let gone = || Ok(vec![PieceOutcome::InputGone]);
    let behaviors = &relay.downstream.stage_behaviors;
    behaviors.lock().expect("free").extend([gone(), gone()]);
    assert_eq!(reply(spawn(&relay, "a")).await.status, 503);
    assert_returned(&relay).await;
}

/// Guards against requests that wait at the gate, and start, after their clients have left.
#[tokio::test(start_paused = true)]
async fn client_leaves_while_waiting() {
    let relay = single().await;
    let mut asker = Asker::open(&relay).await;
    let held = asker.hold(WINDOW).await;
    let waiting = spawn_waiting(&relay, "a").await;
    waiting.abort();
    assert!(waiting.await.is_err());
    asker.give_back(held).await;
    assert_returned(&relay).await;
    assert_eq!(calls_of(&relay.downstream, "a"), 0);
}

/// Guards against credits that are kept after clients have left while stages run.
#[tokio::test(start_paused = true)]
async fn client_leaves_while_started() {
    let relay = single().await;
    let started = spawn(&relay, "a");
    let has_started = timeout(TIMEOUT, has_piece(&relay.downstream, "a"));
    has_started.await.expect("started");
    started.abort();
    assert!(started.await.is_err());
    assert_returned(&relay).await;
}

/// Guards against requests that start while the window is full, or are not woken by returned credits.
#[tokio::test(start_paused = true)]
async fn waits_before_first_stage() {
    let relay = single().await;
    let mut asker = Asker::open(&relay).await;
    let held = asker.hold(WINDOW).await;
    let mut waiting = Vec::new();
    for id in ["a", "b", "c"] {
        waiting.push(spawn_waiting(&relay, id).await);
    }
    assert!(relay.downstream.stage_calls().is_empty());
    asker.give_back(held).await;
    for waiting in waiting {
        assert!(reply(waiting).await.is_served());
    }
    assert_returned(&relay).await;
}

/// Guards against requests that wait although they cannot be on time, or of which a runner gets a piece.
#[tokio::test(start_paused = true)]
async fn refused_at_once() {
    let relay = single().await;
    let mut asker = Asker::open(&relay).await;
    asker.hold(ALONE).await;
    let refused = reply(spawn(&relay, "a")).await;
    assert_eq!(refused.status, 503);
    assert!(refused.elapsed <= REFUSAL_TIME, "{refused:?}");
    assert!(refused.retry_after > Some(Duration::ZERO), "{refused:?}");
    assert!(relay.downstream.stage_calls().is_empty());
    assert!(relay.downstream.sent().is_empty());
    drop(asker);
    assert_returned(&relay).await;
}

/// Guards against requests that wait until their clients give up because no credit ever comes back.
#[tokio::test(start_paused = true)]
async fn refused_while_waiting() {
    let relay = single().await;
    let mut asker = Asker::open(&relay).await;
    asker.hold(WINDOW).await;
    let refused = reply(spawn_waiting(&relay, "a").await).await;
    assert_eq!(refused.status, 503);
    assert!(refused.elapsed < Duration::from_secs(1), "{refused:?}");
    assert!(refused.retry_after > Some(Duration::ZERO), "{refused:?}");
    assert!(relay.downstream.stage_calls().is_empty());
}

/// Guards against requests without dependent stages that are held back by a gate.
#[tokio::test(start_paused = true)]
async fn routes_without_gate() {
    let relay = single().await;
    let mut asker = Asker::open(&relay).await;
    asker.hold(ALONE).await;
    for route in ["staged", "safe"] {
        assert!(
            serve(&relay, attempt_on(route, route, route))
                .await
                .is_served()
        );
    }
    let mut first_stage_only = attempt_on("chained", "short", "short");
    first_stage_only.pieces = vec![1, 0];
    assert!(serve(&relay, first_stage_only).await.is_served());
}

/// Guards against requests that are held back by a gate although the policy disables it.
#[tokio::test(start_paused = true)]
async fn naive_policy() {
    let relay = with_flow(Policy::Naive);
    let mut asker = Asker::open(&relay).await;
    asker.hold(ALONE).await;
    assert!(reply(spawn(&relay, "a")).await.is_served());
}

/// Guards against requests that are cut off at the gate when the process stops.
#[tokio::test(start_paused = true)]
async fn process_stops() {
    let relay = single().await;
    let mut asker = Asker::open(&relay).await;
    let held = asker.hold(WINDOW).await;
    let waiting = spawn_waiting(&relay, "a").await;
    let stopped_at = Instant::now();
    relay.ending.cancel();
    let refused = reply(waiting).await;
    assert_eq!(stopped_at.elapsed(), Duration::ZERO);
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after > Some(Duration::ZERO), "{refused:?}");
    asker.give_back(held).await;
    assert_returned(&relay).await;
    assert!(relay.downstream.stage_calls().is_empty());
}

/// Guards against requests that wait at the gate of a cell that has no runners any more.
#[tokio::test(start_paused = true)]
async fn last_runners_leave() {
    let relay = single().await;
    let mut asker = Asker::open(&relay).await;
    asker.hold(WINDOW).await;
    let waiting = spawn_waiting(&relay, "a").await;
    let left_at = Instant::now();
    relay.update(["s-1", "s-2"].map(|id| Change::Gone(id.into())).into());
    let refused = reply(waiting).await;
    assert_eq!(refused.status, 503);
    assert!(refused.retry_after > Some(Duration::ZERO), "{refused:?}");
    assert!(left_at.elapsed() < TIMEOUT);
}

/// Guards against gates that keep the capacity of former runners, and requests that wait there forever.
#[tokio::test(start_paused = true)]
async fn runners_join() {
    let relay = single().await;
    let mut asker = Asker::open(&relay).await;
    asker.hold(WINDOW).await;
    let waiting = spawn_waiting(&relay, "a").await;
    let joined = (3..=RUNNERS).map(|number| runner(&format!("s-{number}"), "stage"));
    relay.update(joined.map(Change::Listed).collect());
    let ended = timeout(TIMEOUT, reply(waiting)).await.expect("not stuck");
    let is_refused = ended.status == 503 && ended.retry_after > Some(Duration::ZERO);
    assert!(ended.is_served() || is_refused, "{ended:?}");
    sleep(CAPACITY_INTERVAL).await;
    asker.hold(WINDOW).await;
}

/// Guards against requests that ignore the gate of another process, or keep its credits.
#[tokio::test(start_paused = true)]
async fn gate_of_other_process() {
    let (asking, owner) = pair(2, 2).await;
    let mut asker = Asker::open(&owner.relay).await;
    let held = asker.hold(WINDOW).await;
    let waiting = spawn_waiting(&asking.relay, "a").await;
    let left = spawn_waiting(&asking.relay, "b").await;
    left.abort();
    assert!(left.await.is_err());
    sleep(ASK_TIME).await;
    asker.give_back(held).await;
    assert!(reply(waiting).await.is_served());
    assert_returned(&owner.relay).await;
    assert_eq!(calls_of(&asking.relay.downstream, "b"), 0);
}

/// Guards against requests that wait at the gate of another process although they cannot be on time.
#[tokio::test(start_paused = true)]
async fn refused_by_other_process() {
    let (asking, owner) = pair(2, 2).await;
    let mut asker = Asker::open(&owner.relay).await;
    asker.hold(ALONE).await;
    let refused = reply(spawn(&asking.relay, "a")).await;
    assert_eq!(refused.status, 503);
    assert!(refused.elapsed <= REFUSAL_TIME, "{refused:?}");
    assert!(refused.retry_after > Some(Duration::ZERO), "{refused:?}");
    assert!(asking.relay.downstream.stage_calls().is_empty());
    drop(asker);
    assert_returned(&owner.relay).await;
}
