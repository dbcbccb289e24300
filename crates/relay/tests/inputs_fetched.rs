//! Room taken by results that the next stage's call has fetched, until that call ends.
//!
//! A runner has room for the results of a little more than two calls. If each result were held
//! until the next stage's call had ended, a burst would fill all runners with results that had been
//! fetched long before.

mod common;

use common::stage::{cell, order};
use common::{Fake, StageCall, ready, request, with_policies};
use relay::Relay;
use relay::batch::{Order, ReleaseKind};
use relay::downstream::Handle;
use setting::Policy;
use setting::relay::Policies;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

async fn make(relay: &Arc<Relay<Fake>>, id: &str) -> Vec<Handle> {
    let patient = Instant::now() + Duration::from_secs(8);
    let order = Order {
        due: patient,
        expires_at: patient,
        ..order(id, 4)
    };
    let outcome = relay.batcher(&cell()).submit(relay, order).await;
    outcome.expect("an outcome").expect("made")
}

/// Fills the room of both runners, three calls each.
async fn fill(relay: &Arc<Relay<Fake>>) -> Vec<Handle> {
    let mut results = Vec::new();
    for number in 0..6 {
        results.extend(make(relay, &format!("kept-{number}")).await);
    }
    results
}

/// With all room taken, the pieces of a request are processed as soon as some of the stored results
/// have been fetched. Held until the calls that fetched them end, they would stall the request, and
/// its user would get a late response.
#[tokio::test(start_paused = true)]
async fn makes_room() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let kept = fill(&relay).await;
    relay
        .batcher(&cell())
        .release(&relay, &kept, ReleaseKind::Fetched);
    let started_at = Instant::now();
    make(&relay, "next").await;
    assert!(started_at.elapsed() < Duration::from_secs(1));
    let released = fake.released.lock().expect("free").len();
    assert_eq!(released, 4, "no more than the call needs");
}

/// Pieces that wait for room while no call is in progress are processed as soon as stored results
/// have been fetched or released. No call ends that would start theirs, so they would wait until the
/// results expire, seconds later, although the runners have room.
#[tokio::test(start_paused = true)]
async fn starts_when_room_comes_free() {
    for kind in [ReleaseKind::Fetched, ReleaseKind::Over] {
        let relay = ready(Fake::default());
        let kept = fill(&relay).await;
        let next = tokio::spawn({
            let relay = relay.clone();
            async move { make(&relay, "next").await }
        });
        sleep(Duration::from_millis(100)).await;
        assert!(!next.is_finished(), "{kind:?}: there was room");
        let released_at = Instant::now();
        relay.batcher(&cell()).release(&relay, &kept, kind);
        next.await.expect("made");
        let took = released_at.elapsed();
        assert!(took < Duration::from_secs(1), "{kind:?}: {took:?}");
    }
}

/// Fetched results are kept as long as there is room. The call that fetched them may still fail,
/// and without them its request would have to start over.
#[tokio::test(start_paused = true)]
async fn kept_while_room() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let results = make(&relay, "first").await;
    relay
        .batcher(&cell())
        .release(&relay, &results, ReleaseKind::Fetched);
    make(&relay, "second").await;
    make(&relay, "third").await;
    assert_eq!(fake.released.lock().expect("free").len(), 0);
    relay
        .batcher(&cell())
        .release(&relay, &results, ReleaseKind::Over);
    make(&relay, "fourth").await;
    make(&relay, "fifth").await;
    assert_eq!(fake.released.lock().expect("free").len(), results.len());
}

/// While the second stage of a request is processed, the results of its first stage make room for
/// others shortly after that call has started, and not only when it ends.
#[tokio::test(start_paused = true)]
async fn released_by_next_stage() {
    for (fetched, expected_drops) in [(Policy::Shipped, 3), (Policy::Naive, 0)] {
        let fake = Fake::default();
        let policy = Policies {
            fetched,
            ..Policies::default()
        };
        let relay = with_policies(fake.clone(), policy);
        for number in 0..4 {
            make(&relay, &format!("kept-{number}")).await;
        }
        let serving = tokio::spawn({
            let relay = relay.clone();
            async move { relay.serve(request("chained", "chained")).await }
        });
        while !fake.stage_calls().iter().any(is_second) {
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(80)).await;
        let next = tokio::spawn({
            let relay = relay.clone();
            async move { make(&relay, "next").await }
        });
        sleep(Duration::from_millis(20)).await;
        let released = fake.released.lock().expect("free").clone();
        let inputs = released
            .iter()
            .filter(|handle| handle.contains("chained-0-"));
        assert_eq!(inputs.count(), expected_drops, "{fetched:?} {released:?}");
        assert_eq!(serving.await.expect("served").status, 200);
        next.await.expect("made");
    }
}

fn is_second(call: &StageCall) -> bool {
    call.items.iter().any(|item| item.stage == 1)
}
