//! Results of orders that end without them: nobody receives their handles, so the process that forms the
//! calls has to release them. Otherwise they occupy the runner until they expire.

mod common;

use common::stage::{cell, order};
use common::{Fake, ready, runner};
use relay::batch::StageError;
use relay::downstream::{Handle, PieceOutcome};
use std::time::Duration;
use tokio::time::sleep;

/// Time of a call and of the release after it.
const CALL_AND_RELEASE: Duration = Duration::from_secs(1);

fn released(fake: &Fake) -> Vec<Handle> {
    let mut released = fake.released.lock().expect("free").clone();
    released.sort();
    released
}

/// Sets the outcomes of the next calls.
fn respond(fake: &Fake, outcomes: impl IntoIterator<Item = Vec<PieceOutcome>>) {
    let mut behaviors = fake.stage_behaviors.lock().expect("free");
    behaviors.extend(outcomes.into_iter().map(Ok));
}

/// Guards against a request that ends during the only call with its pieces, while nothing else is ordered.
#[tokio::test(start_paused = true)]
async fn request_gone() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let outcome = relay.batcher(&cell()).submit(&relay, order("a", 3));
    sleep(Duration::from_millis(50)).await;
    drop(outcome);
    sleep(CALL_AND_RELEASE).await;
    assert_eq!(released(&fake).len(), 3);
}

/// Guards against an order that fails after some of its pieces were made.
#[tokio::test(start_paused = true)]
async fn partly_made() {
    for (outcome, error) in [
        (PieceOutcome::Late, StageError::Late),
        (PieceOutcome::InputGone, StageError::InputGone),
    ] {
        let fake = Fake::default();
        let relay = ready(fake.clone());
        let made: Handle = format!("{}/made", runner("s-1", "stage").address).into();
        let outcomes = vec![PieceOutcome::Done(made.clone()), outcome];
        respond(&fake, [outcomes]);
        let outcome = relay.batcher(&cell()).submit(&relay, order("a", 2)).await;
        assert_eq!(outcome, Ok(Err(error)));
        sleep(CALL_AND_RELEASE).await;
        assert_eq!(released(&fake), [made]);
    }
}

/// Guards against an order that expires after some of its pieces were made, while the others wait.
#[tokio::test(start_paused = true)]
async fn partly_made_expired() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let made: Handle = format!("{}/made", runner("s-1", "stage").address).into();
    let outcomes = vec![PieceOutcome::Done(made.clone()), PieceOutcome::NoRoom];
    respond(&fake, [outcomes]);
    respond(
        &fake,
        std::iter::repeat_n(vec![PieceOutcome::NoRoom], 1_000),
    );
    let outcome = relay.batcher(&cell()).submit(&relay, order("a", 2)).await;
    assert_eq!(outcome, Ok(Err(StageError::Late)));
    sleep(CALL_AND_RELEASE).await;
    assert_eq!(released(&fake), [made]);
}
