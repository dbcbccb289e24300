//! Poison requests that crash runners in several places: in stages of their route and at the model.

mod common;

use common::Fake;
use common::faults::{Effect, Fault, FaultSite};
use common::poison::{
    INNOCENT, POISON, RESTART_TIME, RETRY_PERIOD, STAGE_RUNNERS, assert_served, attempt_on,
    failures, maintain_list, occupy, relay, replies, reply, retry_for, send, serve,
};
use protocol::quarantine::CRASH_THRESHOLD;
use relay::downstream::Item;
use relay::{Relay, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time at which the first stage of the attempts that had to wait for busy runners is being made.
const FIRST_STAGE: Duration = Duration::from_millis(490);

/// Name prefixes of the attempts that crash runners in the first and in the second place.
const PLACES: [&str; 2] = ["poison-first", "poison-second"];

/// A relay whose runners crash under poison requests in these places.
fn relay_with_faults(sites: [FaultSite; 2]) -> Arc<Relay<Fake>> {
    let relay = relay(STAGE_RUNNERS, STAGE_RUNNERS);
    let faults = PLACES.into_iter().zip(sites);
    let faults = faults.map(|(prefix, site)| Fault::new(prefix, site, Effect::Exits));
    relay.downstream.faults.set(faults);
    maintain_list(&[&relay], Some(RESTART_TIME));
    relay
}

/// An attempt of the poison request; successive numbers alternate between the two places.
fn alternating(route: &str, number: usize) -> Request {
    let prefix = PLACES[number % PLACES.len()];
    attempt_on(route, &format!("{prefix}-{number}"), POISON)
}

/// Retries the poison request next to innocent ones. Asserts that all innocent ones are served, and that no
/// place loses more runners than it takes to quarantine the request.
async fn assert_bounded(relay: &Arc<Relay<Fake>>, route: &str) {
    let innocent = async {
        retry_for(relay, RETRY_PERIOD, |number| {
            let text = INNOCENT[number % INNOCENT.len()];
            attempt_on(route, &format!("{text}-{number}"), text)
        })
        .await
    };
    let attempt = |number| alternating(route, number);
    let (_, innocent) = tokio::join!(retry_for(relay, RETRY_PERIOD, attempt), innocent);
    assert_served(&innocent);
    let failures = failures(relay);
    for prefix in PLACES {
        let in_place = failures.iter().filter(|(_, by)| by.starts_with(prefix));
        assert!(
            in_place.count() <= CRASH_THRESHOLD as usize,
            "{prefix}: {failures:?}"
        );
    }
    assert!(!failures.is_empty());
}

/// Guards against a successful first stage that clears a request which crashes the runners of its second
/// stage.
#[tokio::test(start_paused = true)]
async fn second_stage() {
    let relay = relay_with_faults([FaultSite::Stage(1), FaultSite::Stage(1)]);
    assert_bounded(&relay, "chained").await;
}

/// Guards against a request that is quarantined for one stage but still crashes the runners of another.
#[tokio::test(start_paused = true)]
async fn both_stages() {
    let relay = relay_with_faults([FaultSite::Stage(0), FaultSite::Stage(1)]);
    assert_bounded(&relay, "chained").await;
}

/// Guards against separate crash counts for a request's stage and its model, and against pieces that are
/// made for a request that crashes the runners of the model.
#[tokio::test(start_paused = true)]
async fn stage_and_model() {
    let relay = relay_with_faults([FaultSite::Stage(0), FaultSite::Model]);
    assert_bounded(&relay, "staged").await;
}

/// Guards against the loss of innocent pieces of a later stage that share a call with a poison request.
#[tokio::test(start_paused = true)]
async fn later_stage_call_shared() {
    let relay = relay_with_faults([FaultSite::Stage(1), FaultSite::Stage(1)]);
    let begun = Instant::now();
    let mut attempts = occupy(&relay, 0).await;
    let poison = send(&relay, alternating("chained", 0)).await;
    for text in INNOCENT {
        attempts.push(send(&relay, attempt_on("chained", text, text)).await);
    }
    // Full calls occupy all runners except the one that makes the first stage of these requests.
    sleep_until(begun + FIRST_STAGE).await;
    for number in 1..STAGE_RUNNERS {
        let id = format!("full-{number}");
        let full = Request {
            pieces: vec![4],
            ..attempt_on("staged", &id, &id)
        };
        attempts.push(send(&relay, full).await);
    }
    assert_served(&replies(attempts).await);
    assert_eq!(reply(poison).await.status, 503);
    let stage_calls = relay.downstream.stage_calls();
    let is_poison = |item: &Item| item.stage == 1 && item.id.starts_with(POISON);
    let first = stage_calls
        .iter()
        .find(|call| call.items.iter().any(is_poison));
    assert!(first.is_some_and(|call| call.items.len() > 1));
    assert_served(&[serve(&relay, attempt_on("chained", "one-again", "one")).await]);
    let failures = failures(&relay);
    assert!(
        (1..=CRASH_THRESHOLD as usize).contains(&failures.len()),
        "{failures:?}"
    );
}
