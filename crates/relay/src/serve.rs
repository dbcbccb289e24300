//! Handles one request from its arrival to its response.

use crate::attempt;
use crate::batch::StageError;
use crate::configuration::{Configuration, Kind, Rank, Route, ServiceId, Workspace};
use crate::core::Relay;
use crate::downstream::Downstream;
use crate::flow;
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

/// When to retry a request that failed for a transient reason.
const RETRY_AFTER_TRANSIENT: Duration = Duration::from_millis(200);
/// Divisor of the client's remaining time after which to retry a request that was refused for lack
/// of capacity. Bursts last for seconds, and a request that comes back sooner is refused again; two
/// thirds of the time are enough to serve it.
pub(crate) const RETRY_TIME_DIVISOR: u32 = 3;

/// A request with everything that was determined for it on arrival.
#[derive(Clone, Debug)]
pub struct Job<D> {
    /// Relay that serves the request.
    pub relay: Arc<Relay<D>>,
    /// The request.
    pub request: Arc<Request>,
    /// Configuration in force when the request arrived.
    pub configuration: Arc<Configuration>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Service that runs the request.
    pub service: ServiceId,
    /// Workspace of the request.
    pub workspace: Option<Arc<Workspace>>,
    /// Content that the request asks for.
    pub content: ContentId,
    /// Priority of the request.
    pub rank: Rank,
    /// Whether the client seems to have tried before.
    pub is_retry: bool,
    /// When the response, or its first event, must arrive to be on time.
    pub due: Instant,
    /// When the request is given up.
    pub deadline: Instant,
    /// Suspended time that the monotonic clock had not counted when the request arrived.
    pub suspended: Duration,
}

impl<D: Downstream> Relay<D> {
    /// Serves a request. Dropping the future cancels it.
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

    /// Looks up the configuration that applies to a request.
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
        let hash = foldhash::fast::FixedState::default().hash_one(&*request.id);
        let service = route.service(hash).ok_or(Refusal::NoRoute)?.clone();
        let timeout = request.timeout.unwrap_or(route.timeout);
        let waited = self.waited_before(&route.name, timeout);
        let timeout = timeout.min(route.timeout);
        Ok(Job {
            relay: self.clone(),
            request: request.clone(),
            route: route.clone(),
            service,
            content: request.content(workspace.as_deref().map(|workspace| &*workspace.name)),
            rank: configuration.rank(workspace.as_deref(), route),
            workspace,
            is_retry: waited > Duration::ZERO,
            due: (request.arrived + route.target)
                .checked_sub(waited)
                .unwrap_or(request.arrived),
            deadline: request.arrived + timeout,
            suspended: self.pause.suspended(),
            configuration,
        })
    }

    async fn run(self: &Arc<Self>, job: &Job<D>) -> Result<Answer, Refusal> {
        quarantine::admit(job)?;
        admit(job)?;
        let credit = flow::start(job).await?;
        let inputs = self.run_stages(job).await?;
        credit.finish(job);
        let answer = attempt::run(job, inputs).await?;
        let elapsed = job.request.arrived.elapsed();
        info!(self.log, "answered"; "request" => &*job.request.id, "route" => &job.route.name,
            "status" => answer.status, "after_ms" => millis(elapsed),
            "configuration" => job.configuration.version);
        self.count(job, answer.status);
        Ok(answer)
    }

    async fn run_stages(&self, job: &Job<D>) -> Result<Inputs<D>, Refusal> {
        let running = timeout_at(job.deadline, graph::run(job, StageRun::First));
        let outcome = tokio::select! {
            outcome = running => outcome,
            // If the request were cut off with the process, the client would not know that it has
            // not run.
            () = self.ending.cancelled() => Ok(Err(StageError::Ending)),
        };
        match outcome {
            Ok(Ok(inputs)) => Ok(inputs),
            Ok(Err(error)) => Err(stage_refusal(job, &error)),
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

/// Refuses a request that cannot be served in time, before any work is spent on it.
fn admit<D: Downstream>(job: &Job<D>) -> Result<(), Refusal> {
    let rests = job
        .services()
        .filter_map(|service| job.relay.remaining_rest(service));
    if let Some(rest) = rests.max().filter(|rest| *rest >= job.remaining()) {
        return Err(Refusal::resting(rest));
    }
    let expected = job.expected();
    let left = job.remaining();
    let admitted = expected <= left || job.relay.options.policy.admission == Policy::Naive;
    let on_time = job.due.saturating_duration_since(Instant::now());
    info!(job.relay.log, "admission"; "request" => &*job.request.id,
        "content" => content_name(job.content), "parts" => part_names(job),
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

/// Formats a content id for logs.
pub(crate) fn content_name(content: ContentId) -> String {
    format!("{content:016x}")
}

/// Formats the content ids of a request's shared prompt parts for logs.
fn part_names<D: Downstream>(job: &Job<D>) -> String {
    let names = job.parts().iter().copied().map(content_name);
    names.collect::<Vec<_>>().join(",")
}

fn retry_after_overload<D: Downstream>(job: &Job<D>) -> Duration {
    (job.remaining() / RETRY_TIME_DIVISOR).max(RETRY_AFTER_TRANSIENT)
}

/// Refusal of a request whose stages failed, so that the request itself has not run.
fn stage_refusal<D: Downstream>(job: &Job<D>, error: &StageError) -> Refusal {
    let (reason, retry_after) = match error {
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
    /// Time that the client still waits. While the process is suspended the client's time goes on
    /// but the monotonic clock does not; without the correction a runner would be given time that
    /// no client waits for.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.relay.check_for_pause();
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.saturating_sub(self.relay.pause.suspended() - self.suspended)
    }

    /// Services that the request needs: its own, and those of its stages.
    fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let stages = self.route.stages.iter().enumerate();
        let stages = stages.filter(|(index, _)| self.pieces(*index) > 0);
        std::iter::once(&self.service).chain(stages.map(|(_, stage)| &stage.service))
    }

    /// Content id of one stage of the request.
    #[must_use]
    pub fn stage_content(&self, stage: usize) -> ContentId {
        request::stage_content(self.content, stage)
    }

    /// Content ids of the request's shared prompt parts.
    pub(crate) fn parts(&self) -> &[ContentId] {
        let prompt = self.request.prompt.as_ref();
        prompt.map_or(&[], |prompt| &prompt.part_contents)
    }

    /// Content ids of the request itself and of its shared prompt parts, any of which may crash the runner
    /// that serves it.
    pub(crate) fn served_contents(&self) -> impl Iterator<Item = ContentId> + '_ {
        std::iter::once(self.content).chain(self.parts().iter().copied())
    }

    /// Content ids of the request itself, of its shared prompt parts and of each of its stages.
    pub(crate) fn contents(&self) -> impl Iterator<Item = ContentId> + '_ {
        let stages = (0..self.route.stages.len()).filter(|&stage| self.pieces(stage) > 0);
        let stages = stages.map(|stage| self.stage_content(stage));
        self.served_contents().chain(stages)
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub fn streams(&self) -> bool {
        self.route.kind == Kind::Streaming
    }
}
