//! Links to other relays that are read by tasks which panic.

mod common;

use common::credits::{has_order, listen_as_owner, respond, spawn};
use common::pair::advance_time;
use common::panics::Site;
use common::poison::{fake, reply};
use common::stage::cell;
use common::{link, ready};
use relay::batch::{ReleaseKind, Results};
use relay::flow::Verdict;
use relay::peer::Frame;
use std::time::Duration;
use tokio::time::timeout;

/// Time within which a link that has ended is noticed, less than that until a silent link is closed.
const END_TIME: Duration = Duration::from_millis(500);

/// Guards against a link that stays in use although the task that reads it has ended: orders sent over it wait
/// until their deadlines.
#[tokio::test(start_paused = true)]
async fn reader_panics() {
    tokio::spawn(advance_time());
    let relay = ready(fake());
    let listener = listen_as_owner(&relay, "owner").await;
    let serving = spawn(&relay, "a");
    let (sender, mut receiver) = respond(&listener, Verdict::Start).await;
    has_order(&mut receiver).await;
    relay.downstream.panics.expect(Site::Holder);
    let outcome = Ok(vec!["x".into()]);
    let ticket = u64::MAX;
    let unclaimed = Frame::Outcome { ticket, outcome };
    sender.send(unclaimed).await.expect("linked");
    let lost = async { while let Ok(Some(_)) = receiver.recv().await {} };
    let lost = timeout(END_TIME, lost).await;
    assert!(!relay.downstream.panics.is_pending());
    assert!(lost.is_ok(), "the link stays open");
    drop(listener);
    let served = reply(serving).await;
    assert!(served.is_served(), "{served:?}");
}

/// Guards against an accepted link that stays open although the task that reads it has ended.
#[tokio::test(start_paused = true)]
async fn accepting_end_panics() {
    tokio::spawn(advance_time());
    let relay = ready(fake());
    let (sender, mut receiver) = link::open(&relay).await;
    relay.downstream.panics.expect(Site::Holder);
    let handles = vec!["x".into()];
    let results = Results {
        cell: cell(),
        handles,
    };
    let spent = ReleaseKind::Over;
    let release = Frame::Release { results, spent };
    sender.send(release).await.expect("linked");
    let lost = async { while let Ok(Some(_)) = receiver.recv().await {} };
    let lost = timeout(END_TIME, lost).await;
    assert!(!relay.downstream.panics.is_pending());
    assert!(lost.is_ok(), "the link stays open");
}
