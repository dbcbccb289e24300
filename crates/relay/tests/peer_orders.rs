//! Execution of pieces by another process, over real links.

mod common;

use common::{
    Behavior, Fake, StreamEnd, body, configuration, member_at, request, runner, unconfigured,
};
use relay::batch::Cell;
use relay::downstream::Handle;
use relay::member::Member;
use relay::runner::Change;
use relay::{Relay, peer};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use wire::{Key, Listener};

/// Timeout of each step, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

struct Node {
    relay: Arc<Relay<Fake>>,
    fake: Fake,
    member: Member,
    serving: JoinHandle<()>,
}

/// Starts a process that has the configuration and the runners, and accepts links.
async fn node(id: &str) -> Node {
    let events = (0..8).map(|_| Behavior::Stream {
        parts: vec!["id: 1\ndata: x\n\n"],
        end: StreamEnd::Whole,
    });
    let fake = Fake::with_behaviors(events);
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(any, Key::new("key")).await.expect("bound");
    let member = member_at(id, listener.address().expect("bound"));
    let relay = common::unconfigured_member(fake.clone(), member.clone());
    relay.adopt(configuration(1));
    let runners = [("p-1", "plain"), ("s-1", "stage"), ("s-2", "stage")];
    relay.update(
        runners
            .map(|(id, service)| Change::Listed(runner(id, service)))
            .into(),
    );
    let serving = tokio::spawn(peer::serve(relay.clone(), listener));
    Node {
        relay,
        fake,
        member,
        serving,
    }
}

/// Two processes, of which the second owns the cell of the stage.
async fn pair() -> (Node, Node) {
    let (one, other) = (node("relay-1").await, node("relay-2").await);
    for (node, peer) in [(&one, &other), (&other, &one)] {
        node.relay
            .peers
            .members(|members| members.put(peer.member.clone(), 1));
    }
    let owner = one.relay.peers.members(|members| members.owner("stage/0"));
    if owner.id == one.member.id {
        (other, one)
    } else {
        (one, other)
    }
}

async fn serve(node: &Node) -> (u16, String, bool) {
    let answer = timeout(TIMEOUT, node.relay.serve(request("a", "staged"))).await;
    timeout(TIMEOUT, body(answer.expect("an answer")))
        .await
        .expect("a body")
}

/// Each process sends its pieces to the owner of the cell, so that pieces of several processes share
/// calls.
#[tokio::test]
async fn executed_by_owner() {
    let (asking, owner) = pair().await;
    assert_eq!(serve(&asking).await.0, 200);
    assert!(asking.fake.stage_calls().is_empty());
    assert_eq!(owner.fake.stage_calls().len(), 1);
    assert_eq!(asking.fake.sent()[0].inputs, 3);
}

/// The owner of the cell crashes. The others continue with the next owner, and their requests do not
/// fail.
#[tokio::test]
async fn owner_crashes() {
    let (asking, owner) = pair().await;
    assert_eq!(serve(&asking).await.0, 200);
    owner.serving.abort();
    drop(owner.serving.await);
    // Its links stay open, but it stops responding as if it were frozen.
    owner.fake.stage_behaviors.lock().expect("free").clear();
    asking
        .relay
        .peers
        .members(|members| members.suspect(&owner.member));
    assert_eq!(serve(&asking).await.0, 200);
    assert_eq!(asking.fake.stage_calls().len(), 1);
}

/// The owner of the cell has to stop. It announces this, so that new pieces go elsewhere at once, and
/// finishes the pieces that it has.
#[tokio::test]
async fn owner_leaves() {
    let (asking, owner) = pair().await;
    let pending = tokio::spawn({
        let relay = asking.relay.clone();
        async move { body(relay.serve(request("b", "staged")).await).await }
    });
    let stage_calls = || async {
        while owner.fake.stage_calls().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, stage_calls())
        .await
        .expect("the order arrives");
    owner.relay.peers.announce_leaving(&owner.member);
    timeout(TIMEOUT, owner.relay.peers.finish_orders())
        .await
        .expect("orders end");
    assert_eq!(
        timeout(TIMEOUT, pending)
            .await
            .expect("in time")
            .expect("no panic")
            .0,
        200
    );
    assert_eq!(serve(&asking).await.0, 200);
    assert_eq!(asking.fake.stage_calls().len(), 1);
}

/// The table service rejects the requests of one process, which thus misses a configuration that revokes
/// a key. It gets the configuration from a peer.
#[tokio::test]
async fn configuration_from_peer() {
    let (asking, owner) = pair().await;
    assert_eq!(serve(&asking).await.0, 200);
    owner.relay.adopt(configuration(7));
    let received = || async {
        while asking
            .relay
            .configuration()
            .map(|configuration| configuration.version)
            != Some(7)
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, received())
        .await
        .expect("the configuration arrives");
}

/// A single process owns all cells.
#[tokio::test]
async fn single_process() {
    let relay = unconfigured(Fake::default());
    let owner = relay.peers.members(|members| members.owner("stage/0"));
    assert_eq!(owner.id, relay.options.member.id);
}

/// Another process becomes the owner of a cell while requests need results there. Without a report of
/// these results, it would schedule pieces for which there is no room.
#[tokio::test]
async fn results_reported_to_next_owner() {
    let (asking, owner) = pair().await;
    assert_eq!(serve(&asking).await.0, 200);
    let cell = Cell {
        service: "stage".into(),
        index: 0,
    };
    let runner = runner("s-1", "stage");
    let held: Vec<Handle> = (0..11)
        .map(|n| format!("{}/{n}", runner.address).into())
        .collect();
    let relay = &asking.relay;
    relay.peers.record_results(relay, &cell, &held, 100);
    asking
        .relay
        .peers
        .members(|members| members.suspect(&owner.member));
    assert_eq!(serve(&asking).await.0, 200);
    // That runner has room for one more result, so all three pieces of the request must go to the other
    // one.
    assert_eq!(asking.fake.stage_calls()[0].runner, "s-2");
}

/// All processes have to stop at the same time. They must still agree on the owner of the cell: if each
/// worked for itself, they would send the same runners four times the calls.
#[tokio::test]
async fn all_leave() {
    let (asking, owner) = pair().await;
    assert_eq!(serve(&asking).await.0, 200);
    owner.relay.peers.announce_leaving(&owner.member);
    asking.relay.peers.announce_leaving(&asking.member);
    for (node, peer) in [(&asking, &owner), (&owner, &asking)] {
        let left = (peer.member.id.clone(), peer.member.incarnation);
        node.relay
            .peers
            .members(|members| members.mark_left(left.0, left.1));
    }
    let chosen = [&asking, &owner].map(|node| {
        node.relay
            .peers
            .members(|members| members.owner("stage/0").id)
    });
    assert_eq!(chosen[0], chosen[1]);
}

/// Guards against orders for a process that stops from one that has linked to it since it announced its stop.
#[tokio::test]
async fn linked_after_announcement() {
    let (asking, owner) = pair().await;
    owner.relay.peers.announce_leaving(&owner.member);
    assert_eq!(serve(&asking).await.0, 200);
    let before = owner.fake.stage_calls().len();
    assert_eq!(serve(&asking).await.0, 200);
    assert_eq!(owner.fake.stage_calls().len(), before);
}
