//! Runs an accepted request through the stages of its pipeline.

use crate::answer::End;
use crate::claim as claims;
use crate::core::{Core, Platform};
use crate::fields;
use crate::job::Job;
use crate::journal::Begun;
use crate::kept;
use crate::service::models::Availability;
use crate::service::{Overload, Turn};
use crate::stage::Run;
use crate::wait::{GivenUp, Waiter};
use bytes::{Bytes, BytesMut};
use protocol::claim::{self, Decision};
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
        _ if job.pipeline.durable => run_durable(core, job).await,
        _ => {
            run_stages(core, job).await;
        }
    }
}

/// Runs a job that outlives this entry: admitted first, since a refusal after it is in the journal
/// would not be true if this entry then stopped.
async fn run_durable<P: Platform>(core: &Arc<Core<P>>, job: &Job) {
    let turn = match admit(core, job).await {
        Ok(turn) => turn,
        Err(end) => return finish(core, job, end),
    };
    match core.journal.begin(job, &core.life).await {
        Begun::Written => {}
        Begun::Refused => {
            let end = End::NotRun {
                detail: "the table service is away".to_owned(),
                retry_after: STORE_AWAY,
            };
            return finish(core, job, end);
        }
        Begun::Unknown => {
            let detail = "the journal does not say whether it has the request".to_owned();
            return finish(core, job, End::Unknown { detail });
        }
    }
    end_journalled(core, job, Some(turn)).await;
}

/// Runs a job that is in the journal already, after its entry has gone.
pub async fn run_journalled<P: Platform>(core: &Arc<Core<P>>, job: &Job) {
    end_journalled(core, job, None).await;
}

/// Runs a journalled job, keeps its answer where every entry finds it, and takes it out of the
/// journal.
async fn end_journalled<P: Platform>(core: &Arc<Core<P>>, job: &Job, turn: Option<Turn>) {
    let end = end(job, run_from(core, job, turn).await);
    if let End::NotRun { .. } = end {
        // *Not run* is true only once no other entry can find the request.
        let out = core.journal.end(job.id).await;
        let detail = "it may be run by another entry".to_owned();
        return finish(core, job, if out { end } else { End::Unknown { detail } });
    }
    finish(core, job, end.clone());
    if core.journal.holds(job.id) {
        kept::store(core, job, &end).await;
        core.journal.end(job.id).await;
    }
}

/// Runs a job whose key nobody else has run, and keeps its answer where every entry finds it.
async fn run_once<P: Platform>(core: &Arc<Core<P>>, job: &Job, key: &str) {
    let digest = kept::digest(job);
    let settled = core.claims.claim(&job.workspace, key, job.id, digest).await;
    let refusal = match settled.decision {
        Decision::Granted => {
            let end = run_stages(core, job).await;
            return close(core, job, settled, &end).await;
        }
        Decision::Running(request) | Decision::Answered(request) => End::Elsewhere { request },
        Decision::Mismatch => End::Mismatch,
        Decision::Unavailable => End::NotRun {
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
    let result = match admit(core, job).await {
        Ok(turn) => run_from(core, job, Some(turn)).await,
        Err(end) => Err(end),
    };
    let end = end(job, result);
    finish(core, job, end.clone());
    end
}

/// How a job ended, for its caller.
fn end(job: &Job, result: Result<(), End>) -> End {
    match result {
        Ok(()) => End::Whole {
            late: Instant::now() > job.deadline,
        },
        Err(end) => end,
    }
}

fn finish<P: Platform>(core: &Core<P>, job: &Job, end: End) {
    core.telemetry.ended(job, &end);
    job.answer.finish(end);
}

/// Runs all stages of an admitted job, the first one in its turn.
async fn run_from<P: Platform>(
    core: &Arc<Core<P>>,
    job: &Job,
    mut turn: Option<Turn>,
) -> Result<(), End> {
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
    let set = core.config.current();
    let mut stages = job.pipeline.stages.iter();
    if let Some(stage) = stages.find(|stage| !core.services.get(&stage.service).is_served(&set)) {
        return Err(End::NotRun {
            detail: format!("service {} has no target", stage.service),
            retry_after: NO_TARGET,
        });
    }
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
        let schedule = core.schedule(job, position);
        let demand = core.demand(job, position, &schedule, &[]);
        let service = core.services.get(&job.pipeline.stages[position].service);
        if let Some(overload) = service.overload(&demand) {
            return Err(refused(overload));
        }
    }
    let schedule = core.schedule(job, 0);
    let demand = core.demand(job, 0, &schedule, &[]);
    let service = core.services.get(&job.pipeline.stages[0].service);
    let mut waiter = Waiter::new(core, job, 0, job.may_have_run());
    match waiter.until(service.offer(&demand)).await {
        Ok(offered) => offered.map_err(refused),
        Err(GivenUp) => Err(End::NotRun {
            detail: format!(
                "service {} has lost its targets",
                job.pipeline.stages[0].service
            ),
            retry_after: NO_TARGET,
        }),
    }
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
