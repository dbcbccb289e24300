//! A short soak of relays under the faults of a seed.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Trouble;
use std::time::Duration;

/// Seeds that are played each time, with what they once showed.
const SEEDS: [u64; 2] = [
    // The first one; nothing so far.
    1, // A relay that was started again found its address taken: the bench had chosen it.
    3,
];
/// Time under faults.
const TIME: Duration = Duration::from_secs(6);

/// Relays are killed, frozen, stopped and started again, links and runners and the table service
/// misbehave, runners leave and keys are replaced, in series and at once. Meanwhile no request that
/// may run once runs twice, what is said not to have run has not, whole answers are right, planned
/// stops cut nothing, leaving runners get nothing new, keys open as long as they are in force, and
/// all is served soon after the last fault.
#[test]
fn relays() {
    for seed in SEEDS {
        soak::clean(Trouble::Drawn, seed, TIME, 50);
    }
}

/// A poison request ended all runners of a service one after the other, with each of them a popular one
/// that was held back as well, for a minute at all relays.
#[test]
fn popular_beside_poison_soak() {
    soak::clean(Trouble::Drawn, 12, Duration::from_secs(15), 50);
}
