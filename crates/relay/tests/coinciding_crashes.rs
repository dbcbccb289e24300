//! Poison requests whose first crashes coincide, at services of few runners and several relays.

mod common;

use common::Fake;
use common::faults::{Effect, Fault, FaultSite};
use common::pair::pair;
use common::poison::{
    POISON, Reply, assert_served, attempt_on, failures, maintain_list, relay, replies, send, serve,
};
use protocol::quarantine::CRASH_THRESHOLD;
use relay::{Relay, Request};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of runners of the service.
const RUNNERS: usize = 5;
/// Time that a runner takes to restart after it is no longer listed.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Delay between two attempts of the poison request.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the poison request is sent.
const ATTEMPT_PERIOD: Duration = Duration::from_secs(22);
/// Time in which a crash becomes known everywhere; crashes after that count as later ones.
const PROPAGATION: Duration = Duration::from_secs(3);
/// Maximum number of runners that a request crashes later.
const MAX_LATER_CRASHES: usize = 3;
/// Name and body of a popular request without faults.
const POPULAR: &str = "popular";

/// An attempt on a route whose requests run once.
fn once(name: &str, number: usize) -> Request {
    attempt_on("once", &format!("{name}-{number}"), name)
}

/// Sends the poison request to these relays in turn, the first two attempts at the same time.
async fn send_poison(relays: &[Arc<Relay<Fake>>]) {
    let begun = Instant::now();
    let mut number = 0;
    let mut attempts = Vec::new();
    while begun.elapsed() < ATTEMPT_PERIOD {
        attempts.push(send(&relays[number % relays.len()], once(POISON, number)).await);
        number += 1;
        if number > 1 {
            sleep(ATTEMPT_INTERVAL).await;
        }
    }
    replies(attempts).await;
}

fn crash_under_poison(relays: &[Arc<Relay<Fake>>]) {
    let fault = Fault::new(POISON, FaultSite::Model, Effect::Exits);
    relays[0].downstream.faults.set([fault]);
    maintain_list(&relays.iter().collect::<Vec<_>>(), Some(RESTART_TIME));
}

/// Number of runners that crashed later than [`PROPAGATION`] after the third one.
fn later_crashes(relay: &Relay<Fake>) -> usize {
    let failures = relay.downstream.faults.failures();
    let third = failures[CRASH_THRESHOLD as usize - 1].at;
    let later = failures.iter();
    later
        .filter(|failure| failure.at > third + PROPAGATION)
        .count()
}

/// Guards against a request that is not held after three crashes because two of them coincided, so that all
/// attempts that wait for runners are sent when one is back.
#[tokio::test(start_paused = true)]
async fn few_later_crashes() {
    let relays = [relay(0, RUNNERS)];
    crash_under_poison(&relays);
    send_poison(&relays).await;
    assert!(failures(&relays[0]).len() >= CRASH_THRESHOLD as usize);
    let later = later_crashes(&relays[0]);
    assert!(later <= MAX_LATER_CRASHES, "{later} later crashes");
}

/// Guards against attempts at several relays that are all sent when a runner is back, before any of them has
/// crashed its runner.
#[tokio::test(start_paused = true)]
async fn sent_by_one_relay() {
    let (one, other) = pair(0, RUNNERS).await;
    let relays = [one.relay, other.relay];
    crash_under_poison(&relays);
    send_poison(&relays).await;
    let failures = relays[0].downstream.faults.failures();
    assert!(failures.len() >= CRASH_THRESHOLD as usize);
    let after_two = failures.windows(2).skip(1);
    for crashes in after_two {
        let spacing = crashes[1].at - crashes[0].at;
        assert!(spacing >= ATTEMPT_INTERVAL, "{failures:?}");
    }
    let later = later_crashes(&relays[0]);
    assert!(later <= MAX_LATER_CRASHES, "{later} later crashes");
}

/// Guards against a popular request that is refused after a failure domain has exited under it: it must be
/// served again as soon as one attempt has been.
#[tokio::test(start_paused = true)]
async fn served_after_domain_exit() {
    let relay = relay(0, 3 * RUNNERS);
    let stall = Fault::new(POPULAR, FaultSite::Model, Effect::Stalls);
    relay.downstream.faults.set([stall]);
    let mut lost = Vec::new();
    for number in 0..2 * RUNNERS {
        lost.push(send(&relay, once(POPULAR, number)).await);
    }
    let mut busy: Vec<String> = relay
        .downstream
        .sent()
        .into_iter()
        .map(|call| call.runner)
        .collect();
    busy.sort();
    busy.dedup();
    busy.truncate(RUNNERS);
    sleep(ATTEMPT_INTERVAL).await;
    busy.iter().for_each(|id| relay.downstream.faults.end(id));
    relay.downstream.faults.set([]);
    sleep(ATTEMPT_INTERVAL).await;
    let mut served: Vec<Reply> = Vec::new();
    for number in 0..10 {
        let number = 2 * RUNNERS + number;
        served.push(serve(&relay, once(POPULAR, number)).await);
    }
    assert_served(&served);
    let elapsed: Duration = served.iter().map(|reply| reply.elapsed).sum();
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    assert_eq!(failures(&relay).len(), RUNNERS);
}
