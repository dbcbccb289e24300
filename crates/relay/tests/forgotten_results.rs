//! Results that are still stored at the runners of a stage after all processes were killed.

mod common;

use common::stage::{cell, order};
use common::{Fake, ready};
use relay::batch::{Order, ReleaseKind, StageError};
use relay::downstream::{Handle, PieceOutcome};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Makes the runners reject results for this many calls, as if they were full of results that no
/// process knows of.
fn reject_results(fake: &Fake, calls: usize) {
    let mut behaviors = fake.stage_behaviors.lock().expect("free");
    behaviors.extend(std::iter::repeat_n(Ok(vec![PieceOutcome::NoRoom]), calls));
}

fn patient(id: &str) -> Order {
    Order {
        expires_at: Instant::now() + Duration::from_secs(3),
        ..order(id, 1)
    }
}

/// All processes were killed, and results that no process knows of occupy the room of every runner.
/// If the runners were called again every few milliseconds until these expire, they would spend
/// that time on rejections, some hundred a second.
#[tokio::test(start_paused = true)]
async fn not_called_again() {
    let fake = Fake::default();
    reject_results(&fake, 1_000);
    let relay = ready(fake.clone());
    let outcome = relay.batcher(&cell()).submit(&relay, patient("a")).await;
    assert_eq!(outcome, Ok(Err(StageError::Late)));
    let calls = fake.stage_calls().len();
    assert!((4..=16).contains(&calls), "{calls} calls to two runners");
}

/// The unknown results expire. Waiting pieces are processed within a second of that, although no
/// message announces it.
#[tokio::test(start_paused = true)]
async fn expiry_detected() {
    let fake = Fake::default();
    reject_results(&fake, 4);
    let relay = ready(fake.clone());
    let results = relay.batcher(&cell()).submit(&relay, patient("a"));
    let results = timeout(Duration::from_millis(1_700), results).await;
    assert!(results.expect("in time").expect("an outcome").is_ok());
}

/// A process is killed between two calls to a runner. Results that are no longer needed must have
/// been dropped by then: if the runner were notified only with the next call, they would occupy
/// room for seconds after the kill.
#[tokio::test(start_paused = true)]
async fn dropped_at_once() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let batcher = relay.batcher(&cell());
    let results = batcher.submit(&relay, order("a", 3)).await;
    let results: Vec<Handle> = results.expect("an outcome").expect("made");
    batcher.release(&relay, &results, ReleaseKind::Over);
    sleep(Duration::from_millis(100)).await;
    let mut released = fake.released.lock().expect("free").clone();
    released.sort();
    assert_eq!(released, results);
}

/// Results that a call has fetched are kept until it ends, since they are needed again if it fails.
#[tokio::test(start_paused = true)]
async fn fetched_results_kept() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let batcher = relay.batcher(&cell());
    let results = batcher.submit(&relay, order("a", 3)).await;
    let results: Vec<Handle> = results.expect("an outcome").expect("made");
    batcher.release(&relay, &results, ReleaseKind::Fetched);
    sleep(Duration::from_millis(100)).await;
    assert!(fake.released.lock().expect("free").is_empty());
}

/// Runners reject results for two seconds because they are full of unknown ones. The estimated size
/// of results must not change: doubled, it would leave half of the room unused for the next hundred
/// calls.
#[tokio::test(start_paused = true)]
async fn size_estimate_unchanged() {
    let fake = Fake::default();
    reject_results(&fake, 9);
    let relay = ready(fake.clone());
    let batcher = relay.batcher(&cell());
    let results = batcher
        .submit(
            &relay,
            Order {
                expires_at: Instant::now() + Duration::from_secs(20),
                ..patient("a")
            },
        )
        .await;
    let results: Vec<Handle> = results.expect("an outcome").expect("made");
    batcher.release(&relay, &results, ReleaseKind::Over);
    sleep(Duration::from_secs(2)).await;
    let large = Order {
        pieces: 4,
        result_bytes: 300,
        ..patient("b")
    };
    let results = batcher.submit(&relay, large).await;
    assert!(results.expect("an outcome").is_ok());
    let most = fake.stage_calls().iter().map(|call| call.items.len()).max();
    assert!(
        most >= Some(3),
        "{most:?} of 4 pieces that there is room for"
    );
}
