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
    /// Id of the request, which is returned to the caller.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: String,
    /// Class within the workspace.
    pub class: String,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Pipeline version that the request uses until its end.
    pub pipeline: Arc<Pipeline>,
    /// Configuration that was in force when the request was accepted.
    pub set: Arc<RecordSet>,
    /// When the request was accepted.
    pub accepted: Instant,
    /// When the answer is due.
    pub deadline: Instant,
    /// Number of the first attempt of each stage.
    pub first_attempt: Attempt,
    /// JSON input of the first stage.
    pub input: Bytes,
    /// Answer to the caller; it outlives the job.
    pub answer: Arc<Answer>,
}

impl Job {
    /// Returns the time until the deadline, or zero once it has passed.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether a previous entry may have run part of the request; it then never ends as *not run*.
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
