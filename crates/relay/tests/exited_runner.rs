//! Runners that have exited but are still listed by the platform, and poison requests in services of few
//! runners.

mod common;

use common::{Fake, body, ready, request, runner};
use relay::request::Message;
use relay::runner::Change;
use relay::{Relay, Runner};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Body of the poison request.
const POISON: &str = "poison";
/// Time that a runner takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// A relay with this many runners of the plain service.
fn relay(runners: usize) -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    let more = (3..=runners).map(|number| Change::Listed(runner(&format!("p-{number}"), "plain")));
    relay.update(more.collect());
    relay
}

fn request_with_body(id: &str, text: &'static str) -> relay::Request {
    let request = request(id, "safe");
    let message = Message {
        body: text.into(),
        ..Message::clone(&request.message)
    };
    relay::Request {
        message: Arc::new(message),
        ..request
    }
}

async fn serve(relay: &Arc<Relay<Fake>>, id: &str, text: &'static str) -> u16 {
    body(relay.serve(request_with_body(id, text)).await).await.0
}

fn end(relay: &Relay<Fake>, id: &str) {
    relay
        .downstream
        .exited
        .lock()
        .expect("free")
        .push(id.into());
}

fn is_up(relay: &Relay<Fake>, id: &str) -> bool {
    !relay
        .downstream
        .exited
        .lock()
        .expect("free")
        .contains(&id.to_owned())
}

fn sent_to(relay: &Relay<Fake>, id: &str) -> usize {
    let sent = relay.downstream.sent();
    sent.iter().filter(|call| call.runner == id).count()
}

/// Guards against requests that use up their attempts because each of them is first sent to runners that
/// have exited; the platform lists these for three more seconds.
#[tokio::test(start_paused = true)]
async fn detected_once() {
    let relay = relay(4);
    for id in ["p-1", "p-2", "p-3"] {
        end(&relay, id);
    }
    for number in 0..40 {
        assert_eq!(serve(&relay, &format!("q{number}"), "x").await, 200);
    }
    for id in ["p-1", "p-2", "p-3"] {
        assert!(sent_to(&relay, id) <= 1, "{id}");
    }
}

/// Guards against a runner that gets no work although it is available again at its old address.
#[tokio::test(start_paused = true)]
async fn back_again() {
    let relay = relay(2);
    end(&relay, "p-1");
    for number in 0..8 {
        serve(&relay, &format!("q{number}"), "x").await;
    }
    relay.downstream.exited.lock().expect("free").clear();
    sleep(Duration::from_secs(1)).await;
    let before = sent_to(&relay, "p-1");
    for number in 0..40 {
        serve(&relay, &format!("r{number}"), "x").await;
    }
    assert!(sent_to(&relay, "p-1") > before);
}

/// Guards against clients that wait, or are told to retry at once, although all runners are known to have
/// exited.
#[tokio::test(start_paused = true)]
async fn none_left() {
    let relay = relay(2);
    end(&relay, "p-1");
    end(&relay, "p-2");
    serve(&relay, "first", "x").await;
    let (sent, begun) = (relay.downstream.sent().len(), Instant::now());
    let answer = relay.serve(request_with_body("second", "x")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after >= Some(Duration::from_secs(1)));
    assert!(begun.elapsed() < Duration::from_millis(100));
    assert_eq!(relay.downstream.sent().len(), sent);
}

/// Restarts a runner that has exited, under its old name.
async fn restart_later(relay: Arc<Relay<Fake>>, id: String, start: u64) {
    sleep(RESTART_TIME).await;
    relay
        .downstream
        .exited
        .lock()
        .expect("free")
        .retain(|exited| *exited != id);
    relay.update(vec![Change::Listed(Runner {
        started: Some(start),
        ..runner(&id, "plain")
    })]);
}

/// Retries a poison request as soon as possible, while runners restart some seconds after they crash.
/// Returns the smallest number of runners that were up, and the number of other requests that were not
/// served.
async fn beside_poison(runners: usize) -> (usize, usize) {
    let relay = relay(runners);
    *relay.downstream.crash_body.lock().expect("free") = Some(POISON.into());
    let ids: Vec<String> = (1..=runners).map(|number| format!("p-{number}")).collect();
    let (mut min_up, mut unserved) = (runners, 0);
    let mut down: Vec<String> = Vec::new();
    for round in 0..40 {
        let poisoned = relay.clone();
        let poison = tokio::spawn(async move {
            serve(&poisoned, &format!("poison-{round}"), POISON).await;
        });
        sleep(Duration::from_millis(100)).await;
        let up = ids.iter().filter(|id| is_up(&relay, id)).count();
        min_up = min_up.min(up);
        for number in 0..3 {
            let status = serve(&relay, &format!("other-{round}-{number}"), "other").await;
            unserved += usize::from(status != 200);
        }
        let exited = ids.iter().filter(|id| !is_up(&relay, id));
        let newly_exited: Vec<_> = exited.filter(|id| !down.contains(id)).cloned().collect();
        down = ids
            .iter()
            .filter(|id| !is_up(&relay, id))
            .cloned()
            .collect();
        for id in newly_exited {
            tokio::spawn(restart_later(relay.clone(), id, round));
        }
        poison.abort();
    }
    (min_up, unserved)
}

/// Guards against a single request that crashes all runners of a small service.
#[tokio::test(start_paused = true)]
async fn few_runners() {
    for runners in [2, 3, 4] {
        let (min_up, unserved) = beside_poison(runners).await;
        assert!(min_up >= 1, "{runners} runners");
        assert_eq!(unserved, 0, "{runners} runners");
    }
}
