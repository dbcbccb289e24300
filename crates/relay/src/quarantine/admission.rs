//! Decides whether a request that may be quarantined is sent to a runner, and when.

use super::trial;
use crate::batch::StageError;
use crate::core::lock;
use crate::downstream::Downstream;
use crate::request::{ContentId, Refusal};
use crate::serve::{Job, content_name};
use crate::telemetry::millis;
use protocol::quarantine::{ANNOUNCE_THRESHOLD, Admission, Availability};
use setting::Policy;
use slog::info;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which a suspect request checks whether it may be sent.
const ADMISSION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Retry delay given to clients while runners are down: about the time that a runner takes to start.
const RUNNER_START_TIME: Duration = Duration::from_secs(1);
/// Divisor of the client's remaining time that gives how long a suspect request waits to be sent.
const MAX_WAIT_DIVISOR: u32 = 2;
/// Place in the order of trials of requests in which several contents are due: other requests come first and
/// may clear one of them.
const JOINT_TRIAL_RANK: u32 = 10;

/// Admits a request unless it is quarantined.
///
/// # Errors
///
/// [`Refusal::Poison`] if the request, a shared part of its prompt, or its content for one of its stages is
/// quarantined.
pub(crate) fn admit<D: Downstream>(job: &Job<D>) -> Result<(), Refusal> {
    let remaining = job
        .contents()
        .filter_map(|content| remaining_quarantine(job, content));
    match remaining.max() {
        Some(retry_after) => Err(Refusal::Poison { retry_after }),
        None => due_trials(job).map(drop),
    }
}

/// Remaining quarantine time of one of a request's contents, if it is quarantined. Marks the content as
/// requested, so that it does not expire.
fn remaining_quarantine<D: Downstream>(job: &Job<D>, content: ContentId) -> Option<Duration> {
    let Admission::Held(remaining) = job.relay.admission(content, 0) else {
        return None;
    };
    lock(&job.relay.quarantine.known).touch(content, job.relay.now());
    Some(remaining)
}

/// Admits the pieces of a stage and returns whether they are a trial of a quarantined content.
///
/// # Errors
///
/// [`StageError::Poison`] if the content is quarantined.
pub(crate) async fn begin_stage<D: Downstream>(
    job: &Job<D>,
    stage: usize,
) -> Result<bool, StageError> {
    let content = job.stage_content(stage);
    match job.relay.admission(content, 0) {
        // Suspect pieces are isolated, so that the same ones run on one runner at a time.
        Admission::Free | Admission::Turn | Admission::Deferred(_) => Ok(false),
        Admission::Held(_) => Err(StageError::Poison),
        Admission::Trial if trial::claim(job, content, 0).await => Ok(true),
        Admission::Trial => Err(StageError::Poison),
    }
}

/// Retry delay of a request whose pieces were refused as quarantined by the process that makes them.
pub(crate) fn retry_after<D: Downstream>(job: &Job<D>) -> Duration {
    let remaining = job
        .contents()
        .filter_map(|content| remaining_quarantine(job, content));
    remaining.max().unwrap_or(RUNNER_START_TIME)
}

/// Delays a suspect request until it may be sent to a runner.
///
/// Each attempt may crash another runner. Without the delay, a single request can crash all runners of a
/// small service, which then serves nobody until one has restarted. If the crashes of the request may be a
/// coincidence, one attempt at a time shows whether they are, and the others wait for its outcome.
///
/// # Errors
///
/// [`Refusal::Poison`] if the request is quarantined meanwhile, or if it may not be sent before `give_up_at`.
async fn await_admission<D: Downstream>(job: &Job<D>, give_up_at: Instant) -> Result<(), Refusal> {
    let since = Instant::now();
    loop {
        let admission = job.relay.admission(job.content, 0);
        let attempt = SuspectAttempt::new(job);
        let waited = since.elapsed();
        let (outcome, result) = match (admission, Instant::now() >= give_up_at) {
            (Admission::Held(retry_after), _) => ("held", Err(Refusal::Poison { retry_after })),
            (Admission::Deferred(retry_after), true) => {
                ("given up", Err(Refusal::Poison { retry_after }))
            }
            (Admission::Free | Admission::Turn | Admission::Trial, _) if attempt.may_run => {
                ("sent", Ok(()))
            }
            (_, true) => {
                let retry_after = RUNNER_START_TIME;
                ("given up", Err(Refusal::Poison { retry_after }))
            }
            (_, false) => {
                sleep(ADMISSION_POLL_INTERVAL).await;
                continue;
            }
        };
        if attempt.risk > 0 || waited >= ADMISSION_POLL_INTERVAL {
            attempt.log(job, waited, outcome);
        }
        return result;
    }
}

/// What decides on an attempt to send a request under which runners may have crashed.
struct SuspectAttempt {
    /// Number of runners that have crashed, or may have.
    risk: u32,
    /// Number of crashes that were not right after another one.
    distinct_crashes: u32,
    /// Number of runners at which this process has the request in progress.
    in_progress: usize,
    availability: Availability,
    /// Whether enough runners of the service are up to risk one of them.
    may_run: bool,
}

impl SuspectAttempt {
    fn new<D: Downstream>(job: &Job<D>) -> Self {
        let availability = job.relay.availability(&job.service);
        let now = job.relay.now();
        let known = lock(&job.relay.quarantine.known);
        let risk = match known.risk(job.content, now) {
            // A single response was lost or is late, and its runner may still be running.
            risk if risk < ANNOUNCE_THRESHOLD && known.crashes(job.content) == 0 => 0,
            risk => risk,
        };
        let may_spread = known.may_spread(job.content, now);
        Self {
            risk,
            distinct_crashes: known.distinct_crashes(job.content),
            in_progress: known.attempts_in_progress(job.content),
            availability,
            may_run: may_spread && availability.allows_attempt(risk),
        }
    }

    fn log<D: Downstream>(&self, job: &Job<D>, waited: Duration, outcome: &str) {
        info!(job.relay.log, "attempt of a suspect"; "request" => &*job.request.id,
            "content" => content_name(job.content), "crashes" => self.distinct_crashes,
            "risk" => self.risk, "in_progress" => self.in_progress, "up" => self.availability.up,
            "down" => self.availability.down,
            "runners_age_ms" => job.relay.runner_list_age().map(millis),
            "waited_ms" => millis(waited), "outcome" => outcome);
    }
}

/// Admits an attempt to send a request to a runner. If the attempt is a trial, it is recorded.
///
/// The quarantine is checked here again, since equal requests may have crashed runners while the stages of
/// this one were made.
///
/// # Errors
///
/// [`Refusal::Poison`] if the request or a shared part of its prompt is quarantined, or if the request may
/// not be sent in time.
pub(crate) async fn admit_attempt<D: Downstream>(job: &Job<D>) -> Result<(), Refusal> {
    let give_up_at = Instant::now() + job.remaining() / MAX_WAIT_DIVISOR;
    loop {
        if job.relay.options.policy.suspects == Policy::Shipped {
            await_admission(job, give_up_at).await?;
        }
        let due = due_trials(job)?;
        if claim_trials(job, &due).await {
            return Ok(());
        }
        if Instant::now() >= give_up_at {
            return Err(Refusal::Poison {
                retry_after: RUNNER_START_TIME,
            });
        }
        sleep(ADMISSION_POLL_INTERVAL).await;
    }
}

/// Claims the trials of these contents, all or none.
async fn claim_trials<D: Downstream>(job: &Job<D>, due: &[ContentId]) -> bool {
    let order = if due.len() > 1 { JOINT_TRIAL_RANK } else { 0 };
    for (position, content) in due.iter().enumerate() {
        if !trial::claim(job, *content, order).await {
            let granted = due[..position].iter();
            granted.for_each(|content| job.relay.record_not_run(*content));
            return false;
        }
    }
    true
}

/// The quarantined contents of a request that would be tried if it were sent to a runner now.
///
/// If several of them are due, a crash would count against all, although one of them may be sound. Requests
/// that contain only one of them are therefore tried first.
///
/// # Errors
///
/// [`Refusal::Poison`] if one of them may not be tried yet.
fn due_trials<D: Downstream>(job: &Job<D>) -> Result<Vec<ContentId>, Refusal> {
    let admissions = |rank: u32| {
        let contents = job.served_contents();
        let admissions = contents.map(|content| (content, job.relay.admission(content, rank)));
        let mut due = Vec::new();
        for (content, admission) in admissions {
            match admission {
                // The crashes of a part are those of different requests, so that a coincidence of some
                // of them does not defer all that share the part.
                Admission::Turn | Admission::Deferred(_) if content != job.content => {}
                // Waited for by now, unless the request has not come to its runner yet.
                Admission::Free | Admission::Deferred(_) => {}
                Admission::Turn | Admission::Trial => due.push(content),
                Admission::Held(retry_after) => return Err(Refusal::Poison { retry_after }),
            }
        }
        Ok(due)
    };
    match admissions(0)? {
        due if due.len() > 1 => admissions(JOINT_TRIAL_RANK),
        due => Ok(due),
    }
}
