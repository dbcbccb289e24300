//! A short soak of relays with a chain of stages under a burst.

#![allow(clippy::unwrap_used, missing_docs)]

mod soak;

use ctl::torture::relays::Scenario;
use std::time::Duration;
use stub::config::CHAIN_SERVICES;

/// Long enough for a burst of 6 s, and for results that are stored for 4 s after the last fault.
const TIME: Duration = Duration::from_secs(20);

/// Guards against requests without a response, refusals of requests that have run, pieces of other requests
/// and result storage that stays occupied, while runners of the middle stage crash and return, runners are
/// slow, and relays are frozen, killed and stopped in a burst.
#[test]
fn chain_in_burst() {
    let counts = soak::run_clean(Scenario::Chain, 1, TIME, 200);
    let stats = counts.chain.unwrap();
    assert!(stats.undisturbed > 100, "{stats:?}");
    assert!(stats.requests["Chain"].answered > 100, "{stats:?}");
    // A soak in which result storage does not fill up would show nothing about it.
    let [_, middle, _] = &CHAIN_SERVICES;
    assert!(
        stats.pieces[middle.name].peak_bytes > middle.room * 9 / 10,
        "{stats:?}"
    );
}
