//! One call while the agent has its work.

use crate::answer::{self, End, Fault};
use crate::core::Core;
use crate::output::Output;
use protocol::CallId;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use wire::{Frame, Work};

/// When an entry may come back to a runner that could not be connected.
const UNREACHABLE: Duration = Duration::from_secs(1);

/// Longest time that a runner may take for a call beyond its deadline. One that hangs would otherwise
/// hold its slot, and the caller its connection, for ever.
const OVERTIME: Duration = Duration::from_secs(3_600);

/// A call with its work.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) call: CallId,
    pub(crate) work: Box<Work>,
    pub(crate) offered: Instant,
    pub(crate) output: Arc<Output>,
    /// Cuts the call off at the runner; never set for a call that may not be repeated.
    pub(crate) cut: CancellationToken,
}

/// Sends a call's work to the runner, passes the answer on and gives the slot back.
pub(crate) async fn run(core: Arc<Core>, job: Arc<Job>) {
    core.telemetry
        .waited(&job.work.stage, job.offered.elapsed());
    let sent = Instant::now();
    let bound = job.work.remaining.min(OVERTIME) + OVERTIME;
    let end = tokio::select! {
        end = drive(&core, &job, sent) => end,
        () = job.cut.cancelled() => Err(Fault::Cancelled),
        () = sleep(bound) => Err(Fault::Endless { bound }),
    };
    core.telemetry.busy(&job.work.stage, sent.elapsed());
    core.finish(&job, end, sent.elapsed()).await;
}

async fn drive(core: &Core, job: &Job, sent: Instant) -> Result<End, Fault> {
    let (response, mut taken) = core.runner.run(job.call, &job.work);
    let mut response = pin!(response);
    let mut started = None;
    let response = loop {
        tokio::select! {
            biased;
            told = &mut taken, if started.is_none() => {
                started = Some(told.is_ok());
                if told.is_ok() {
                    start(core, job).await;
                }
            }
            response = &mut response => break response,
        }
    };
    match response {
        Ok(response) => answer::read(core, job, response, sent).await,
        Err(_) if !started.unwrap_or_else(|| taken.try_recv().is_ok()) => Ok(End::NotRun {
            retry_after: UNREACHABLE,
        }),
        Err(source) => Err(Fault::Broken { source }),
    }
}

async fn start(core: &Core, job: &Job) {
    core.telemetry.starts.inc();
    job.output.send(Frame::Start { call: job.call }).await;
}
