//! Requests that end runners at several places: at stages of their route and at the model.

mod common;

use common::Fake;
use common::faults::{Effect, Fault, FaultSite};
use common::poison::{
    INNOCENT, POISON, REPEATED, RETURN, STAGE, ask, asking_on, assert_served, failures, keep_list,
    occupy, relay, repeat, replies, reply, send,
};
use protocol::quarantine::CRASH_THRESHOLD;
use relay::downstream::Item;
use relay::{Relay, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time within which the first stage of requests is being made that all runners are busy for at first.
const FIRST_STAGE: Duration = Duration::from_millis(490);

/// Beginnings of the names of attempts that end runners at one place and at the other one.
const PLACES: [&str; 2] = ["poison-first", "poison-second"];

/// A relay with runners for a request that ends them at these places.
fn harmed(sites: [FaultSite; 2]) -> Arc<Relay<Fake>> {
    let relay = relay(STAGE, STAGE);
    let faults = PLACES.into_iter().zip(sites);
    let faults = faults.map(|(prefix, site)| Fault::new(prefix, site, Effect::Ends));
    relay.downstream.faults.set(faults);
    keep_list(&[&relay], Some(RETURN));
    relay
}

/// An attempt that ends runners at one place after the other in turn.
fn by_turns(route: &str, number: usize) -> Request {
    let prefix = PLACES[number % PLACES.len()];
    asking_on(route, &format!("{prefix}-{number}"), POISON)
}

/// Repeats the request beside innocent ones, which are all served; no place loses more runners than it
/// takes to know the request.
async fn assert_bounded(relay: &Arc<Relay<Fake>>, route: &str) {
    let innocent = async {
        repeat(relay, REPEATED, |number| {
            let text = INNOCENT[number % INNOCENT.len()];
            asking_on(route, &format!("{text}-{number}"), text)
        })
        .await
    };
    let attempt = |number| by_turns(route, number);
    let (_, innocent) = tokio::join!(repeat(relay, REPEATED, attempt), innocent);
    assert_served(&innocent);
    let failures = failures(relay);
    for prefix in PLACES {
        let there = failures.iter().filter(|(_, by)| by.starts_with(prefix));
        assert!(
            there.count() <= CRASH_THRESHOLD as usize,
            "{prefix}: {failures:?}"
        );
    }
    assert!(!failures.is_empty());
}

/// Guards against a request whose first stage is made by runners that live, which says nothing of its
/// second one.
#[tokio::test(start_paused = true)]
async fn second_stage() {
    let relay = harmed([FaultSite::Stage(1), FaultSite::Stage(1)]);
    assert_bounded(&relay, "chained").await;
}

/// Guards against a request that is known at one stage and goes on to end the runners of another one.
#[tokio::test(start_paused = true)]
async fn both_stages() {
    let relay = harmed([FaultSite::Stage(0), FaultSite::Stage(1)]);
    assert_bounded(&relay, "chained").await;
}

/// Guards against a request that is counted for its stage and for its model apart, and against pieces that
/// are made for one that the model's runners do not survive.
#[tokio::test(start_paused = true)]
async fn stage_and_model() {
    let relay = harmed([FaultSite::Stage(0), FaultSite::Model]);
    assert_bounded(&relay, "staged").await;
}

/// Guards against innocent pieces of a later stage that are lost with a call of the poison request.
#[tokio::test(start_paused = true)]
async fn later_call_shared() {
    let relay = harmed([FaultSite::Stage(1), FaultSite::Stage(1)]);
    let begun = Instant::now();
    let mut asked = occupy(&relay, 0).await;
    let poison = send(&relay, by_turns("chained", 0)).await;
    for text in INNOCENT {
        asked.push(send(&relay, asking_on("chained", text, text)).await);
    }
    // All runners but the one that makes their first stage.
    sleep_until(begun + FIRST_STAGE).await;
    for number in 1..STAGE {
        let id = format!("full-{number}");
        let full = Request {
            pieces: vec![4],
            ..asking_on("staged", &id, &id)
        };
        asked.push(send(&relay, full).await);
    }
    assert_served(&replies(asked).await);
    assert_eq!(reply(poison).await.status, 503);
    let stage_calls = relay.downstream.stage_calls();
    let is_deadly = |item: &Item| item.stage == 1 && item.id.starts_with(POISON);
    let first = stage_calls
        .iter()
        .find(|call| call.items.iter().any(is_deadly));
    assert!(first.is_some_and(|call| call.items.len() > 1));
    assert_served(&[ask(&relay, asking_on("chained", "one-again", "one")).await]);
    let failures = failures(&relay);
    assert!(
        (1..=CRASH_THRESHOLD as usize).contains(&failures.len()),
        "{failures:?}"
    );
}
