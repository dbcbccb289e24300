//! The overlay links over which processes announce the state that all of them share.

mod common;

use common::{Fake, configured, link, unconfigured_member};
use protocol::quarantine::Crash;
use relay::Relay;
use relay::member::{Member, Members};
use relay::peer::{self, Frame};
use relay::quarantine::Suspicion;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use wire::{Key, Listener};

/// Timeout of each step, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
const CONTENT: u64 = 7;

fn member(number: usize, address: SocketAddr) -> Member {
    Member {
        id: format!("relay-{number}").into(),
        incarnation: 1,
        address,
        domain: format!("domain-{}", number % 3).into(),
        weight: 1.0,
        since: None,
    }
}

/// Starts a relay that accepts links.
async fn linked_relay(number: usize) -> (Arc<Relay<Fake>>, Member) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, Key::new("key")).await.expect("bound");
    let member = member(number, listener.address().expect("bound"));
    let relay = configured(unconfigured_member(Fake::default(), member.clone()));
    tokio::spawn(peer::serve(relay.clone(), listener));
    (relay, member)
}

/// Three runners that crashed while they ran the request.
fn suspicion() -> Suspicion {
    let crash = |number: u64| Crash {
        runner: (format!("x-{number}").as_str().into(), None),
        sent: Duration::from_secs(4 - number),
        lost: Duration::from_secs(4 - number),
        isolated: false,
        is_trial: false,
        is_silence: false,
    };
    Suspicion {
        crashes: (1..=3).map(crash).collect(),
        ..Suspicion::new(CONTENT)
    }
}

/// Guards against processes that receive no announcements because no order has opened a link between
/// them.
#[tokio::test]
async fn announced_without_orders() {
    let mut relays = Vec::new();
    for number in 0..6 {
        relays.push(linked_relay(number).await);
    }
    for (relay, _) in &relays {
        relay.peers.members(|members| {
            for (_, other) in &relays {
                members.put(other.clone(), 1);
            }
            members.mark_listed();
        });
        tokio::spawn(peer::maintain_links(relay.clone()));
    }
    relays[0].0.merge_suspicion(&suspicion(), "test");
    let everywhere = async {
        while !relays
            .iter()
            .all(|(relay, _)| relay.is_quarantined(CONTENT))
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, everywhere).await.expect("received by all");
}

/// Guards against announcements that are lost for good when the queue of a link is full.
#[tokio::test]
async fn resent_after_heartbeat() {
    let (relay, _) = linked_relay(0).await;
    let (sender, mut receiver) = link::open(&relay).await;
    let empty = peer::StateDigest::default();
    let heartbeat = |digest| Frame::Beat {
        beat: digest,
        answers: false,
    };
    relay.merge_suspicion(&suspicion(), "test");
    let resent = async {
        // The first frame may be the announcement itself; each heartbeat with a different digest repeats
        // it.
        for _ in 0..2 {
            sender.send(heartbeat(empty)).await.expect("linked");
            loop {
                let frame = receiver.recv().await.expect("linked").expect("open");
                if matches!(frame, Frame::Suspicion(suspicion) if suspicion.content == CONTENT) {
                    break;
                }
            }
        }
    };
    timeout(TIMEOUT, resent).await.expect("resent");
}

/// Guards against a number of links that grows with the number of processes, and against processes that
/// no link reaches. The loss of a failure domain must not partition the others.
#[test]
fn few_links_reach_all() {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    for count in [4_usize, 30, 356] {
        let chosen: Vec<Vec<usize>> = (0..count)
            .map(|own| {
                let mut members = Members::new(member(own, nowhere));
                for number in 0..count {
                    members.put(member(number, nowhere), 1);
                }
                let number =
                    |member: &Member| member.id["relay-".len()..].parse().expect("a number");
                members
                    .neighbours(4, |_| false)
                    .iter()
                    .map(number)
                    .collect()
            })
            .collect();
        assert!(chosen.iter().all(|chosen| chosen.len() == 4.min(count - 1)));
        for lost in [None, Some(0)] {
            let is_alive = |number: usize| lost != Some(number % 3);
            let alive: BTreeSet<usize> = (0..count).filter(|number| is_alive(*number)).collect();
            assert_eq!(reached(&chosen, &alive), alive, "{count}, {lost:?}");
        }
    }
}

/// Processes that an announcement of one reaches over the links of those that are alive, in both
/// directions.
fn reached(chosen: &[Vec<usize>], alive: &BTreeSet<usize>) -> BTreeSet<usize> {
    let first = alive.first().copied().expect("one is alive");
    let mut reached = BTreeSet::from([first]);
    let mut fresh = vec![first];
    while let Some(at) = fresh.pop() {
        for next in alive {
            let linked = chosen[at].contains(next) || chosen[*next].contains(&at);
            if linked && reached.insert(*next) {
                fresh.push(*next);
            }
        }
    }
    reached
}
