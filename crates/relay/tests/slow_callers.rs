//! Callers that read their answers slowly, or not at all.

mod common;

use common::{Behavior, Fake, StreamEnd, body, ready, request};
use relay::{Body, Relay};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// More events than wait for a caller at any time.
const EVENTS: usize = 80;
/// Longer than a runner may be silent, shorter than the caller's patience.
const PAUSE: Duration = Duration::from_secs(3);
/// Longer than the caller's patience.
const LONG: Duration = Duration::from_secs(6);
/// Bytes that wait for one caller at most.
const HELD: usize = 1 << 20;

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

/// Calls that count as being at runners.
fn in_flight(relay: &Arc<Relay<Fake>>) -> u32 {
    relay.pool(&"plain".into(), |pool| {
        let targets = pool.targets().iter();
        targets.map(decide::route::Target::in_flight).sum()
    })
}

/// Guards against a stream that is taken for dead, and its runner for faulty, since the caller paused.
#[tokio::test(start_paused = true)]
async fn pause_of_caller() {
    for route in ["stream", "once"] {
        let fake = streaming(1);
        let relay = ready(fake.clone());
        let answer = relay.serve(request("a", route)).await;
        sleep(PAUSE).await;
        let (_, text, whole) = body(answer).await;
        assert_eq!((text, whole), (events(1).concat(), true), "{route}");
        assert_eq!(fake.sent().len(), 1);
    }
}

/// Guards against calls and memory that a caller keeps for ever who stopped reading.
#[tokio::test(start_paused = true)]
async fn never_read() {
    let relay = ready(streaming(1));
    let answer = relay.serve(request("a", "stream")).await;
    assert_eq!(in_flight(&relay), 1);
    sleep(LONG).await;
    assert_eq!(in_flight(&relay), 0);
    drop(answer);
}

/// Guards against memory that grows with what a runner sends to a caller that doesn't read.
#[tokio::test(start_paused = true)]
async fn bytes_held() {
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
    assert!(held <= HELD, "{held}");
}

/// Guards against memory that grows with the number of such callers.
#[tokio::test(start_paused = true)]
async fn bytes_held_for_all() {
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
        // Without a pause, so that nothing follows what was there.
        while let Ok(part) = parts.try_recv() {
            held += part.map_or(0, |part| part.len());
        }
    }
    assert!(held <= common::MEMORY / 2, "{held}");
}
