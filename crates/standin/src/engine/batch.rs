//! Waiting and running sequences, executed in steps.

use super::cache::Cache;
use crate::call::Call;
use crate::fault::FaultInjector;
use crate::lag::Delayed;
use crate::log::LogEntry;
use crate::options::{Options, millis};
use crate::runner::Runner;
use crate::slot::Load;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Maximum delay that later steps make up for; a longer delay shifts the schedule.
const MAX_CATCH_UP: Duration = Duration::from_millis(50);

/// Progress of a sequence.
pub(super) enum Progress {
    /// The sequence is in the batch.
    Start {
        /// Log entry of the execution.
        entry: LogEntry,
        /// Number of leading prefix blocks that were in the cache.
        hits: usize,
        /// Duration of the prefill in microseconds.
        busy_us: u64,
    },
    /// The token with this number has been generated.
    Token(u32),
    /// All tokens have been generated.
    Done {
        /// Prefill time plus the sequence's share of its steps, in microseconds.
        busy_us: u64,
    },
}

/// A call to be added to the batch.
pub(super) struct Request {
    pub(super) call: Call,
    /// Number of tokens of the complete response.
    pub(super) total: u32,
    pub(super) cancelled: CancellationToken,
}

/// Number of a request in the order of arrival.
type ArrivalNumber = u64;

/// An entry in the queue, which is removed on drop.
///
/// Otherwise, disconnected clients would be counted as waiting until the batch has room, and the
/// reported load would be too high.
pub(super) struct QueueEntry {
    batch: Arc<Batch>,
    arrival: ArrivalNumber,
}

/// The sequences of an engine and the durations of their steps.
pub(super) struct Batch {
    state: Mutex<State>,
    wake: Notify,
    load: Delayed<Load>,
    injector: Arc<FaultInjector>,
    runner: Arc<Runner>,
    cache: Arc<Mutex<Cache>>,
    limit: usize,
    step_ms: f64,
    step_growth: f64,
    prefill_ms: f64,
}

#[derive(Default)]
struct State {
    arrivals: ArrivalNumber,
    waiting: BinaryHeap<Waiting>,
    running: Vec<Running>,
}

struct Waiting {
    /// Higher priority first, then earlier arrival.
    rank: (u8, Reverse<ArrivalNumber>),
    request: Request,
    sink: UnboundedSender<Progress>,
}

struct Running {
    position: u32,
    total: u32,
    busy: Duration,
    cancelled: CancellationToken,
    sink: UnboundedSender<Progress>,
}

impl Batch {
    pub(super) fn new(
        options: &Options,
        injector: Arc<FaultInjector>,
        runner: Arc<Runner>,
        cache: Arc<Mutex<Cache>>,
    ) -> Self {
        let limit = options.batch.max(1);
        let idle = Load {
            limit,
            ..Load::default()
        };
        Self {
            state: Mutex::default(),
            wake: Notify::new(),
            load: Delayed::new(options.lag(), idle),
            injector,
            runner,
            cache,
            limit,
            step_ms: options.step_ms,
            step_growth: options.step_growth,
            prefill_ms: options.prefill_ms,
        }
    }

    pub(super) fn load(&self) -> Load {
        self.load.get().unwrap_or_default()
    }

    /// Queues a request. The channel reports its progress; if the request is cancelled, the channel
    /// is closed without `Done`.
    pub(super) fn enqueue(
        self: &Arc<Self>,
        request: Request,
    ) -> (QueueEntry, UnboundedReceiver<Progress>) {
        let (sink, progress) = unbounded_channel();
        let mut state = self.state();
        state.arrivals += 1;
        let arrival = state.arrivals;
        let rank = (request.call.priority, Reverse(arrival));
        state.waiting.push(Waiting {
            rank,
            request,
            sink,
        });
        self.publish_load(&state);
        drop(state);
        self.wake.notify_one();
        let batch = Arc::clone(self);
        (QueueEntry { batch, arrival }, progress)
    }

    /// Runs the steps of the batch; sleeps while the batch is empty.
    pub(super) async fn run_steps(&self) {
        let mut due = Instant::now();
        loop {
            let Some(time) = self.admit() else {
                self.wake.notified().await;
                due = Instant::now();
                continue;
            };
            due += time;
            tokio::time::sleep_until(due).await;
            self.emit(time);
            if due.elapsed() > MAX_CATCH_UP {
                due = Instant::now();
            }
        }
    }

    /// Fills the batch and returns the duration of its next step; `None` if the batch is empty.
    fn admit(&self) -> Option<Duration> {
        let mut state = self.state();
        state.running.retain(|running| !running.is_abandoned());
        let mut prefill = Duration::ZERO;
        while state.running.len() < self.limit {
            let Some(waiting) = state.waiting.pop() else {
                break;
            };
            if let Some((running, time)) = self.start(waiting) {
                prefill += time;
                state.running.push(running);
            }
        }
        self.publish_load(&state);
        let others = state.running.len().checked_sub(1)?;
        let step = self.step_ms * (1.0 + self.step_growth * others as f64);
        Some(prefill + millis(self.runner.sample_time(step) * self.injector.factor()))
    }

    /// Starts a sequence unless it was cancelled or its client has disconnected; also returns the
    /// duration of its prefill.
    fn start(&self, waiting: Waiting) -> Option<(Running, Duration)> {
        let Waiting { request, sink, .. } = waiting;
        if sink.is_closed() || request.cancelled.is_cancelled() {
            return None;
        }
        let blocks = &request.call.prefix;
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let hits = cache.touch(blocks);
        drop(cache);
        let misses = (blocks.len() - hits) as f64;
        let prefill = millis(misses * self.prefill_ms * self.injector.factor());
        let entry = self.runner.log.start(&request.call);
        entry.set_prefix_hits(hits);
        let start = Progress::Start {
            entry,
            hits,
            busy_us: micros(prefill),
        };
        sink.send(start).ok()?;
        let running = Running {
            position: request.call.resume,
            total: request.total,
            busy: prefill,
            cancelled: request.cancelled,
            sink,
        };
        Some((running, prefill))
    }

    /// Sends the next token of each sequence.
    fn emit(&self, time: Duration) {
        let mut state = self.state();
        let sequences = u32::try_from(state.running.len()).unwrap_or(u32::MAX);
        let share = time / sequences.max(1);
        state.running.retain_mut(|running| running.step(share));
        self.publish_load(&state);
    }

    fn publish_load(&self, state: &State) {
        self.load.set(Load {
            running: state.running.len(),
            queued: state.waiting.len(),
            limit: self.limit,
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueueEntry {
    /// Removes the request from the queue; `false` if it is no longer there.
    pub(super) fn remove(&self) -> bool {
        let mut state = self.batch.state();
        let before = state.waiting.len();
        state
            .waiting
            .retain(|waiting| waiting.rank.1 != Reverse(self.arrival));
        self.batch.publish_load(&state);
        state.waiting.len() < before
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.remove();
    }
}

impl Running {
    fn is_abandoned(&self) -> bool {
        self.sink.is_closed() || self.cancelled.is_cancelled()
    }

    /// Sends the next token; `false` if the sequence has ended.
    fn step(&mut self, share: Duration) -> bool {
        if self.is_abandoned() {
            return false;
        }
        self.busy += share;
        if self.position < self.total {
            let token = Progress::Token(self.position);
            self.position += 1;
            if self.sink.send(token).is_err() {
                return false;
            }
        }
        if self.position < self.total {
            return true;
        }
        let busy_us = micros(self.busy);
        // The send fails only if the client has disconnected.
        let _ = self.sink.send(Progress::Done { busy_us });
        false
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank.cmp(&other.rank)
    }
}
