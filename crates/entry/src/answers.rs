//! Answers of requests that are running or have ended recently.
//!
//! Only the answer of a request is retained and not the job: it would keep every past version of
//! the configuration in memory for as long as one request that began with it.

use crate::answer::Answer;
use foldhash::fast::RandomState;
use protocol::RequestId;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How long the answer of an ended request is retained for callers that request it again.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Maximum memory for answers of ended requests, in bytes.
pub const MAX_RETAINED_BYTES: usize = 16 << 20;
/// Memory overhead of an answer in bytes: table entries, locks, counters.
const ANSWER_OVERHEAD_BYTES: usize = 768;
/// Memory overhead of a chunk in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 96;
/// Number of locks that the table is divided into.
const SHARDS: usize = 16;

type Shard = HashMap<RequestId, Arc<Answer>, RandomState>;

/// Answers of requests that are running or have ended recently.
#[derive(Debug)]
pub struct Answers {
    shards: Vec<Mutex<Shard>>,
    ended: Mutex<EndedAnswers>,
}

/// An answer that may be evicted.
#[derive(Clone, Copy, Debug)]
struct EndedAnswer {
    since: Instant,
    request: RequestId,
    bytes: usize,
}

#[derive(Debug, Default)]
struct EndedAnswers {
    order: VecDeque<EndedAnswer>,
    bytes: usize,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            ended: Mutex::default(),
        }
    }
}

impl Answers {
    /// Adds the answer of a new request.
    pub fn insert(&self, answer: Arc<Answer>) {
        self.shard(answer.request())
            .insert(answer.request(), answer);
    }

    /// Returns the answer of a request that is running or has ended recently.
    pub fn get(&self, request: RequestId) -> Option<Arc<Answer>> {
        self.shard(request).get(&request).cloned()
    }

    /// Starts the retention of an ended request's answer, and evicts the oldest answers beyond the
    /// limits.
    pub fn mark_ended(&self, answer: &Answer) {
        let bytes = ANSWER_OVERHEAD_BYTES + answer.bytes() + answer.len() * CHUNK_OVERHEAD_BYTES;
        let evicted = {
            let mut ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
            ended.bytes += bytes;
            ended.order.push_back(EndedAnswer {
                since: Instant::now(),
                request: answer.request(),
                bytes,
            });
            ended.evict()
        };
        for request in evicted {
            self.shard(request).remove(&request);
        }
    }

    fn shard(&self, request: RequestId) -> MutexGuard<'_, Shard> {
        let index = usize::try_from(request % SHARDS as u128).unwrap_or(0);
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl EndedAnswers {
    fn evict(&mut self) -> Vec<RequestId> {
        let mut evicted = Vec::new();
        while let Some(old) = self.order.front().copied() {
            if self.bytes <= MAX_RETAINED_BYTES && old.since.elapsed() <= RETENTION {
                break;
            }
            self.order.pop_front();
            self.bytes -= old.bytes;
            evicted.push(old.request);
        }
        evicted
    }
}
