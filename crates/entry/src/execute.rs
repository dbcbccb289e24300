//! Runs an accepted request through the stages of its pipeline.

use crate::answer::End;
use crate::claim as claims;
use crate::core::{Core, Platform};
use crate::fields;
use crate::job::Job;
use crate::kept;
use crate::service::models::Availability;
use crate::service::{Overload, Turn};
use crate::stage::Run;
use bytes::{Bytes, BytesMut};
use protocol::claim::{self, Verdict};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// When to come back while the table service is away.
const STORE_AWAY: Duration = Duration::from_secs(1);

/// When to come back while a service has no target.
const NO_TARGET: Duration = Duration::from_secs(1);

/// When to come back for a model that no engine has loaded.
const NO_MODEL: Duration = Duration::from_secs(2);

/// Runs a job to its end and leaves the end in its answer.
pub async fn run<P: Platform>(core: &Arc<Core<P>>, job: &Job) {
    match &job.key {
        Some(key) if !job.repeatable() => run_once(core, job, key).await,
        _ => {
            run_stages(core, job).await;
        }
    }
}

/// Runs a job whose key nobody else has run, and keeps its answer where every entry finds it.
async fn run_once<P: Platform>(core: &Arc<Core<P>>, job: &Job, key: &str) {
    let digest = kept::digest(job);
    let settled = core.claims.claim(&job.workspace, key, job.id, digest).await;
    let refusal = match settled.verdict {
        Verdict::Granted => {
            let end = run_stages(core, job).await;
            return close(core, job, settled, &end).await;
        }
        Verdict::Running(request) | Verdict::Answered(request) => End::Elsewhere { request },
        Verdict::Mismatch => End::Mismatch,
        Verdict::Unavailable => End::NotRun {
            detail: "the table service is away".to_owned(),
            retry_after: STORE_AWAY,
        },
    };
    finish(core, job, refusal);
    if !settled.is_settled() {
        core.claims.close(settled, claim::Event::Retry).await;
    }
}

/// A claim of a request that may have run stays: no entry runs it again.
async fn close<P: Platform>(core: &Arc<Core<P>>, job: &Job, settled: claims::Settled, end: &End) {
    let event = match end {
        End::NotRun { .. } => claim::Event::NotRun,
        End::Whole { .. } | End::Failed { .. } => {
            kept::store(core, job, end).await;
            claim::Event::Answered
        }
        _ => return,
    };
    core.claims.close(settled, event).await;
}

async fn run_stages<P: Platform>(core: &Arc<Core<P>>, job: &Job) -> End {
    let end = match stages(core, job).await {
        Ok(()) => End::Whole {
            late: Instant::now() > job.deadline,
        },
        Err(end) => end,
    };
    finish(core, job, end.clone());
    end
}

fn finish<P: Platform>(core: &Core<P>, job: &Job, end: End) {
    core.telemetry.ended(job, &end);
    job.answer.finish(end);
}

async fn stages<P: Platform>(core: &Arc<Core<P>>, job: &Job) -> Result<(), End> {
    let mut turn = Some(admit(core, job).await?);
    job.answer.admit();
    let last = job.pipeline.stages.len().saturating_sub(1);
    let mut input = job.input.clone();
    let mut elapsed = Vec::with_capacity(job.pipeline.stages.len());
    for position in 0..=last {
        let streamed = position == last && job.answer.is_streamed();
        let run = Run::new(core, job, position, input, streamed);
        let output = run.finish(turn.take()).await?;
        elapsed.push(output.elapsed);
        input = if position == last {
            output.content
        } else {
            fields::overlay(&job.input, output.content)
        };
    }
    if !job.answer.is_streamed() {
        job.answer.push(input);
    }
    core.budgets.finished(&job.pipeline, &elapsed);
    Ok(())
}

/// Takes the request on or refuses it at once, before any stage has run.
///
/// The later stages' services are asked first: a request is not refused there any more, and what
/// its first stages cost would be wasted if it then waited far beyond its deadline.
async fn admit<P: Platform>(core: &Arc<Core<P>>, job: &Job) -> Result<Turn, End> {
    if let Some(stage) = job
        .pipeline
        .stages
        .iter()
        .find(|stage| !core.services.get(&stage.service).is_served())
    {
        return Err(End::NotRun {
            detail: format!("service {} has no target", stage.service),
            retry_after: NO_TARGET,
        });
    }
    let set = core.config.current();
    for stage in &job.pipeline.stages {
        let service = core.services.get(&stage.service);
        let Some(model) = &stage.model else {
            continue;
        };
        if service.availability(model, &set) == Availability::Absent {
            service.missed(model);
            return Err(End::NotRun {
                detail: format!("model {model} is not loaded"),
                retry_after: NO_MODEL,
            });
        }
    }
    for position in 1..job.pipeline.stages.len() {
        let slot = core.slot(job, position);
        let demand = core.demand(job, position, &slot, &[]);
        let service = core.services.get(&job.pipeline.stages[position].service);
        if let Some(overload) = service.overload(&demand) {
            return Err(refused(overload));
        }
    }
    let slot = core.slot(job, 0);
    let demand = core.demand(job, 0, &slot, &[]);
    let service = core.services.get(&job.pipeline.stages[0].service);
    service.offer(&demand).await.map_err(refused)
}

fn refused(overload: Overload) -> End {
    End::NotRun {
        detail: "overload".to_owned(),
        retry_after: overload.retry_after,
    }
}

/// Joins the chunks of a streamed answer into one JSON array, for callers that want no stream.
#[must_use]
pub fn join(chunks: &[Bytes]) -> Bytes {
    let mut joined = BytesMut::from(&b"["[..]);
    for (index, chunk) in chunks.iter().enumerate() {
        if index > 0 {
            joined.extend_from_slice(b",");
        }
        joined.extend_from_slice(chunk);
    }
    joined.extend_from_slice(b"]");
    joined.freeze()
}
