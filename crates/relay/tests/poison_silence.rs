//! Requests that silence the runners that work on them: no connection is refused or reset.

mod common;

use common::Fake;
use common::faults::{Effect, Fault, FaultSite};
use common::poison::{
    INNOCENT, LISTED, PAUSE, POISON, Reply, STAGE, ask, asking, assert_served, failures,
    is_quarantined, keep_list, relay, repeat, replies, share_call,
};
use protocol::quarantine::CRASH_THRESHOLD;
use relay::{Relay, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time that callers wait who give up before the platform's list tells of a silent runner.
const SHORT: Duration = Duration::from_millis(450);
/// Time that callers wait who give up long after that.
const LONG: Duration = Duration::from_secs(4);
/// Time for which such a request is repeated, before it may be due for a trial.
const REPEATED: Duration = Duration::from_secs(6);
/// The same where each attempt takes [`LONG`].
const REPEATED_SLOWLY: Duration = Duration::from_millis(13_500);
/// Runners of the model; few attempts meet one that is silent already.
const PLAIN: usize = 40;
/// Runners of the model that each get work soon.
const FEW: usize = 6;

/// A relay with runners that attempts of the poison request silence there.
fn silenced(site: FaultSite) -> Arc<Relay<Fake>> {
    let relay = relay(STAGE, PLAIN);
    let fault = Fault::new(POISON, site, Effect::Silent);
    relay.downstream.faults.set([fault]);
    keep_list(&[&relay], None);
    relay
}

fn poison(number: usize, patience: Duration) -> Request {
    Request {
        timeout: Some(patience),
        ..asking(&format!("{POISON}-{number}"), POISON)
    }
}

fn innocent(number: usize, patience: Duration) -> Request {
    let text = INNOCENT[number % INNOCENT.len()];
    Request {
        timeout: Some(patience),
        ..asking(&format!("{text}-{number}"), text)
    }
}

/// Attempts of others are refused by nobody, and served unless the model's runner had fallen silent or did so
/// under them.
fn assert_unharmed(relay: &Relay<Fake>, replies: &[Reply]) {
    let silent: Vec<String> = failures(relay)
        .into_iter()
        .map(|(runner, _)| runner)
        .collect();
    let sent = relay.downstream.sent();
    for (number, reply) in replies.iter().enumerate() {
        let id = innocent(number, SHORT).id;
        let mut calls = sent.iter().filter(|call| *call.id == *id);
        let is_met = calls.any(|call| silent.contains(&call.runner));
        assert!(reply.is_served() || is_met, "{id}: {reply:?}");
        assert_ne!(reply.status, 503, "{id}: {reply:?}");
    }
}

/// Repeats the request beside innocent ones; few runners fall silent, and all others are served in the end.
async fn assert_bounded(site: FaultSite, patience: Duration, time: Duration) {
    let relay = silenced(site);
    let (_, others) = tokio::join!(
        repeat(&relay, time, |number| poison(number, patience)),
        repeat(&relay, time, |number| innocent(number, patience)),
    );
    assert_few(&relay);
    assert_unharmed(&relay, &others);
    sleep(LISTED).await;
    assert_served(&repeat(&relay, LISTED, |number| innocent(100 + number, SHORT)).await);
}

fn assert_few(relay: &Relay<Fake>) {
    let failures = failures(relay);
    assert!(
        (1..=CRASH_THRESHOLD as usize).contains(&failures.len()),
        "{failures:?}"
    );
}

/// Guards against a request that silences one runner after the other before the list tells of the first
/// one.
#[tokio::test(start_paused = true)]
async fn short_patience() {
    assert_bounded(FaultSite::Model, SHORT, REPEATED).await;
}

/// Guards against runners that leave the list while their callers still wait: their answers are noted as
/// lost only after that.
#[tokio::test(start_paused = true)]
async fn listed_first() {
    assert_bounded(FaultSite::Model, LONG, REPEATED_SLOWLY).await;
}

/// Guards against runners that fall silent in the middle of a stream, which ends as late.
#[tokio::test(start_paused = true)]
async fn silent_stream() {
    assert_bounded(FaultSite::Answer, SHORT, REPEATED).await;
}

/// Guards against runners of a stage that fall silent.
#[tokio::test(start_paused = true)]
async fn silent_stage() {
    assert_bounded(FaultSite::Stage(0), LONG, REPEATED).await;
}

/// Guards against pieces of others that are lost with the call of the request that silenced their runner.
#[tokio::test(start_paused = true)]
async fn silent_call_shared() {
    let relay = silenced(FaultSite::Stage(0));
    let (innocent, sent) = share_call(&relay, 0, vec![poison(0, LONG)]).await;
    assert_served(&innocent);
    assert_eq!(replies(sent).await[0].status, 503);
    assert_few(&relay);
    assert!(INNOCENT.iter().all(|text| !is_quarantined(&relay, text)));
}

/// Guards against callers that leave before their time is over, so that no answer counts as lost.
#[tokio::test(start_paused = true)]
async fn callers_leave() {
    let relay = silenced(FaultSite::Model);
    for number in 0..7 {
        let asking = ask(&relay, poison(number, LONG));
        // It leaves then, unless it has been refused.
        let _ = timeout(SHORT, asking).await;
        sleep(PAUSE).await;
    }
    assert_few(&relay);
}

/// Guards against a popular request that is held back since its callers' time is over at many runners, which
/// are merely slow for it and answer others.
#[tokio::test(start_paused = true)]
async fn slow_runners() {
    let relay = relay(STAGE, FEW);
    let fault = Fault::new("popular", FaultSite::Model, Effect::Stalls);
    relay.downstream.faults.set([fault]);
    let popular = |number: usize| Request {
        timeout: Some(SHORT),
        ..asking(&format!("popular-{number}"), "popular")
    };
    for number in 0..2 * FEW {
        assert_eq!(ask(&relay, popular(number)).await.status, 504);
        let sent = relay.downstream.sent();
        answer_another(&relay, &sent.last().expect("sent").runner, number).await;
    }
    assert!(!is_quarantined(&relay, "popular"));
    relay.downstream.faults.set([]);
    assert_served(&[ask(&relay, popular(100)).await]);
}

/// The runner answers somebody else.
async fn answer_another(relay: &Arc<Relay<Fake>>, runner: &str, round: usize) {
    for number in 0..200 {
        let id = format!("other-{round}-{number}");
        assert_served(&[ask(relay, asking(&id, &id)).await]);
        let sent = relay.downstream.sent();
        if sent.last().is_some_and(|call| call.runner == runner) {
            return;
        }
        sleep(PAUSE).await;
    }
    panic!("{runner} gets no work");
}

/// Guards against a popular request that is held back since a runner ended by chance soon after callers of it
/// gave up there, although it had answered others since.
#[tokio::test(start_paused = true)]
async fn slow_then_ended() {
    let relay = relay(STAGE, FEW);
    keep_list(&[&relay], None);
    let fault = Fault::new("popular", FaultSite::Model, Effect::Stalls);
    relay.downstream.faults.set([fault]);
    for number in 0..4 {
        let popular = Request {
            timeout: Some(SHORT),
            ..asking(&format!("popular-{number}"), "popular")
        };
        ask(&relay, popular).await;
        let sent = relay.downstream.sent();
        let slow = &sent.last().expect("sent").runner;
        answer_another(&relay, slow, number).await;
        relay.downstream.faults.end(slow);
        sleep(LISTED).await;
    }
    relay.downstream.faults.set([]);
    assert!(!is_quarantined(&relay, "popular"));
    assert_served(&[ask(&relay, asking("popular-last", "popular")).await]);
}
