//! Slots for a bounded number of calls at once; those that wait go by priority.

use crate::lag::Delayed;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// What `GET /v1/load` shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Load {
    /// Calls at work.
    pub(crate) running: usize,
    /// Calls that wait.
    pub(crate) queued: usize,
    /// Calls at work at most.
    pub(crate) limit: usize,
}

/// The slots; clones share them.
#[derive(Clone)]
pub(crate) struct Slots {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    load: Delayed<Load>,
}

struct State {
    limit: usize,
    running: usize,
    arrivals: u64,
    queue: BinaryHeap<Waiter>,
}

/// A slot that is given back when dropped.
pub(crate) struct Permit {
    slots: Slots,
}

/// Higher priority first, then earlier arrival.
type Rank = (u8, Reverse<u64>);

struct Waiter {
    rank: Rank,
    wake: oneshot::Sender<Permit>,
}

impl Slots {
    /// Slots for `limit` calls, whose load is seen `lag` late.
    pub(crate) fn new(limit: usize, lag: Duration) -> Self {
        let state = State {
            limit: limit.max(1),
            running: 0,
            arrivals: 0,
            queue: BinaryHeap::new(),
        };
        let load = state.load();
        let shared = Shared {
            state: Mutex::new(state),
            load: Delayed::new(lag, load),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The load as it was some time ago.
    pub(crate) fn load(&self) -> Load {
        self.shared.load.get().unwrap_or_default()
    }

    /// Waits for a slot; dropping the future leaves the queue.
    pub(crate) async fn acquire(&self, priority: u8) -> Permit {
        match self.acquire_or_queue(priority) {
            Ok(permit) => permit,
            Err(entry) => entry.wait().await,
        }
    }

    fn acquire_or_queue(&self, priority: u8) -> Result<Permit, QueueEntry> {
        let mut state = self.state();
        let taken = if state.running < state.limit {
            state.running += 1;
            Ok(self.permit())
        } else {
            let (wake, granted) = oneshot::channel();
            state.arrivals += 1;
            let rank = (priority, Reverse(state.arrivals));
            state.queue.push(Waiter { rank, wake });
            Err(QueueEntry {
                slots: self.clone(),
                rank,
                granted,
            })
        };
        self.shared.load.set(state.load());
        taken
    }

    fn permit(&self) -> Permit {
        Permit {
            slots: self.clone(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the queue, which is left when this is dropped.
///
/// Without that, callers that have gone would be counted as waiting until a slot comes free, and
/// the load would look higher than it is.
struct QueueEntry {
    slots: Slots,
    rank: Rank,
    granted: oneshot::Receiver<Permit>,
}

impl QueueEntry {
    async fn wait(mut self) -> Permit {
        match (&mut self.granted).await {
            Ok(permit) => permit,
            // The sender stays in the queue for as long as this place does.
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut state = self.slots.state();
        state.queue.retain(|waiter| waiter.rank != self.rank);
        self.slots.shared.load.set(state.load());
    }
}

impl State {
    fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: self.queue.len(),
            limit: self.limit,
        }
    }

    /// The first waiter that has not left.
    fn next(&mut self) -> Option<Waiter> {
        loop {
            let waiter = self.queue.pop()?;
            if !waiter.wake.is_closed() {
                return Some(waiter);
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.slots.state();
        let next = state.next();
        if next.is_none() {
            state.running -= 1;
        }
        self.slots.shared.load.set(state.load());
        // The lock is given up first: a waiter that leaves at this moment drops the permit here,
        // which takes the lock again.
        drop(state);
        if let Some(waiter) = next {
            let _ = waiter.wake.send(self.slots.permit());
        }
    }
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank.cmp(&other.rank)
    }
}
