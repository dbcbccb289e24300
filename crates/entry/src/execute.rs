//! Runs accepted requests through the stages of their pipelines.

use crate::answer::RequestOutcome;
use crate::claim as claims;
use crate::core::{Core, Platform};
use crate::fields;
use crate::job::Job;
use crate::journal::InsertOutcome;
use crate::service::models::ModelAvailability;
use crate::service::{Overload, Permit};
use crate::stage::StageRun;
use crate::stored_answer;
use crate::wait::{GivenUp, Waiter};
use bytes::{Bytes, BytesMut};
use protocol::claim::{self, Decision};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// `retry_after` while the table service is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `retry_after` while a service has no target.
const TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `retry_after` for a model that no engine has loaded.
const MODEL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Runs a job to its end and stores the outcome in its answer.
pub async fn run<P: Platform>(core: &Arc<Core<P>>, job: &Job) {
    match &job.key {
        Some(key) if !job.repeatable() => run_once(core, job, key).await,
        _ if job.pipeline.durable => run_durable(core, job).await,
        _ => {
            run_stages(core, job).await;
        }
    }
}

/// Runs a job that survives the failure of this entry. The job is admitted before it is written to
/// the journal: once it is there, a refusal would be false if this entry then stopped and another
/// one ran the job.
async fn run_durable<P: Platform>(core: &Arc<Core<P>>, job: &Job) {
    let permit = match admit(core, job).await {
        Ok(permit) => permit,
        Err(outcome) => return finish(core, job, outcome),
    };
    match core.journal.insert(job, &core.incarnation).await {
        InsertOutcome::Written => {}
        InsertOutcome::Refused => {
            let outcome = RequestOutcome::NotRun {
                detail: "the table service is away".to_owned(),
                retry_after: STORE_RETRY_AFTER,
            };
            return finish(core, job, outcome);
        }
        InsertOutcome::Unknown => {
            let detail = "the journal does not say whether it has the request".to_owned();
            return finish(core, job, RequestOutcome::Unknown { detail });
        }
    }
    finish_journalled(core, job, Some(permit)).await;
}

/// Runs a job that is already in the journal because the entry that ran it stopped or crashed.
pub async fn run_journalled<P: Platform>(core: &Arc<Core<P>>, job: &Job) {
    finish_journalled(core, job, None).await;
}

/// Runs a journalled job, stores its answer where every entry can read it, and removes it from the
/// journal.
async fn finish_journalled<P: Platform>(core: &Arc<Core<P>>, job: &Job, permit: Option<Permit>) {
    let outcome = job_outcome(job, run_from(core, job, permit).await);
    if let RequestOutcome::NotRun { .. } = outcome {
        // *Not run* is true only once no other entry can find the request in the journal.
        let removed = core.journal.remove(job.id).await;
        let detail = "it may be run by another entry".to_owned();
        return finish(
            core,
            job,
            if removed {
                outcome
            } else {
                RequestOutcome::Unknown { detail }
            },
        );
    }
    finish(core, job, outcome.clone());
    if core.journal.is_running(job.id) {
        stored_answer::store(core, job, &outcome).await;
        core.journal.remove(job.id).await;
    }
}

/// Runs a job if no other request has claimed its idempotency key, and stores its answer where
/// every entry can read it.
async fn run_once<P: Platform>(core: &Arc<Core<P>>, job: &Job, key: &str) {
    let digest = stored_answer::digest(job);
    let settled = core.claims.claim(&job.workspace, key, job.id, digest).await;
    let refusal = match settled.decision {
        Decision::Granted => {
            let outcome = run_stages(core, job).await;
            return close_claim(core, job, settled, &outcome).await;
        }
        Decision::Running(request) | Decision::Answered(request) => {
            RequestOutcome::Elsewhere { request }
        }
        Decision::Mismatch => RequestOutcome::Mismatch,
        Decision::Unavailable => RequestOutcome::NotRun {
            detail: "the table service is away".to_owned(),
            retry_after: STORE_RETRY_AFTER,
        },
    };
    finish(core, job, refusal);
    if !settled.is_settled() {
        core.claims.close(settled, claim::Event::Retry).await;
    }
}

/// Closes the claim of an ended request. The claim of a request that may have run is kept, so that
/// no entry runs it again.
async fn close_claim<P: Platform>(
    core: &Arc<Core<P>>,
    job: &Job,
    settled: claims::SettledClaim,
    outcome: &RequestOutcome,
) {
    let event = match outcome {
        RequestOutcome::NotRun { .. } => claim::Event::NotRun,
        RequestOutcome::Complete { .. } | RequestOutcome::Failed { .. } => {
            stored_answer::store(core, job, outcome).await;
            claim::Event::Answered
        }
        _ => return,
    };
    core.claims.close(settled, event).await;
}

async fn run_stages<P: Platform>(core: &Arc<Core<P>>, job: &Job) -> RequestOutcome {
    let result = match admit(core, job).await {
        Ok(permit) => run_from(core, job, Some(permit)).await,
        Err(outcome) => Err(outcome),
    };
    let outcome = job_outcome(job, result);
    finish(core, job, outcome.clone());
    outcome
}

/// Returns the outcome of a job for its caller.
fn job_outcome(job: &Job, result: Result<(), RequestOutcome>) -> RequestOutcome {
    match result {
        Ok(()) => RequestOutcome::Complete {
            late: Instant::now() > job.deadline,
        },
        Err(outcome) => outcome,
    }
}

fn finish<P: Platform>(core: &Core<P>, job: &Job, outcome: RequestOutcome) {
    core.telemetry.record_request(job, &outcome);
    job.answer.finish(outcome);
}

/// Runs all stages of an admitted job; `permit` is for the first one.
async fn run_from<P: Platform>(
    core: &Arc<Core<P>>,
    job: &Job,
    mut permit: Option<Permit>,
) -> Result<(), RequestOutcome> {
    job.answer.admit();
    let last = job.pipeline.stages.len().saturating_sub(1);
    let mut input = job.input.clone();
    let mut elapsed = Vec::with_capacity(job.pipeline.stages.len());
    for position in 0..=last {
        let streamed = position == last && job.answer.is_streamed();
        let run = StageRun::new(core, job, position, input, streamed);
        let output = run.finish(permit.take()).await?;
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
    core.budgets.record_durations(&job.pipeline, &elapsed);
    Ok(())
}

/// Admits or refuses a request before any stage has run.
///
/// The services of the later stages are checked first: a request is no longer refused there, and
/// the work of its first stages would be wasted if it then waited far beyond its deadline.
async fn admit<P: Platform>(core: &Arc<Core<P>>, job: &Job) -> Result<Permit, RequestOutcome> {
    let set = core.config.current();
    let mut stages = job.pipeline.stages.iter();
    if let Some(stage) = stages.find(|stage| !core.services.get(&stage.service).is_served(&set)) {
        return Err(RequestOutcome::NotRun {
            detail: format!("service {} has no target", stage.service),
            retry_after: TARGET_RETRY_AFTER,
        });
    }
    for stage in &job.pipeline.stages {
        let service = core.services.get(&stage.service);
        let Some(model) = &stage.model else {
            continue;
        };
        if service.model_availability(model, &set) == ModelAvailability::Absent {
            service.record_miss(model);
            return Err(RequestOutcome::NotRun {
                detail: format!("model {model} is not loaded"),
                retry_after: MODEL_RETRY_AFTER,
            });
        }
    }
    for position in 1..job.pipeline.stages.len() {
        let schedule = core.schedule(job, position);
        let demand = core.demand(job, position, &schedule, &[]);
        let service = core.services.get(&job.pipeline.stages[position].service);
        if let Some(overload) = service.overload(&demand) {
            return Err(overload_outcome(overload));
        }
    }
    let schedule = core.schedule(job, 0);
    let demand = core.demand(job, 0, &schedule, &[]);
    let service = core.services.get(&job.pipeline.stages[0].service);
    let mut waiter = Waiter::new(core, job, 0, job.may_have_run());
    match waiter.until(service.admit(&demand)).await {
        Ok(offered) => offered.map_err(overload_outcome),
        Err(GivenUp) => Err(RequestOutcome::NotRun {
            detail: format!(
                "service {} has lost its targets",
                job.pipeline.stages[0].service
            ),
            retry_after: TARGET_RETRY_AFTER,
        }),
    }
}

fn overload_outcome(overload: Overload) -> RequestOutcome {
    RequestOutcome::NotRun {
        detail: "overload".to_owned(),
        retry_after: overload.retry_after,
    }
}

/// Joins the chunks of a streamed answer into one JSON array for callers that do not request a
/// stream.
#[must_use]
pub fn join_chunks(chunks: &[Bytes]) -> Bytes {
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
