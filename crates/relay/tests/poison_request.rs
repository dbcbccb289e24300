//! Requests that end each runner that begins to run them.

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

/// Longer than any step takes, however busy the machine is.
const LONG: Duration = Duration::from_secs(60);
/// Time between two attempts of a caller.
const PAUSE: Duration = Duration::from_millis(700);

/// An attempt of the caller whose request no runner survives.
fn poison(id: &str) -> Request {
    asking(id, "once", "poison")
}

fn asking(id: &str, route: &str, body: &'static str) -> Request {
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

/// A relay with enough runners to lose some.
fn relay() -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    let more = (3..9).map(|number| Change::Listed(runner(&format!("p-{number}"), "plain")));
    relay.update(more.collect());
    relay
}

/// Serves an attempt whose stream breaks at the runner that it is sent to; gives the status and that
/// runner.
async fn broken(relay: &Arc<Relay<Fake>>, request: Request) -> (u16, Option<String>) {
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

/// The same, and the runner's entry lapses.
async fn attempt(relay: &Arc<Relay<Fake>>, request: Request) -> (u16, Option<String>) {
    let (status, runner) = broken(relay, request).await;
    if let Some(id) = &runner {
        relay.update(vec![Change::Gone(id.as_str().into())]);
    }
    sleep(PAUSE).await;
    (status, runner)
}

/// A caller repeats a request that no runner survives, each time under a new name. A relay that takes
/// each attempt for a new request ends one runner after the other with it, and all that they serve.
#[tokio::test(start_paused = true)]
async fn sent_no_more() {
    let relay = relay();
    for number in 0..3 {
        let (status, runner) = attempt(&relay, poison(&format!("q{number}"))).await;
        assert_eq!((status, runner.is_some()), (200, true));
    }
    let before = relay.downstream.sent().len();
    let answer = relay.serve(poison("q3")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after >= Some(Duration::from_secs(1)));
    assert_eq!(relay.downstream.sent().len(), before);
}

/// The next call is answered as it should be.
fn whole(relay: &Relay<Fake>) {
    let whole = Behavior::Stream {
        parts: vec!["id: 1\ndata: x\n\n"],
        end: StreamEnd::Whole,
    };
    *relay.downstream.behaviors.lock().expect("free") = [whole].into();
}

/// Serves an attempt whose caller asks for something else.
async fn innocent(relay: &Arc<Relay<Fake>>) -> u16 {
    whole(relay);
    let answer = relay.serve(asking("other", "once", "other")).await;
    body(answer).await.0
}

/// Whether an attempt is refused that its runner would survive.
async fn held(relay: &Arc<Relay<Fake>>) -> bool {
    whole(relay);
    let answer = relay.serve(poison("last")).await;
    body(answer).await.0 == 503
}

async fn poisoned() -> Arc<Relay<Fake>> {
    let relay = relay();
    for number in 0..3 {
        attempt(&relay, poison(&format!("q{number}"))).await;
    }
    relay
}

/// The platform goes on to list a runner for three seconds after its end. A relay that waits for the
/// list lets the request end four runners more.
#[tokio::test(start_paused = true)]
async fn listed_on() {
    let relay = relay();
    for number in 0..3 {
        *relay.downstream.behaviors.lock().expect("free") = [Behavior::Crash].into();
        body(relay.serve(poison(&format!("q{number}"))).await).await;
        sleep(PAUSE).await;
    }
    assert_eq!(relay.downstream.exited.lock().expect("free").len(), 3);
    assert!(held(&relay).await);
}

/// Other requests of the same workspace and route go on to be served.
#[tokio::test(start_paused = true)]
async fn others_served() {
    let relay = poisoned().await;
    assert!(held(&relay).await);
    assert_eq!(innocent(&relay).await, 200);
}

/// Runners garble answers and live on. A popular request would be refused for a minute, although
/// nothing is wrong with it.
#[tokio::test(start_paused = true)]
async fn runners_live_on() {
    let relay = relay();
    for number in 0..6 {
        broken(&relay, poison(&format!("q{number}"))).await;
        sleep(PAUSE).await;
    }
    assert!(!held(&relay).await);
}

/// Runners crash under a popular request that others answer in between. They did not crash because of
/// it.
#[tokio::test(start_paused = true)]
async fn answered_in_between() {
    let relay = relay();
    for number in 0..4 {
        attempt(&relay, poison(&format!("q{number}"))).await;
        whole(&relay);
        let answer = relay.serve(poison(&format!("r{number}"))).await;
        assert_eq!(body(answer).await.0, 200);
    }
    assert!(!held(&relay).await);
}

/// A failure domain loses power while each of its runners works on the same popular request.
#[tokio::test(start_paused = true)]
async fn ended_in_one_moment() {
    let relay = relay();
    let mut exited = Vec::new();
    for number in 0..3 {
        exited.extend(broken(&relay, poison(&format!("q{number}"))).await.1);
    }
    exited.sort();
    exited.dedup();
    let gone = exited.iter().map(|id| Change::Gone(id.as_str().into()));
    relay.update(gone.collect());
    assert!(!held(&relay).await);
}

/// A runner leaves as planned and cuts what it still has at its end: its entry was gone before.
#[tokio::test(start_paused = true)]
async fn left_before() {
    let relay = relay();
    for number in 0..3 {
        let (_, sent) = broken(&relay, poison(&format!("q{number}"))).await;
        let id = sent.expect("sent");
        let leaving = Runner {
            leaving: true,
            ..runner(&id, "plain")
        };
        relay.update(vec![Change::Listed(leaving)]);
        relay.update(vec![Change::Gone(id.as_str().into())]);
        sleep(PAUSE).await;
    }
    assert!(!held(&relay).await);
}

/// A runner comes back under the name that it had, before its entry lapses.
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
        broken(&relay, poison(&format!("q{start}"))).await;
        list(start);
        sleep(PAUSE).await;
    }
    assert!(held(&relay).await);
}

/// Two runners have ended under a request, and a third one ends while the next attempt waits for its
/// stages. It must not be sent on when they are made.
#[tokio::test(start_paused = true)]
async fn held_back_after_stages() {
    let relay = relay();
    let request = asking("q", "staged", "poison");
    let crash = |(turn, id): (u32, &&str)| Crash {
        runner: ((*id).into(), None),
        sent: PAUSE * turn,
        lost: PAUSE * turn,
        isolated: false,
    };
    let report = |first, runners: &[&str]| Suspicion {
        crashes: (first..).zip(runners).map(crash).collect(),
        ..Suspicion::new(request.content(Some("coop")))
    };
    sleep(PAUSE * 4).await;
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

/// A request is held back for no fault of its own, or the fault has been mended. One attempt is let
/// through after a while, and its answer clears the request.
#[tokio::test(start_paused = true)]
async fn tried_again() {
    let relay = poisoned().await;
    assert!(held(&relay).await);
    sleep(Duration::from_secs(6)).await;
    assert!(!held(&relay).await);
    assert!(!held(&relay).await);
}

/// A caller goes on to ask for minutes. What its request may still end is bounded.
#[tokio::test(start_paused = true)]
async fn few_trials() {
    let relay = poisoned().await;
    let mut exited = 0;
    for second in 0..100 {
        let id = format!("again{second}");
        let (_, sent) = attempt(&relay, poison(&id)).await;
        exited += usize::from(sent.is_some());
        sleep(Duration::from_secs(1) - PAUSE).await;
    }
    assert!((1..=3).contains(&exited), "{exited}");
}

/// A poison request ends all runners of a small service one after the other, and a popular request was
/// running at each of them. It is served again within seconds.
#[tokio::test(start_paused = true)]
async fn popular_beside_poison() {
    let relay = poisoned().await;
    assert!(held(&relay).await);
    sleep(Duration::from_secs(6)).await;
    assert!(!held(&relay).await);
}

/// The trial ends a runner as well: the next one comes four times as late.
#[tokio::test(start_paused = true)]
async fn trial_fails() {
    let relay = poisoned().await;
    sleep(Duration::from_secs(6)).await;
    assert!(attempt(&relay, poison("trial")).await.1.is_some());
    sleep(Duration::from_secs(18)).await;
    assert!(held(&relay).await);
    sleep(Duration::from_secs(4)).await;
    assert!(!held(&relay).await);
}

/// A row of the table of the processes, as another process wrote it.
fn row(value: Option<Value>) -> Vec<(&'static str, Option<Value>)> {
    let name = format!("quarantine/{:016x}", poison("q").content(Some("coop")));
    vec![(name.leak(), value)]
}

/// All processes were killed. One that has just started knows nothing from others; the table tells.
#[tokio::test(start_paused = true)]
async fn known_after_start() {
    let relay = relay();
    let rows = FeedReply::At(5, row(Some(json!({ "crashes": 3 }))));
    let following = tokio::spawn(member::follow(relay.clone(), ScriptedFeed::new([rows])));
    sleep(PAUSE).await;
    assert!(held(&relay).await);
    following.abort();
}

/// The row is gone once the request has been answered somewhere.
#[tokio::test(start_paused = true)]
async fn row_gone() {
    let relay = relay();
    let told = [
        FeedReply::At(5, row(Some(json!({ "crashes": 3 })))),
        FeedReply::At(6, row(None)),
    ];
    let following = tokio::spawn(member::follow(relay.clone(), ScriptedFeed::new(told)));
    sleep(Duration::from_secs(4)).await;
    assert!(!held(&relay).await);
    following.abort();
}

/// What is held back is written down, and dropped once it is cleared.
#[tokio::test(start_paused = true)]
async fn row_kept() {
    let relay = poisoned().await;
    let table = store::Memory::default();
    let keeping = tokio::spawn(relay::quarantine::write_rows(relay.clone(), table.clone()));
    let (key, _) = row(None).remove(0);
    sleep(PAUSE).await;
    let written = table.read("relay", key).await.expect("there");
    assert_eq!(written.map(|row| row.value), Some(json!({ "crashes": 3 })));
    sleep(Duration::from_secs(61)).await;
    assert!(!held(&relay).await);
    sleep(PAUSE).await;
    assert_eq!(table.read("relay", key).await.expect("there"), None);
    keeping.abort();
}

/// Each attempt reaches another process, and each process sees one runner end. None of them alone
/// would hold the request back.
#[tokio::test]
async fn told_by_peers() {
    let relay = relay();
    let (sender, mut receiver) = common::link::open(&relay).await;
    let content = poison("q").content(Some("coop"));
    for number in 1..=3 {
        let crash = Crash {
            runner: (format!("x-{number}").as_str().into(), None),
            sent: Duration::from_secs(3 - number),
            lost: Duration::from_secs(3 - number),
            isolated: false,
        };
        let suspicion = Suspicion {
            crashes: vec![crash],
            ..Suspicion::new(content)
        };
        let frame = peer::Frame::Suspicion(suspicion);
        sender.send(frame).await.expect("linked");
    }
    let passed_on = async {
        // The relay passes on to all what it has taken in.
        loop {
            let frame = receiver.recv().await.expect("linked").expect("open");
            if matches!(frame, peer::Frame::Suspicion(suspicion) if suspicion.count == 3) {
                break;
            }
        }
    };
    timeout(LONG, passed_on).await.expect("told");
    assert!(held(&relay).await);
    sender
        .send(peer::Frame::Suspicion(Suspicion {
            cleared: Some(Duration::ZERO),
            ..Suspicion::new(content)
        }))
        .await
        .expect("linked");
    let cleared = async {
        while held(&relay).await {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LONG, cleared).await.expect("cleared");
}
