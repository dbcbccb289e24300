//! Answers in the object store, where every entry can read them.

use crate::answer::RequestOutcome;
use crate::caller::format_id;
use crate::core::{Core, Platform};
use crate::job::Job;
use bytes::Bytes;
use protocol::RequestId;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::time::Duration;
use tokio::time::Instant;

/// Delay before a failed write of an answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum time for which a stopping entry retries; its callers already have their answers.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// The stored form of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Whether the answer came after its deadline.
    pub late: bool,
    /// Whether the caller requested a stream.
    pub stream: bool,
    /// Stage and HTTP status of a failure.
    pub failure: Option<(String, u16)>,
    /// Chunks of the answer, or the body of the failure.
    pub chunks: Vec<String>,
}

impl StoredAnswer {
    fn new(job: &Job, outcome: &RequestOutcome) -> Option<Self> {
        let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
        let (late, failure, chunks) = match outcome {
            RequestOutcome::Complete { late } => (*late, None, job.answer.chunks()),
            RequestOutcome::Failed {
                stage,
                status,
                body,
            } => (false, Some((stage.clone(), *status)), vec![body.clone()]),
            _ => return None,
        };
        Some(Self {
            late,
            stream: job.answer.is_streamed(),
            failure,
            chunks: chunks.iter().map(text).collect(),
        })
    }

    /// Returns the outcome of the request.
    #[must_use]
    pub fn outcome(&self) -> RequestOutcome {
        match &self.failure {
            None => RequestOutcome::Complete { late: self.late },
            Some((stage, status)) => RequestOutcome::Failed {
                stage: stage.clone(),
                status: *status,
                body: Bytes::from(self.chunks.concat()),
            },
        }
    }
}

fn object_name(request: RequestId) -> String {
    format!("answer-{}", format_id(request))
}

/// Returns a hash of the content of a request, which is the same in every process and build.
#[must_use]
pub fn digest(job: &Job) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(job.pipeline.name.as_bytes());
    hasher.update([0]);
    hasher.update(&job.input);
    let hash = hasher.finalize();
    hash.iter()
        .take(size_of::<u64>())
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

/// Stores a job's answer, retrying until it succeeds.
pub async fn store<P: Platform>(core: &Core<P>, job: &Job, outcome: &RequestOutcome) {
    let Some(stored_answer) = StoredAnswer::new(job, outcome) else {
        return;
    };
    let content = Bytes::from(serde_json::to_vec(&stored_answer).unwrap_or_default());
    let object_name = object_name(job.id);
    let since = Instant::now();
    while core
        .platform
        .put_object(&object_name, content.clone())
        .await
        .is_err()
    {
        if core.is_draining() && since.elapsed() > STOP_TIMEOUT {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reads a stored answer.
pub async fn load<P: Platform>(core: &Core<P>, request: RequestId) -> Option<StoredAnswer> {
    let content = core
        .platform
        .get_object(&object_name(request))
        .await
        .ok()??;
    serde_json::from_slice(&content).ok()
}
