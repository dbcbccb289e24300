//! The task that watches the fetch of a configuration, and panics.

mod common;

use common::link;
use common::pair::advance_time;
use common::panics::LogPanic;
use common::{Fake, configuration, with_log};
use relay::Relay;
use relay::peer::Frame;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use wire::{Receiver, Sender};

/// Time for which a fetch may wait for its next source, several times the time for one part.
const FETCH_TIME: Duration = Duration::from_secs(5);

/// A process that offers a newer configuration and never sends it.
async fn offer(relay: &Arc<Relay<Fake>>) -> (Sender<Frame>, Receiver<Frame>) {
    let (sender, receiver) = link::open(relay).await;
    sender.send(Frame::Version(2)).await.expect("linked");
    (sender, receiver)
}

async fn asked(receiver: &mut Receiver<Frame>) {
    loop {
        let frame = receiver.recv().await.expect("linked");
        if let Some(Frame::AskPart { .. }) = frame {
            return;
        }
    }
}

/// Guards against a fetch that stalls for good: the task that changes to another source has ended and counts as
/// running.
#[tokio::test(start_paused = true)]
async fn watched_again() {
    tokio::spawn(advance_time());
    let panic = LogPanic::new("requesting configuration from peer");
    let relay = with_log(Fake::default(), panic.logger());
    relay.adopt(configuration(1));
    let mut first = offer(&relay).await;
    timeout(FETCH_TIME, asked(&mut first.1))
        .await
        .expect("asked");
    let mut second = offer(&relay).await;
    let mut third = offer(&relay).await;
    panic.arm();
    sleep(FETCH_TIME).await;
    assert!(!panic.is_armed(), "the watcher has panicked");
    let second = timeout(FETCH_TIME, asked(&mut second.1)).await;
    let third = timeout(FETCH_TIME, asked(&mut third.1)).await;
    assert!(second.is_ok() || third.is_ok(), "no other source is asked");
}
