//! Rules of a former that can be left out, to measure what each is worth.

/// Which rules [`SlackQueue`](super::Slack) keeps.
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
    /// Groups wait for a runner near their inputs, if it will be free in time.
    pub near: bool,
    /// Groups are not divided to fill the last places of a call.
    pub whole: bool,
    /// Of groups that are due as soon, the small ones go first.
    pub small_first: bool,
    /// Groups that are late are given up while others that are not keep the runners busy.
    pub give_up: bool,
}

impl Default for Rules {
    /// What ships.
    fn default() -> Self {
        Self {
            near: true,
            whole: true,
            small_first: true,
            give_up: true,
        }
    }
}
