//! Requests that end runners in ways that the evidence does not show.

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
const PAUSE: Duration = Duration::from_millis(700);
/// Time for which the platform's list names a runner after its end.
const LISTED: Duration = Duration::from_secs(3);
/// Attempts of the caller.
const ATTEMPTS: usize = 9;

/// A relay with a runner of each service for each attempt.
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

/// Takes a runner from the list some seconds after its end.
fn unlist_later(relay: &Arc<Relay<Fake>>, id: String) {
    let relay = relay.clone();
    tokio::spawn(async move {
        sleep(LISTED).await;
        relay.update(vec![Change::Gone(id.as_str().into())]);
    });
}

/// Guards against a request that silences one runner after the other, whose addresses refuse nobody:
/// each is known to have ended only once the list says so.
#[tokio::test(start_paused = true)]
async fn silenced_runners() {
    let relay = relay();
    let mut silenced = BTreeSet::new();
    for number in 0..ATTEMPTS {
        *relay.downstream.behaviors.lock().expect("free") = [Behavior::Silent].into();
        let mut attempt = request(&format!("q{number}"), "once");
        attempt.timeout = Some(PAUSE / 2);
        let before = relay.downstream.sent().len();
        body(relay.serve(attempt).await).await;
        for call in relay.downstream.sent().split_off(before) {
            if silenced.insert(call.runner.clone()) {
                unlist_later(&relay, call.runner);
            }
        }
        sleep(PAUSE / 2).await;
    }
    assert!(silenced.len() <= CRASH_THRESHOLD as usize, "{silenced:?}");
}

/// Guards against a piece that ends each runner of its stage: calls carry the pieces of several requests,
/// and nobody can tell which one it was.
#[tokio::test(start_paused = true)]
async fn crash_piece() {
    let relay = relay();
    let mut exited = BTreeSet::new();
    for number in 0..ATTEMPTS {
        *relay.downstream.crash_piece.lock().expect("free") = Some(format!("poison-{number}"));
        let before = relay.downstream.stage_calls().len();
        let deadly = Order {
            expires_at: Instant::now() + PAUSE / 2,
            ..order(&format!("poison-{number}"), 1)
        };
        let _ = relay.batcher(&cell()).submit(&relay, deadly).await;
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
        sleep(PAUSE).await;
    }
    assert!(exited.len() <= CRASH_THRESHOLD as usize, "{exited:?}");
}
