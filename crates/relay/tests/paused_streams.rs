//! Streams whose runner pauses, as engines do that preempt a request, or is replaced in the meantime.

mod common;

use common::{Behavior, Fake, StreamEnd, body, configured, ready, request, restarted, runner};
use relay::Relay;
use relay::downstream::NotRun;
use relay::runner::Change;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const ONE: &str = "id: 1\ndata: a\n\n";
const TWO: &str = "id: 2\ndata: b\n\n";
const THREE: &str = "id: 3\ndata: c\n\n";
/// A pause after which another runner has been asked to resume.
const PAUSE: Duration = Duration::from_secs(2);
const FULL: Behavior = Behavior::Refuse(NotRun::Full { spacing: None });

fn paused(before: &[&'static str], after: &[&'static str]) -> Behavior {
    Behavior::Paused {
        before: before.to_vec(),
        pause: PAUSE,
        after: after.to_vec(),
    }
}

fn whole(parts: &[&'static str]) -> Behavior {
    Behavior::Stream {
        parts: parts.to_vec(),
        end: StreamEnd::Whole,
    }
}

fn broken(parts: &[&'static str]) -> Behavior {
    Behavior::Stream {
        parts: parts.to_vec(),
        end: StreamEnd::Broken,
    }
}

/// A stream that pauses, sends more and breaks off.
fn breaking(before: &[&'static str], pause_ms: u64, after: &[&'static str]) -> Behavior {
    Behavior::PausedBroken {
        before: before.to_vec(),
        pause: Duration::from_millis(pause_ms),
        after: after.to_vec(),
    }
}

/// A relay with a third runner of the service.
fn with_three_runners(fake: Fake) -> Arc<Relay<Fake>> {
    let relay = ready(fake);
    relay.update(vec![Change::Listed(runner("p-3", "plain"))]);
    relay
}

async fn serve(relay: &Arc<Relay<Fake>>, route: &str) -> (u16, String, bool) {
    body(relay.serve(request("a", route)).await).await
}

fn busy(relay: &Relay<Fake>) -> u32 {
    relay.pool(&"plain".into(), |pool| {
        let targets = pool.targets().iter();
        targets.map(decide::route::Target::in_flight).sum()
    })
}

/// Guards against a stream that is given up at a sound runner although all others are full.
#[tokio::test(start_paused = true)]
async fn others_full() {
    let behaviors = [paused(&[ONE], &[TWO, THREE]), FULL, FULL, FULL, FULL];
    let relay = ready(Fake::with_behaviors(behaviors));
    let expected = (200, [ONE, TWO, THREE].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
    sleep(PAUSE).await;
    assert_eq!(busy(&relay), 0);
}

/// Guards against a stream that is given up at a sound runner although no retry is allowed, as for some time
/// after a relay has started.
#[tokio::test(start_paused = true)]
async fn no_retry_allowed() {
    let fake = Fake::with_behaviors([paused(&[ONE], &[TWO, THREE])]);
    let relay = configured(restarted(fake.clone()));
    let expected = (200, [ONE, TWO, THREE].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
    assert_eq!(fake.sent().len(), 1);
}

/// Guards against a stream that is given up during a pause before its first event.
#[tokio::test(start_paused = true)]
async fn before_first_event() {
    let behaviors = [paused(&[], &[ONE, TWO]), FULL, FULL, FULL, FULL];
    let relay = ready(Fake::with_behaviors(behaviors));
    let expected = (200, [ONE, TWO].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
}

/// Guards against an event that is torn apart because its runner paused in the middle of it.
#[tokio::test(start_paused = true)]
async fn within_event() {
    let behaviors = [paused(&[ONE, "id: 2\nda"], &["ta: b\n\n", THREE]), FULL];
    let relay = ready(Fake::with_behaviors(behaviors));
    let expected = (200, [ONE, TWO, THREE].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
}

/// Guards against a stream that waits for a runner that has been asked to resume it and does not respond,
/// while its own runner has gone on, and against further runners beyond the attempts of the route.
#[tokio::test(start_paused = true)]
async fn successor_silent() {
    let behaviors = [paused(&[ONE], &[TWO, THREE]), Behavior::Silent];
    let fake = Fake::with_behaviors(behaviors);
    let relay = ready(fake.clone());
    let expected = (200, [ONE, TWO, THREE].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
    assert_eq!(fake.sent().len(), 2);
    assert_eq!(busy(&relay), 0);
}

/// Guards against a silent stream that is closed before its successor has sent anything.
#[tokio::test(start_paused = true)]
async fn successor_breaks() {
    let behaviors = [paused(&[ONE], &[TWO, THREE]), broken(&[])];
    let relay = ready(Fake::with_behaviors(behaviors));
    let expected = (200, [ONE, TWO, THREE].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
}

/// Guards against two runners that both go on with a stream.
#[tokio::test(start_paused = true)]
async fn successor_takes_over() {
    let behaviors = [paused(&[ONE], &[TWO, THREE]), whole(&[TWO, THREE])];
    let fake = Fake::with_behaviors(behaviors);
    let relay = ready(fake.clone());
    let expected = (200, [ONE, TWO, THREE].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
    let sent = fake.sent();
    assert_eq!(sent.len(), 2);
    assert_ne!(sent[0].runner, sent[1].runner);
    assert_eq!(sent[1].resume_after, Some(1));
    assert_eq!(busy(&relay), 0);
}

/// Guards against a runner that is ruled out because it was full when a silent stream was first offered to
/// it.
#[tokio::test(start_paused = true)]
async fn full_runner_asked_again() {
    let silent = Behavior::Stream {
        parts: vec![ONE],
        end: StreamEnd::Silent,
    };
    let behaviors = [silent, FULL, whole(&[TWO])];
    let relay = ready(Fake::with_behaviors(behaviors));
    let expected = (200, [ONE, TWO].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
}

/// Guards against a stream that is lost because its runner stopped accepting new work during the pause.
#[tokio::test(start_paused = true)]
async fn runner_leaves() {
    let behaviors = [paused(&[ONE], &[TWO, THREE]), FULL, FULL, FULL, FULL];
    let relay = ready(Fake::with_behaviors(behaviors));
    let serving = {
        let relay = relay.clone();
        tokio::spawn(async move { serve(&relay, "stream").await })
    };
    sleep(Duration::from_secs(1)).await;
    relay.update(vec![Change::Gone("p-1".into()), Change::Gone("p-2".into())]);
    let expected = (200, [ONE, TWO, THREE].concat(), true);
    assert_eq!(serving.await.expect("served"), expected);
}

/// Guards against a stream that another runner is still asked to resume after its client has left.
#[tokio::test(start_paused = true)]
async fn client_leaves() {
    let fake = Fake::with_behaviors([broken(&[ONE]), Behavior::Silent]);
    let relay = ready(fake.clone());
    let answer = relay.serve(request("a", "stream")).await;
    while fake.sent().len() < 2 {
        sleep(Duration::from_millis(10)).await;
    }
    drop(answer);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(busy(&relay), 0);
}

/// Guards against a stream that breaks off during a pause and is offered to nobody from then on.
#[tokio::test(start_paused = true)]
async fn breaks_within_pause() {
    let behaviors = [breaking(&[ONE], 2_600, &[]), FULL, FULL, whole(&[TWO])];
    let relay = ready(Fake::with_behaviors(behaviors));
    let expected = (200, [ONE, TWO].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
}

/// Guards against a stream that is lost at one refusal because it has paused before it broke off.
#[tokio::test(start_paused = true)]
async fn refused_after_pause() {
    let behaviors = [
        breaking(&[ONE], 1_500, &[]),
        FULL,
        FULL,
        FULL,
        whole(&[TWO]),
    ];
    let relay = with_three_runners(Fake::with_behaviors(behaviors));
    let expected = (200, [ONE, TWO].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
}

/// Guards against refusals during a pause that count against a stream that has gone on and breaks off later.
#[tokio::test(start_paused = true)]
async fn breaks_after_refusals() {
    let behaviors = [breaking(&[ONE], 2_600, &[TWO]), FULL, FULL, whole(&[THREE])];
    let relay = ready(Fake::with_behaviors(behaviors));
    let expected = (200, [ONE, TWO, THREE].concat(), true);
    assert_eq!(serve(&relay, "stream").await, expected);
}

/// Guards against a silent runner that is asked to resume its own stream because another one lacked inputs
/// which could not be recomputed at first.
#[tokio::test(start_paused = true)]
async fn inputs_recomputed_late() {
    for _ in 0..10 {
        let silent = Behavior::Stream {
            parts: vec![ONE],
            end: StreamEnd::Silent,
        };
        let lacking = Behavior::Refuse(NotRun::InputGone);
        let fake = Fake::with_behaviors([silent, lacking, whole(&[TWO]), whole(&[TWO])]);
        let relay = with_three_runners(fake.clone());
        let answer = relay.serve(request("a", "staged")).await;
        relay.update(vec![Change::Gone("s-1".into()), Change::Gone("s-2".into())]);
        let returning = relay.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(1_900)).await;
            returning.update(vec![Change::Listed(runner("s-3", "stage"))]);
        });
        assert_eq!(body(answer).await, (200, [ONE, TWO].concat(), true));
        let sent = fake.sent();
        assert!(sent[1..].iter().all(|call| call.runner != sent[0].runner));
    }
}
