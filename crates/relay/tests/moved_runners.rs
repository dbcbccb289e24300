//! Results at runners that move to another cell because other runners leave or join.
//!
//! The messages about a result used to go to the owner of the cell in which it was made. After a third
//! of the runners of a stage had crashed, those that were left had moved between cells, and stored
//! released results for seconds because the owner of the old cell ignored the releases.

mod common;

use common::pair::{Node, pair};
use common::stage::{cell, order};
use common::{Fake, body, ready, request, runner};
use relay::downstream::Handle;
use relay::runner::Change;
use relay::{Relay, Runner};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Runners of the stage, in three failure domains. Addresses are derived from names and would not be
/// unique for more runners.
const RUNNERS: usize = 19;
/// Time after the end of a request within which its results are released.
const RELEASE_TIME: Duration = Duration::from_secs(1);
/// Interval at which a runner leaves, and time until it is back.
const LEAVE_INTERVAL: Duration = Duration::from_millis(300);
const ABSENCE: Duration = Duration::from_millis(900);
/// Time after which the second process learns of a change of the list.
const LIST_DELAY: Duration = Duration::from_millis(150);
const REQUESTS: usize = 100;
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

fn stage_runner(number: usize) -> Runner {
    Runner {
        domain: ["a", "b", "c"][number % 3].into(),
        ..runner(&format!("s-{number}"), "stage")
    }
}

/// Applies a change at the first process, and at the second one a little later.
async fn change(relays: [Arc<Relay<Fake>>; 2], change: Change) {
    relays[0].update(vec![change.clone()]);
    sleep(LIST_DELAY).await;
    relays[1].update(vec![change]);
}

/// Lets one runner after the other leave and return.
async fn churn(relays: [Arc<Relay<Fake>>; 2]) {
    for number in (1..=RUNNERS).cycle().step_by(5) {
        let relays = relays.clone();
        tokio::spawn(async move {
            let runner = stage_runner(number);
            change(relays.clone(), Change::Gone(runner.id.clone())).await;
            sleep(ABSENCE).await;
            change(relays, Change::Listed(runner)).await;
        });
        sleep(LEAVE_INTERVAL).await;
    }
}

/// Results of a request that are still stored.
fn stored(fake: &Fake, id: &str) -> Vec<String> {
    let released = fake.released.lock().expect("free").clone();
    let port = |runner: &str| runner.bytes().map(u16::from).sum::<u16>();
    let calls = fake.stage_calls().into_iter();
    let made = calls.flat_map(|call| {
        let items = call.items.into_iter().filter(|item| *item.id == *id);
        let name = move |item: relay::downstream::Item| {
            let port = port(&call.runner);
            format!("127.0.0.1:{port}/{}-{}-{}", item.id, item.stage, item.piece)
        };
        items.map(name).collect::<Vec<_>>()
    });
    made.filter(|name| released.iter().all(|handle| **handle != **name))
        .collect()
}

async fn linked() -> [Node; 2] {
    let (first, second) = pair(RUNNERS, 2).await;
    for node in [&first, &second] {
        let runners = (1..=RUNNERS).map(stage_runner).map(Change::Listed);
        node.relay.update(runners.collect());
    }
    [first, second]
}

/// While runners leave and return, each result is released within a second of the end of its request.
#[tokio::test(start_paused = true)]
async fn released_in_time() {
    let nodes = linked().await;
    let relays = nodes.map(|node| node.relay);
    let fake = relays[0].downstream.clone();
    tokio::spawn(churn(relays.clone()));
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        let (relay, fake) = (relays[number % 2].clone(), fake.clone());
        requests.spawn(async move {
            let id = format!("request-{number}");
            let (status, ..) = body(relay.serve(request(&id, "chained")).await).await;
            sleep(RELEASE_TIME).await;
            (status, stored(&fake, &id))
        });
        sleep(REQUEST_INTERVAL).await;
    }
    let ended = requests.join_all().await;
    let served = ended.iter().filter(|(status, _)| *status == 200).count();
    let left: Vec<&String> = ended.iter().flat_map(|(_, stored)| stored).collect();
    assert!(left.is_empty(), "{} results stored: {left:?}", left.len());
    assert!(served * 10 > REQUESTS * 9, "{served} of {REQUESTS} served");
}

/// Results of other requests that leave room for one more at a runner.
fn nearly_full(id: &str) -> Vec<(Handle, u64)> {
    let address = runner(id, "stage").address;
    let handle = |number| (format!("{address}/{number}").into(), 100);
    (0..11).map(handle).collect()
}

/// The owner of a cell stops while requests need results there, and no order follows. The new owner
/// must know of them when it makes pieces for others.
#[tokio::test(start_paused = true)]
async fn reported_without_order() {
    let (asking, owner) = pair(2, 2).await;
    let held: Vec<Handle> = nearly_full("s-1")
        .into_iter()
        .map(|(held, _)| held)
        .collect();
    let peers = &asking.relay.peers;
    peers.record_results(&asking.relay, &cell(), &held, 100);
    let left = (owner.member.id, owner.member.incarnation);
    peers.members(|members| members.mark_left(left.0, left.1));
    sleep(Duration::from_millis(500)).await;
    let batcher = asking.relay.batcher(&cell());
    let results = batcher.submit(&asking.relay, order("a", 3)).await;
    results.expect("an outcome").expect("made");
    assert_eq!(asking.relay.downstream.stage_calls()[0].runner, "s-2");
}

/// A request ends while its pieces are made, and their runner has left the cell by then. The results
/// must not be forgotten.
#[tokio::test(start_paused = true)]
async fn left_during_call() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    let results = relay.batcher(&cell()).submit(&relay, order("a", 3));
    sleep(Duration::from_millis(50)).await;
    let id = fake.stage_calls()[0].runner.clone();
    relay.update(vec![Change::Gone((&*id).into())]);
    drop(results);
    // An order withdraws those whose requests are gone.
    let other = relay.batcher(&cell()).submit(&relay, order("b", 1));
    sleep(RELEASE_TIME).await;
    assert_eq!(stored(&fake, "a"), Vec::<String>::new());
    other.await.expect("an outcome").expect("made");
}

/// A runner is not listed for a moment, or is listed only after its results have been reported. It must
/// not be taken for empty.
#[tokio::test(start_paused = true)]
async fn known_when_listed() {
    for was_listed in [true, false] {
        let fake = Fake::default();
        let relay = ready(fake.clone());
        let gone = ["s-1", "s-2"].map(|id| Change::Gone(id.into()));
        if was_listed {
            relay
                .batcher(&cell())
                .record_results(&relay, &nearly_full("s-1"));
            relay.update(gone.into());
        } else {
            relay.update(gone.into());
            relay
                .batcher(&cell())
                .record_results(&relay, &nearly_full("s-1"));
        }
        relay.update(vec![Change::Listed(runner("s-1", "stage"))]);
        let batcher = relay.batcher(&cell());
        let _results = batcher.submit(&relay, order("a", 3));
        sleep(Duration::from_millis(500)).await;
        let most = fake.stage_calls().iter().map(|call| call.items.len()).max();
        assert!(most <= Some(1), "{most:?} pieces, was listed {was_listed}");
    }
}
