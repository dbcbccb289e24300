//! Execution of one call at the runner.

use crate::answer::{self, AnswerError, RunOutcome};
use crate::core::Core;
use crate::output::AnswerBuffer;
use protocol::CallId;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use wire::{Frame, Work};

/// When an entry may retry after the agent could not connect to the runner.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time that a runner may take for a call beyond its deadline. Without it, a call that
/// hangs would occupy its slot, and keep the caller's connection open, indefinitely.
const MAX_OVERTIME: Duration = Duration::from_secs(3_600);

/// An offered call.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) call: CallId,
    pub(crate) work: Box<Work>,
    pub(crate) offered_at: Instant,
    pub(crate) output: Arc<AnswerBuffer>,
    /// Aborts the call at the runner; never cancelled for an unrepeatable call.
    pub(crate) abort: CancellationToken,
}

/// Sends a call to the runner, forwards the answer and releases the slot.
pub(crate) async fn run(core: Arc<Core>, job: Arc<Job>) {
    core.telemetry
        .observe_wait(&job.work.stage, job.offered_at.elapsed());
    let sent_at = Instant::now();
    let time_limit = job.work.remaining.min(MAX_OVERTIME) + MAX_OVERTIME;
    let outcome = tokio::select! {
        outcome = execute(&core, &job, sent_at) => outcome,
        () = job.abort.cancelled() => Err(AnswerError::Cancelled),
        () = sleep(time_limit) => Err(AnswerError::TimedOut { time_limit }),
    };
    core.telemetry
        .observe_runner_time(&job.work.stage, sent_at.elapsed());
    core.finish(&job, outcome, sent_at.elapsed()).await;
}

async fn execute(core: &Core, job: &Job, sent_at: Instant) -> Result<RunOutcome, AnswerError> {
    let (response, mut handed_over) = core.runner.run(job.call, &job.work);
    let mut response = pin!(response);
    let mut started = None;
    let response = loop {
        tokio::select! {
            biased;
            result = &mut handed_over, if started.is_none() => {
                started = Some(result.is_ok());
                if result.is_ok() {
                    report_start(core, job).await;
                }
            }
            response = &mut response => break response,
        }
    };
    match response {
        Ok(response) => answer::forward(core, job, response, sent_at).await,
        Err(_) if !started.unwrap_or_else(|| handed_over.try_recv().is_ok()) => {
            Ok(RunOutcome::NotRun {
                retry_after: UNREACHABLE_RETRY_AFTER,
            })
        }
        Err(source) => Err(AnswerError::ConnectionFailed { source }),
    }
}

async fn report_start(core: &Core, job: &Job) {
    core.telemetry.starts.inc();
    job.output.send(Frame::Start { call: job.call }).await;
}
