//! Poison requests, which crash each runner that begins to serve them.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::{Behavior, Fake, StreamEnd, body, ready, request, runner};
use protocol::quarantine::Crash;
use relay::quarantine::Suspicion;
use relay::request::Message;
use relay::runner::Change;
use relay::{Relay, Request, Runner, member, peer};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use store::Table as _;
use tokio::time::{sleep, timeout};

/// Upper limit for any step, even on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay between two attempts of a client.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// An attempt of the poison request.
fn poison(id: &str) -> Request {
    request_with_body(id, "once", "poison")
}

fn request_with_body(id: &str, route: &str, body: &'static str) -> Request {
    let request = request(id, route);
    let message = Message {
        body: body.into(),
        ..Message::clone(&request.message)
    };
    Request {
        message: Arc::new(message),
        ..request
    }
}

/// A relay with enough runners to lose some of them.
fn relay() -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    let more = (3..9).map(|number| Change::Listed(runner(&format!("p-{number}"), "plain")));
    relay.update(more.collect());
    relay
}

/// Serves an attempt whose stream is cut off by its runner. Returns the status and the runner, if one was
/// sent the request.
async fn serve_cut_off(relay: &Arc<Relay<Fake>>, request: Request) -> (u16, Option<String>) {
    let crash = Behavior::Stream {
        parts: vec!["id: 1\ndata: x\n\n"],
        end: StreamEnd::Broken,
    };
    *relay.downstream.behaviors.lock().expect("free") = [crash].into();
    let before = relay.downstream.sent().len();
    let answer = relay.serve(request).await;
    let (status, ..) = body(answer).await;
    let sent = relay.downstream.sent().split_off(before);
    (status, sent.first().map(|call| call.runner.clone()))
}

/// Serves an attempt whose runner crashes: its stream is cut off and its entry is removed.
async fn serve_crashing(relay: &Arc<Relay<Fake>>, request: Request) -> (u16, Option<String>) {
    let (status, runner) = serve_cut_off(relay, request).await;
    if let Some(id) = &runner {
        relay.update(vec![Change::Gone(id.as_str().into())]);
    }
    sleep(RETRY_DELAY).await;
    (status, runner)
}

/// A client retries a poison request, each time under a new name. A relay that took each attempt for a new
/// request would crash one runner after the other, and interrupt all other requests there.
#[tokio::test(start_paused = true)]
async fn quarantined_after_crashes() {
    let relay = relay();
    for number in 0..3 {
        let (status, runner) = serve_crashing(&relay, poison(&format!("q{number}"))).await;
        assert_eq!((status, runner.is_some()), (200, true));
    }
    let before = relay.downstream.sent().len();
    let answer = relay.serve(poison("q3")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after >= Some(Duration::from_secs(1)));
    assert_eq!(relay.downstream.sent().len(), before);
}

/// Makes the next call succeed.
fn set_success(relay: &Relay<Fake>) {
    let whole = Behavior::Stream {
        parts: vec!["id: 1\ndata: x\n\n"],
        end: StreamEnd::Whole,
    };
    *relay.downstream.behaviors.lock().expect("free") = [whole].into();
}

/// Serves a request with a different body, which its runner survives.
async fn serve_innocent(relay: &Arc<Relay<Fake>>) -> u16 {
    set_success(relay);
    let answer = relay
        .serve(request_with_body("other", "once", "other"))
        .await;
    body(answer).await.0
}

/// Whether an attempt of the poison request is refused even though its runner would survive it.
async fn is_quarantined(relay: &Arc<Relay<Fake>>) -> bool {
    set_success(relay);
    let answer = relay.serve(poison("last")).await;
    body(answer).await.0 == 503
}

async fn relay_with_quarantine() -> Arc<Relay<Fake>> {
    let relay = relay();
    for number in 0..3 {
        serve_crashing(&relay, poison(&format!("q{number}"))).await;
    }
    relay
}

/// The platform lists a runner for three seconds after its exit. A relay that waited for the list would let
/// the request crash four more runners.
#[tokio::test(start_paused = true)]
async fn quarantined_while_listed() {
    let relay = relay();
    for number in 0..3 {
        *relay.downstream.behaviors.lock().expect("free") = [Behavior::Crash].into();
        body(relay.serve(poison(&format!("q{number}"))).await).await;
        sleep(RETRY_DELAY).await;
    }
    assert_eq!(relay.downstream.exited.lock().expect("free").len(), 3);
    assert!(is_quarantined(&relay).await);
}

/// Other requests of the same workspace and route are still served.
#[tokio::test(start_paused = true)]
async fn others_served() {
    let relay = relay_with_quarantine().await;
    assert!(is_quarantined(&relay).await);
    assert_eq!(serve_innocent(&relay).await, 200);
}

/// Runners cut off responses but keep running. A popular request must not be refused for a minute for this,
/// since nothing is wrong with it.
#[tokio::test(start_paused = true)]
async fn runners_survive() {
    let relay = relay();
    for number in 0..6 {
        serve_cut_off(&relay, poison(&format!("q{number}"))).await;
        sleep(RETRY_DELAY).await;
    }
    assert!(!is_quarantined(&relay).await);
}

/// Runners crash during a popular request that others serve in between, so the request is not the cause.
#[tokio::test(start_paused = true)]
async fn served_in_between() {
    let relay = relay();
    for number in 0..4 {
        serve_crashing(&relay, poison(&format!("q{number}"))).await;
        set_success(&relay);
        let answer = relay.serve(poison(&format!("r{number}"))).await;
        assert_eq!(body(answer).await.0, 200);
    }
    assert!(!is_quarantined(&relay).await);
}

/// A failure domain loses power while each of its runners works on the same popular request.
#[tokio::test(start_paused = true)]
async fn crashed_simultaneously() {
    let relay = relay();
    let mut exited = Vec::new();
    for number in 0..3 {
        exited.extend(serve_cut_off(&relay, poison(&format!("q{number}"))).await.1);
    }
    exited.sort();
    exited.dedup();
    let gone = exited.iter().map(|id| Change::Gone(id.as_str().into()));
    relay.update(gone.collect());
    assert!(!is_quarantined(&relay).await);
}

/// A runner shuts down as planned and cuts off its remaining streams when it exits. It has announced its
/// shutdown and lost its entry before.
#[tokio::test(start_paused = true)]
async fn left_before() {
    let relay = relay();
    for number in 0..3 {
        let (_, sent) = serve_cut_off(&relay, poison(&format!("q{number}"))).await;
        let id = sent.expect("sent");
        let leaving = Runner {
            leaving: true,
            ..runner(&id, "plain")
        };
        relay.update(vec![Change::Listed(leaving)]);
        relay.update(vec![Change::Gone(id.as_str().into())]);
        sleep(RETRY_DELAY).await;
    }
    assert!(!is_quarantined(&relay).await);
}

/// A runner restarts under its old name before its entry expires.
#[tokio::test(start_paused = true)]
async fn restarted() {
    let relay = ready(Fake::default());
    let list = |started: u64| {
        let listed = |id: &str| {
            Change::Listed(Runner {
                started: Some(started),
                ..runner(id, "plain")
            })
        };
        relay.update(vec![listed("p-1"), listed("p-2")]);
    };
    list(1);
    for start in 2..5 {
        serve_cut_off(&relay, poison(&format!("q{start}"))).await;
        list(start);
        sleep(RETRY_DELAY).await;
    }
    assert!(is_quarantined(&relay).await);
}

/// Two runners have crashed during a request, and a third one crashes while the next attempt waits for its
/// stages. The attempt must not be sent to a runner when they are made.
#[tokio::test(start_paused = true)]
async fn quarantined_after_stages() {
    let relay = relay();
    let request = request_with_body("q", "staged", "poison");
    let crash = |(turn, id): (u32, &&str)| Crash {
        runner: ((*id).into(), None),
        sent: RETRY_DELAY * turn,
        lost: RETRY_DELAY * turn,
        isolated: false,
        is_trial: false,
        is_silence: false,
    };
    let report = |first, runners: &[&str]| Suspicion {
        crashes: (first..).zip(runners).map(crash).collect(),
        ..Suspicion::new(request.content(Some("coop")))
    };
    sleep(RETRY_DELAY * 4).await;
    relay.merge_suspicion(&report(1, &["x-2", "x-1"]), "test");
    let serving = tokio::spawn({
        let (relay, request) = (relay.clone(), request.clone());
        async move { relay.serve(request).await.status }
    });
    sleep(common::CALL / 2).await;
    relay.merge_suspicion(&report(0, &["x-3"]), "test");
    assert_eq!(serving.await.expect("no panic"), 503);
    assert!(relay.downstream.sent().is_empty());
}

/// A request is quarantined although it was not the cause, or the fault has been fixed. One trial is let
/// through after a while, and its success clears the request.
#[tokio::test(start_paused = true)]
async fn cleared_by_trial() {
    let relay = relay_with_quarantine().await;
    assert!(is_quarantined(&relay).await);
    sleep(Duration::from_secs(6)).await;
    assert!(!is_quarantined(&relay).await);
    assert!(!is_quarantined(&relay).await);
}

/// A client retries for minutes. The number of runners that its request may still crash is bounded.
#[tokio::test(start_paused = true)]
async fn few_trials() {
    let relay = relay_with_quarantine().await;
    let mut exited = 0;
    for second in 0..100 {
        let id = format!("again{second}");
        let (_, sent) = serve_crashing(&relay, poison(&id)).await;
        exited += usize::from(sent.is_some());
        sleep(Duration::from_secs(1) - RETRY_DELAY).await;
    }
    assert!((1..=3).contains(&exited), "{exited}");
}

/// A poison request crashes all runners of a small service one after the other while a popular request runs
/// at each of them. The popular request must be served again within seconds.
#[tokio::test(start_paused = true)]
async fn popular_next_to_poison() {
    let relay = relay_with_quarantine().await;
    assert!(is_quarantined(&relay).await);
    sleep(Duration::from_secs(6)).await;
    assert!(!is_quarantined(&relay).await);
}

/// A trial crashes its runner, so the next one is allowed only after four times the delay.
#[tokio::test(start_paused = true)]
async fn trial_fails() {
    let relay = relay_with_quarantine().await;
    sleep(Duration::from_secs(6)).await;
    assert!(serve_crashing(&relay, poison("trial")).await.1.is_some());
    sleep(Duration::from_secs(18)).await;
    assert!(is_quarantined(&relay).await);
    sleep(Duration::from_secs(4)).await;
    assert!(!is_quarantined(&relay).await);
}

/// The row of the poison request in the membership table, as another process wrote it.
fn row(value: Option<Value>) -> Vec<(&'static str, Option<Value>)> {
    let name = format!("quarantine/{:016x}", poison("q").content(Some("coop")));
    vec![(name.leak(), value)]
}

/// All processes were killed. A process that has just started cannot learn of the quarantine from others,
/// but does so from the table.
#[tokio::test(start_paused = true)]
async fn known_after_start() {
    let relay = relay();
    let rows = FeedReply::At(5, row(Some(json!({ "crashes": 3 }))));
    let following = tokio::spawn(member::follow(relay.clone(), ScriptedFeed::new([rows])));
    sleep(RETRY_DELAY).await;
    assert!(is_quarantined(&relay).await);
    following.abort();
}

/// The row is deleted after the request has been served elsewhere, which clears the request.
#[tokio::test(start_paused = true)]
async fn row_deleted() {
    let relay = relay();
    let replies = [
        FeedReply::At(5, row(Some(json!({ "crashes": 3 })))),
        FeedReply::At(6, row(None)),
    ];
    let following = tokio::spawn(member::follow(relay.clone(), ScriptedFeed::new(replies)));
    sleep(Duration::from_secs(4)).await;
    assert!(!is_quarantined(&relay).await);
    following.abort();
}

/// The row of a quarantined request is written, and deleted once the request is cleared.
#[tokio::test(start_paused = true)]
async fn row_written() {
    let relay = relay_with_quarantine().await;
    let table = store::Memory::default();
    let keeping = tokio::spawn(relay::quarantine::write_rows(relay.clone(), table.clone()));
    let (key, _) = row(None).remove(0);
    sleep(RETRY_DELAY).await;
    let written = table.read("relay", key).await.expect("there");
    assert_eq!(written.map(|row| row.value), Some(json!({ "crashes": 3 })));
    sleep(Duration::from_secs(61)).await;
    assert!(!is_quarantined(&relay).await);
    sleep(RETRY_DELAY).await;
    assert_eq!(table.read("relay", key).await.expect("there"), None);
    keeping.abort();
}

/// Each attempt reaches a different process, which sees one runner crash. None of them alone would
/// quarantine the request.
#[tokio::test]
async fn announced_by_peers() {
    let relay = relay();
    let (sender, mut receiver) = common::link::open(&relay).await;
    let content = poison("q").content(Some("coop"));
    for number in 1..=3 {
        let crash = Crash {
            runner: (format!("x-{number}").as_str().into(), None),
            sent: Duration::from_secs(3 - number),
            lost: Duration::from_secs(3 - number),
            isolated: false,
            is_trial: false,
            is_silence: false,
        };
        let suspicion = Suspicion {
            crashes: vec![crash],
            ..Suspicion::new(content)
        };
        let frame = peer::Frame::Suspicion(suspicion);
        sender.send(frame).await.expect("linked");
    }
    let forwarded = async {
        // The relay forwards what it has merged.
        loop {
            let frame = receiver.recv().await.expect("linked").expect("open");
            if matches!(frame, peer::Frame::Suspicion(suspicion) if suspicion.count == 3) {
                break;
            }
        }
    };
    timeout(STEP_TIMEOUT, forwarded).await.expect("forwarded");
    assert!(is_quarantined(&relay).await);
    sender
        .send(peer::Frame::Suspicion(Suspicion {
            cleared: Some(Duration::ZERO),
            ..Suspicion::new(content)
        }))
        .await
        .expect("linked");
    let cleared = async {
        while is_quarantined(&relay).await {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(STEP_TIMEOUT, cleared).await.expect("cleared");
}
