//! The share of a relay in the bound on the retries of all relays.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Behavior, Fake, body, ready, request, restarted, unconfigured};
use decide::retry::window::{MAX_RETRY_TRANSIT, RetryBound};
use relay::core::Relay;
use std::time::Duration;
use tokio::time::{Instant, advance, sleep};

fn granted(relay: &Relay<Fake>) -> usize {
    let service = "plain".into();
    (0..100)
        .take_while(|_| relay.try_retry(&service, "request"))
        .count()
}

/// Guards against a share of the slack for a process whose earlier start may just have spent it.
#[tokio::test(start_paused = true)]
async fn none_after_restart() {
    assert_eq!(granted(&unconfigured(Fake::default())), 10);
    let relay = restarted(Fake::default());
    assert_eq!(granted(&relay), 0);
    relay.count_first_attempts(&"plain".into(), Instant::now(), 100);
    assert_eq!(granted(&relay), 10, "half of the ratio of its requests");
}

/// Guards against first attempts that count from when the last stage of their request begins.
#[tokio::test(start_paused = true)]
async fn counted_from_arrival() {
    let relay = restarted(Fake::default());
    relay.set_retry_bound(RetryBound {
        ratio: 0.2,
        slack: 0.0,
        window: Duration::from_secs(2),
    });
    let arrived = Instant::now();
    advance(Duration::from_secs(3)).await;
    relay.count_first_attempts(&"plain".into(), arrived, 100);
    assert_eq!(granted(&relay), 0);
}

/// Guards against retries that are sent long after they were granted, and so count in another window.
#[tokio::test(start_paused = true)]
async fn late_retry_withdrawn() {
    let relay = ready(Fake::with_behaviors([Behavior::Lose]));
    let waiting = tokio::spawn({
        let relay = relay.clone();
        async move { body(relay.serve(request("a", "safe")).await).await.0 }
    });
    sleep(Duration::from_millis(1)).await;
    *relay.downstream.connect_time.lock().unwrap() = 2 * MAX_RETRY_TRANSIT;
    assert_eq!(waiting.await.unwrap(), 504);
    assert_eq!(relay.downstream.sent().len(), 1, "only the first attempt");
}
