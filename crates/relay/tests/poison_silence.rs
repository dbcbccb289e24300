//! Poison requests that make runners unresponsive: connections are neither refused nor reset.

mod common;

use common::Fake;
use common::faults::{Effect, Fault, FaultSite};
use common::poison::{
    INNOCENT, LISTED_AFTER_EXIT, POISON, RETRY_DELAY, Reply, STAGE_RUNNERS, assert_served, attempt,
    failures, is_quarantined, maintain_list, relay, replies, retry_for, serve, share_call,
};
use protocol::quarantine::CRASH_THRESHOLD;
use relay::{Relay, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Timeout of clients that give up before the platform stops listing an unresponsive runner.
const SHORT_TIMEOUT: Duration = Duration::from_millis(450);
/// Timeout of clients that give up long after that.
const LONG_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which a request is retried; too short for a trial to become due.
const RETRY_PERIOD: Duration = Duration::from_secs(6);
/// The same where each attempt takes [`LONG_TIMEOUT`].
const SLOW_RETRY_PERIOD: Duration = Duration::from_millis(13_500);
/// Number of runners of the model, so many that few attempts meet one that is unresponsive already.
const MODEL_RUNNERS: usize = 40;
/// Number of runners of the model, so few that each gets work soon.
const FEW_MODEL_RUNNERS: usize = 6;

/// A relay whose runners become unresponsive under poison requests at `site`.
fn relay_with_fault(site: FaultSite) -> Arc<Relay<Fake>> {
    let relay = relay(STAGE_RUNNERS, MODEL_RUNNERS);
    let fault = Fault::new(POISON, site, Effect::Silent);
    relay.downstream.faults.set([fault]);
    maintain_list(&[&relay], None);
    relay
}

fn poison(number: usize, request_timeout: Duration) -> Request {
    Request {
        timeout: Some(request_timeout),
        ..attempt(&format!("{POISON}-{number}"), POISON)
    }
}

fn innocent(number: usize, request_timeout: Duration) -> Request {
    let text = INNOCENT[number % INNOCENT.len()];
    Request {
        timeout: Some(request_timeout),
        ..attempt(&format!("{text}-{number}"), text)
    }
}

/// Asserts that no innocent attempt was refused, and that all were served except those that met an
/// unresponsive runner of the model.
fn assert_innocent_unaffected(relay: &Relay<Fake>, replies: &[Reply]) {
    let silent: Vec<String> = failures(relay)
        .into_iter()
        .map(|(runner, _)| runner)
        .collect();
    let sent = relay.downstream.sent();
    for (number, reply) in replies.iter().enumerate() {
        let id = innocent(number, SHORT_TIMEOUT).id;
        let mut calls = sent.iter().filter(|call| *call.id == *id);
        let is_met = calls.any(|call| silent.contains(&call.runner));
        assert!(reply.is_served() || is_met, "{id}: {reply:?}");
        assert_ne!(reply.status, 503, "{id}: {reply:?}");
    }
}

/// Retries the poison request next to innocent ones. Asserts that few runners become unresponsive, and that
/// innocent requests are all served in the end.
async fn assert_bounded(site: FaultSite, request_timeout: Duration, time: Duration) {
    let relay = relay_with_fault(site);
    let (_, others) = tokio::join!(
        retry_for(&relay, time, |number| poison(number, request_timeout)),
        retry_for(&relay, time, |number| innocent(number, request_timeout)),
    );
    assert_few_failures(&relay);
    assert_innocent_unaffected(&relay, &others);
    sleep(LISTED_AFTER_EXIT).await;
    assert_served(
        &retry_for(&relay, LISTED_AFTER_EXIT, |number| {
            innocent(100 + number, SHORT_TIMEOUT)
        })
        .await,
    );
}

fn assert_few_failures(relay: &Relay<Fake>) {
    let failures = failures(relay);
    assert!(
        (1..=CRASH_THRESHOLD as usize).contains(&failures.len()),
        "{failures:?}"
    );
}

/// Guards against a request that makes one runner after the other unresponsive before the platform stops
/// listing the first one.
#[tokio::test(start_paused = true)]
async fn short_timeout() {
    assert_bounded(FaultSite::Model, SHORT_TIMEOUT, RETRY_PERIOD).await;
}

/// Guards against unresponsive runners that are removed from the list while their clients still wait, so
/// that the responses are recorded as lost only afterwards.
#[tokio::test(start_paused = true)]
async fn unlisted_before_timeout() {
    assert_bounded(FaultSite::Model, LONG_TIMEOUT, SLOW_RETRY_PERIOD).await;
}

/// Guards against runners that become unresponsive in the middle of a stream, which is recorded as lost
/// equally late.
#[tokio::test(start_paused = true)]
async fn silent_stream() {
    assert_bounded(FaultSite::Answer, SHORT_TIMEOUT, RETRY_PERIOD).await;
}

/// Guards against runners of a stage that become unresponsive.
#[tokio::test(start_paused = true)]
async fn silent_stage() {
    assert_bounded(FaultSite::Stage(0), LONG_TIMEOUT, RETRY_PERIOD).await;
}

/// Guards against the loss of innocent pieces in the call that made their runner unresponsive.
#[tokio::test(start_paused = true)]
async fn silent_call_shared() {
    let relay = relay_with_fault(FaultSite::Stage(0));
    let (innocent, sent) = share_call(&relay, 0, vec![poison(0, LONG_TIMEOUT)]).await;
    assert_served(&innocent);
    assert_eq!(replies(sent).await[0].status, 503);
    assert_few_failures(&relay);
    assert!(INNOCENT.iter().all(|text| !is_quarantined(&relay, text)));
}

/// Guards against clients that disconnect before their timeout, so that no response is recorded as lost.
#[tokio::test(start_paused = true)]
async fn clients_disconnect() {
    let relay = relay_with_fault(FaultSite::Model);
    for number in 0..7 {
        let attempt = serve(&relay, poison(number, LONG_TIMEOUT));
        // The client disconnects after this time, unless it has been refused.
        let _ = timeout(SHORT_TIMEOUT, attempt).await;
        sleep(RETRY_DELAY).await;
    }
    assert_few_failures(&relay);
}

/// Guards against a popular request that is quarantined because it times out at many runners, which are
/// merely slow for it and still respond to others.
#[tokio::test(start_paused = true)]
async fn slow_runners() {
    let relay = relay(STAGE_RUNNERS, FEW_MODEL_RUNNERS);
    let fault = Fault::new("popular", FaultSite::Model, Effect::Stalls);
    relay.downstream.faults.set([fault]);
    let popular = |number: usize| Request {
        timeout: Some(SHORT_TIMEOUT),
        ..attempt(&format!("popular-{number}"), "popular")
    };
    for number in 0..2 * FEW_MODEL_RUNNERS {
        assert_eq!(serve(&relay, popular(number)).await.status, 504);
        let sent = relay.downstream.sent();
        serve_another_at(&relay, &sent.last().expect("sent").runner, number).await;
    }
    assert!(!is_quarantined(&relay, "popular"));
    relay.downstream.faults.set([]);
    assert_served(&[serve(&relay, popular(100)).await]);
}

/// Sends other requests until the given runner has served one.
async fn serve_another_at(relay: &Arc<Relay<Fake>>, runner: &str, round: usize) {
    for number in 0..200 {
        let id = format!("other-{round}-{number}");
        assert_served(&[serve(relay, attempt(&id, &id)).await]);
        let sent = relay.downstream.sent();
        if sent.last().is_some_and(|call| call.runner == runner) {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
    panic!("{runner} gets no work");
}

/// Guards against a popular request that is quarantined because runners exited by chance soon after its
/// clients had timed out there, although they had responded to other requests in between.
#[tokio::test(start_paused = true)]
async fn slow_then_exited() {
    let relay = relay(STAGE_RUNNERS, FEW_MODEL_RUNNERS);
    maintain_list(&[&relay], None);
    let fault = Fault::new("popular", FaultSite::Model, Effect::Stalls);
    relay.downstream.faults.set([fault]);
    for number in 0..4 {
        let popular = Request {
            timeout: Some(SHORT_TIMEOUT),
            ..attempt(&format!("popular-{number}"), "popular")
        };
        serve(&relay, popular).await;
        let sent = relay.downstream.sent();
        let slow = &sent.last().expect("sent").runner;
        serve_another_at(&relay, slow, number).await;
        relay.downstream.faults.end(slow);
        sleep(LISTED_AFTER_EXIT).await;
    }
    relay.downstream.faults.set([]);
    assert!(!is_quarantined(&relay, "popular"));
    assert_served(&[serve(&relay, attempt("popular-last", "popular")).await]);
}
