//! One accepted request.

use crate::answer::Answer;
use bytes::Bytes;
use protocol::{Attempt, RequestId};
use record::{Pipeline, RecordSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

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
    pub set: Arc<RecordSet>,
    /// When the request was accepted.
    pub accepted: Instant,
    /// When the answer is due.
    pub deadline: Instant,
    /// Number of the first attempt of each stage.
    pub first_attempt: Attempt,
    /// JSON input of the first stage.
    pub input: Bytes,
    /// What the caller gets; it outlives the job.
    pub answer: Arc<Answer>,
}

impl Job {
    /// Time left until the deadline; zero once it has passed.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether an entry before this one may have run some of it, so that it is never told as *not
    /// run*.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.first_attempt > 0
    }

    /// Whether every stage may run more than once.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        self.pipeline.stages.iter().all(|stage| stage.repeatable)
    }
}
