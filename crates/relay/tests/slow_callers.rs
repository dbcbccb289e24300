//! Clients that read their responses slowly, or not at all.

mod common;

use common::{Behavior, Fake, StreamEnd, body, ready, request};
use relay::{Body, Relay};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// More events than are buffered for a client at any time.
const EVENTS: usize = 80;
/// Longer than a runner may be silent, shorter than the client's timeout.
const PAUSE: Duration = Duration::from_secs(3);
/// Longer than the client's timeout.
const LONG_PAUSE: Duration = Duration::from_secs(6);
/// Maximum number of bytes buffered for one client.
const MAX_BUFFERED: usize = 1 << 20;

/// Events with text of this length.
fn events(length: usize) -> Vec<&'static str> {
    let text = "x".repeat(length);
    let event = |number| &*format!("id: {number}\ndata: {text}\n\n").leak();
    (1..=EVENTS).map(event).collect()
}

fn streaming(length: usize) -> Fake {
    let parts = events(length);
    let end = StreamEnd::Whole;
    Fake::with_behaviors([Behavior::Stream { parts, end }])
}

/// Calls that count as in progress at runners.
fn in_flight(relay: &Arc<Relay<Fake>>) -> u32 {
    relay.pool(&"plain".into(), |pool| {
        let targets = pool.targets().iter();
        targets.map(decide::route::Target::in_flight).sum()
    })
}

/// Guards against treating a stream as dead, and its runner as faulty, because the client paused.
#[tokio::test(start_paused = true)]
async fn client_pauses() {
    for route in ["stream", "once"] {
        let fake = streaming(1);
        let relay = ready(fake.clone());
        let answer = relay.serve(request("a", route)).await;
        sleep(PAUSE).await;
        let (_, text, complete) = body(answer).await;
        assert_eq!((text, complete), (events(1).concat(), true), "{route}");
        assert_eq!(fake.sent().len(), 1);
    }
}

/// Guards against calls and memory that a client which stopped reading keeps for ever.
#[tokio::test(start_paused = true)]
async fn never_read() {
    let relay = ready(streaming(1));
    let answer = relay.serve(request("a", "stream")).await;
    assert_eq!(in_flight(&relay), 1);
    sleep(LONG_PAUSE).await;
    assert_eq!(in_flight(&relay), 0);
    drop(answer);
}

/// Guards against memory that grows with what a runner sends to a client that does not read.
#[tokio::test(start_paused = true)]
async fn buffer_bounded() {
    let relay = ready(streaming(64 << 10));
    let answer = relay.serve(request("a", "stream")).await;
    sleep(PAUSE).await;
    let Body::Stream(mut parts) = answer.body else {
        panic!("a stream")
    };
    let mut held = 0;
    while let Ok(part) = parts.try_recv() {
        held += part.map_or(0, |part| part.len());
    }
    assert!(held <= MAX_BUFFERED, "{held}");
}

/// Guards against memory that grows with the number of such clients.
#[tokio::test(start_paused = true)]
async fn total_buffer_bounded() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let mut answers = Vec::new();
    for caller in 0..100 {
        let (parts, end) = (events(64 << 10), StreamEnd::Whole);
        let behavior = Behavior::Stream { parts, end };
        fake.behaviors.lock().expect("free").push_back(behavior);
        answers.push(relay.serve(request(&format!("a{caller}"), "stream")).await);
    }
    sleep(Duration::from_secs(2)).await;
    let mut held = 0;
    for answer in &mut answers {
        let Body::Stream(parts) = &mut answer.body else {
            panic!("a stream")
        };
        // Without a pause, so that nothing is added to what was buffered.
        while let Ok(part) = parts.try_recv() {
            held += part.map_or(0, |part| part.len());
        }
    }
    assert!(held <= common::MEMORY / 2, "{held}");
}
