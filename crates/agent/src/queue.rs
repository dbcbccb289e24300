//! Order in which queued calls get a slot at the runner.

use protocol::CallId;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// One pop in this many takes the earliest deadline even if it has passed, so that late work
/// completes late, rather than never, while the runner stays busy.
const LATE_WORK_INTERVAL: u64 = 8;

/// Position of a queued call: higher priorities first, then earlier deadlines, then older offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// 255 minus the priority.
    rank: u8,
    deadline: Instant,
    serial: u64,
}

/// How the queue is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueOrder {
    /// By priority and deadline.
    Slack,
    /// First in, first out, as a baseline for comparison.
    Fifo,
}

/// Queue of calls that wait for a slot.
#[derive(Debug)]
pub(crate) struct Queue {
    order: QueueOrder,
    epoch: Instant,
    calls: BTreeMap<QueueKey, CallId>,
    pushed: u64,
    popped: u64,
}

impl Queue {
    pub(crate) fn new(order: QueueOrder) -> Self {
        Self {
            order,
            epoch: Instant::now(),
            calls: BTreeMap::new(),
            pushed: 0,
            popped: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Adds a call whose deadline is `remaining` away.
    pub(crate) fn push(&mut self, call: CallId, priority: u8, remaining: Duration) -> QueueKey {
        self.pushed += 1;
        let (rank, deadline) = match self.order {
            QueueOrder::Slack => (u8::MAX - priority, deadline_after(remaining)),
            QueueOrder::Fifo => (0, self.epoch),
        };
        let key = QueueKey {
            rank,
            deadline,
            serial: self.pushed,
        };
        self.calls.insert(key, call);
        key
    }

    pub(crate) fn remove(&mut self, key: QueueKey) {
        self.calls.remove(&key);
    }

    /// Takes the next call. A call past its deadline yields to calls of the same priority that can
    /// still meet theirs, except for every [`LATE_WORK_INTERVAL`]th time.
    pub(crate) fn pop(&mut self) -> Option<CallId> {
        self.popped += 1;
        let (&first, _) = self.calls.first_key_value()?;
        let key = if self.popped % LATE_WORK_INTERVAL == 0 {
            first
        } else {
            self.first_in_time(first).unwrap_or(first)
        };
        self.calls.remove(&key)
    }

    fn first_in_time(&self, first: QueueKey) -> Option<QueueKey> {
        let now = QueueKey {
            deadline: Instant::now(),
            serial: 0,
            ..first
        };
        let (&key, _) = self.calls.range(now..).next()?;
        (key.rank == first.rank).then_some(key)
    }
}

/// Limits the deadline to a day from now, since the clock may not be able to express a later one.
fn deadline_after(remaining: Duration) -> Instant {
    const DAY: Duration = Duration::from_secs(86_400);
    Instant::now() + remaining.min(DAY)
}
