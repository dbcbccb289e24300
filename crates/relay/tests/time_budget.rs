//! What the time adds up to within which work for a leaving runner must end.

use relay::follow::StalenessBudget;
use std::time::Duration;

/// Time between two confirmations that nothing is new, while all goes well.
const PERIOD: Duration = Duration::from_secs(1);

/// Guards against a term that grows, or a new one, which together take longer than the bound. Steps are those of
/// fleets of up to 1,000 processes.
#[test]
fn bound_kept() {
    for bound in [3, 4, 5, 10].map(Duration::from_secs) {
        for levels in 0..=3 {
            let budget = StalenessBudget::new(bound);
            assert!(budget.max_delay(levels) <= bound, "{bound:?}, {levels}");
        }
    }
}

/// Guards against processes that read the tables for themselves although all goes well, since they rely on
/// others for less time than lies between two confirmations.
#[test]
fn others_relied_on() {
    for bound in [3, 4, 5, 10].map(Duration::from_secs) {
        for levels in 0..=3 {
            let budget = StalenessBudget::new(bound);
            assert!(budget.allows(PERIOD, levels), "{bound:?}, {levels}");
        }
    }
}

/// Guards against a bound that cannot be kept and of which nobody is told.
#[test]
fn too_short() {
    let budget = StalenessBudget::new(Duration::from_secs(2));
    assert!(!budget.allows(PERIOD, 2));
    assert!(budget.max_delay(2) <= Duration::from_secs(2));
}
