//! One accepted request and the table of those an entry keeps.

use crate::answer::Answer;
use bytes::Bytes;
use foldhash::fast::RandomState;
use protocol::RequestId;
use record::{Pipeline, Set};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How long an ended request's answer is kept for callers that come back for it.
pub const KEEP: Duration = Duration::from_secs(600);
/// Bytes of ended answers that are kept at most.
pub const KEEP_BYTES: usize = 32 << 20;
/// Locks that the table of requests is spread over.
const SHARDS: usize = 16;

/// One accepted request.
#[derive(Debug)]
pub struct Job {
    /// Identity told to the caller.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: String,
    /// Class within the workspace.
    pub class: String,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Version of the pipeline that the request runs to its end.
    pub pipeline: Arc<Pipeline>,
    /// Records that the request began with.
    pub set: Arc<Set>,
    /// When the request was accepted.
    pub accepted: Instant,
    /// When the answer is due.
    pub deadline: Instant,
    /// Whether the caller wants the last stage's answer as a stream.
    pub stream: bool,
    /// JSON input of the first stage.
    pub input: Bytes,
    /// What the caller gets.
    pub answer: Answer,
}

impl Job {
    /// Time left until the deadline; zero once it has passed.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether the answer comes in chunks that are JSON values of their own.
    #[must_use]
    pub fn streams(&self) -> bool {
        self.stream
            && self
                .pipeline
                .stages
                .last()
                .is_some_and(|stage| stage.stream)
    }

    /// Whether every stage may run more than once.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        self.pipeline.stages.iter().all(|stage| stage.repeatable)
    }
}

/// The requests that an entry runs or keeps the answers of.
#[derive(Debug)]
pub struct Jobs {
    shards: Vec<Mutex<HashMap<RequestId, Arc<Job>, RandomState>>>,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    order: std::collections::VecDeque<(Instant, RequestId, usize)>,
    bytes: usize,
}

impl Default for Jobs {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            kept: Mutex::default(),
        }
    }
}

impl Jobs {
    /// Takes a request into the table.
    pub fn insert(&self, job: Arc<Job>) {
        self.shard(job.id).insert(job.id, job);
    }

    /// Finds a request that runs or whose answer is kept.
    pub fn get(&self, id: RequestId) -> Option<Arc<Job>> {
        self.shard(id).get(&id).cloned()
    }

    /// Keeps an ended request for a while and forgets the oldest beyond the bounds.
    pub fn keep(&self, job: &Job) {
        let now = Instant::now();
        let bytes = job.answer.bytes() + job.input.len();
        let mut forgotten = Vec::new();
        {
            let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
            kept.bytes += bytes;
            kept.order.push_back((now, job.id, bytes));
            while let Some((since, id, bytes)) = kept.order.front().copied() {
                if kept.bytes <= KEEP_BYTES && now - since <= KEEP {
                    break;
                }
                kept.order.pop_front();
                kept.bytes -= bytes;
                forgotten.push(id);
            }
        }
        for id in forgotten {
            self.shard(id).remove(&id);
        }
    }

    fn shard(
        &self,
        id: RequestId,
    ) -> std::sync::MutexGuard<'_, HashMap<RequestId, Arc<Job>, RandomState>> {
        let index = usize::try_from(id % SHARDS as u128).unwrap_or(0);
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
