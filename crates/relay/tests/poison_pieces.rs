//! Requests whose pieces end the runners that make them, in calls that carry pieces of others.

mod common;

use common::faults::{Effect, Fault, FaultSite};
use common::poison::{
    INNOCENT, PATIENCE, PAUSE, POISON, REPEATED, RETURN, STAGE, ask, asking, assert_refused,
    assert_served, calls, failures, is_quarantined, keep_list, occupy, relay, repeat, replies,
    reply, send, share_call,
};
use common::{Fake, StageCall};
use protocol::quarantine::CRASH_THRESHOLD;
use relay::{Relay, Request};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after a lost call by which the pieces of others in it are made again.
const REMADE: Duration = Duration::from_millis(600);
/// Time for which a caller goes on to repeat its request.
const LONG: Duration = Duration::from_secs(25);
/// Trials of a request that is held back within that time.
const TRIALS: usize = 2;

/// Time over which repeats are bounded.
const WINDOW: Duration = Duration::from_secs(11);
/// Time between two looks whether enough runners are there, at most.
const LOOK: Duration = Duration::from_millis(100);
/// Time within which a runner that has ended may still come back.
const AWAITED: Duration = Duration::from_secs(7);

fn deadly(prefix: &'static str) -> Fault {
    Fault::new(prefix, FaultSite::Stage(0), Effect::Ends)
}

/// An attempt of the poison request.
fn poison(number: usize) -> Request {
    asking(&format!("{POISON}-{number}"), POISON)
}

/// The longest time from the loss of a call until a piece of it that does no harm is sent again.
fn longest_unmade(relay: &Relay<Fake>) -> Duration {
    let (failures, stage_calls) = (
        relay.downstream.faults.failures(),
        relay.downstream.stage_calls(),
    );
    let mut longest = Duration::ZERO;
    for failure in failures {
        let is_lost = |(_, call): &(usize, &StageCall)| {
            call.runner == failure.runner && call.at <= failure.at
        };
        let Some((position, lost)) = stage_calls.iter().enumerate().rfind(is_lost) else {
            continue;
        };
        for item in lost
            .items
            .iter()
            .filter(|item| !item.id.starts_with(POISON))
        {
            let is_same = |again: &&StageCall| {
                let mut items = again.items.iter();
                items.any(|other| (&other.id, other.piece) == (&item.id, item.piece))
            };
            let again = stage_calls[position + 1..].iter().find(is_same);
            let again = again.map_or(Duration::MAX, |again| again.at - failure.at);
            longest = longest.max(again);
        }
    }
    longest
}

/// Guards against innocent requests that are refused or held back, since they share a call with one that
/// ends its runners.
#[tokio::test(start_paused = true)]
async fn shared_call() {
    let relay = relay(STAGE, 2);
    relay.downstream.faults.set([deadly(POISON)]);
    keep_list(&[&relay], None);
    let (innocent, sent) = share_call(&relay, 0, vec![poison(0)]).await;
    let first = calls(&relay).into_iter();
    let mut first = first.filter(|ids| ids.iter().any(|id| id.starts_with(POISON)));
    let shared = first.next().map(|ids| ids.len());
    assert_eq!(shared, Some(INNOCENT.len() + 1));
    assert_served(&innocent);
    replies(sent).await;
    repeat(&relay, REPEATED, |number| poison(number + 1)).await;
    let failures = failures(&relay);
    assert!(failures.len() <= CRASH_THRESHOLD as usize, "{failures:?}");
    assert_refused(&relay, asking("poison-last", POISON)).await;
    assert!(INNOCENT.iter().all(|text| !is_quarantined(&relay, text)));
}

/// Guards against pieces of others that wait for long after the end of their runner, or for as long as the
/// request that ended it is repeated.
#[tokio::test(start_paused = true)]
async fn made_again() {
    let relay = relay(STAGE, 2);
    relay.downstream.faults.set([deadly(POISON)]);
    keep_list(&[&relay], Some(RETURN));
    let begun = Instant::now();
    let (mut round, mut poisoning) = (0, Vec::new());
    while begun.elapsed() < LONG {
        let next = Instant::now() + PAUSE;
        let again = poisoning.iter().all(JoinHandle::is_finished);
        let attempts = again.then(|| poison(round)).into_iter().collect();
        let (innocent, sent) = share_call(&relay, round, attempts).await;
        poisoning.extend(sent);
        assert_served(&innocent);
        sleep_until(next).await;
        round += 1;
    }
    let failures = failures(&relay);
    assert!(
        (1..=CRASH_THRESHOLD as usize + TRIALS).contains(&failures.len()),
        "{failures:?}"
    );
    let longest = longest_unmade(&relay);
    assert!(longest <= REMADE, "{longest:?}");
}

/// Guards against requests that are held back since runners crashed by chance with full calls of them.
#[tokio::test(start_paused = true)]
async fn chance_crashes() {
    const ROUNDS: usize = 6;
    const TEXTS: [&str; 4] = ["one", "two", "three", "four"];
    let relay = relay(STAGE, 2);
    keep_list(&[&relay], Some(RETURN));
    for round in 0..ROUNDS {
        let busy = occupy(&relay, round).await;
        let mut asked = Vec::new();
        for text in TEXTS {
            asked.push(send(&relay, asking(&format!("{text}-{round}"), text)).await);
        }
        assert_served(&replies(busy).await);
        let one = format!("one-{round}");
        for _ in 0..2 {
            let stage_calls = relay.downstream.stage_calls();
            let is_one = |call: &&StageCall| call.items.iter().any(|item| *item.id == *one);
            let last = stage_calls.iter().rfind(is_one).expect("carried");
            relay.downstream.faults.end(&last.runner);
            sleep(Duration::from_millis(100)).await;
        }
        assert_served(&replies(asked).await);
        sleep(WINDOW).await;
    }
    assert_eq!(failures(&relay).len(), 2 * ROUNDS);
    assert!(TEXTS.iter().all(|text| !is_quarantined(&relay, text)));
}

/// Guards against a stage of three runners that one request shuts for everybody, and against callers that
/// wait in vain for a runner that their request may be sent to.
#[tokio::test(start_paused = true)]
async fn last_standing() {
    let relay = relay(3, 2);
    relay.downstream.faults.set([deadly(POISON)]);
    keep_list(&[&relay], None);
    let first = ask(&relay, poison(0)).await;
    assert_eq!(first.status, 503, "{first:?}");
    let begun = Instant::now();
    let mut round = 0;
    while begun.elapsed() < AWAITED {
        round += 1;
        let poison = send(&relay, poison(round)).await;
        for text in INNOCENT {
            let id = format!("{text}-{round}");
            assert_served(&[ask(&relay, asking(&id, text)).await]);
        }
        let poison = reply(poison).await;
        assert_eq!(poison.status, 503, "{poison:?}");
        assert!(
            poison.retry_after >= Some(Duration::from_secs(1)),
            "{poison:?}"
        );
        assert!(poison.after <= PATIENCE / 2 + LOOK, "{poison:?}");
    }
    let failures = failures(&relay);
    assert!(failures.len() <= 2, "{failures:?}");
}

/// Guards against a popular request that is refused since poison requests of many kinds share its calls.
#[tokio::test(start_paused = true)]
async fn popular_body() {
    let relay = relay(STAGE, 2);
    relay.downstream.faults.set([deadly(POISON)]);
    keep_list(&[&relay], Some(RETURN));
    for round in 0..5 {
        let busy = occupy(&relay, round).await;
        let mut popular = Vec::new();
        for number in 0..INNOCENT.len() {
            let id = format!("popular-{round}-{number}");
            popular.push(send(&relay, asking(&id, "popular")).await);
        }
        let id = format!("{POISON}-{round}");
        let poison = send(&relay, asking(&id, &id)).await;
        assert_served(&replies(popular).await);
        assert!(!is_quarantined(&relay, "popular"));
        replies(busy.into_iter().chain([poison])).await;
        sleep(WINDOW).await;
    }
    assert!(failures(&relay).len() >= 5);
}

/// Guards against two poison requests in the same calls, each of which hides the other one.
#[tokio::test(start_paused = true)]
async fn two_poisons() {
    let relay = relay(STAGE, 2);
    relay.downstream.faults.set([deadly(POISON)]);
    keep_list(&[&relay], Some(RETURN));
    let other = |number: usize| asking(&format!("{POISON}-other-{number}"), "other poison");
    let (innocent, poisons) = share_call(&relay, 0, vec![poison(0), other(0)]).await;
    assert_served(&innocent);
    replies(poisons).await;
    tokio::join!(
        repeat(&relay, REPEATED, |number| poison(number + 1)),
        repeat(&relay, REPEATED, |number| other(number + 1)),
    );
    let failures = failures(&relay);
    assert!(
        failures.len() <= 2 * CRASH_THRESHOLD as usize,
        "{failures:?}"
    );
    assert_served(&[ask(&relay, asking("one-last", "one")).await]);
}

/// Guards against a request of many calls of which one alone is deadly: those that are made do not speak
/// for it.
#[tokio::test(start_paused = true)]
async fn one_piece() {
    let relay = relay(STAGE, 2);
    let fault = Fault {
        piece: Some(5),
        ..deadly(POISON)
    };
    relay.downstream.faults.set([fault]);
    keep_list(&[&relay], Some(RETURN));
    let large = |number: usize| Request {
        pieces: vec![10],
        ..poison(number)
    };
    let (innocent, sent) = share_call(&relay, 0, vec![large(0)]).await;
    assert_served(&innocent);
    replies(sent).await;
    repeat(&relay, REPEATED, |number| large(number + 1)).await;
    let failures = failures(&relay);
    assert!(failures.len() <= CRASH_THRESHOLD as usize, "{failures:?}");
    assert_refused(&relay, large(100)).await;
    assert!(INNOCENT.iter().all(|text| !is_quarantined(&relay, text)));
}
