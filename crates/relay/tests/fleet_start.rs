//! Calls to the table service by a fleet whose processes all start together, as all of them do when the
//! system starts for the first time and after a loss of power.

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

/// Longer than any step takes, however busy the machine is.
const LONG: Duration = Duration::from_secs(60);
const RUNNERS: usize = 30;

struct Fleet {
    service: Service,
    relays: Vec<Arc<Relay<Fake>>>,
    tasks: JoinSet<()>,
}

impl Fleet {
    fn new() -> Self {
        let service = Service::new();
        service.put("plans", "config", Some(json!(1)));
        for number in 0..RUNNERS {
            service.put("runners", &format!("r-{number}"), entry("plain"));
        }
        Self {
            service,
            relays: Vec::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Starts a process of that name.
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
    async fn informed(&self, runners: usize) {
        self.until(|relay| {
            let known = relay.fleet(|fleet| fleet.of("plain").len());
            relay.is_ready() && known == Some(runners)
        })
        .await;
    }

    /// Waits until something holds for all processes.
    async fn until(&self, holds: impl Fn(&Relay<Fake>) -> bool) {
        let all = async {
            while !self.relays.iter().all(|relay| holds(relay)) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(LONG, all).await.expect("all get there");
    }

    fn count(&self, name: &str) -> usize {
        self.service.calls().get(name).copied().unwrap_or(0)
    }
}

/// Guards against a start that costs the table service more calls a process the more processes there
/// are: each lists the processes and writes its row, and the first few read the other tables for all.
#[tokio::test]
async fn all_at_once() {
    for count in [40, 80] {
        let mut fleet = Fleet::new();
        for number in 0..count {
            fleet.start(number).await;
        }
        fleet.informed(RUNNERS).await;
        let calls = fleet.service.calls();
        assert_eq!(fleet.count("list relay"), count, "{calls:?}");
        assert_eq!(fleet.count("write relay"), count, "{calls:?}");
        for table in ["list plans", "list runners"] {
            assert!(fleet.count(table) <= 12, "{count}: {calls:?}");
        }
    }
}

/// Guards against a call of each process for each change: runners register one after the other, and a
/// configuration follows.
#[tokio::test]
async fn changes_passed_on() {
    let mut fleet = Fleet::new();
    for number in 0..40 {
        fleet.start(number).await;
    }
    fleet.informed(RUNNERS).await;
    let before = fleet.service.calls();
    for number in RUNNERS..2 * RUNNERS {
        fleet
            .service
            .put("runners", &format!("r-{number}"), entry("plain"));
        sleep(Duration::from_millis(10)).await;
    }
    fleet.service.put("plans", "config", Some(json!(2)));
    fleet.informed(2 * RUNNERS).await;
    let is_new = |relay: &Relay<Fake>| {
        relay
            .configuration()
            .is_some_and(|configuration| configuration.version == 2)
    };
    fleet.until(is_new).await;
    let lists = |calls: &std::collections::BTreeMap<String, usize>| {
        let lists = calls.iter().filter(|(name, _)| name.starts_with("list"));
        lists.map(|(_, count)| count).sum::<usize>()
    };
    assert_eq!(lists(&fleet.service.calls()), lists(&before));
}

/// Guards against a newcomer that reads all tables for itself, beside many that know them.
#[tokio::test]
async fn one_more() {
    let mut fleet = Fleet::new();
    for number in 0..30 {
        fleet.start(number).await;
    }
    fleet.informed(RUNNERS).await;
    let before = fleet.service.calls();
    fleet.start(30).await;
    fleet.informed(RUNNERS).await;
    for table in ["list plans", "list runners"] {
        let known = before.get(table).copied();
        assert_eq!(fleet.service.calls().get(table).copied(), known, "{table}");
    }
}
