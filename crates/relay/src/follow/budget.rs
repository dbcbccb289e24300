//! Upper bound of the time until a process learns of a change in a table.

use std::time::Duration;

/// Maximum age of updates from peers, unless the time limit requires a shorter one.
pub(super) const MAX_PEER_AGE: Duration = Duration::from_millis(1_600);
/// Increase of the maximum age for each hop from the readers of the tables: the upstream process must
/// first notice that it gets no updates itself.
pub(super) const HOP_DELAY: Duration = Duration::from_millis(200);
/// Maximum time in which an available table service responds.
const READ_TIME: Duration = Duration::from_millis(700);
/// Maximum time for which a process can be stopped without detecting a pause. After a detected pause, it
/// requests updates before it continues.
const UNDETECTED_PAUSE: Duration = crate::pause::PAUSE_THRESHOLD;
/// Time from the last check of the runner's entry until the first byte reaches the runner: the one-way
/// latency, behind parts of a configuration.
const SEND_TIME: Duration = Duration::from_millis(50);

/// Allocation of the time within which each process must know that a runner leaves.
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
    /// Creates the budget for a time limit.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Time by which the maximum age of updates from peers is reduced, if the farthest process is
    /// `levels` hops from the readers of the tables.
    #[must_use]
    pub fn trust_reduction(self, levels: u32) -> Duration {
        let sum = MAX_PEER_AGE + HOP_DELAY * levels + READ_TIME + UNDETECTED_PAUSE + SEND_TIME;
        sum.saturating_sub(self.bound).min(MAX_PEER_AGE)
    }

    /// Maximum time until a process at that distance sends nothing more to a leaving runner, if its
    /// upstream process stops responding just when the runner leaves.
    #[must_use]
    pub fn max_delay(self, levels: u32) -> Duration {
        MAX_PEER_AGE + HOP_DELAY * levels + READ_TIME + UNDETECTED_PAUSE + SEND_TIME
            - self.trust_reduction(levels)
    }

    /// Whether updates that arrive every `period` are recent enough to be trusted.
    #[must_use]
    pub fn allows(self, period: Duration, levels: u32) -> bool {
        MAX_PEER_AGE - self.trust_reduction(levels) > period
    }
}
