//! Calls to the table service by a fleet whose processes all start together, as they do at the first
//! start of the system and after a power failure.

mod common;

use common::service::Service;
use common::{Fake, entry, unconfigured_member};
use relay::member::Member;
use relay::{Relay, follow, member, peer};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use wire::{Key, Listener};

/// Timeout of each step, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
const RUNNER_COUNT: usize = 30;

struct Fleet {
    service: Service,
    relays: Vec<Arc<Relay<Fake>>>,
    tasks: JoinSet<()>,
}

impl Fleet {
    fn new() -> Self {
        let service = Service::new();
        service.put("plans", "config", Some(json!(1)));
        for number in 0..RUNNER_COUNT {
            service.put("runners", &format!("r-{number}"), entry("plain"));
        }
        Self {
            service,
            relays: Vec::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Starts the process with this number.
    async fn start(&mut self, number: usize) {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::bind(any, Key::new("key")).await.expect("bound");
        let own = Member {
            id: format!("relay-{number}").into(),
            incarnation: rand::random(),
            address: listener.address().expect("bound"),
            domain: "a".into(),
            weight: 1.0,
            since: None,
        };
        let relay = unconfigured_member(Fake::default(), own);
        let service = self.service.clone();
        self.tasks.spawn(peer::serve(relay.clone(), listener));
        self.tasks
            .spawn(follow::tables(relay.clone(), service.clone()));
        self.tasks
            .spawn(member::register(relay.clone(), service.clone()));
        self.tasks.spawn(member::follow(relay.clone(), service));
        self.relays.push(relay);
    }

    /// Waits until all processes know the configuration and this many runners.
    async fn wait_ready(&self, runners: usize) {
        self.wait_until(|relay| {
            let known = relay.fleet(|fleet| fleet.of("plain").len());
            relay.is_ready() && known == Some(runners)
        })
        .await;
    }

    /// Waits until something holds for all processes.
    async fn wait_until(&self, holds: impl Fn(&Relay<Fake>) -> bool) {
        let all = async {
            while !self.relays.iter().all(|relay| holds(relay)) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, all)
            .await
            .expect("reached by all processes");
    }

    fn call_count(&self, name: &str) -> usize {
        self.service.calls().get(name).copied().unwrap_or(0)
    }
}

/// Guards against a number of calls per process that grows with the number of processes. Each process
/// must list the processes and write its row, and only the first few must read the other tables, for
/// all.
#[tokio::test]
async fn simultaneous_start() {
    for count in [40, 80] {
        let mut fleet = Fleet::new();
        for number in 0..count {
            fleet.start(number).await;
        }
        fleet.wait_ready(RUNNER_COUNT).await;
        let calls = fleet.service.calls();
        assert_eq!(fleet.call_count("list relay"), count, "{calls:?}");
        assert_eq!(fleet.call_count("write relay"), count, "{calls:?}");
        for table in ["list plans", "list runners"] {
            assert!(fleet.call_count(table) <= 12, "{count}: {calls:?}");
        }
    }
}

/// Guards against a call by each process for each change, when runners register one after the other and
/// then the configuration changes.
#[tokio::test]
async fn changes_distributed() {
    let mut fleet = Fleet::new();
    for number in 0..40 {
        fleet.start(number).await;
    }
    fleet.wait_ready(RUNNER_COUNT).await;
    let before = fleet.service.calls();
    for number in RUNNER_COUNT..2 * RUNNER_COUNT {
        fleet
            .service
            .put("runners", &format!("r-{number}"), entry("plain"));
        sleep(Duration::from_millis(10)).await;
    }
    fleet.service.put("plans", "config", Some(json!(2)));
    fleet.wait_ready(2 * RUNNER_COUNT).await;
    let is_new = |relay: &Relay<Fake>| {
        relay
            .configuration()
            .is_some_and(|configuration| configuration.version == 2)
    };
    fleet.wait_until(is_new).await;
    let lists = |calls: &std::collections::BTreeMap<String, usize>| {
        let lists = calls.iter().filter(|(name, _)| name.starts_with("list"));
        lists.map(|(_, count)| count).sum::<usize>()
    };
    assert_eq!(lists(&fleet.service.calls()), lists(&before));
}

/// Guards against a newly started process that reads all tables itself although many others have read
/// them.
#[tokio::test]
async fn late_start() {
    let mut fleet = Fleet::new();
    for number in 0..30 {
        fleet.start(number).await;
    }
    fleet.wait_ready(RUNNER_COUNT).await;
    let before = fleet.service.calls();
    fleet.start(30).await;
    fleet.wait_ready(RUNNER_COUNT).await;
    for table in ["list plans", "list runners"] {
        let known = before.get(table).copied();
        assert_eq!(fleet.service.calls().get(table).copied(), known, "{table}");
    }
}
