//! Poison requests whose crashes cannot be attributed to them directly.

mod common;

use common::stage::{cell, order};
use common::{Behavior, Fake, body, ready, request, runner};
use protocol::quarantine::CRASH_THRESHOLD;
use relay::Relay;
use relay::batch::Order;
use relay::runner::Change;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Time for which the platform lists a runner after its exit.
const LISTED_AFTER_EXIT: Duration = Duration::from_secs(3);
/// Number of attempts.
const ATTEMPTS: usize = 9;

/// A relay with one runner of each service per attempt.
fn relay() -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    let more = |service: &'static str| {
        (3..=ATTEMPTS).map(move |number| {
            let id = format!("{}-{number}", &service[..1]);
            Change::Listed(runner(&id, service))
        })
    };
    relay.update(more("plain").chain(more("stage")).collect());
    relay
}

/// Removes a runner from the list some seconds after its exit.
fn unlist_later(relay: &Arc<Relay<Fake>>, id: String) {
    let relay = relay.clone();
    tokio::spawn(async move {
        sleep(LISTED_AFTER_EXIT).await;
        relay.update(vec![Change::Gone(id.as_str().into())]);
    });
}

/// Guards against a request that makes one runner after the other unresponsive. Their addresses refuse no
/// connections, so a failure is certain only once the runner is no longer listed.
#[tokio::test(start_paused = true)]
async fn unresponsive_runners() {
    let relay = relay();
    let mut unresponsive = BTreeSet::new();
    for number in 0..ATTEMPTS {
        *relay.downstream.behaviors.lock().expect("free") = [Behavior::Silent].into();
        let mut attempt = request(&format!("q{number}"), "once");
        attempt.timeout = Some(RETRY_DELAY / 2);
        let before = relay.downstream.sent().len();
        body(relay.serve(attempt).await).await;
        for call in relay.downstream.sent().split_off(before) {
            if unresponsive.insert(call.runner.clone()) {
                unlist_later(&relay, call.runner);
            }
        }
        sleep(RETRY_DELAY / 2).await;
    }
    assert!(
        unresponsive.len() <= CRASH_THRESHOLD as usize,
        "{unresponsive:?}"
    );
}

/// Guards against a piece that crashes each runner of its stage. Calls contain pieces of several requests,
/// so a crash does not show which of them caused it.
#[tokio::test(start_paused = true)]
async fn poison_piece() {
    let relay = relay();
    let mut exited = BTreeSet::new();
    for number in 0..ATTEMPTS {
        *relay.downstream.crash_piece.lock().expect("free") = Some(format!("poison-{number}"));
        let before = relay.downstream.stage_calls().len();
        let poison = Order {
            expires_at: Instant::now() + RETRY_DELAY / 2,
            ..order(&format!("poison-{number}"), 1)
        };
        let _ = relay.batcher(&cell()).submit(&relay, poison).await;
        for call in relay.downstream.stage_calls().split_off(before) {
            if !relay
                .downstream
                .exited
                .lock()
                .expect("free")
                .contains(&call.runner)
            {
                continue;
            }
            if exited.insert(call.runner.clone()) {
                unlist_later(&relay, call.runner);
            }
        }
        sleep(RETRY_DELAY).await;
    }
    assert!(exited.len() <= CRASH_THRESHOLD as usize, "{exited:?}");
}
