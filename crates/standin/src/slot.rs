//! Limits the number of concurrent calls; waiting calls are ordered by priority.

use crate::lag::Delayed;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Response of `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Load {
    /// Number of calls in progress.
    pub(crate) running: usize,
    /// Number of waiting calls.
    pub(crate) queued: usize,
    /// Maximum number of calls in progress.
    pub(crate) limit: usize,
}

/// A priority semaphore; clones share its slots.
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

/// A slot, which is released on drop.
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
    /// Slots for `limit` calls; changes of the load become visible after `lag`.
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

    /// The delayed load.
    pub(crate) fn load(&self) -> Load {
        self.shared.load.get().unwrap_or_default()
    }

    /// Waits for a slot; dropping the future removes the call from the queue.
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

/// An entry in the queue, which is removed on drop.
///
/// Otherwise, disconnected clients would be counted as waiting until a slot is free, and the
/// reported load would be too high.
struct QueueEntry {
    slots: Slots,
    rank: Rank,
    granted: oneshot::Receiver<Permit>,
}

impl QueueEntry {
    async fn wait(mut self) -> Permit {
        match (&mut self.granted).await {
            Ok(permit) => permit,
            // The sender stays in the queue until this entry is dropped.
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

    /// The first waiter that still waits.
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
        // The lock is released first: if the waiter has just been dropped, the permit is dropped
        // here, which takes the lock again.
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
