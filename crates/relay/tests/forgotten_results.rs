//! Results that lie at runners of a stage after all processes were killed.

mod common;

use common::stage::{cell, order};
use common::{Fake, ready};
use relay::batch::{Order, ReleaseKind, StageError};
use relay::downstream::{Handle, PieceOutcome};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Answers of runners that are full of what nobody knows of.
fn full(fake: &Fake, calls: usize) {
    let mut behaviors = fake.stage_behaviors.lock().expect("free");
    behaviors.extend(std::iter::repeat_n(Ok(vec![PieceOutcome::NoRoom]), calls));
}

fn patient(id: &str) -> Order {
    Order {
        expires_at: Instant::now() + Duration::from_secs(3),
        ..order(id, 1)
    }
}

/// All processes were killed, and the room of every runner is taken up by results that nobody knows
/// of. Runners that are asked again every few milliseconds spend the time that these take to lapse
/// on refusals, some hundred a second.
#[tokio::test(start_paused = true)]
async fn not_asked_again() {
    let fake = Fake::default();
    full(&fake, 1_000);
    let relay = ready(fake.clone());
    let outcome = relay.batcher(&cell()).submit(&relay, patient("a")).await;
    assert_eq!(outcome, Ok(Err(StageError::Late)));
    let calls = fake.stage_calls().len();
    assert!((4..=16).contains(&calls), "{calls} calls to two runners");
}

/// The results lapse. What waits is made within a second of that, although nothing tells of it.
#[tokio::test(start_paused = true)]
async fn found_out() {
    let fake = Fake::default();
    full(&fake, 4);
    let relay = ready(fake.clone());
    let made = relay.batcher(&cell()).submit(&relay, patient("a"));
    let made = timeout(Duration::from_millis(1_700), made).await;
    assert!(made.expect("in time").expect("an outcome").is_ok());
}

/// A process is killed between two calls to a runner. What is over must have been given back by
/// then: told with the next call alone, it takes up room for seconds after the kill.
#[tokio::test(start_paused = true)]
async fn given_back_at_once() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let batcher = relay.batcher(&cell());
    let made = batcher.submit(&relay, order("a", 3)).await;
    let made: Vec<Handle> = made.expect("an outcome").expect("made");
    batcher.release(&relay, &made, ReleaseKind::Over);
    sleep(Duration::from_millis(100)).await;
    let mut released = fake.released.lock().expect("free").clone();
    released.sort();
    assert_eq!(released, made);
}

/// Results that a call has fetched are kept until it has ended: if it fails they are needed again.
#[tokio::test(start_paused = true)]
async fn fetched_are_kept() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let batcher = relay.batcher(&cell());
    let made = batcher.submit(&relay, order("a", 3)).await;
    let made: Vec<Handle> = made.expect("an outcome").expect("made");
    batcher.release(&relay, &made, ReleaseKind::Fetched);
    sleep(Duration::from_millis(100)).await;
    assert!(fake.released.lock().expect("free").is_empty());
}

/// Runners refuse results for two seconds, since they are full of forgotten ones. The sizes of results
/// are as before: taken for twice as large, they would leave half of the room unused for the next
/// hundred calls.
#[tokio::test(start_paused = true)]
async fn sizes_stay() {
    let fake = Fake::default();
    full(&fake, 9);
    let relay = ready(fake.clone());
    let batcher = relay.batcher(&cell());
    let made = batcher
        .submit(
            &relay,
            Order {
                expires_at: Instant::now() + Duration::from_secs(20),
                ..patient("a")
            },
        )
        .await;
    let made: Vec<Handle> = made.expect("an outcome").expect("made");
    batcher.release(&relay, &made, ReleaseKind::Over);
    sleep(Duration::from_secs(2)).await;
    let large = Order {
        pieces: 4,
        result_bytes: 300,
        ..patient("b")
    };
    let made = batcher.submit(&relay, large).await;
    assert!(made.expect("an outcome").is_ok());
    let most = fake.stage_calls().iter().map(|call| call.items.len()).max();
    assert!(
        most >= Some(3),
        "{most:?} of 4 pieces that there is room for"
    );
}
