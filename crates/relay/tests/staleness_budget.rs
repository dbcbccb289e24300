//! Sum of the delays until a runner that shuts down gets no more work.

use relay::follow::StalenessBudget;
use std::time::Duration;

/// Time between two confirmations that nothing has changed, in normal operation.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(1);

/// Guards against delays that are increased or added and whose sum then exceeds the bound. The tested
/// levels are those of fleets of up to 1,000 processes.
#[test]
fn bound_kept() {
    for bound in [3, 4, 5, 10].map(Duration::from_secs) {
        for levels in 0..=3 {
            let budget = StalenessBudget::new(bound);
            assert!(budget.max_delay(levels) <= bound, "{bound:?}, {levels}");
        }
    }
}

/// Guards against processes that read the tables themselves in normal operation, because they trust others
/// for less time than lies between two confirmations.
#[test]
fn confirmations_suffice() {
    for bound in [3, 4, 5, 10].map(Duration::from_secs) {
        for levels in 0..=3 {
            let budget = StalenessBudget::new(bound);
            assert!(
                budget.allows(CONFIRMATION_PERIOD, levels),
                "{bound:?}, {levels}"
            );
        }
    }
}

/// Guards against a bound that is too short to be kept and is not reported as such.
#[test]
fn bound_too_short() {
    let budget = StalenessBudget::new(Duration::from_secs(2));
    assert!(!budget.allows(CONFIRMATION_PERIOD, 2));
    assert!(budget.max_delay(2) <= Duration::from_secs(2));
}
