//! Start credits when a process that grants or holds them fails.

mod common;

use common::credits::{
    ALONE, Asker, WINDOW, assert_returned, demand, freeze, has_order, listen_as_owner, put_owner,
    respond, returned, spawn, spawn_waiting,
};
use common::pair::{advance_time, pair};
use common::poison::{fake, reply};
use common::{CALL, Fake, ready};
use relay::Relay;
use relay::flow::{Demand, Verdict};
use relay::runner::Change;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Time that an owner has to respond.
const OWNER_TIME: Duration = Duration::from_millis(300);
/// Time within which a link that is used and over which nothing arrives is closed.
const LINK_TIME: Duration = Duration::from_millis(1_200);
/// Owners that are asked.
const OWNERS: u32 = 3;
/// Time that steps other than waits for owners take.
const MARGIN: Duration = Duration::from_millis(60);
/// Time after its expiry at which a credit is taken back.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);
/// Time within which an owner reports the load of a cell in use.
const REPORT_TIME: Duration = Duration::from_millis(500);

fn linked() -> Arc<Relay<Fake>> {
    tokio::spawn(advance_time());
    ready(fake())
}

/// Time until the first call of a request's pieces.
async fn start_time(relay: &Arc<Relay<Fake>>) -> Duration {
    let asked_at = Instant::now();
    assert!(reply(spawn(relay, "a")).await.is_served());
    relay.downstream.stage_calls()[0].at - asked_at
}

/// Guards against requests that wait for the gate of a process whose link is lost.
#[tokio::test(start_paused = true)]
async fn link_lost_while_waiting() {
    let relay = linked();
    let listener = listen_as_owner(&relay, "owner").await;
    let serving = spawn(&relay, "a");
    let expected = Duration::from_millis(100);
    let link = respond(&listener, Verdict::Wait { expected }).await;
    sleep(OWNER_TIME).await;
    assert!(!serving.is_finished());
    drop((link, listener));
    assert!(reply(serving).await.is_served());
    assert_returned(&relay).await;
}

/// Guards against requests that wait for the gate of a process that freezes after its first verdict.
#[tokio::test(start_paused = true)]
async fn owner_freezes_while_waiting() {
    let relay = linked();
    let listener = listen_as_owner(&relay, "owner").await;
    let asked_at = Instant::now();
    let serving = spawn(&relay, "a");
    let expected = Duration::from_millis(100);
    let link = respond(&listener, Verdict::Wait { expected }).await;
    assert!(reply(serving).await.is_served());
    let waited = relay.downstream.stage_calls()[0].at - asked_at;
    assert!(waited <= LINK_TIME + MARGIN, "{waited:?}");
    drop(link);
    assert_returned(&relay).await;
}

/// Guards against requests that fail because the process that granted their credit is lost.
#[tokio::test(start_paused = true)]
async fn link_lost_while_started() {
    let relay = linked();
    let listener = listen_as_owner(&relay, "owner").await;
    let serving = spawn(&relay, "a");
    let (sender, mut receiver) = respond(&listener, Verdict::Start).await;
    has_order(&mut receiver).await;
    drop((sender, receiver, listener));
    assert!(reply(serving).await.is_served());
    assert_returned(&relay).await;
}

/// Guards against requests that wait for a process that accepts links and never responds.
#[tokio::test(start_paused = true)]
async fn owner_frozen() {
    let relay = linked();
    freeze(listen_as_owner(&relay, "owner").await);
    let waited = start_time(&relay).await;
    assert!(waited <= OWNER_TIME + MARGIN, "{waited:?}");
}

/// Guards against requests that ask one frozen process after the other.
#[tokio::test(start_paused = true)]
async fn owners_frozen() {
    let relay = linked();
    for number in 0..OWNERS {
        freeze(listen_as_owner(&relay, &format!("owner-{number}")).await);
    }
    let waited = start_time(&relay).await;
    assert!(waited <= OWNER_TIME * OWNERS + MARGIN, "{waited:?}");
}

/// Guards against requests that wait for one another while each tries to connect to a process that does
/// not accept links.
#[tokio::test(start_paused = true)]
async fn owner_unreachable() {
    let relay = linked();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    put_owner(&relay, "owner", address);
    let asked_at = Instant::now();
    let serving = ["a", "b", "c", "d"].map(|id| spawn(&relay, id));
    for serving in serving {
        assert!(reply(serving).await.is_served());
    }
    let last = relay.downstream.stage_calls().into_iter();
    let last = last.filter(|call| call.items.iter().any(|item| item.stage == 0));
    let waited = last.map(|call| call.at).max().expect("calls") - asked_at;
    assert!(waited <= OWNER_TIME + CALL * 2, "{waited:?}");
}

/// Guards against requests that are refused by a process that does not know any runners yet.
#[tokio::test(start_paused = true)]
async fn owner_without_runners() {
    let (asking, owner) = pair(2, 2).await;
    let runners = ["s-1", "s-2"].map(|id| Change::Gone(id.into()));
    owner.relay.update(runners.into());
    let served = reply(spawn(&asking.relay, "a")).await;
    assert!(served.is_served(), "{served:?}");
}

/// Guards against credits that are kept after the process that asked for them is lost.
#[tokio::test(start_paused = true)]
async fn asking_process_lost() {
    let relay = linked();
    let mut asker = Asker::open(&relay).await;
    asker.hold(WINDOW).await;
    let (_, verdict) = asker.ask(demand(ALONE)).await;
    assert!(matches!(verdict, Verdict::Wait { .. }), "{verdict:?}");
    let waiting = spawn_waiting(&relay, "a").await;
    drop(asker);
    assert!(reply(waiting).await.is_served());
    assert_returned(&relay).await;
}

/// Guards against credits that are kept forever because their return is lost.
#[tokio::test(start_paused = true)]
async fn return_lost() {
    let relay = linked();
    let mut asker = Asker::open(&relay).await;
    let asked_at = Instant::now();
    let expires = Duration::from_secs(2);
    let lost = Demand {
        expires,
        ..demand(WINDOW)
    };
    assert_eq!(asker.ask(lost).await.1, Verdict::Start);
    returned(&relay).await;
    let kept = asked_at.elapsed();
    let expected = expires + EXPIRY_MARGIN;
    assert!(kept >= expected && kept <= expected + MARGIN, "{kept:?}");
}

/// Guards against links that report the load of a cell forever for a credit whose return is lost.
#[tokio::test(start_paused = true)]
async fn reports_end_after_lost_return() {
    let relay = linked();
    let mut asker = Asker::open(&relay).await;
    let expires = Duration::from_secs(1);
    let lost = Demand {
        expires,
        ..demand(WINDOW)
    };
    assert_eq!(asker.ask(lost).await.1, Verdict::Start);
    assert!(asker.is_reported_to(REPORT_TIME).await);
    sleep(expires + EXPIRY_MARGIN + REPORT_TIME).await;
    while asker.is_reported_to(Duration::ZERO).await {}
    assert!(!asker.is_reported_to(REPORT_TIME).await);
}
