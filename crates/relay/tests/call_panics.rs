//! Calls to the runners of stages whose tasks panic.

mod common;

use common::credits::spawn;
use common::pair::pair;
use common::panics::Site;
use common::poison::reply;
use common::stage::{cell, order};
use common::{Fake, ready};
use relay::Relay;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time within which pieces are made although the task of a call panics: some calls, and a pause of the runner.
const MAKE_TIME: Duration = Duration::from_secs(3);
/// Time after which a runner counts as sound again after a lost call.
const REST: Duration = Duration::from_secs(60);
/// Time within which a relay without orders has finished.
const END_TIME: Duration = Duration::from_millis(500);

async fn is_made(relay: &Arc<Relay<Fake>>, id: &str) -> bool {
    let outcome = relay.batcher(&cell()).submit(relay, order(id, 2));
    let outcome = timeout(MAKE_TIME, outcome).await;
    matches!(outcome, Ok(Ok(Ok(handles))) if handles.len() == 2)
}

/// Guards against a slot at a runner that is lost for good with the task of a call, and pieces that wait until
/// they expire.
#[tokio::test(start_paused = true)]
async fn slots_returned() {
    let relay = ready(Fake::default());
    for number in 0..8 {
        relay.downstream.panics.expect(Site::Batch);
        assert!(is_made(&relay, &format!("a-{number}")).await, "{number}");
        assert!(!relay.downstream.panics.is_pending());
        sleep(REST).await;
    }
    let began = Instant::now();
    let both = [is_made(&relay, "b"), is_made(&relay, "c")];
    let both = futures::future::join_all(both).await;
    assert_eq!(both, [true, true]);
    let calls = relay.downstream.stage_calls();
    let mut last: Vec<_> = calls.iter().filter(|call| call.at == began).collect();
    last.dedup_by_key(|call| &call.runner);
    assert_eq!(last.len(), 2, "both runners are called at once");
}

/// Guards against a call that is lost with the task that releases results before it.
#[tokio::test(start_paused = true)]
async fn release_panics() {
    let relay = ready(Fake::default());
    relay.downstream.panics.expect(Site::Release);
    assert!(is_made(&relay, "a").await);
    let made = relay.downstream.stage_calls().len();
    for number in 0..8 {
        assert!(is_made(&relay, &format!("b-{number}")).await, "{number}");
    }
    assert!(relay.downstream.stage_calls().len() > made);
}

/// Guards against an order of another relay whose call's task panics: it waited until its deadline, and held a
/// stop until the grace period ended.
#[tokio::test(start_paused = true)]
async fn order_of_peer() {
    let (asking, owner) = pair(2, 2).await;
    owner.relay.downstream.panics.expect(Site::Batch);
    let served = reply(spawn(&asking.relay, "a")).await;
    assert!(served.is_served(), "{served:?}");
    assert!(!owner.relay.downstream.panics.is_pending());
    let finished = timeout(END_TIME, owner.relay.peers.finish_orders()).await;
    assert!(finished.is_ok());
}
