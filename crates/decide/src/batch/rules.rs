//! Rules of a batch queue that can be disabled to measure the effect of each.

/// Rules that [`SlackQueue`](super::SlackQueue) applies.
///
/// # Examples
///
/// ```
/// use decide::batch::Rules;
///
/// let without = Rules { give_up: false, ..Rules::default() };
/// assert!(without.small_first);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Groups wait for a runner close to their inputs if it will be free in time.
    pub near: bool,
    /// Groups are not divided to fill up a call.
    pub whole: bool,
    /// Small groups go before larger ones that are due at about the same time.
    pub small_first: bool,
    /// Late groups are dropped while groups that are still on time keep the runners busy.
    pub give_up: bool,
}

impl Default for Rules {
    /// All rules enabled, as shipped.
    fn default() -> Self {
        Self {
            near: true,
            whole: true,
            small_first: true,
            give_up: true,
        }
    }
}
