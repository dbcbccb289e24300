//! Fencing by the agent, for engines that carry out every order.
//!
//! A lease holder that was paused may send an order after another process has taken the lease over.
//! An engine that does not check fencing tokens would carry the order out and undo the new holder's
//! work.

use crate::id;

/// Decision about an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Pass the order to the engine.
    Pass,
    /// Reject the order: this higher token has been seen.
    Refuse(id::FencingToken),
    /// Read the current token from the table first.
    Unknown,
}

/// Highest fencing token that an agent has seen since its start.
///
/// # Examples
///
/// ```
/// use protocol::fence::{Fence, Decision};
///
/// let mut fence = Fence::new();
/// assert_eq!(fence.admit(3), Decision::Unknown);
/// fence.learn(4);
/// assert_eq!(fence.admit(3), Decision::Refuse(4));
/// assert_eq!(fence.admit(5), Decision::Pass);
/// assert_eq!(fence.admit(4), Decision::Refuse(5));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: Option<id::FencingToken>,
}

impl Fence {
    /// Creates the fence of an agent that has just started and has not read the table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the current token as read from the table.
    pub fn learn(&mut self, current: id::FencingToken) {
        self.highest = self.highest.max(Some(current));
    }

    /// Decides about an order, and records its token if the order may pass.
    ///
    /// A restarted agent does not know which tokens it has seen before. It would let an outdated
    /// order pass if it decided before it has read the table, so until then it lets none pass.
    pub fn admit(&mut self, order: id::FencingToken) -> Decision {
        match self.highest {
            None => Decision::Unknown,
            Some(highest) if order < highest => Decision::Refuse(highest),
            Some(_) => {
                self.highest = Some(order);
                Decision::Pass
            }
        }
    }
}
