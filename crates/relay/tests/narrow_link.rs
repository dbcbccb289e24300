//! Traffic to a process behind a slow link, and what it delays.

mod common;

use common::feed::{FeedReply, ScriptedFeed};
use common::service::Service;
use common::slow_link::{Direction, SlowLink};
use common::{Fake, entry, unconfigured_member};
use relay::member::Member;
use relay::{Relay, follow, peer};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use wire::{Key, Listener};

/// Timeout of each step, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Number of processes; the last one is behind the slow link.
const PROCESSES: usize = 14;
/// Number of routes in the large configuration.
const ROUTES: u64 = 6_000;
/// Bytes that a link of 10 Mbit/s carries in a tenth of a second.
const TENTH_SECOND_BYTES: u64 = 125_000;

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
    slow_link: SlowLink,
    relays: Vec<Arc<Relay<Fake>>>,
}

impl Fleet {
    async fn new() -> Self {
        let service = Service::new();
        service.put("plans", "config", Some(json!(1)));
        service.put("runners", "r-1", entry("plain"));
        let slow_link = SlowLink::default();
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
            slow_link,
            relays,
        };
        fleet.connect_members(&members).await;
        fleet.start();
        fleet
    }

    /// Adds all processes to each other's lists, so that traffic from and to the last one goes over the
    /// slow link.
    async fn connect_members(&self, members: &[Member]) {
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
                    member.address = self.slow_link.proxy_to(member.address, direction).await;
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

    /// Makes all processes follow the tables. The service rejects the last one, which depends on its
    /// peers.
    fn start(&self) {
        for relay in &self.relays[..PROCESSES - 1] {
            tokio::spawn(follow::operator_table(relay.clone(), self.service.clone()));
            tokio::spawn(follow::runner_table(relay.clone(), self.service.clone()));
            tokio::spawn(peer::maintain_links(relay.clone()));
        }
        let relay = self.slow_relay();
        let unavailable = || {
            ScriptedFeed::new(vec![
                FeedReply::Unavailable(Duration::from_millis(20));
                10_000
            ])
        };
        tokio::spawn(follow::operator_table(relay.clone(), unavailable()));
        tokio::spawn(follow::runner_table(relay.clone(), unavailable()));
        tokio::spawn(peer::maintain_links(relay.clone()));
    }

    fn slow_relay(&self) -> &Arc<Relay<Fake>> {
        &self.relays[PROCESSES - 1]
    }

    async fn wait_until(&self, holds: impl Fn(&Self) -> bool) {
        let held = async {
            while !holds(self) {
                sleep(Duration::from_millis(2)).await;
            }
        };
        let held = timeout(TIMEOUT, held).await;
        assert!(held.is_ok(), "{:?} {}", self.version(), self.knows_runner());
    }

    fn version(&self) -> Option<u64> {
        self.slow_relay()
            .configuration()
            .map(|configuration| configuration.version)
    }

    fn knows_runner(&self) -> bool {
        self.slow_relay().runner("r-1").is_some()
    }
}

/// Guards against a process that fetches a new configuration from each peer that has it: the copies fill
/// its link for seconds and delay all other messages.
#[tokio::test]
async fn configuration_transferred_once() {
    let fleet = Fleet::new().await;
    fleet
        .wait_until(|fleet| fleet.version() == Some(1) && fleet.knows_runner())
        .await;
    let before = fleet.slow_link.carried();
    let configuration = large(2);
    let length = configuration.to_string().len() as u64;
    fleet.service.put("plans", "config", Some(configuration));
    fleet.wait_until(|fleet| fleet.version() == Some(2)).await;
    loop {
        let carried = fleet.slow_link.carried();
        sleep(Duration::from_millis(500)).await;
        if fleet.slow_link.carried() - carried < 4_000 {
            break;
        }
    }
    let carried = fleet.slow_link.carried() - before;
    assert!(carried < length * 3 / 2, "{carried} of {length}");
}

/// Guards against work for a leaving runner by a process that learns of it late, because the update
/// waits behind a large configuration.
#[tokio::test]
async fn leaving_runner_during_transfer() {
    let fleet = Fleet::new().await;
    fleet
        .wait_until(|fleet| fleet.version() == Some(1) && fleet.knows_runner())
        .await;
    let before = fleet.slow_link.carried();
    fleet.service.put("plans", "config", Some(large(2)));
    fleet
        .wait_until(|fleet| fleet.slow_link.carried() > before + TENTH_SECOND_BYTES / 2)
        .await;
    let leaving = json!({ "service": "plain", "leaving": true });
    let before = fleet.slow_link.carried();
    fleet.service.put("runners", "r-1", Some(leaving));
    fleet.wait_until(|fleet| !fleet.knows_runner()).await;
    let waited = fleet.slow_link.carried() - before;
    assert!(waited < TENTH_SECOND_BYTES, "waited behind {waited} bytes");
}
