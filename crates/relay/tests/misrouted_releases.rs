//! Releases that reach a process which does not form the calls to the runner.
//!
//! Such a release used to be ignored, and the runner stored the result until it expired.

mod common;

use common::{Fake, link, ready, runner};
use relay::batch::{Cell, ReleaseKind, Results};
use relay::downstream::Handle;
use relay::peer::Frame;
use relay::runner::Change;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Timeout of each step, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

fn stored_at(id: &str) -> Handle {
    let address = runner(id, "stage").address;
    format!("{address}/a-0-0").into()
}

/// A release by a process whose list of runners is older, so that it names another cell.
fn release(handle: &Handle) -> Results {
    Results {
        cell: Cell {
            service: "stage".into(),
            index: 5,
        },
        handles: vec![handle.clone()],
    }
}

async fn wait_released(fake: &Fake, handle: &Handle) {
    let released = || async {
        while !fake.released.lock().expect("free").contains(handle) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, released()).await.expect("released");
}

/// The runner has moved to another cell of the receiver, or is not listed any more. In both cases it
/// is told to drop the result, also if the release has been forwarded before.
#[tokio::test]
async fn runner_notified() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    relay.update(vec![Change::Gone("s-2".into())]);
    let (sender, _receiver) = link::open(&relay).await;
    let spent = ReleaseKind::Over;
    for id in ["s-1", "s-2"] {
        let results = release(&stored_at(id));
        let frame = Frame::Release { results, spent };
        sender.send(frame).await.expect("sent");
        wait_released(&fake, &stored_at(id)).await;
        fake.released.lock().expect("free").clear();
        let results = release(&stored_at(id));
        let frame = Frame::ForwardedRelease { results, spent };
        sender.send(frame).await.expect("sent");
        wait_released(&fake, &stored_at(id)).await;
    }
}

/// Fetched results may still be needed, and are not dropped because their runner has moved.
#[tokio::test]
async fn fetched_kept() {
    let fake = Fake::default();
    let relay = ready(fake.clone());
    relay.update(vec![Change::Gone("s-2".into())]);
    let (sender, _receiver) = link::open(&relay).await;
    for (id, spent) in [("s-2", ReleaseKind::Fetched), ("s-1", ReleaseKind::Over)] {
        let results = release(&stored_at(id));
        let frame = Frame::Release { results, spent };
        sender.send(frame).await.expect("sent");
    }
    wait_released(&fake, &stored_at("s-1")).await;
    assert!(
        !fake
            .released
            .lock()
            .expect("free")
            .contains(&stored_at("s-2"))
    );
}
