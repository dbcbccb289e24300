//! The batch queue that the settings select.

use super::{BatchQueue, FifoQueue, FreeRunner, Group, GroupId, Portion, Rules, Shape, SlackQueue};
use std::time::Duration;

/// The shipped batch queue or the naive baseline.
///
/// # Examples
///
/// ```
/// use decide::batch::{ConfiguredQueue, BatchQueue, Rules, Shape};
/// use std::time::Duration;
///
/// let shape = Shape { size: 4, call: Duration::from_millis(200), piece: Duration::ZERO };
/// assert_eq!(ConfiguredQueue::with_rules(shape, Rules::default()).waiting_pieces(), 0);
/// ```
#[derive(Clone, Debug)]
pub enum ConfiguredQueue {
    /// Calls shared by several groups, ordered by slack.
    Slack(SlackQueue),
    /// One group per call, without admission control.
    Fifo(FifoQueue),
}

impl ConfiguredQueue {
    /// The shipped queue with the enabled rules.
    #[must_use]
    pub fn with_rules(shape: Shape, rules: Rules) -> Self {
        Self::Slack(SlackQueue::with_rules(shape, rules))
    }

    /// The baseline.
    #[must_use]
    pub fn naive(shape: Shape) -> Self {
        Self::Fifo(FifoQueue::new(shape))
    }

    /// Shortest time of a call.
    #[must_use]
    pub fn shortest(&self) -> Duration {
        match self {
            Self::Slack(queue) => queue.shape.shortest(),
            Self::Fifo(queue) => queue.shape.shortest(),
        }
    }

    /// Sets the shape after a change of the configuration.
    pub fn set_shape(&mut self, shape: Shape) {
        match self {
            Self::Slack(queue) => queue.set_shape(shape),
            Self::Fifo(queue) => queue.set_shape(shape),
        }
    }
}

impl BatchQueue for ConfiguredQueue {
    fn push(&mut self, group: Group) {
        match self {
            Self::Slack(queue) => queue.push(group),
            Self::Fifo(queue) => queue.push(group),
        }
    }

    fn withdraw(&mut self, group_id: GroupId) {
        match self {
            Self::Slack(queue) => queue.withdraw(group_id),
            Self::Fifo(queue) => queue.withdraw(group_id),
        }
    }

    fn expire(&mut self, now: Duration, piece: Duration) -> Vec<GroupId> {
        match self {
            Self::Slack(queue) => queue.expire(now, piece),
            Self::Fifo(queue) => queue.expire(now, piece),
        }
    }

    fn take(&mut self, now: Duration, runner: &FreeRunner<'_>) -> Vec<Portion> {
        match self {
            Self::Slack(queue) => queue.take(now, runner),
            Self::Fifo(queue) => queue.take(now, runner),
        }
    }

    fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        match self {
            Self::Slack(queue) => queue.next_wakeup(now),
            Self::Fifo(queue) => queue.next_wakeup(now),
        }
    }

    fn waiting_pieces(&self) -> u32 {
        match self {
            Self::Slack(queue) => queue.waiting_pieces(),
            Self::Fifo(queue) => queue.waiting_pieces(),
        }
    }

    fn pieces_ahead(&self, now: Duration, rank: u8) -> u32 {
        match self {
            Self::Slack(queue) => queue.pieces_ahead(now, rank),
            Self::Fifo(queue) => queue.pieces_ahead(now, rank),
        }
    }
}
