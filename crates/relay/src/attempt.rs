//! Attempts of a request: selects runners and sends the request until one responds.

mod in_flight;
mod progress;

pub use in_flight::InFlightCall;
pub use progress::Progress;

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

/// No call is sent with less time left than this, which covers the round trip and the shortest
/// processing time.
const MIN_CALL_TIME: Duration = Duration::from_millis(5);
/// Time after which a runner has fetched the inputs of a request that was sent to it. It fetches
/// them before it processes the prompt, and its response starts only after that. A few megabytes
/// take milliseconds, and the room that they occupy limits the throughput of the stages.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(35);
/// All processes together may keep one in this many of a runner's connections open and idle.
const IDLE_CONNECTION_DIVISOR: usize = 3;
/// When to retry a request that no runner accepted.
const RETRY_AFTER_REFUSED: Duration = Duration::from_millis(200);
/// When to retry a request to a service all of whose runners have exited. A runner takes about this
/// long to start.
const RETRY_AFTER_ALL_EXITED: Duration = Duration::from_secs(1);
/// Parts of a stream that are buffered for a slow client before reading from its runner stops.
const STREAM_BUFFER_PARTS: usize = 32;

/// A call whose response has started.
pub type StartedCall<D> = (InFlightCall<D>, Reply<<D as Downstream>::Body>);

/// Sends a request to runners until one responds.
///
/// # Errors
///
/// A [`Refusal`]. One that states that the request has not run is returned only if no runner may
/// have run it.
pub async fn run<D: Downstream>(job: &Job<D>, mut inputs: Inputs<D>) -> Result<Answer, Refusal> {
    let mut progress = Progress::default();
    job.relay
        .count_first_attempts(&job.service, job.request.arrived, 1);
    loop {
        let sent =
            send_or_recompute_inputs(job, &mut inputs, &mut progress, job.request.resume_after)
                .await;
        let Ok((in_flight, reply)) = sent else {
            return Err(final_refusal(job, &progress));
        };
        if job.streams() && reply.proven && is_success(reply.status) {
            return Ok(forward_stream(job, inputs, in_flight, reply, progress));
        }
        if let Some(answer) = collect_response(job, in_flight, reply, &mut progress).await {
            return Ok(answer);
        }
    }
}

/// Sends the request to one runner after another until a response starts.
///
/// # Errors
///
/// Carries no information; `progress` tells the reason.
pub async fn send<D: Downstream>(
    job: &Job<D>,
    inputs: &mut Inputs<D>,
    progress: &mut Progress,
    resume_after: Option<EventId>,
) -> Result<StartedCall<D>, ()> {
    loop {
        let remaining = job.remaining();
        if remaining < MIN_CALL_TIME || !may_send(job, progress) {
            return Err(());
        }
        let Some(runner) = pick_runner(job, &progress.tried, remaining) else {
            return Err(());
        };
        if let Err(refusal) = quarantine::admit_attempt(job).await {
            progress.quarantined = Some(refusal);
            return Err(());
        }
        let Some(runner) = recheck_runner(job, runner, progress) else {
            job.relay.record_not_run(job.content);
            return Err(());
        };
        job.relay.record_send_time(&runner);
        progress.tried.push(runner.id.clone());
        progress.sends += 1;
        let call = build_call(job, inputs, remaining, resume_after);
        let mut in_flight = InFlightCall::new(job, runner);
        let observer = job.relay.observer(&in_flight.runner);
        let observer = observer.expiring_at(progress.retry_expires_at);
        let response = job
            .relay
            .downstream
            .call(&in_flight.runner, call, &observer);
        let response = release_inputs_when_fetched(response, inputs);
        let response = record_silence(&in_flight, response);
        progress.is_calling = true;
        let result = timeout_at(job.deadline, response).await;
        progress.is_calling = false;
        let is_timed_out = result.is_err();
        let result = result.unwrap_or_else(|_| {
            let reason = "no answer before the deadline".to_owned();
            Err(Failure::Lost { reason })
        });
        log_call(job, &in_flight, remaining, inputs, progress, &result);
        job.relay
            .update_limit(&in_flight.runner, in_flight.sent_at, &result);
        if !result.as_ref().is_err_and(Failure::is_withdrawn) {
            progress.retry_expires_at = None;
        }
        match result {
            Ok(reply) => {
                in_flight.record_activity();
                in_flight.response_started();
                progress.executions += 1;
                return Ok((in_flight, reply));
            }
            Err(failure) if is_timed_out => {
                progress.executions += 1;
                progress.last_failure = Some(failure);
                in_flight.timed_out().await;
            }
            Err(failure) => {
                if matches!(failure, Failure::NotRun { .. }) {
                    job.relay.record_not_run(job.content);
                }
                handle_failure(in_flight, failure, progress).await;
            }
        }
    }
}

/// The runner that an admitted attempt is sent to: the one that was picked before admission, which may have
/// taken seconds, unless it takes no more work. `None` if there is no other, or if the attempt is a retry
/// beyond the budget.
fn recheck_runner<D: Downstream>(
    job: &Job<D>,
    picked: Arc<Runner>,
    progress: &mut Progress,
) -> Option<Arc<Runner>> {
    let runner = match job.relay.is_open(&picked) {
        true => picked,
        false => pick_runner(job, &progress.tried, job.remaining())?,
    };
    let may_send = progress.sends == 0 || progress.try_retry(job);
    may_send.then_some(runner)
}

/// Like [`send`], but recomputes the inputs once if they no longer exist. A runner that stores them
/// may have crashed, or may have been told to drop them before they were fetched.
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
    progress.readmit_lacking_inputs();
    send(job, inputs, progress, resume_after).await
}

/// Waits for the response to start, and releases the inputs once the runner has fetched them.
async fn release_inputs_when_fetched<D: Downstream, T>(
    response: impl Future<Output = T>,
    inputs: &mut Inputs<D>,
) -> T {
    let mut response = std::pin::pin!(response);
    tokio::select! {
        result = &mut response => return result,
        () = sleep(INPUT_FETCH_TIME) => inputs.release(|_| true),
    }
    response.await
}

/// Waits for the response to start, and records the call as overdue if nothing arrives in the
/// meantime: the runner may be unresponsive.
async fn record_silence<D: Downstream, T>(
    in_flight: &InFlightCall<D>,
    response: impl Future<Output = T>,
) -> T {
    let mut response = std::pin::pin!(response);
    tokio::select! {
        result = &mut response => return result,
        () = sleep(SILENCE_TIMEOUT) => in_flight.record_overdue(),
    }
    response.await
}

async fn handle_failure<D: Downstream>(
    in_flight: InFlightCall<D>,
    failure: Failure,
    progress: &mut Progress,
) {
    match &failure {
        Failure::Lost { .. } => {
            progress.executions += 1;
            in_flight.lost().await;
        }
        Failure::NotRun { reason } => {
            // Nothing was sent, so this counts neither as an attempt nor as a refusal.
            if *reason == NotRun::Withdrawn {
                progress.tried.pop();
                progress.sends -= 1;
                in_flight.not_run();
                return;
            }
            progress.refusals += 1;
            progress.refused_by.extend(progress.tried.last().cloned());
            match reason {
                NotRun::Unreachable { .. } => in_flight.unreachable().await,
                NotRun::Replaced => in_flight.failed(),
                // A runner at capacity is not faulty.
                _ => in_flight.not_run(),
            }
        }
    }
    progress.last_failure = Some(failure);
}

/// Whether the request may be sent to another runner.
fn may_send<D: Downstream>(job: &Job<D>, progress: &Progress) -> bool {
    if progress.refusals > progress.max_refusals || progress.input_gone() {
        return false;
    }
    progress.executions == 0 || (job.route.repeatable() && progress.executions < job.route.attempts)
}

fn pick_runner<D: Downstream>(
    job: &Job<D>,
    tried: &[RunnerId],
    remaining: Duration,
) -> Option<Arc<Runner>> {
    let relay = &job.relay;
    let throttled = relay.throttled(&job.service);
    let limited = relay.limited(&job.service);
    let absent = relay.absent(&job.service);
    let resting = relay.resting(&job.service);
    let excluded = [
        tried,
        &throttled,
        &limited,
        &absent,
        &resting,
        &job.runners_outside_regions(),
    ]
    .concat();
    let shared = job.request.prompt.as_ref();
    let shared = shared.map_or(&[][..], |prompt| &prompt.shared);
    let call = route::Call {
        now: relay.now(),
        domain: &relay.options.domain,
        prefix: &[],
        tried: &excluded,
        slack: remaining,
    };
    let processes = relay.processes();
    let mut router =
        PrefixAffinity::new(processes, shared).with_speed(relay.prefill_speed(&job.service));
    let id = relay.pool(&job.service, |pool| {
        pool.readmit(call.now);
        relay.random(|rng| router.pick(pool, &call, rng))
    })?;
    relay.runner(&id)
}

/// Failure domain of the runner that would be selected now. Inputs of the request are best computed
/// there, since results that cross failure domains cost far more than those that do not.
pub fn likely_runner_domain<D: Downstream>(job: &Job<D>) -> Option<DomainId> {
    let remaining = job.remaining();
    pick_runner(job, &[], remaining).map(|runner| runner.domain.clone())
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

/// Number of idle connections to one runner that this process may keep open.
///
/// A runner resets connections beyond its limit, and it is then unknown whether a request that was
/// just sent on one has run. Thirty processes that each keep a few open would use up the limit.
fn idle_connections<D: Downstream>(job: &Job<D>) -> usize {
    let service = job.configuration.services.get(&job.service);
    let max_connections = service.map_or(0, |service| service.connections as usize);
    max_connections / (job.relay.processes() * IDLE_CONNECTION_DIVISOR)
}

fn log_call<D: Downstream, B>(
    job: &Job<D>,
    in_flight: &InFlightCall<D>,
    remaining: Duration,
    inputs: &Inputs<D>,
    progress: &Progress,
    result: &Result<Reply<B>, Failure>,
) {
    info!(job.relay.log, "call"; "request" => &*job.request.id,
        "runner" => &*in_flight.runner.id, "service" => &*job.service,
        "attempt" => progress.tried.len(), "left_ms" => millis(remaining),
        "in_flight" => in_flight.load_before.own,
        "others_in_flight" => in_flight.load_before.others,
        "told_age_ms" => in_flight.load_before.report_age.map(millis),
        "runners_age_ms" => job.relay.runner_list_age().map(millis),
        "inputs" => inputs.leaves.len(), "took_ms" => millis(in_flight.sent_at.elapsed()),
        "outcome" => result.as_ref().map_or_else(ToString::to_string, |reply| reply.status.to_string()));
}

/// Whether clients take the status as a guarantee that the request has not run.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Reads a response that is not a stream. Returns `None` if it is unusable and another runner may
/// be tried.
async fn collect_response<D: Downstream>(
    job: &Job<D>,
    in_flight: InFlightCall<D>,
    reply: Reply<D::Body>,
    progress: &mut Progress,
) -> Option<Answer> {
    let elapsed = in_flight.sent_at.elapsed();
    let (status, headers) = (reply.status, reply.headers);
    let body = job.relay.answers.collect(reply.body);
    let body = timeout_at(job.deadline, body).await;
    let is_timed_out = body.is_err();
    let failure = match body {
        // The client would take the status as a guarantee that the request has not run.
        Ok(Ok(_)) if !job.route.repeatable() && promises_not_run(status) => {
            format!("status {status}, though it ran")
        }
        Ok(Ok(body)) if reply.proven => {
            let is_usable = status < 500;
            if is_usable || !may_send(job, progress) {
                in_flight.answered(elapsed, is_success(status));
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
        Ok(Err(error)) => error.reason,
        Err(_) => "not whole before the deadline".to_owned(),
    };
    info!(job.relay.log, "response rejected"; "request" => &*job.request.id,
        "runner" => &*in_flight.runner.id, "status" => status, "reason" => &failure);
    progress.last_failure = Some(Failure::Lost { reason: failure });
    match is_timed_out {
        true => in_flight.timed_out().await,
        false => in_flight.lost().await,
    }
    None
}

/// Forwards a stream in a task of its own.
fn forward_stream<D: Downstream>(
    job: &Job<D>,
    inputs: Inputs<D>,
    in_flight: InFlightCall<D>,
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
    tokio::spawn(forwarder.run(in_flight, reply.body));
    answer
}

/// What is returned to the client when no more runners are tried.
fn final_refusal<D: Downstream>(job: &Job<D>, progress: &Progress) -> Refusal {
    let remaining = job.remaining();
    if let (0, Some(quarantined)) = (progress.executions, &progress.quarantined) {
        return quarantined.clone();
    }
    if let (0, Some(rest)) = (progress.executions, job.relay.remaining_rest(&job.service)) {
        return Refusal::resting(rest);
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
        _ if remaining < MIN_CALL_TIME => Refusal::Late,
        Some(failure) => Refusal::Lost {
            reason: failure.to_string(),
        },
        None => Refusal::Late,
    }
}
