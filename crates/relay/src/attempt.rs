//! A request and the runners that it is sent to.

mod flight;

pub use flight::InFlightCall;

use crate::downstream::{Call, Downstream, Failure, NotRun, Reply};
use crate::graph::{self, Inputs, StageRun};
use crate::quarantine::{self, SILENCE_TIMEOUT};
use crate::request::{Answer, Body, EventId, Refusal};
use crate::runner::{DomainId, Runner, RunnerId};
use crate::serve::Job;
use crate::splice;
use crate::telemetry::millis;
use decide::route::{self, PrefixAffinity, Router};
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at};

/// Runners that refuse a request before it is given up; each costs a round trip only.
const MAX_REFUSALS: u32 = 3;
/// Time below which no call is sent any more: the way there and back and the shortest work.
const MIN_CALL_TIME: Duration = Duration::from_millis(5);
/// Time after which a runner that was sent a request has fetched its inputs. It does so before it
/// reads the prompt, and its answer begins only after that; a few megabytes take milliseconds, and
/// the room that they take up bounds what the stages can do.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(35);
/// Part of the connections that a runner bears that all processes together may leave open unused.
const IDLE_CONNECTION_DIVISOR: usize = 3;
/// When a caller may come back whose request no runner took.
const RETRY_AFTER_REFUSED: Duration = Duration::from_millis(200);
/// When a caller may come back to a service all of whose runners have ended: about the time that one
/// takes to start.
const RETRY_AFTER_ALL_EXITED: Duration = Duration::from_secs(1);
/// Parts of a stream that wait for a slow caller before its runner is read no further.
const STREAM_BUFFER_PARTS: usize = 32;

/// How far a request has got.
#[derive(Debug, Default)]
pub struct Progress {
    /// Runners that it was sent to.
    pub tried: Vec<RunnerId>,
    /// Runners that may have run it.
    pub executions: u32,
    /// Runners that refused it.
    pub refusals: u32,
    /// Why the last one brought no answer.
    pub last_failure: Option<Failure>,
    /// Why it was sent to no other one, if it is held back.
    pub quarantined: Option<Refusal>,
    /// Whether a repeat has been counted for a call that was withdrawn.
    retry_counted: bool,
}

/// A call that has begun to be answered.
pub type StartedCall<D> = (InFlightCall<D>, Reply<<D as Downstream>::Body>);

impl Progress {
    /// Whether the last runner refused the request because results that it needs are gone.
    #[must_use]
    pub fn input_gone(&self) -> bool {
        let reason = NotRun::InputGone;
        self.last_failure == Some(Failure::NotRun { reason })
    }

    /// Whether a repeat may be sent; counts it, once for each call that is sent.
    fn may_repeat<D: Downstream>(&mut self, job: &Job<D>) -> bool {
        self.retry_counted = self.retry_counted || job.relay.try_retry(&job.service);
        self.retry_counted
    }
}

/// Sends a request to runners until one answers.
///
/// # Errors
///
/// [`Refusal`], of which only those that say so are given if no runner may have run it.
pub async fn run<D: Downstream>(job: &Job<D>, mut inputs: Inputs<D>) -> Result<Answer, Refusal> {
    let mut progress = Progress::default();
    job.relay.count_first_attempts(&job.service, 1);
    loop {
        let sent =
            send_or_recompute_inputs(job, &mut inputs, &mut progress, job.request.resume_after)
                .await;
        let Ok((flight, reply)) = sent else {
            return Err(final_refusal(job, &progress));
        };
        if job.streams() && reply.proven && is_success(reply.status) {
            return Ok(forward_stream(job, inputs, flight, reply, progress));
        }
        if let Some(answer) = collect_response(job, flight, reply, &mut progress).await {
            return Ok(answer);
        }
    }
}

/// Sends the request to one runner after the other until one begins to answer.
///
/// # Errors
///
/// Nothing more than what `progress` says.
pub async fn send<D: Downstream>(
    job: &Job<D>,
    inputs: &mut Inputs<D>,
    progress: &mut Progress,
    resume_after: Option<EventId>,
) -> Result<StartedCall<D>, ()> {
    loop {
        let left = job.remaining();
        if left < MIN_CALL_TIME || !may_send(job, progress) {
            return Err(());
        }
        let Some(mut runner) = pick_runner(job, &progress.tried, left) else {
            return Err(());
        };
        if let Err(refusal) = quarantine::admit_attempt(job).await {
            progress.quarantined = Some(refusal);
            return Err(());
        }
        // That may have taken seconds.
        if !job.relay.is_open(&runner) {
            let Some(other) = pick_runner(job, &progress.tried, job.remaining()) else {
                return Err(());
            };
            runner = other;
        }
        if !progress.tried.is_empty() && !progress.may_repeat(job) {
            return Err(());
        }
        job.relay.record_send_time(&runner);
        progress.tried.push(runner.id.clone());
        let call = build_call(job, inputs, left, resume_after);
        let mut flight = InFlightCall::new(job, runner);
        let is_open = || job.relay.is_open(&flight.runner);
        let calling = job.relay.downstream.call(&flight.runner, call, is_open);
        let calling = release_inputs_when_fetched(calling, inputs);
        let calling = record_silence(&flight, calling);
        let result = timeout_at(job.deadline, calling).await;
        let result = result.unwrap_or_else(|_| {
            flight.record_overdue();
            let reason = "no answer before the deadline".to_owned();
            Err(Failure::Lost { reason })
        });
        log_call(job, &flight, left, inputs, progress, &result);
        job.relay.update_limit(&flight.runner, flight.sent, &result);
        progress.retry_counted &= result.as_ref().is_err_and(Failure::is_withdrawn);
        match result {
            Ok(reply) => {
                flight.record_activity();
                flight.response_started();
                progress.executions += 1;
                return Ok((flight, reply));
            }
            Err(failure) => handle_failure(flight, failure, progress).await,
        }
    }
}

/// The same, with the results made once more if they are gone: a runner that made some may have
/// crashed, or was told to drop them before they were fetched.
///
/// # Errors
///
/// As [`send`].
pub async fn send_or_recompute_inputs<D: Downstream>(
    job: &Job<D>,
    inputs: &mut Inputs<D>,
    progress: &mut Progress,
    resume_after: Option<EventId>,
) -> Result<StartedCall<D>, ()> {
    let sent = send(job, inputs, progress, resume_after).await;
    if sent.is_ok() || !progress.input_gone() {
        return sent;
    }
    *inputs = graph::run(job, StageRun::Repeat).await.map_err(drop)?;
    progress.last_failure = None;
    send(job, inputs, progress, resume_after).await
}

/// Waits for the beginning of an answer, and gives the inputs back once the runner has them.
async fn release_inputs_when_fetched<D: Downstream, T>(
    calling: impl Future<Output = T>,
    inputs: &mut Inputs<D>,
) -> T {
    let mut calling = std::pin::pin!(calling);
    tokio::select! {
        result = &mut calling => return result,
        () = sleep(INPUT_FETCH_TIME) => inputs.release(|_| true),
    }
    calling.await
}

/// Waits for the beginning of an answer; a runner from which nothing comes meanwhile may be silent.
async fn record_silence<D: Downstream, T>(
    flight: &InFlightCall<D>,
    calling: impl Future<Output = T>,
) -> T {
    let mut calling = std::pin::pin!(calling);
    tokio::select! {
        result = &mut calling => return result,
        () = sleep(SILENCE_TIMEOUT) => flight.record_overdue(),
    }
    calling.await
}

async fn handle_failure<D: Downstream>(
    flight: InFlightCall<D>,
    failure: Failure,
    progress: &mut Progress,
) {
    match &failure {
        Failure::Lost { .. } => {
            progress.executions += 1;
            flight.lost().await;
        }
        Failure::NotRun { reason } => {
            // Nothing was sent: neither a try nor a refusal.
            if *reason == NotRun::Withdrawn {
                progress.tried.pop();
                flight.not_run();
                return;
            }
            progress.refusals += 1;
            match reason {
                NotRun::Unreachable { .. } => flight.unreachable().await,
                NotRun::Replaced => flight.failed(),
                // A full runner is not a faulty one.
                _ => flight.not_run(),
            }
        }
    }
    progress.last_failure = Some(failure);
}

/// Whether the request may go to one more runner.
fn may_send<D: Downstream>(job: &Job<D>, progress: &Progress) -> bool {
    if progress.refusals > MAX_REFUSALS || progress.input_gone() {
        return false;
    }
    progress.executions == 0 || (job.route.repeatable() && progress.executions < job.route.attempts)
}

fn pick_runner<D: Downstream>(
    job: &Job<D>,
    tried: &[RunnerId],
    left: Duration,
) -> Option<Arc<Runner>> {
    let relay = &job.relay;
    let throttled = relay.throttled(&job.service);
    let limited = relay.limited(&job.service);
    let absent = relay.absent(&job.service);
    let without = [
        tried,
        &throttled,
        &limited,
        &absent,
        &job.runners_outside_regions(),
    ]
    .concat();
    let shared = job.request.prompt.as_ref();
    let shared = shared.map_or(&[][..], |prompt| &prompt.shared);
    let call = route::Call {
        now: relay.now(),
        domain: &relay.options.domain,
        prefix: &[],
        tried: &without,
        slack: left,
    };
    let processes = relay.processes();
    let id = relay.pool(&job.service, |pool| {
        pool.readmit(call.now);
        relay.random(|rng| PrefixAffinity::new(processes, shared).pick(pool, &call, rng))
    })?;
    relay.runner(&id)
}

/// Failure domain of the runner that would be picked now. What is made for the request is best
/// made there: results that cross failure domains cost far more than those that do not.
pub fn likely_runner_domain<D: Downstream>(job: &Job<D>) -> Option<DomainId> {
    let left = job.remaining();
    pick_runner(job, &[], left).map(|runner| runner.domain.clone())
}

fn build_call<D: Downstream>(
    job: &Job<D>,
    inputs: &Inputs<D>,
    remaining: Duration,
    resume_after: Option<EventId>,
) -> Call {
    Call {
        id: job.request.id.clone(),
        message: job.request.message.clone(),
        remaining,
        workspace: job
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.clone()),
        rank: job.request.prompt.as_ref().map(|_| job.rank),
        inputs: inputs.leaves.clone(),
        resume_after,
        reuse: job.route.repeatable(),
        idle: idle_connections(job),
    }
}

/// Connections to one runner that this process may leave open unused.
///
/// A runner resets connections beyond those that it bears, and a request that was just sent on one
/// may have run as far as anybody can tell. Thirty processes that each keep a few open would take
/// them all up.
fn idle_connections<D: Downstream>(job: &Job<D>) -> usize {
    let service = job.configuration.services.get(&job.service);
    let bearable = service.map_or(0, |service| service.connections as usize);
    bearable / (job.relay.processes() * IDLE_CONNECTION_DIVISOR)
}

fn log_call<D: Downstream, B>(
    job: &Job<D>,
    flight: &InFlightCall<D>,
    left: Duration,
    inputs: &Inputs<D>,
    progress: &Progress,
    result: &Result<Reply<B>, Failure>,
) {
    info!(job.relay.log, "call"; "request" => &*job.request.id,
        "runner" => &*flight.runner.id, "service" => &*job.service,
        "attempt" => progress.tried.len(), "left_ms" => millis(left),
        "in_flight" => flight.load_before.own,
        "others_in_flight" => flight.load_before.others,
        "told_age_ms" => flight.load_before.report_age.map(millis),
        "runners_age_ms" => job.relay.runner_list_age().map(millis),
        "inputs" => inputs.leaves.len(), "took_ms" => millis(flight.sent.elapsed()),
        "outcome" => result.as_ref().map_or_else(ToString::to_string, |reply| reply.status.to_string()));
}

/// Whether callers take the status for the promise that the request has not run.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Reads an answer that is not a stream; `None` if it is no answer and another runner may be asked.
async fn collect_response<D: Downstream>(
    job: &Job<D>,
    flight: InFlightCall<D>,
    reply: Reply<D::Body>,
    progress: &mut Progress,
) -> Option<Answer> {
    let elapsed = flight.sent.elapsed();
    let (status, headers) = (reply.status, reply.headers);
    let body = job.relay.answers.collect(reply.body);
    let body = timeout_at(job.deadline, body).await;
    if body.is_err() {
        flight.record_overdue();
    }
    let failure = match body {
        // A caller would take the status for the promise that nothing has run.
        Ok(Ok(_)) if !job.route.repeatable() && promises_not_run(status) => {
            format!("status {status}, though it ran")
        }
        Ok(Ok(body)) if reply.proven => {
            let good = status < 500;
            if good || !may_send(job, progress) {
                flight.answered(elapsed);
                return Some(Answer {
                    status,
                    headers,
                    retry_after: None,
                    body: Body::Full(body),
                });
            }
            format!("status {status}")
        }
        Ok(Ok(_)) => "answer without proof".to_owned(),
        Ok(Err(broken)) => broken.reason,
        Err(_) => "not whole before the deadline".to_owned(),
    };
    info!(job.relay.log, "answer of no use"; "request" => &*job.request.id,
        "runner" => &*flight.runner.id, "status" => status, "reason" => &failure);
    flight.lost().await;
    progress.last_failure = Some(Failure::Lost { reason: failure });
    None
}

/// Passes a stream through in a task of its own.
fn forward_stream<D: Downstream>(
    job: &Job<D>,
    inputs: Inputs<D>,
    flight: InFlightCall<D>,
    reply: Reply<D::Body>,
    progress: Progress,
) -> Answer {
    let (parts, body) = mpsc::channel(STREAM_BUFFER_PARTS);
    let answer = Answer {
        status: reply.status,
        headers: reply.headers,
        retry_after: None,
        body: Body::Stream(body),
    };
    let forwarder = splice::StreamForwarder::new(job.clone(), inputs, progress, parts);
    tokio::spawn(forwarder.run(flight, reply.body));
    answer
}

/// What the caller is told once no more runner is asked.
fn final_refusal<D: Downstream>(job: &Job<D>, progress: &Progress) -> Refusal {
    let left = job.remaining();
    if let (0, Some(quarantined)) = (progress.executions, &progress.quarantined) {
        return quarantined.clone();
    }
    match &progress.last_failure {
        None if job.is_region_restricted() => Refusal::Overloaded {
            reason: "no runner takes it in the regions that it may run in",
            retry_after: RETRY_AFTER_REFUSED,
        },
        None if job.relay.availability(&job.service).up == 0 => Refusal::Overloaded {
            reason: "all runners have ended",
            retry_after: RETRY_AFTER_ALL_EXITED,
        },
        _ if progress.executions == 0 => Refusal::Overloaded {
            reason: "no runner took it",
            retry_after: RETRY_AFTER_REFUSED,
        },
        _ if left < MIN_CALL_TIME => Refusal::Late,
        Some(failure) => Refusal::Lost {
            reason: failure.to_string(),
        },
        None => Refusal::Late,
    }
}
