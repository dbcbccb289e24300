//! Probes of runners that panic.

mod common;

use common::panics::Site;
use common::{Fake, body, ready, request};
use relay::Relay;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

fn exit(relay: &Arc<Relay<Fake>>, id: &str) {
    let mut exited = relay.downstream.exited.lock().expect("free");
    exited.push(id.to_owned());
}

fn start(relay: &Arc<Relay<Fake>>) {
    relay.downstream.exited.lock().expect("free").clear();
}

/// Sends requests; returns how many were sent to a runner.
async fn sent_to(relay: &Arc<Relay<Fake>>, id: &str) -> usize {
    let before = relay.downstream.sent().len();
    for number in 0..20 {
        let request = request(&format!("{before}-{number}"), "safe");
        assert_eq!(body(relay.serve(request).await).await.0, 200);
    }
    let sent = relay.downstream.sent().into_iter().skip(before);
    sent.filter(|call| call.runner == id).count()
}

/// Guards against a runner that counts as absent for good, since the task that waits for its return has ended.
#[tokio::test(start_paused = true)]
async fn return_unwatched() {
    let relay = ready(Fake::default());
    exit(&relay, "p-1");
    assert!(sent_to(&relay, "p-1").await > 0);
    assert_eq!(sent_to(&relay, "p-1").await, 0);
    relay.downstream.panics.expect(Site::HasExited);
    sleep(Duration::from_millis(400)).await;
    assert!(!relay.downstream.panics.is_pending());
    start(&relay);
    sleep(Duration::from_secs(5)).await;
    assert!(sent_to(&relay, "p-1").await > 0);
}

/// Guards against a runner whose exit is never found, since the first probe of it has panicked.
#[tokio::test(start_paused = true)]
async fn probe_panics() {
    let relay = ready(Fake::default());
    relay.downstream.panics.expect(Site::HasExited);
    exit(&relay, "p-1");
    assert!(sent_to(&relay, "p-1").await > 0);
    assert!(!relay.downstream.panics.is_pending());
    assert_eq!(sent_to(&relay, "p-1").await, 0);
    sleep(Duration::from_secs(60)).await;
    assert_eq!(sent_to(&relay, "p-1").await, 0);
}
