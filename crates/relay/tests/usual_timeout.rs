//! Callers that come back after a refusal are told from new ones by the usual timeout of their route.

mod common;

use common::{Fake, ready};
use relay::Relay;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Timeout that nearly all callers state.
const USUAL: Duration = Duration::from_secs(6);
/// Timeout of a caller unlike the others.
const ODD: Duration = Duration::from_secs(600);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(50);
/// Requests of each phase.
const REQUESTS: usize = 400;

fn is_return(relay: &Arc<Relay<Fake>>, timeout: Duration) -> bool {
    relay.waited_before("staged", timeout) > Duration::ZERO
}

/// Sends first attempts, each `every`th of them by an odd caller; returns how many of the others are taken
/// for callers that come back.
async fn first_attempts(relay: &Arc<Relay<Fake>>, every: usize) -> usize {
    let mut returns = 0;
    for number in 1..=REQUESTS {
        sleep(INTERVAL).await;
        if number % every == 0 {
            is_return(relay, ODD);
        } else {
            returns += usize::from(is_return(relay, USUAL));
        }
    }
    returns
}

/// Guards against a caller with a long timeout after which all others of the route count as coming back, are
/// scheduled last and refused.
#[tokio::test(start_paused = true)]
async fn odd_caller() {
    let relay = ready(Fake::default());
    assert_eq!(first_attempts(&relay, usize::MAX).await, 0);
    is_return(&relay, ODD);
    assert_eq!(first_attempts(&relay, usize::MAX).await, 0);
    let refused = USUAL * 2 / 3;
    assert_eq!(relay.waited_before("staged", refused), USUAL - refused);
}

/// Guards against a few callers with long timeouts that send requests all the time, with the same effect.
#[tokio::test(start_paused = true)]
async fn odd_callers() {
    let relay = ready(Fake::default());
    assert_eq!(first_attempts(&relay, usize::MAX).await, 0);
    assert_eq!(first_attempts(&relay, 20).await, 0);
}

/// Guards against a caller that is the first one of a route: the others count as coming back only until
/// there are enough of them to tell what is usual.
#[tokio::test(start_paused = true)]
async fn odd_first() {
    let relay = ready(Fake::default());
    is_return(&relay, ODD);
    let returns = first_attempts(&relay, usize::MAX).await;
    assert!(returns < 10, "{returns}");
}

/// Guards against a timeout that counts as usual for good after all clients of the route have changed theirs.
#[tokio::test(start_paused = true)]
async fn shorter_from_now_on() {
    let relay = ready(Fake::default());
    assert_eq!(first_attempts(&relay, 1).await, 0);
    for _ in 0..10 {
        first_attempts(&relay, usize::MAX).await;
    }
    assert_eq!(first_attempts(&relay, usize::MAX).await, 0);
}

/// Guards against a timeout that is remembered on a route which few requests use.
#[tokio::test(start_paused = true)]
async fn quiet_route() {
    let relay = ready(Fake::default());
    is_return(&relay, ODD);
    for _ in 0..5 {
        sleep(Duration::from_secs(100)).await;
    }
    assert_eq!(relay.waited_before("staged", USUAL), Duration::ZERO);
}

/// Guards against callers that come back and are no longer recognised, where most requests are theirs: each
/// first attempt is refused, and so are four returns of each caller.
#[tokio::test(start_paused = true)]
async fn storm_recognized() {
    let relay = ready(Fake::default());
    let (mut recognized, mut returns) = (0, 0);
    let refusals = 5_u32;
    let mut remaining = vec![Vec::new(); REQUESTS * 3];
    for step in 0..REQUESTS * 2 {
        sleep(INTERVAL).await;
        assert!(!is_return(&relay, USUAL), "first attempt {step}");
        for (timeout, left) in std::mem::take(&mut remaining[step]) {
            returns += 1;
            recognized += usize::from(is_return(&relay, timeout));
            come_back(&mut remaining, step, timeout, left);
        }
        come_back(&mut remaining, step, USUAL, refusals);
    }
    assert!(returns > 4 * REQUESTS);
    assert_eq!(recognized, returns);
}

/// Schedules the next attempt of a caller that waits for a third of its time, as it is told.
fn come_back(remaining: &mut [Vec<(Duration, u32)>], step: usize, timeout: Duration, left: u32) {
    if left > 1 {
        let wait = timeout / 3;
        let steps = (wait.as_millis() / INTERVAL.as_millis()).max(1) as usize;
        remaining[step + steps].push((timeout - wait, left - 1));
    }
}
