//! Requests that harm runners, at two linked relays of which one forms the calls of the stage.

mod common;

use common::faults::{Effect, Fault, FaultSite};
use common::pair::{Node, pair};
use common::poison::{
    INNOCENT, PAUSE, POISON, REPEATED, RETURN, STAGE, ask, asking, assert_refused, assert_served,
    calls, failures, is_quarantined, keep_list, repeat, share_call,
};
use protocol::quarantine::CRASH_THRESHOLD;
use relay::Request;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time that callers of requests wait which silence runners.
const SHORT: Duration = Duration::from_millis(450);
/// Time for which such a request is repeated, before it may be due for a trial.
const SILENT: Duration = Duration::from_secs(5);
/// Time for which a request is repeated at a relay that has just come to form the calls, from before the
/// runners are back until it may be due for a trial.
const CHANGED: Duration = Duration::from_secs(4);
/// Time after which all runners are busy and the innocent requests wait.
const BUSY: Duration = Duration::from_millis(100);
/// Runners of the model; few attempts meet one that is silent already.
const PLAIN: usize = 100;
/// Relays.
const RELAYS: usize = 2;

/// Two relays, with a request that does harm to runners there.
async fn harmed(
    site: FaultSite,
    effect: Effect,
    stage: usize,
    back: Option<Duration>,
) -> (Node, Node) {
    let (asking, owner) = pair(stage, PLAIN).await;
    let fault = Fault::new(POISON, site, effect);
    asking.relay.downstream.faults.set([fault]);
    keep_list(&[&asking.relay, &owner.relay], back);
    (asking, owner)
}

fn poison(number: usize) -> Request {
    asking(&format!("{POISON}-{number}"), POISON)
}

/// Guards against a relay that admits a request which has ended three runners, as another relay knows that
/// forms the calls.
#[tokio::test(start_paused = true)]
async fn announced_to_admitting() {
    let (admitting, owner) = harmed(FaultSite::Stage(0), Effect::Ends, STAGE, None).await;
    let innocent = |number: usize| asking(&format!("one-{number}"), "one");
    let (_, served) = tokio::join!(
        repeat(&admitting.relay, REPEATED, poison),
        repeat(&admitting.relay, REPEATED, innocent),
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

/// Guards against a request that ends runners anew since another relay has come to form the calls.
#[tokio::test(start_paused = true)]
async fn owner_changes() {
    // Two of four are all that it may end before some are back.
    let (admitting, owner) = harmed(FaultSite::Stage(0), Effect::Ends, 4, Some(RETURN)).await;
    ask(&admitting.relay, poison(0)).await;
    assert!(!failures(&owner.relay).is_empty());
    owner.relay.peers.announce_leaving(&owner.member);
    sleep(PAUSE).await;
    let next = admitting
        .relay
        .peers
        .members(|members| members.owner("stage/0"));
    assert_eq!(next.id, admitting.member.id);
    repeat(&admitting.relay, CHANGED, |number| poison(number + 1)).await;
    let failures = failures(&owner.relay);
    assert!(failures.len() <= CRASH_THRESHOLD as usize, "{failures:?}");
    assert_refused(&admitting.relay, poison(100)).await;
}

/// Guards against crashes that count at the relay alone which admitted the attempt.
#[tokio::test(start_paused = true)]
async fn ended_by_turns() {
    let (one, other) = harmed(FaultSite::Stage(0), Effect::Ends, STAGE, None).await;
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < REPEATED {
        let node = [&one, &other][number % RELAYS];
        ask(&node.relay, poison(number)).await;
        sleep(PAUSE).await;
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

/// Guards against runners that a request silences at each relay apart, since none of them tells of it.
#[tokio::test(start_paused = true)]
async fn silenced_by_turns() {
    let (one, other) = harmed(FaultSite::Model, Effect::Silent, STAGE, None).await;
    let attempt = |number: usize| Request {
        timeout: Some(SHORT),
        ..poison(number)
    };
    let later = async {
        sleep((SHORT + PAUSE) / 2).await;
        repeat(&other.relay, SILENT, |number| attempt(100 + number)).await
    };
    tokio::join!(repeat(&one.relay, SILENT, attempt), later);
    let failures = failures(&one.relay);
    let most = RELAYS * CRASH_THRESHOLD as usize;
    assert!((1..=most).contains(&failures.len()), "{failures:?}");
}

/// Guards against pieces of others that the relay which forms the calls has lost with a call of the poison
/// request: the relay that admitted them gets them all the same.
#[tokio::test(start_paused = true)]
async fn others_of_admitting() {
    let (admitting, owner) = harmed(FaultSite::Stage(0), Effect::Ends, STAGE, Some(RETURN)).await;
    let beside = async {
        sleep(BUSY).await;
        ask(&owner.relay, poison(0)).await
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
