//! Trials of a quarantined request: which attempts are, and whether their crashes are known.

mod common;

use common::faults::{Effect, Fault, FaultSite};
use common::pair::pair;
use common::poison::{
    POISON, Reply, WORKSPACE, assert_refused, attempt_on, failures, relay, replies, send, serve,
};
use common::{Behavior, Fake, runner};
use protocol::quarantine::{CRASH_THRESHOLD, Crash};
use relay::quarantine::Suspicion;
use relay::runner::Change;
use relay::{Relay, Request, Runner};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Number of runners of the service.
const RUNNERS: usize = 4;
/// Number of other requests, enough for one at each runner.
const OTHERS: usize = 16;
/// Delay between the crashes that quarantine the request.
const CRASH_INTERVAL: Duration = Duration::from_millis(700);
/// Hold of a request that has crashed three runners.
const HOLD: Duration = Duration::from_secs(5);
/// Time before the end of the hold at which the other requests are sent.
const LEAD: Duration = Duration::from_millis(300);
/// Timeout of the other requests that get no answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a trial without an outcome is repeated.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Name of the other requests.
const OTHER: &str = "other";

fn poison(number: usize) -> Request {
    attempt_on("once", &format!("{POISON}-{number}"), POISON)
}

/// Makes a relay learn that three runners have crashed under the poison request.
fn quarantine(relay: &Arc<Relay<Fake>>) {
    report_crashes(relay, CRASH_THRESHOLD);
}

fn report_crashes(relay: &Arc<Relay<Fake>>, crashes: u32) {
    let crash = |age: u32| Crash {
        runner: (format!("x-{age}").as_str().into(), None),
        sent: CRASH_INTERVAL * age,
        lost: CRASH_INTERVAL * age,
        isolated: false,
        is_trial: false,
        is_silence: false,
    };
    let suspicion = Suspicion {
        crashes: (0..crashes).map(crash).collect(),
        ..Suspicion::new(poison(0).content(Some(WORKSPACE)))
    };
    relay.merge_suspicion(&suspicion, "test");
}

/// Sends the other requests shortly before the trial is due, then the trial, and asserts that its crash is
/// known: the request is held for longer than a trial without an outcome.
async fn assert_trial_counts(relay: &Arc<Relay<Fake>>, other: impl Fn(usize) -> Request) {
    sleep(HOLD - LEAD).await;
    let mut others = Vec::new();
    for number in 0..OTHERS {
        others.push(send(relay, other(number)).await);
    }
    let others: Vec<Reply> = replies(others).await;
    assert!(others.iter().any(|reply| reply.status >= 500), "{others:?}");
    sleep(LEAD).await;
    serve(relay, poison(1)).await;
    assert_eq!(failures(relay).len(), 1);
    sleep(TRIAL_TIMEOUT + CRASH_INTERVAL).await;
    assert_refused(relay, poison(2)).await;
}

/// Guards against a trial whose crash is taken for the earlier end of its runner, because another request had
/// run out of time there: it would be repeated after seconds.
#[tokio::test(start_paused = true)]
async fn crashes_after_timeout() {
    let relay = relay(0, RUNNERS);
    quarantine(&relay);
    relay.downstream.faults.set([
        Fault::new(POISON, FaultSite::Model, Effect::Exits),
        Fault::new(OTHER, FaultSite::Model, Effect::Stalls),
    ]);
    let other = |number: usize| Request {
        timeout: Some(SHORT_TIMEOUT),
        ..attempt_on("once", &format!("{OTHER}-{number}"), OTHER)
    };
    assert_trial_counts(&relay, other).await;
}

/// Guards against the same after its runner has lost the response to another request and kept running.
#[tokio::test(start_paused = true)]
async fn crashes_after_loss() {
    let relay = relay(0, 0);
    quarantine(&relay);
    let fault = Fault::new(POISON, FaultSite::Model, Effect::Exits);
    relay.downstream.faults.set([fault]);
    sleep(HOLD - LEAD).await;
    *relay.downstream.behaviors.lock().expect("free") = [Behavior::Lose].into();
    assert!(
        !serve(&relay, attempt_on("once", OTHER, OTHER))
            .await
            .is_served()
    );
    let used = relay.downstream.sent()[0].runner.clone();
    let unused = ["p-1", "p-2"].into_iter().find(|id| *id != used);
    relay.update(vec![Change::Listed(Runner {
        leaving: true,
        ..runner(unused.expect("two"), "plain")
    })]);
    sleep(2 * LEAD).await;
    serve(&relay, poison(1)).await;
    assert_eq!(failures(&relay), [(used, poison(1).id.to_string())]);
    let started = ["a-3", "a-4", "a-5"].map(|id| Change::Listed(runner(id, "plain")));
    relay.update(started.into());
    sleep(TRIAL_TIMEOUT + CRASH_INTERVAL).await;
    assert_refused(&relay, poison(2)).await;
}

/// Sends an attempt of the poison request to each of two relays while too few runners are up, and lists one
/// more. Asserts that one of the attempts is sent.
async fn assert_one_at_return(crashes: u32) {
    let (one, other) = pair(0, RUNNERS).await;
    let relays = [one.relay, other.relay];
    let fault = Fault::new(POISON, FaultSite::Model, Effect::Exits);
    relays[0].downstream.faults.set([fault]);
    for relay in &relays {
        report_crashes(relay, crashes);
    }
    sleep(HOLD).await;
    for relay in &relays {
        relay.update(vec![Change::Gone("a-3".into()), Change::Gone("a-4".into())]);
    }
    sleep(2 * CRASH_INTERVAL).await;
    let mut waiting = Vec::new();
    for (number, relay) in relays.iter().enumerate() {
        let relay = relay.clone();
        waiting.push(tokio::spawn(
            async move { serve(&relay, poison(number)).await },
        ));
    }
    sleep(LEAD).await;
    assert!(relays[0].downstream.sent().is_empty());
    for relay in &relays {
        relay.update(vec![Change::Listed(runner("a-5", "plain"))]);
    }
    replies(waiting).await;
    assert_eq!(relays[0].downstream.sent().len(), 1);
}

/// Guards against trials of several relays that have attempts waiting when a runner is back, long after the
/// hold has ended for each of them.
#[tokio::test(start_paused = true)]
async fn one_at_return() {
    assert_one_at_return(CRASH_THRESHOLD).await;
}

/// Guards against the same after two crashes, when attempts wait only for runners.
#[tokio::test(start_paused = true)]
async fn one_after_two_crashes() {
    assert_one_at_return(CRASH_THRESHOLD - 1).await;
}
