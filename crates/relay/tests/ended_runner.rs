//! Runners that have ended while the platform's list still names them, and what a request that ends
//! runners may do to a service of few.

mod common;

use common::{Fake, body, ready, request, runner};
use relay::request::Message;
use relay::runner::Change;
use relay::{Relay, Runner};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Body of the request that ends runners.
const POISON: &str = "poison";
/// Time that a runner takes to come back.
const RETURN: Duration = Duration::from_secs(3);

/// A relay with so many runners of the plain service.
fn relay(runners: usize) -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    let more = (3..=runners).map(|number| Change::Listed(runner(&format!("p-{number}"), "plain")));
    relay.update(more.collect());
    relay
}

fn asking(id: &str, text: &'static str) -> relay::Request {
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
    body(relay.serve(asking(id, text)).await).await.0
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

/// Guards against requests that run out of tries, since each of them is sent first to runners that have
/// ended: the list names those for three seconds more.
#[tokio::test(start_paused = true)]
async fn found_once() {
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

/// Guards against a runner that gets no work although it is back, at the address that it had.
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

/// Guards against callers that wait, or are told to come back at once, when all runners are known to have
/// ended.
#[tokio::test(start_paused = true)]
async fn none_left() {
    let relay = relay(2);
    end(&relay, "p-1");
    end(&relay, "p-2");
    serve(&relay, "first", "x").await;
    let (sent, began) = (relay.downstream.sent().len(), Instant::now());
    let answer = relay.serve(asking("second", "x")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after >= Some(Duration::from_secs(1)));
    assert!(began.elapsed() < Duration::from_millis(100));
    assert_eq!(relay.downstream.sent().len(), sent);
}

/// A runner that has ended starts again, under its name.
async fn come_back(relay: Arc<Relay<Fake>>, id: String, start: u64) {
    sleep(RETURN).await;
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

/// A caller repeats a request that ends its runner, as soon as it may; runners come back some seconds
/// later. Gives how many were up at the least, and how many other requests were not served.
async fn beside_poison(runners: usize) -> (usize, usize) {
    let relay = relay(runners);
    *relay.downstream.crash_body.lock().expect("free") = Some(POISON.into());
    let ids: Vec<String> = (1..=runners).map(|number| format!("p-{number}")).collect();
    let (mut least, mut unserved) = (runners, 0);
    let mut down: Vec<String> = Vec::new();
    for round in 0..40 {
        let poisoning = relay.clone();
        let poison = tokio::spawn(async move {
            serve(&poisoning, &format!("poison-{round}"), POISON).await;
        });
        sleep(Duration::from_millis(100)).await;
        let up = ids.iter().filter(|id| is_up(&relay, id)).count();
        least = least.min(up);
        for number in 0..3 {
            let status = serve(&relay, &format!("other-{round}-{number}"), "other").await;
            unserved += usize::from(status != 200);
        }
        let exited = ids.iter().filter(|id| !is_up(&relay, id));
        let fresh: Vec<_> = exited.filter(|id| !down.contains(id)).cloned().collect();
        down = ids
            .iter()
            .filter(|id| !is_up(&relay, id))
            .cloned()
            .collect();
        for id in fresh {
            tokio::spawn(come_back(relay.clone(), id, round));
        }
        poison.abort();
    }
    (least, unserved)
}

/// Guards against one request that shuts a service of few runners for everybody.
#[tokio::test(start_paused = true)]
async fn few_runners() {
    for runners in [2, 3, 4] {
        let (least, unserved) = beside_poison(runners).await;
        assert!(least >= 1, "{runners} runners");
        assert_eq!(unserved, 0, "{runners} runners");
    }
}
