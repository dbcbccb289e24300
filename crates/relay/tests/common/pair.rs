//! Two relays that are linked, in virtual time.

use super::poison::{add_runners, fake};
use super::{Fake, configured, member_at, unconfigured_member};
use relay::member::Member;
use relay::{Relay, peer};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_blocking;
use tokio::time::sleep;
use wire::{Key, Listener};

/// Virtual time that passes at most between two looks at the links.
const STEP: Duration = Duration::from_millis(1);
/// Time in which the links come about.
const LINKED: Duration = Duration::from_secs(2);

/// A relay that takes links.
pub(crate) struct Node {
    pub(crate) relay: Arc<Relay<Fake>>,
    pub(crate) member: Member,
}

/// Two relays with the same runners, as many of each service as said. The second one forms the calls of
/// the stage.
pub(crate) async fn pair(stage: usize, plain: usize) -> (Node, Node) {
    tokio::spawn(pass_time());
    let fake = fake();
    let mut nodes = Vec::new();
    for id in ["relay-1", "relay-2"] {
        nodes.push(node(id, &fake, stage, plain).await);
    }
    for node in &nodes {
        node.relay.peers.members(|members| {
            for other in &nodes {
                members.put(other.member.clone(), 1);
            }
            members.mark_listed();
        });
        tokio::spawn(peer::maintain_links(node.relay.clone()));
    }
    sleep(LINKED).await;
    let last = nodes.pop().expect("two");
    let first = nodes.pop().expect("two");
    let owner = first
        .relay
        .peers
        .members(|members| members.owner("stage/0"));
    if owner.id == first.member.id {
        (last, first)
    } else {
        (first, last)
    }
}

async fn node(id: &str, fake: &Fake, stage: usize, plain: usize) -> Node {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(any, Key::new("key")).await.expect("bound");
    let member = member_at(id, listener.address().expect("bound"));
    let relay = configured(unconfigured_member(fake.clone(), member.clone()));
    add_runners(&relay, stage, plain);
    tokio::spawn(peer::serve(relay.clone(), listener));
    Node { relay, member }
}

/// Lets time pass in small steps, each of which leaves the links time to carry what was sent: the clock
/// would jump to the next timeout otherwise. It stands while a blocking task runs.
async fn pass_time() {
    loop {
        sleep(STEP).await;
        let _ = spawn_blocking(|| ()).await;
    }
}
