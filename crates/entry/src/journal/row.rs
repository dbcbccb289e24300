//! The row of a journalled request.

use crate::answer::Answer;
use crate::caller::format_id;
use crate::job::Job;
use bytes::Bytes;
use protocol::{Attempt, RequestId};
use record::{Set, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Numbers of attempts that each entry which runs a request has to itself; a stage is given up long
/// before it has had so many.
const ATTEMPTS_PER_ENTRY: Attempt = 1 << 10;

/// All that another entry needs to run the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Life of the entry that runs the request.
    pub owner: String,
    /// Number of times that the row was rewritten.
    pub beat: u64,
    /// Number of entries that ran the request before.
    pub takeovers: u16,
    /// Pipeline.
    pub pipeline: String,
    /// Its version.
    pub version: Version,
    /// Workspace of the caller.
    pub workspace: String,
    /// Class within the workspace.
    pub class: String,
    /// JSON input of the first stage.
    pub input: String,
    /// Whether the caller wants a stream.
    pub streamed: bool,
    /// When the answer is due, in milliseconds since 1970 by the clock of the entry that accepted
    /// it; it only decides what counts as late.
    pub due_ms: u64,
}

/// Key of a request's row.
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
    /// The row of a job that this owner runs.
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

    /// The row of the same request at another owner.
    #[must_use]
    pub fn taken_over(self, owner: &str) -> Self {
        Self {
            owner: owner.to_owned(),
            beat: self.beat + 1,
            takeovers: self.takeovers.saturating_add(1),
            ..self
        }
    }

    /// The job that the row describes, if its pipeline is still in force.
    #[must_use]
    pub fn job(&self, request: RequestId, set: &Arc<Set>) -> Option<Job> {
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
