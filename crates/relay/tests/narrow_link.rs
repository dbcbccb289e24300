//! What a process behind a narrow link is sent, and what waits behind it.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::narrow::{Direction, Narrow};
use common::service::Service;
use common::{Fake, entry, unconfigured_member};
use relay::member::Member;
use relay::{Relay, follow, peer};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use wire::{Key, Listener};

/// Longer than any step takes, however busy the machine is.
const LONG: Duration = Duration::from_secs(60);
/// Processes; the last one is behind the narrow link.
const PROCESSES: usize = 14;
/// Routes of the large configuration.
const ROUTES: u64 = 6_000;
/// Bytes that a link of 10 Mbit/s carries in a tenth of a second.
const TENTH: u64 = 125_000;

/// A configuration of some 400 kB.
fn large(version: u64) -> Value {
    let name = |number: u64| {
        let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!("{mixed:016x}{:016x}", mixed.rotate_left(23) ^ number)
    };
    let names: Vec<String> = (0..ROUTES)
        .map(|number| name(number) + &name(!number))
        .collect();
    json!({ "version": version, "names": names })
}

struct Fleet {
    service: Service,
    narrow: Narrow,
    relays: Vec<Arc<Relay<Fake>>>,
}

impl Fleet {
    async fn new() -> Self {
        let service = Service::new();
        service.put("plans", "config", Some(json!(1)));
        service.put("runners", "r-1", entry("plain"));
        let narrow = Narrow::default();
        let mut listeners = Vec::new();
        for _ in 0..PROCESSES {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            listeners.push(Listener::bind(any, Key::new("key")).await.expect("bound"));
        }
        let mut relays = Vec::new();
        let mut members = Vec::new();
        for (number, listener) in listeners.into_iter().enumerate() {
            let member = Member {
                id: format!("relay-{number}").into(),
                incarnation: 1,
                address: listener.address().expect("bound"),
                domain: "a".into(),
                weight: 1.0,
                since: None,
            };
            let relay = unconfigured_member(Fake::default(), member.clone());
            tokio::spawn(peer::serve(relay.clone(), listener));
            relays.push(relay);
            members.push(member);
        }
        let fleet = Self {
            service,
            narrow,
            relays,
        };
        fleet.introduce(&members).await;
        fleet.start();
        fleet
    }

    /// Lets all processes know of each other; the last one is reached, and reaches others, over the link.
    async fn introduce(&self, members: &[Member]) {
        let last = PROCESSES - 1;
        for (own, relay) in self.relays.iter().enumerate() {
            for (number, member) in members.iter().enumerate() {
                let direction = match (own == last, number == last) {
                    (true, false) => Some(Direction::Back),
                    (false, true) => Some(Direction::Out),
                    _ => None,
                };
                let mut member = member.clone();
                if let Some(direction) = direction {
                    member.address = self.narrow.lead_to(member.address, direction).await;
                }
                relay.peers.members(|members| {
                    members.put(member, number as u64 + 1);
                });
            }
            relay.peers.members(|members| {
                members.mark_registered(Duration::ZERO, own as u64 + 1);
                members.mark_listed();
            });
        }
    }

    /// All follow the tables; the last one is turned away by the service and hears from its peers alone.
    fn start(&self) {
        for relay in &self.relays[..PROCESSES - 1] {
            tokio::spawn(follow::operator_table(relay.clone(), self.service.clone()));
            tokio::spawn(follow::runner_table(relay.clone(), self.service.clone()));
            tokio::spawn(peer::maintain_links(relay.clone()));
        }
        let relay = self.last();
        let away = || {
            ScriptedFeed::new(vec![
                FeedReply::Unavailable(Duration::from_millis(20));
                10_000
            ])
        };
        tokio::spawn(follow::operator_table(relay.clone(), away()));
        tokio::spawn(follow::runner_table(relay.clone(), away()));
        tokio::spawn(peer::maintain_links(relay.clone()));
    }

    fn last(&self) -> &Arc<Relay<Fake>> {
        &self.relays[PROCESSES - 1]
    }

    async fn until(&self, holds: impl Fn(&Self) -> bool) {
        let held = async {
            while !holds(self) {
                sleep(Duration::from_millis(2)).await;
            }
        };
        let held = timeout(LONG, held).await;
        assert!(held.is_ok(), "{:?} {}", self.version(), self.knows_runner());
    }

    fn version(&self) -> Option<u64> {
        self.last()
            .configuration()
            .map(|configuration| configuration.version)
    }

    fn knows_runner(&self) -> bool {
        self.last().runner("r-1").is_some()
    }
}

/// Guards against a process that fetches a new configuration from each peer that has it: the copies fill its
/// link for seconds, and all that it must hear waits behind them.
#[tokio::test]
async fn one_copy() {
    let fleet = Fleet::new().await;
    fleet
        .until(|fleet| fleet.version() == Some(1) && fleet.knows_runner())
        .await;
    let before = fleet.narrow.carried();
    let configuration = large(2);
    let length = configuration.to_string().len() as u64;
    fleet.service.put("plans", "config", Some(configuration));
    fleet.until(|fleet| fleet.version() == Some(2)).await;
    loop {
        let carried = fleet.narrow.carried();
        sleep(Duration::from_millis(500)).await;
        if fleet.narrow.carried() - carried < 4_000 {
            break;
        }
    }
    let carried = fleet.narrow.carried() - before;
    assert!(carried < length * 3 / 2, "{carried} of {length}");
}

/// Guards against work for a runner that leaves, by a process that hears of it late: the news wait behind a
/// large configuration.
#[tokio::test]
async fn leaving_beside_configuration() {
    let fleet = Fleet::new().await;
    fleet
        .until(|fleet| fleet.version() == Some(1) && fleet.knows_runner())
        .await;
    let before = fleet.narrow.carried();
    fleet.service.put("plans", "config", Some(large(2)));
    fleet
        .until(|fleet| fleet.narrow.carried() > before + TENTH / 2)
        .await;
    let leaving = json!({ "service": "plain", "leaving": true });
    let before = fleet.narrow.carried();
    fleet.service.put("runners", "r-1", Some(leaving));
    fleet.until(|fleet| !fleet.knows_runner()).await;
    let waited = fleet.narrow.carried() - before;
    assert!(waited < TENTH, "behind {waited} bytes");
}
