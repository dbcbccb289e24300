//! The row of a journalled request.

use crate::answer::Answer;
use crate::caller::format_id;
use crate::job::Job;
use bytes::Bytes;
use protocol::{Attempt, RequestId};
use record::{RecordSet, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Size of the range of attempt numbers that each entry uses for a request; a stage is given up
/// long before it has made as many attempts.
const ATTEMPTS_PER_ENTRY: Attempt = 1 << 10;

/// All data that another entry needs to run the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Incarnation of the entry that runs the request.
    pub owner: String,
    /// Number of times that the row was rewritten.
    pub beat: u64,
    /// Number of entries that ran the request before.
    pub takeovers: u16,
    /// Name of the pipeline.
    pub pipeline: String,
    /// Version of the pipeline.
    pub version: Version,
    /// Workspace of the caller.
    pub workspace: String,
    /// Class within the workspace.
    pub class: String,
    /// JSON input of the first stage.
    pub input: String,
    /// Whether the caller wants a stream.
    pub streamed: bool,
    /// Due time of the answer in milliseconds since the Unix epoch, by the clock of the entry that
    /// accepted the request; it only decides whether the answer counts as late.
    pub due_ms: u64,
}

/// Returns the key of a request's row.
#[must_use]
pub fn key(request: RequestId) -> String {
    format_id(request)
}

fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

impl JournalEntry {
    /// Creates the row of a job that `owner` runs.
    #[must_use]
    pub fn new(job: &Job, owner: &str) -> Self {
        let remaining = u64::try_from(job.remaining().as_millis()).unwrap_or(u64::MAX);
        Self {
            owner: owner.to_owned(),
            beat: 0,
            takeovers: 0,
            pipeline: job.pipeline.name.clone(),
            version: job.pipeline.version,
            workspace: job.workspace.clone(),
            class: job.class.clone(),
            input: String::from_utf8_lossy(&job.input).into_owned(),
            streamed: job.answer.is_streamed(),
            due_ms: unix_time_ms().saturating_add(remaining),
        }
    }

    /// Returns the row of the same request after another owner has taken it over.
    #[must_use]
    pub fn taken_over(self, owner: &str) -> Self {
        Self {
            owner: owner.to_owned(),
            beat: self.beat + 1,
            takeovers: self.takeovers.saturating_add(1),
            ..self
        }
    }

    /// Returns the job that the row describes, if its pipeline is still in force.
    #[must_use]
    pub fn job(&self, request: RequestId, set: &Arc<RecordSet>) -> Option<Job> {
        let pipeline = set.pipeline(&self.pipeline, self.version)?.clone();
        let remaining = Duration::from_millis(self.due_ms.saturating_sub(unix_time_ms()));
        let now = Instant::now();
        Some(Job {
            id: request,
            workspace: self.workspace.clone(),
            class: self.class.clone(),
            key: None,
            pipeline,
            set: set.clone(),
            accepted: now,
            deadline: now + remaining,
            first_attempt: self.takeovers.wrapping_mul(ATTEMPTS_PER_ENTRY),
            input: Bytes::from(self.input.clone()),
            answer: Arc::new(Answer::new(request, self.streamed)),
        })
    }
}
