//! Links over which processes announce what all of them must know.

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

/// Longer than any step takes, however busy the machine is.
const LONG: Duration = Duration::from_secs(60);
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

/// A relay that takes links.
async fn relay(number: usize) -> (Arc<Relay<Fake>>, Member) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, Key::new("key")).await.expect("bound");
    let member = member(number, listener.address().expect("bound"));
    let relay = configured(unconfigured_member(Fake::default(), member.clone()));
    tokio::spawn(peer::serve(relay.clone(), listener));
    (relay, member)
}

/// Three runners that ended under the request.
fn suspicion() -> Suspicion {
    let crash = |number: u64| Crash {
        runner: (format!("x-{number}").as_str().into(), None),
        sent: Duration::from_secs(4 - number),
        lost: Duration::from_secs(4 - number),
        isolated: false,
    };
    Suspicion {
        crashes: (1..=3).map(crash).collect(),
        ..Suspicion::new(CONTENT)
    }
}

/// Guards against processes that nobody tells anything since no work has led to a link between them.
#[tokio::test]
async fn announced_without_work() {
    let mut relays = Vec::new();
    for number in 0..6 {
        relays.push(relay(number).await);
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
    timeout(LONG, everywhere).await.expect("all know it");
}

/// Guards against a link that lives on after its queue was full, and never tells what it missed.
#[tokio::test]
async fn repeated_after_beat() {
    let (relay, _) = relay(0).await;
    let (sender, mut receiver) = link::open(&relay).await;
    let empty = peer::StateDigest::default();
    let beat = |beat| Frame::Beat {
        beat,
        answers: false,
    };
    relay.merge_suspicion(&suspicion(), "test");
    let told = async {
        // The first one may have been announced; each beat that differs brings it again.
        for _ in 0..2 {
            sender.send(beat(empty)).await.expect("linked");
            loop {
                let frame = receiver.recv().await.expect("linked").expect("open");
                if matches!(frame, Frame::Suspicion(told) if told.content == CONTENT) {
                    break;
                }
            }
        }
    };
    timeout(LONG, told).await.expect("told");
}

/// Guards against links that grow with the number of processes, and against processes that all links
/// leave out. A failure domain that is lost must not part the rest.
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
            let lives = |number: usize| lost != Some(number % 3);
            let living: BTreeSet<usize> = (0..count).filter(|number| lives(*number)).collect();
            assert_eq!(reached(&chosen, &living), living, "{count}, {lost:?}");
        }
    }
}

/// Processes that news of one reaches over the links of those that live, both ways.
fn reached(chosen: &[Vec<usize>], living: &BTreeSet<usize>) -> BTreeSet<usize> {
    let first = living.first().copied().expect("one lives");
    let mut reached = BTreeSet::from([first]);
    let mut fresh = vec![first];
    while let Some(at) = fresh.pop() {
        for next in living {
            let linked = chosen[at].contains(next) || chosen[*next].contains(&at);
            if linked && reached.insert(*next) {
                fresh.push(*next);
            }
        }
    }
    reached
}
