//! The agent as the fence before engines that carry out every order.
//!
//! A lease holder that was paused may send an order after another has taken over. An engine that
//! does not check fencing numbers would carry it out and undo the new holder's work.

use crate::id;

/// What is to be done with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Hand it to the engine.
    Pass,
    /// Refuse it: an order with this higher number has been seen.
    Refuse(id::FencingToken),
    /// Read the current number from the table first.
    Unknown,
}

/// Highest fencing number that an agent has seen in its life.
///
/// # Examples
///
/// ```
/// use protocol::fence::{Fence, Verdict};
///
/// let mut fence = Fence::new();
/// assert_eq!(fence.admit(3), Verdict::Unknown);
/// fence.learn(4);
/// assert_eq!(fence.admit(3), Verdict::Refuse(4));
/// assert_eq!(fence.admit(5), Verdict::Pass);
/// assert_eq!(fence.admit(4), Verdict::Refuse(5));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: Option<id::FencingToken>,
}

impl Fence {
    /// The fence of an agent that has just started and has read nothing from the table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the current number as read from the table.
    pub fn learn(&mut self, current: id::FencingToken) {
        self.highest = self.highest.max(Some(current));
    }

    /// Judges an order and remembers its number if it may pass.
    ///
    /// A restarted agent has forgotten which numbers it saw. It would let an old order pass if it
    /// judged before it has read the table, so it lets none pass until then.
    pub fn admit(&mut self, order: id::FencingToken) -> Verdict {
        match self.highest {
            None => Verdict::Unknown,
            Some(highest) if order < highest => Verdict::Refuse(highest),
            Some(_) => {
                self.highest = Some(order);
                Verdict::Pass
            }
        }
    }
}
