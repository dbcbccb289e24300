//! Poison requests at two linked relays, one of which forms the calls of the stage.

mod common;

use common::faults::{Effect, Fault, FaultSite};
use common::pair::{Node, pair};
use common::poison::{
    INNOCENT, POISON, RESTART_TIME, RETRY_DELAY, RETRY_PERIOD, STAGE_RUNNERS, WORKSPACE,
    assert_refused, assert_served, attempt, calls, failures, is_quarantined, maintain_list,
    retry_for, serve, share_call,
};
use protocol::quarantine::CRASH_THRESHOLD;
use relay::Request;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout of the requests that make runners unresponsive.
const SHORT_TIMEOUT: Duration = Duration::from_millis(450);
/// Time for which such a request is retried; too short for a trial to become due.
const SILENT_RETRY_PERIOD: Duration = Duration::from_secs(5);
/// Time for which a request is retried at a relay that has just become the owner of the cell. It is long
/// enough for the runners to restart and too short for a trial to become due.
const NEW_OWNER_RETRY_PERIOD: Duration = Duration::from_secs(4);
/// Time after which all runners are busy and the innocent requests wait.
const BUSY_AFTER: Duration = Duration::from_millis(100);
/// Number of runners of the model, so many that few attempts meet one that is unresponsive already.
const MODEL_RUNNERS: usize = 100;
/// Time in which an announcement arrives.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(100);
/// Number of relays.
const RELAYS: usize = 2;

/// Two relays, and a fault of the poison requests at their runners.
async fn pair_with_fault(
    site: FaultSite,
    effect: Effect,
    stage: usize,
    restart_time: Option<Duration>,
) -> (Node, Node) {
    let (admitting, owner) = pair(stage, MODEL_RUNNERS).await;
    let fault = Fault::new(POISON, site, effect);
    admitting.relay.downstream.faults.set([fault]);
    maintain_list(&[&admitting.relay, &owner.relay], restart_time);
    (admitting, owner)
}

fn poison(number: usize) -> Request {
    attempt(&format!("{POISON}-{number}"), POISON)
}

/// Guards against a relay that admits a request although the relay that forms its calls knows it to have
/// crashed three runners.
#[tokio::test(start_paused = true)]
async fn announced_to_admitting_relay() {
    let (admitting, owner) =
        pair_with_fault(FaultSite::Stage(0), Effect::Exits, STAGE_RUNNERS, None).await;
    let innocent = |number: usize| attempt(&format!("one-{number}"), "one");
    let (_, served) = tokio::join!(
        retry_for(&admitting.relay, RETRY_PERIOD, poison),
        retry_for(&admitting.relay, RETRY_PERIOD, innocent),
    );
    assert_served(&served);
    let failures = failures(&owner.relay);
    assert!(
        (1..=CRASH_THRESHOLD as usize).contains(&failures.len()),
        "{failures:?}"
    );
    assert_refused(&admitting.relay, poison(100)).await;
    assert_refused(&owner.relay, poison(101)).await;
}

/// Guards against a request that crashes further runners after the ownership of the cell has moved to
/// another relay.
#[tokio::test(start_paused = true)]
async fn owner_changes() {
    // The request may crash at max_failures two of four runners before some have restarted.
    let (admitting, owner) =
        pair_with_fault(FaultSite::Stage(0), Effect::Exits, 4, Some(RESTART_TIME)).await;
    serve(&admitting.relay, poison(0)).await;
    assert!(!failures(&owner.relay).is_empty());
    owner.relay.peers.announce_leaving(&owner.member);
    sleep(RETRY_DELAY).await;
    let next = admitting
        .relay
        .peers
        .members(|members| members.owner("stage/0"));
    assert_eq!(next.id, admitting.member.id);
    retry_for(&admitting.relay, NEW_OWNER_RETRY_PERIOD, |number| {
        poison(number + 1)
    })
    .await;
    let failures = failures(&owner.relay);
    assert!(failures.len() <= CRASH_THRESHOLD as usize, "{failures:?}");
    assert_refused(&admitting.relay, poison(100)).await;
}

/// Guards against crashes that are counted only at the relay that admitted the attempt.
#[tokio::test(start_paused = true)]
async fn crashes_via_alternating_relays() {
    let (one, other) =
        pair_with_fault(FaultSite::Stage(0), Effect::Exits, STAGE_RUNNERS, None).await;
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < RETRY_PERIOD {
        let node = [&one, &other][number % RELAYS];
        serve(&node.relay, poison(number)).await;
        sleep(RETRY_DELAY).await;
        number += 1;
    }
    let failures = failures(&one.relay);
    assert!(
        (1..=CRASH_THRESHOLD as usize).contains(&failures.len()),
        "{failures:?}"
    );
    assert_refused(&one.relay, poison(100)).await;
    assert_refused(&other.relay, poison(101)).await;
}

/// Guards against relays that do not announce unresponsive runners, so that a request makes runners
/// unresponsive at each of them separately.
#[tokio::test(start_paused = true)]
async fn silenced_via_alternating_relays() {
    let (one, other) = pair_with_fault(FaultSite::Model, Effect::Silent, STAGE_RUNNERS, None).await;
    let attempt = |number: usize| Request {
        timeout: Some(SHORT_TIMEOUT),
        ..poison(number)
    };
    let later = async {
        sleep((SHORT_TIMEOUT + RETRY_DELAY) / 2).await;
        retry_for(&other.relay, SILENT_RETRY_PERIOD, |number| {
            attempt(100 + number)
        })
        .await
    };
    tokio::join!(retry_for(&one.relay, SILENT_RETRY_PERIOD, attempt), later);
    let failures = failures(&one.relay);
    let max_failures = RELAYS * CRASH_THRESHOLD as usize;
    assert!((1..=max_failures).contains(&failures.len()), "{failures:?}");
}

/// Guards against relays that each report unresponsive runners to another process while their lists of
/// processes differ, so that no process counts all of them.
#[tokio::test(start_paused = true)]
async fn silenced_while_lists_differ() {
    let (one, other) = pair_with_fault(FaultSite::Model, Effect::Silent, STAGE_RUNNERS, None).await;
    let row = format!("quarantine/{:016x}", poison(0).content(Some(WORKSPACE)));
    let is_owner = |node: &Node| {
        let owner = node.relay.peers.members(|members| members.owner(&row));
        owner.id == node.member.id
    };
    let (counting, unaware) = match is_owner(&one) {
        true => (&one, &other),
        false => (&other, &one),
    };
    // The process takes itself for the one that counts as well.
    unaware
        .relay
        .peers
        .members(|members| members.remove(&counting.member.id));
    assert!(is_owner(counting) && is_owner(unaware));
    let attempt = |number: usize| Request {
        timeout: Some(SHORT_TIMEOUT),
        ..poison(number)
    };
    for (number, node) in [unaware, counting].into_iter().enumerate() {
        assert_eq!(serve(&node.relay, attempt(number)).await.status, 504);
    }
    sleep(ANNOUNCEMENT_TIME).await;
    for (number, node) in [unaware, counting].into_iter().enumerate() {
        assert_eq!(serve(&node.relay, attempt(10 + number)).await.status, 503);
    }
    assert_eq!(failures(&one.relay).len(), 2);
}

/// Guards against the loss of innocent pieces that the owner of the cell has put into a call with a poison
/// request: the relay that admitted them must still get their results.
#[tokio::test(start_paused = true)]
async fn shared_call_of_admitting_relay() {
    let (admitting, owner) = pair_with_fault(
        FaultSite::Stage(0),
        Effect::Exits,
        STAGE_RUNNERS,
        Some(RESTART_TIME),
    )
    .await;
    let beside = async {
        sleep(BUSY_AFTER).await;
        serve(&owner.relay, poison(0)).await
    };
    let ((innocent, _), _) = tokio::join!(share_call(&admitting.relay, 0, Vec::new()), beside);
    let first = calls(&owner.relay).into_iter();
    let mut first = first.filter(|ids| ids.iter().any(|id| id.starts_with(POISON)));
    assert_eq!(first.next().map(|ids| ids.len()), Some(INNOCENT.len() + 1));
    assert_served(&innocent);
    assert!(
        INNOCENT
            .iter()
            .all(|text| !is_quarantined(&admitting.relay, text)
                && !is_quarantined(&owner.relay, text))
    );
}
