//! Load sent to runners that have just started.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::service::Service as TableService;
use common::{
    Fake, configuration, configured, member_at, ready, request, runner, unconfigured_member,
};
use relay::configuration::{Configuration, Limits, Service, Warmup};
use relay::drain::Drains;
use relay::member::Member;
use relay::runner::{Change, Runner};
use relay::{Relay, member};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

const COLD: Duration = Duration::from_secs(3);
/// Time after which a process's row is known to all others.
const SETTLED: Duration = Duration::from_secs(20);

/// Time after which a process that starts has listed the processes.
const LISTED: Duration = Duration::from_millis(100);
/// Interval between two requests of the only process to a cold runner.
const COLD_INTERVAL: Duration = Duration::from_millis(700);

/// The row of another process.
fn row(id: &str) -> (&'static str, Option<Value>) {
    let member = json!({ "id": id, "incarnation": 1, "address": "127.0.0.1:1", "weight": 1.0 });
    (String::leak(id.to_owned()), Some(member))
}

/// Routes of [`configuration`] to runners that can take two requests a second after their start.
fn warming() -> Configuration {
    let base = configuration(2);
    let route = base.route("host", "/safe/x").expect("there").as_ref();
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

/// A relay that has known of these other processes for a long time.
async fn with_members(others: &[&str]) -> Arc<Relay<Fake>> {
    let relay = ready(Fake::default());
    relay.adopt(warming());
    let rows = others.iter().map(|id| row(id)).collect();
    let feed = ScriptedFeed::new(vec![FeedReply::Rows(rows)]);
    tokio::spawn(member::follow(relay.clone(), feed));
    let now = relay.now();
    relay
        .peers
        .members(|members| members.mark_registered(now, 1));
    sleep(SETTLED).await;
    relay
}

/// Number of requests sent within a second.
const BURST: usize = 30;

/// Sends a burst of requests and returns how many succeeded.
async fn send_burst(relay: &Arc<Relay<Fake>>) -> usize {
    let mut succeeded = 0;
    for number in 0..BURST {
        let answer = relay.serve(request(&number.to_string(), "safe")).await;
        succeeded += usize::from(answer.status == 200);
        sleep(Duration::from_millis(15)).await;
    }
    succeeded
}

/// All runners of a service are back after a crash, and a burst arrives. Sent all of it, they would
/// crash again.
#[tokio::test(start_paused = true)]
async fn burst_bounded() {
    let relay = with_members(&[]).await;
    relay.update(vec![cold("p-1"), cold("p-2")]);
    let succeeded = send_burst(&relay).await;
    assert!((2..=4).contains(&succeeded), "{succeeded}");
    sleep(COLD).await;
    assert_eq!(send_burst(&relay).await, BURST, "they are warm");
}

/// One of two runners is cold: the other one gets what the cold one cannot take, and no request is
/// refused.
#[tokio::test(start_paused = true)]
async fn warm_runner_takes_rest() {
    let relay = with_members(&[]).await;
    relay.update(vec![cold("p-1")]);
    assert_eq!(send_burst(&relay).await, BURST);
    let sent = relay.downstream.sent();
    let to_cold = sent.iter().filter(|sent| sent.runner == "p-1").count();
    assert!((1..=2).contains(&to_cold), "{to_cold}");
}

/// Many processes see the same idle runner. Those that are not among its senders leave it alone.
#[tokio::test(start_paused = true)]
async fn not_a_sender() {
    let names: Vec<String> = (0..30).map(|number| format!("other-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let relay = with_members(&names).await;
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
        "{served} of 40 runners were sent a request"
    );
}

/// A process that has just started does not know which others send, and the others do not know of
/// it. Thirty processes that start together would each send as much as one runner can take.
#[tokio::test(start_paused = true)]
async fn just_started() {
    let relay = ready(Fake::default());
    relay.adopt(warming());
    relay.update(vec![cold("p-1"), cold("p-2")]);
    let answer = relay.serve(request("q", "safe")).await;
    assert_eq!(answer.status, 503);
    assert!(relay.downstream.sent().is_empty());
}

/// Starts the relay again whose row is in this table, and returns it with its tasks.
async fn registered(table: &TableService) -> (Arc<Relay<Fake>>, JoinSet<()>) {
    let own = Member {
        incarnation: rand::random(),
        ..member_at("relay-1", SocketAddr::from(([127, 0, 0, 1], 1)))
    };
    let relay = configured(unconfigured_member(Fake::default(), own));
    relay.adopt(warming());
    let mut tasks = JoinSet::new();
    tasks.spawn(member::follow(relay.clone(), table.clone()));
    tasks.spawn(member::register(relay.clone(), table.clone()));
    sleep(LISTED).await;
    (relay, tasks)
}

/// Guards against a cold runner that gets a request from a process and another at once from its next start,
/// which does not know of the first.
#[tokio::test(start_paused = true)]
async fn sent_before_restart() {
    let table = TableService::new();
    let (relay, tasks) = registered(&table).await;
    sleep(SETTLED).await;
    relay.update(vec![Change::Gone("p-2".into()), cold("p-1")]);
    assert_eq!(relay.serve(request("a", "safe")).await.status, 200);
    drop(tasks);
    let (relay, _tasks) = registered(&table).await;
    relay.update(vec![Change::Gone("p-2".into()), cold("p-1")]);
    assert_eq!(relay.serve(request("b", "safe")).await.status, 503);
    sleep(COLD_INTERVAL).await;
    assert_eq!(relay.serve(request("c", "safe")).await.status, 200);
}

/// The runners of a drained failure domain were restarted in the meantime, and the domain gets work
/// again. Their rows date from before the restart and do not show it until the next heartbeat.
#[tokio::test(start_paused = true)]
async fn back_after_drain() {
    let relay = with_members(&[]).await;
    let drains = |revision, domains: &[&str]| Drains {
        revision,
        settled: 0,
        domains: domains.iter().map(|domain| (*domain).into()).collect(),
    };
    relay.drain(&drains(1, &["a"]), "test");
    relay.drain(&drains(2, &[]), "test");
    let succeeded = send_burst(&relay).await;
    assert!((2..=4).contains(&succeeded), "{succeeded}");
}
