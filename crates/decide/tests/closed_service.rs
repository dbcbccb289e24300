//! Calls that wait at a service that loses its targets after it accepted them.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::wait::{TargetAvailability, Wait, WaitDecision, WaitLimits};
use std::time::Duration;

const LIMITS: WaitLimits = WaitLimits {
    closed: Duration::from_millis(500),
    unknown: Duration::from_secs(6),
    total: Duration::from_secs(3_600),
};
const TICK: Duration = Duration::from_millis(100);

/// Simulates a wait with the availability at each time, and returns when the wait is given up.
fn time_until_given_up(availability: impl Fn(Duration) -> TargetAvailability) -> Duration {
    let mut wait = Wait::new(LIMITS, Duration::ZERO);
    let mut now = Duration::ZERO;
    while let WaitDecision::Wait { until } = wait.observe(availability(now), now) {
        assert!(until > now);
        now = until.min(now + TICK);
    }
    now
}

/// Guards against calls that keep waiting for a service whose last target is permanently gone.
#[test]
fn gives_up_without_targets() {
    let gone = Duration::from_secs(7);
    let given_up = time_until_given_up(|now| match now < gone {
        true => TargetAvailability::Open,
        false => TargetAvailability::Closed,
    });
    assert!(given_up <= gone + Duration::from_secs(1), "{given_up:?}");
}

/// Guards against calls that are refused because their only target was unreachable for a moment.
#[test]
fn tolerates_short_gaps() {
    let given_up = time_until_given_up(|now| match now.as_millis() % 1_000 {
        0..400 => TargetAvailability::Closed,
        _ => TargetAvailability::Open,
    });
    assert_eq!(given_up, LIMITS.total);
}

/// Guards against calls that wait forever for a target that reconnects every few seconds and
/// disconnects again before it has reported its models.
#[test]
fn gives_up_on_flapping_target() {
    let given_up = time_until_given_up(|now| match now.as_millis() % 3_000 {
        0..300 => TargetAvailability::Closed,
        _ => TargetAvailability::Unknown,
    });
    assert_eq!(given_up, LIMITS.unknown);
}

/// Guards against calls that are given up while the model that they need is being loaded.
#[test]
fn waits_for_model_load() {
    let given_up = time_until_given_up(|now| match now < Duration::from_secs(300) {
        true => TargetAvailability::Loading,
        false => TargetAvailability::Closed,
    });
    assert!(given_up >= Duration::from_secs(300));
    assert!(given_up <= Duration::from_secs(301));
}
