//! What the time adds up to until a process knows what is new in a table.

use std::time::Duration;

/// Greatest age of knowledge that others have told, where the bound on that leaves as much.
pub(super) const TRUST: Duration = Duration::from_millis(1_600);
/// What is added to it for each step that the tables are away: whoever tells must notice first that it
/// learns nothing.
pub(super) const STEP: Duration = Duration::from_millis(200);
/// Longest time that a table which is not away takes for an answer.
const READ: Duration = Duration::from_millis(700);
/// Longest time for which a process does not get on without taking that for a pause, after which it asks for
/// what is new before it goes on.
const DELAY: Duration = crate::pause::PAUSE_THRESHOLD;
/// Time from the last look at what is known until the first byte reaches a runner: one way, behind parts of a
/// configuration.
const WRITE: Duration = Duration::from_millis(50);

/// How the time is spent within which each process must know that a runner leaves.
///
/// # Examples
///
/// ```
/// use relay::follow::StalenessBudget;
/// use std::time::Duration;
///
/// let budget = StalenessBudget::new(Duration::from_secs(5));
/// assert!(budget.trust_reduction(2).is_zero());
/// assert!(budget.max_delay(2) <= Duration::from_secs(5));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessBudget {
    bound: Duration,
}

impl StalenessBudget {
    /// The budget for a bound.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Time by which others are relied on for less than usual, where the process that is farthest away is so
    /// many steps from the tables.
    #[must_use]
    pub fn trust_reduction(self, levels: u32) -> Duration {
        let sum = TRUST + STEP * levels + READ + DELAY + WRITE;
        sum.saturating_sub(self.bound).min(TRUST)
    }

    /// Longest time until a process that far away sends nothing more to a runner that leaves, if what tells it
    /// so falls silent in that moment.
    #[must_use]
    pub fn max_delay(self, levels: u32) -> Duration {
        TRUST + STEP * levels + READ + DELAY + WRITE - self.trust_reduction(levels)
    }

    /// Whether knowledge that is told in time, each `period`, is young enough to be relied on.
    #[must_use]
    pub fn allows(self, period: Duration, levels: u32) -> bool {
        TRUST - self.trust_reduction(levels) > period
    }
}
