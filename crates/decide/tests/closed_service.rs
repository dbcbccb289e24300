//! Calls that were accepted by a service which then loses its targets.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::wait::{TargetAvailability, Wait, WaitDecision, WaitLimits};
use std::time::Duration;

const BOUNDS: WaitLimits = WaitLimits {
    closed: Duration::from_millis(500),
    unknown: Duration::from_secs(6),
    total: Duration::from_secs(3_600),
};
const TICK: Duration = Duration::from_millis(100);

/// Plays a wait with the outlook at each moment and gives when it is given up.
fn play(outlook: impl Fn(Duration) -> TargetAvailability) -> Duration {
    let mut wait = Wait::new(BOUNDS, Duration::ZERO);
    let mut now = Duration::ZERO;
    while let WaitDecision::Wait { until } = wait.observe(outlook(now), now) {
        assert!(until > now);
        now = until.min(now + TICK);
    }
    now
}

/// Guards against a call that waits on for a service whose last target has gone for good.
#[test]
fn gone_for_good() {
    let gone = Duration::from_secs(7);
    let ended = play(|now| match now < gone {
        true => TargetAvailability::Open,
        false => TargetAvailability::Closed,
    });
    assert!(ended <= gone + Duration::from_secs(1), "{ended:?}");
}

/// Guards against calls refused because their only target was out of reach for a moment.
#[test]
fn short_gap() {
    let ended = play(|now| match now.as_millis() % 1_000 {
        0..400 => TargetAvailability::Closed,
        _ => TargetAvailability::Open,
    });
    assert_eq!(ended, BOUNDS.total);
}

/// Guards against a call that waits for ever for a target that comes back every few seconds and goes
/// again before it has said what it holds.
#[test]
fn never_speaks() {
    let ended = play(|now| match now.as_millis() % 3_000 {
        0..300 => TargetAvailability::Closed,
        _ => TargetAvailability::Unknown,
    });
    assert_eq!(ended, BOUNDS.unknown);
}

/// Guards against a call given up while the model that it needs is being loaded.
#[test]
fn long_load() {
    let ended = play(|now| match now < Duration::from_secs(300) {
        true => TargetAvailability::Loading,
        false => TargetAvailability::Closed,
    });
    assert!(ended >= Duration::from_secs(300));
    assert!(ended <= Duration::from_secs(301));
}
