//! The former that an operator has chosen, to compare what ships with naive twins.

use super::{BatchQueue, FifoQueue, FreeRunner, Group, GroupId, Portion, Rules, Shape, SlackQueue};
use std::time::Duration;

/// One of the formers.
///
/// # Examples
///
/// ```
/// use decide::batch::{ConfiguredQueue, BatchQueue, Rules, Shape};
/// use std::time::Duration;
///
/// let shape = Shape { size: 4, call: Duration::from_millis(200), piece: Duration::ZERO };
/// assert_eq!(ConfiguredQueue::with(shape, Rules::default()).waiting_pieces(), 0);
/// ```
#[derive(Clone, Debug)]
pub enum ConfiguredQueue {
    /// Calls shared by slack.
    SlackQueue(SlackQueue),
    /// One group a call, without admission.
    FifoQueue(FifoQueue),
}

impl ConfiguredQueue {
    /// What ships, or the same with some rules left out.
    #[must_use]
    pub fn with(shape: Shape, rules: Rules) -> Self {
        Self::SlackQueue(SlackQueue::with(shape, rules))
    }

    /// The baseline.
    #[must_use]
    pub fn naive(shape: Shape) -> Self {
        Self::FifoQueue(FifoQueue::new(shape))
    }

    /// Shortest time in which a call ends.
    #[must_use]
    pub fn shortest(&self) -> Duration {
        match self {
            Self::SlackQueue(batch_queue) => batch_queue.shape.shortest(),
            Self::FifoQueue(batch_queue) => batch_queue.shape.shortest(),
        }
    }

    /// Takes over the shape that the configuration now gives.
    pub fn reshape(&mut self, shape: Shape) {
        match self {
            Self::SlackQueue(batch_queue) => batch_queue.reshape(shape),
            Self::FifoQueue(batch_queue) => batch_queue.reshape(shape),
        }
    }
}

impl BatchQueue for ConfiguredQueue {
    fn push(&mut self, group: Group) {
        match self {
            Self::SlackQueue(batch_queue) => batch_queue.push(group),
            Self::FifoQueue(batch_queue) => batch_queue.push(group),
        }
    }

    fn withdraw(&mut self, group_id: GroupId) {
        match self {
            Self::SlackQueue(batch_queue) => batch_queue.withdraw(group_id),
            Self::FifoQueue(batch_queue) => batch_queue.withdraw(group_id),
        }
    }

    fn expire(&mut self, now: Duration, piece: Duration) -> Vec<GroupId> {
        match self {
            Self::SlackQueue(batch_queue) => batch_queue.expire(now, piece),
            Self::FifoQueue(batch_queue) => batch_queue.expire(now, piece),
        }
    }

    fn take(&mut self, now: Duration, offer: &FreeRunner<'_>) -> Vec<Portion> {
        match self {
            Self::SlackQueue(batch_queue) => batch_queue.take(now, offer),
            Self::FifoQueue(batch_queue) => batch_queue.take(now, offer),
        }
    }

    fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        match self {
            Self::SlackQueue(batch_queue) => batch_queue.next_wakeup(now),
            Self::FifoQueue(batch_queue) => batch_queue.next_wakeup(now),
        }
    }

    fn waiting_pieces(&self) -> u32 {
        match self {
            Self::SlackQueue(batch_queue) => batch_queue.waiting_pieces(),
            Self::FifoQueue(batch_queue) => batch_queue.waiting_pieces(),
        }
    }

    fn pieces_ahead(&self, now: Duration, rank: u8) -> u32 {
        match self {
            Self::SlackQueue(batch_queue) => batch_queue.pieces_ahead(now, rank),
            Self::FifoQueue(batch_queue) => batch_queue.pieces_ahead(now, rank),
        }
    }
}
