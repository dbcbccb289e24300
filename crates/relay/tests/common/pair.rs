//! Two linked relays in virtual time.

use super::poison::{add_runners, fake};
use super::{Fake, configured, member_at, unconfigured_member};
use relay::member::Member;
use relay::{Relay, peer};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_blocking;
use tokio::time::sleep;
use wire::{Key, Listener};

/// Maximum virtual time that passes before the links can transfer data.
const STEP: Duration = Duration::from_millis(1);
/// Time within which the links are opened.
const LINK_TIME: Duration = Duration::from_secs(2);

/// A relay that accepts links.
pub(crate) struct Node {
    pub(crate) relay: Arc<Relay<Fake>>,
    pub(crate) member: Member,
}

/// Creates two relays with the same runners, `stage` and `plain` of them for each service. The second
/// relay owns the cell of the stage.
pub(crate) async fn pair(stage: usize, plain: usize) -> (Node, Node) {
    tokio::spawn(advance_time());
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
        tokio::spawn(peer::report_held_results(node.relay.clone()));
    }
    sleep(LINK_TIME).await;
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

/// Advances time in small steps, each of which lets the links transfer what was sent. Otherwise the
/// paused clock would jump to the next timeout. It stands still while a blocking task runs.
pub(crate) async fn advance_time() {
    loop {
        sleep(STEP).await;
        let _ = spawn_blocking(|| ()).await;
    }
}
