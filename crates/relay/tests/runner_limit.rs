//! Runners that ask for fewer requests in their answers.

mod common;

use common::{Fake, body, ready, request};
use relay::Relay;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two requests of the load.
const PAUSE: Duration = Duration::from_millis(50);

/// Serves requests one after the other for so long, and gives how many runners got.
async fn load(relay: &Arc<Relay<Fake>>, time: Duration) -> usize {
    let before = relay.downstream.sent().len();
    for _ in 0..time.as_millis() / PAUSE.as_millis() {
        body(relay.serve(request("a", "safe")).await).await;
        sleep(PAUSE).await;
    }
    relay.downstream.sent().len() - before
}

/// Both runners name a limit of one request a second. Neither gets more than that on average, however
/// many callers ask.
#[tokio::test(start_paused = true)]
async fn kept_alone() {
    let relay = ready(Fake::default());
    relay.peers.members(relay::member::Members::listed);
    *relay.downstream.spacing.lock().expect("free") = Some(Duration::from_secs(1));
    load(&relay, Duration::from_secs(1)).await;
    assert!(load(&relay, Duration::from_secs(10)).await <= 2 * 11);
}
