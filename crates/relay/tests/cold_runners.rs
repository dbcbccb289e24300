//! What runners are sent that have just started.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::{Fake, configuration, ready, request, runner};
use relay::configuration::{Configuration, Limits, Service, Warmup};
use relay::drain::Drains;
use relay::runner::{Change, Runner};
use relay::{Relay, member};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const COLD: Duration = Duration::from_secs(3);
/// Time after which a process's row is known to all others.
const SETTLED: Duration = Duration::from_secs(20);

/// The row of another process.
fn row(id: &str) -> (&'static str, Option<Value>) {
    let member = json!({ "id": id, "incarnation": 1, "address": "127.0.0.1:1", "weight": 1.0 });
    (String::leak(id.to_owned()), Some(member))
}

/// Routes of [`configuration`] before runners that bear two requests a second after their start.
fn warming() -> Configuration {
    let whole = configuration(2);
    let route = whole.route("host", "/safe/x").expect("there").as_ref();
    let service = Service {
        name: "plain".into(),
        connections: 64,
        batches: None,
        warmup: Some(Warmup {
            time: COLD,
            rate: 2.0,
        }),
    };
    let public = relay::configuration::Route {
        public: true,
        ..route.clone()
    };
    Configuration::new(
        2,
        vec![public],
        vec![service],
        Vec::new(),
        Limits::default(),
    )
}

fn cold(id: &str) -> Change {
    Change::Listed(Runner {
        cold: COLD,
        ..runner(id, "plain")
    })
}

/// A relay that knows of these other processes, and has for long.
async fn among(others: &[&str]) -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    relay.adopt(warming());
    let rows = others.iter().map(|id| row(id)).collect();
    let script = ScriptedFeed::new(vec![FeedReply::Rows(rows)]);
    tokio::spawn(member::follow(relay.clone(), script));
    let now = relay.now();
    relay
        .peers
        .members(|members| members.mark_registered(now, 1));
    sleep(SETTLED).await;
    relay
}

/// Requests that come within a second.
const BURST: usize = 30;

/// Sends them; how many were answered.
async fn press(relay: &Arc<Relay<Fake>>) -> usize {
    let mut answered = 0;
    for number in 0..BURST {
        let answer = relay.serve(request(&number.to_string(), "safe")).await;
        answered += usize::from(answer.status == 200);
        sleep(Duration::from_millis(15)).await;
    }
    answered
}

/// All runners of a service are back after a crash, and a burst meets them. Sent all of it, they
/// crash again.
#[tokio::test(start_paused = true)]
async fn bounded() {
    let relay = among(&[]).await;
    relay.update(vec![cold("p-1"), cold("p-2")]);
    let answered = press(&relay).await;
    assert!((2..=4).contains(&answered), "{answered}");
    sleep(COLD).await;
    assert_eq!(press(&relay).await, BURST, "they are warm");
}

/// One of two runners is cold: the other one gets what the cold one does not bear, and nobody is
/// refused.
#[tokio::test(start_paused = true)]
async fn warm_one_left() {
    let relay = among(&[]).await;
    relay.update(vec![cold("p-1")]);
    assert_eq!(press(&relay).await, BURST);
    let sent = relay.downstream.sent();
    let to_cold = sent.iter().filter(|sent| sent.runner == "p-1").count();
    assert!((1..=2).contains(&to_cold), "{to_cold}");
}

/// Many processes see the same idle runner. Those without a place leave it alone.
#[tokio::test(start_paused = true)]
async fn no_place() {
    let names: Vec<String> = (0..30).map(|number| format!("other-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let relay = among(&names).await;
    relay.update(vec![Change::Gone("p-1".into()), Change::Gone("p-2".into())]);
    let mut served = 0;
    for number in 0..40 {
        let id = format!("new-{number}");
        relay.update(vec![cold(&id)]);
        let answer = relay.serve(request(&id, "safe")).await;
        served += usize::from(answer.status == 200);
        relay.update(vec![Change::Gone(id.as_str().into())]);
    }
    assert!(
        (1..=8).contains(&served),
        "{served} of 40 have a place here"
    );
}

/// A process that has just started does not know who else sends, and the others do not know of it.
/// Thirty that start together would each send all that one runner bears.
#[tokio::test(start_paused = true)]
async fn just_started() {
    let relay = ready(Fake::default());
    relay.adopt(warming());
    relay.update(vec![cold("p-1"), cold("p-2")]);
    let answer = relay.serve(request("q", "safe")).await;
    assert_eq!(answer.status, 503);
    assert!(relay.downstream.sent().is_empty());
}

/// A failure domain gets work again whose runners were started anew meanwhile. Their entries are from
/// before that, and say nothing of it until the next heartbeat.
#[tokio::test(start_paused = true)]
async fn back_from_a_drain() {
    let relay = among(&[]).await;
    let drains = |revision, domains: &[&str]| Drains {
        revision,
        settled: 0,
        domains: domains.iter().map(|domain| (*domain).into()).collect(),
    };
    relay.drain(&drains(1, &["a"]), "test");
    relay.drain(&drains(2, &[]), "test");
    let answered = press(&relay).await;
    assert!((2..=4).contains(&answered), "{answered}");
}
