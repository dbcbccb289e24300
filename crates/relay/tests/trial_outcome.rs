//! Trials of a quarantined request that crash their runner after it has failed other requests.

mod common;

use common::Fake;
use common::faults::{Effect, Fault, FaultSite};
use common::poison::{
    POISON, Reply, WORKSPACE, assert_refused, attempt_on, failures, relay, replies, send, serve,
};
use protocol::quarantine::Crash;
use relay::quarantine::Suspicion;
use relay::{Relay, Request};
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

/// A relay that knows that three runners have crashed under the poison request.
fn relay_with_quarantine() -> Arc<Relay<Fake>> {
    let relay = relay(0, RUNNERS);
    let crash = |age: u32| Crash {
        runner: (format!("x-{age}").as_str().into(), None),
        sent: CRASH_INTERVAL * age,
        lost: CRASH_INTERVAL * age,
        isolated: false,
    };
    let suspicion = Suspicion {
        crashes: (0..3).map(crash).collect(),
        ..Suspicion::new(poison(0).content(Some(WORKSPACE)))
    };
    relay.merge_suspicion(&suspicion, "test");
    relay
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
    let relay = relay_with_quarantine();
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
