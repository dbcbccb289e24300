//! One request from its arrival to its answer.

use crate::attempt;
use crate::batch::StageError;
use crate::configuration::{Configuration, Kind, Rank, Route, ServiceId, Workspace};
use crate::core::Relay;
use crate::downstream::Downstream;
use crate::graph::{self, Inputs, StageRun};
use crate::quarantine;
use crate::request::{self, Answer, ContentId, Refusal, Request};
use crate::telemetry::millis;
use setting::Policy;
use slog::info;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time after which a request may come back that failed for a reason which passes soon.
const RETRY_AFTER_TRANSIENT: Duration = Duration::from_millis(200);
/// Part of the time that its caller has left after which a request may come back that was refused for
/// want of capacity. Bursts last for seconds, and one that comes back sooner is refused once more;
/// two thirds of the time are enough to be served.
pub(crate) const RETRY_TIME_DIVISOR: u32 = 3;

/// A request with all that was decided for it on arrival.
#[derive(Clone, Debug)]
pub struct Job<D> {
    /// Who runs it.
    pub relay: Arc<Relay<D>>,
    /// The request.
    pub request: Arc<Request>,
    /// The configuration that was in force when it arrived.
    pub configuration: Arc<Configuration>,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: ServiceId,
    /// Its workspace.
    pub workspace: Option<Arc<Workspace>>,
    /// What it asks for.
    pub content: ContentId,
    /// Its urgency.
    pub rank: Rank,
    /// Whether its caller seems to have tried before.
    pub is_retry: bool,
    /// By when its answer, or its first event, is on time.
    pub due: Instant,
    /// When it is given up.
    pub deadline: Instant,
    /// Time that the steady clock had not counted when it arrived.
    pub suspended: Duration,
}

impl<D: Downstream> Relay<D> {
    /// Serves a request. Dropping the future gives it up.
    pub async fn serve(self: &Arc<Self>, request: Request) -> Answer {
        let request = Arc::new(request);
        self.catch_up().await;
        match self.create_job(&request) {
            Err(refusal) => self.refuse(&request, None, &refusal),
            Ok(job) => {
                let answer = self.run(&job).await;
                answer.unwrap_or_else(|refusal| self.refuse(&request, Some(&job), &refusal))
            }
        }
    }

    /// Looks up what the configuration says of a request.
    fn create_job(self: &Arc<Self>, request: &Arc<Request>) -> Result<Job<D>, Refusal> {
        if !self.is_ready() || self.ending.is_cancelled() {
            return Err(Refusal::NotReady);
        }
        let configuration = self.configuration().ok_or(Refusal::NotReady)?;
        let path = request.message.target.path();
        let route = configuration
            .route(&request.host, path)
            .ok_or(Refusal::NoRoute)?;
        let workspace = match &request.key {
            _ if route.public => None,
            None => return Err(Refusal::NoKey),
            Some(key) => Some(configuration.workspace(key).ok_or(Refusal::NoKey)?.clone()),
        };
        let draw = foldhash::fast::FixedState::default().hash_one(&*request.id);
        let service = route.service(draw).ok_or(Refusal::NoRoute)?.clone();
        let patience = request.timeout.unwrap_or(route.timeout);
        let before = self.waited_before(&route.name, patience);
        let patience = patience.min(route.timeout);
        Ok(Job {
            relay: self.clone(),
            request: request.clone(),
            route: route.clone(),
            service,
            content: request.content(workspace.as_deref().map(|workspace| &*workspace.name)),
            rank: configuration.rank(workspace.as_deref(), route),
            workspace,
            is_retry: before > Duration::ZERO,
            due: (request.arrived + route.target)
                .checked_sub(before)
                .unwrap_or(request.arrived),
            deadline: request.arrived + patience,
            suspended: self.pause.suspended(),
            configuration,
        })
    }

    async fn run(self: &Arc<Self>, job: &Job<D>) -> Result<Answer, Refusal> {
        quarantine::admit(job)?;
        admit(job)?;
        let inputs = self.run_stages(job).await?;
        let answer = attempt::run(job, inputs).await?;
        let elapsed = job.request.arrived.elapsed();
        info!(self.log, "answered"; "request" => &*job.request.id, "route" => &job.route.name,
            "status" => answer.status, "after_ms" => millis(elapsed),
            "configuration" => job.configuration.version);
        self.count(job, answer.status);
        Ok(answer)
    }

    async fn run_stages(&self, job: &Job<D>) -> Result<Inputs<D>, Refusal> {
        let making = timeout_at(job.deadline, graph::run(job, StageRun::First));
        let made = tokio::select! {
            made = making => made,
            // Cut off with the process, the caller would not know that it has not run.
            () = self.ending.cancelled() => Ok(Err(StageError::Ending)),
        };
        match made {
            Ok(Ok(inputs)) => Ok(inputs),
            Ok(Err(spoiled)) => Err(stage_refusal(job, &spoiled)),
            Err(_) => Err(stage_refusal(job, &StageError::Late)),
        }
    }

    fn count(&self, job: &Job<D>, status: u16) {
        let workspace = job
            .workspace
            .as_ref()
            .map_or("", |workspace| &*workspace.name);
        let elapsed = job.request.arrived.elapsed();
        self.telemetry
            .answered(workspace, &job.route.name, status, elapsed);
    }

    fn refuse(&self, request: &Request, job: Option<&Job<D>>, refusal: &Refusal) -> Answer {
        let answer = Answer::from_refusal(refusal);
        let version = job
            .map(|job| job.configuration.version)
            .or_else(|| Some(self.configuration()?.version));
        info!(self.log, "refused"; "request" => &*request.id,
            "route" => job.map(|job| job.route.name.clone()),
            "status" => answer.status, "reason" => %refusal,
            "retry_after_ms" => answer.retry_after.map(millis),
            "after_ms" => millis(request.arrived.elapsed()), "configuration" => version);
        if let Some(job) = job {
            self.count(job, answer.status);
        }
        answer
    }
}

/// Refuses a request that cannot be served in time before anything is spent on it.
fn admit<D: Downstream>(job: &Job<D>) -> Result<(), Refusal> {
    let expected = job.expected();
    let left = job.remaining();
    let admitted = expected <= left || job.relay.options.policy.admission == Policy::Naive;
    let on_time = job.due.saturating_duration_since(Instant::now());
    info!(job.relay.log, "admission"; "request" => &*job.request.id,
        "content" => content_name(job.content),
        "workspace" => job.workspace.as_ref().map(|workspace| workspace.name.to_string()),
        "rank" => job.rank, "comes_back" => job.is_retry, "expected_ms" => millis(expected),
        "left_ms" => millis(left),
        "on_time_ms" => millis(on_time), "configuration" => job.configuration.version,
        "runners_age_ms" => job.relay.runner_list_age().map(millis), "admitted" => admitted);
    if admitted {
        return Ok(());
    }
    Err(Refusal::Overloaded {
        reason: "the stages cannot be done in time",
        retry_after: retry_after_overload(job),
    })
}

/// A content as logs name it.
pub(crate) fn content_name(content: ContentId) -> String {
    format!("{content:016x}")
}

fn retry_after_overload<D: Downstream>(job: &Job<D>) -> Duration {
    (job.remaining() / RETRY_TIME_DIVISOR).max(RETRY_AFTER_TRANSIENT)
}

/// Nothing of the request itself has run when its stages fail.
fn stage_refusal<D: Downstream>(job: &Job<D>, spoiled: &StageError) -> Refusal {
    let (reason, retry_after) = match spoiled {
        StageError::Late => ("the stages took too long", retry_after_overload(job)),
        StageError::InputGone => ("results of stages were lost", RETRY_AFTER_TRANSIENT),
        StageError::Failed => ("runners of a stage failed", RETRY_AFTER_TRANSIENT),
        StageError::Ending => ("the process ends", RETRY_AFTER_TRANSIENT),
        StageError::NoRunner => ("a stage has no runner", retry_after_overload(job)),
        StageError::Poison => {
            let retry_after = quarantine::retry_after(job);
            return Refusal::Poison { retry_after };
        }
    };
    Refusal::Overloaded {
        reason,
        retry_after,
    }
}

impl<D: Downstream> Job<D> {
    /// Time that its caller still waits. A suspension counts for the caller, though not for the
    /// steady clock: a runner would be given time that nobody waits.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.relay.check_for_pause();
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.saturating_sub(self.relay.pause.suspended() - self.suspended)
    }

    /// What the request asks for of one stage.
    #[must_use]
    pub fn stage_content(&self, stage: usize) -> ContentId {
        request::stage_content(self.content, stage)
    }

    /// What it asks for, of the runners of each of its stages and of its own.
    pub(crate) fn contents(&self) -> impl Iterator<Item = ContentId> + '_ {
        let stages = (0..self.route.stages.len()).filter(|&stage| self.pieces(stage) > 0);
        let stages = stages.map(|stage| self.stage_content(stage));
        std::iter::once(self.content).chain(stages)
    }

    /// Whether the request is answered by a stream of events.
    #[must_use]
    pub fn streams(&self) -> bool {
        self.route.kind == Kind::Streaming
    }
}
