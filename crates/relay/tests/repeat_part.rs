//! What a relay that has just started may repeat.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Fake, blank, blank_again};
use decide::retry::window::Bound;
use relay::core::Relay;
use std::time::Duration;
use tokio::time::{Instant, advance};

fn granted(relay: &Relay<Fake>) -> usize {
    let service = "plain".into();
    (0..100).take_while(|_| relay.may_repeat(&service)).count()
}

/// Guards against a part of the slack for a process whose earlier start may just have spent it.
#[tokio::test(start_paused = true)]
async fn none_again() {
    assert_eq!(granted(&blank(Fake::default())), 10);
    let relay = blank_again(Fake::default());
    assert_eq!(granted(&relay), 0);
    relay.count_first(&"plain".into(), Instant::now(), 100);
    assert_eq!(granted(&relay), 10, "half of the share of its requests");
}

/// Guards against requests that count from when their last stage begins.
#[tokio::test(start_paused = true)]
async fn from_arrival() {
    let relay = blank_again(Fake::default());
    relay.bound_repeats(Bound {
        ratio: 0.2,
        slack: 0.0,
        window: Duration::from_secs(2),
    });
    let arrived = Instant::now();
    advance(Duration::from_secs(3)).await;
    relay.count_first(&"plain".into(), arrived, 100);
    assert_eq!(granted(&relay), 0);
}
