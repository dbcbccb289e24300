//! Requests that end the runners that run them, and are held back for it.
//!
//! What one process sees it announces to the others over the links of the overlay, and writes to the
//! table of the processes once a request is held back: one that starts later, or that no link leads
//! to, reads it there.

mod silence;

pub(crate) use silence::SILENCE_TIMEOUT;

use crate::batch::StageError;
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::member;
use crate::request::{ContentId, Refusal};
use crate::runner::{Runner, RunnerId};
use crate::serve::{Job, content_name};
use crate::telemetry::millis;
use protocol::quarantine::{ANNOUNCE_THRESHOLD, Admission, Merge, Quarantine, Report};
use serde::{Deserialize, Serialize};
use setting::Policy;
use slog::{info, warn};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::{Error, Put, Table, Transaction};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// One start of a runner: its name, and when it started.
pub type RunnerInstance = (RunnerId, Option<u64>);
/// What processes tell one another of a suspect.
pub type Suspicion = Report<RunnerInstance>;

/// Beginning of the keys of rows about requests that are held back.
const PREFIX: &str = "quarantine/";
/// Time between two looks whether enough runners are there.
const RUNNERS_LOOK: Duration = Duration::from_millis(50);
/// When to come back for runners that have ended: about the time that one takes to start.
const RUNNERS_RETURN: Duration = Duration::from_secs(1);
/// Pause after a row could not be written.
const PAUSE: Duration = Duration::from_millis(400);

/// What this process knows of such requests, and what of it is still to be written.
#[derive(Debug, Default)]
pub(crate) struct State {
    known: Mutex<Quarantine<RunnerInstance>>,
    /// Requests whose rows are out of date.
    unwritten: Mutex<BTreeSet<ContentId>>,
    changed: Notify,
}

impl State {
    fn rewrite(&self, content: ContentId) {
        lock(&self.unwritten).insert(content);
        self.changed.notify_one();
    }
}

/// A row about a request that is held back.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Row {
    /// Runners that it ended.
    crashes: u32,
}

pub(crate) fn instance(runner: &Runner) -> RunnerInstance {
    (runner.id.clone(), runner.started)
}

impl<D: Downstream> Relay<D> {
    /// The answer to a request was lost that had been sent to a runner at a moment.
    ///
    /// `isolated` tells whether the runner was sent nothing but such requests under which others had ended.
    pub(crate) fn record_lost_answer(
        &self,
        content: ContentId,
        runner: &Runner,
        sent: Instant,
        isolated: bool,
    ) {
        let (sent, now) = (self.at(sent), self.now());
        let mut known = lock(&self.quarantine.known);
        if isolated {
            known.isolated_answer_lost(content, instance(runner), sent, now);
        } else {
            known.answer_lost(content, instance(runner), sent, now);
        }
    }

    /// A runner has ended without a word.
    pub(crate) fn record_exit(&self, runner: &Runner) {
        let now = self.now();
        let reports = lock(&self.quarantine.known).runner_exited(&instance(runner), now);
        for report in reports {
            info!(self.log, "runner ended under a request"; "runner" => &*runner.id,
                "content" => content_name(report.content), "crashes" => report.count);
            self.announce(&report);
            if report.is_held() {
                self.quarantine.rewrite(report.content);
            }
        }
    }

    /// Takes in what another process knows of a suspect.
    pub fn merge_suspicion(self: &Arc<Self>, report: &Suspicion, origin: &str) {
        let merged = lock(&self.quarantine.known).merge(report, self.now());
        self.take_in(report.content, merged, origin);
    }

    /// A runner has answered a request as it should.
    pub(crate) fn record_answer(self: &Arc<Self>, content: ContentId, runner: &Runner) {
        let merged = {
            let mut known = lock(&self.quarantine.known);
            known.runner_observed(&instance(runner), self.now());
            if known.is_idle() {
                return;
            }
            known.answered(content, &instance(runner), self.now())
        };
        if let Merge::New { was_held: true, .. } = merged {
            self.quarantine.rewrite(content);
        }
        self.take_in(content, merged, "its answer");
    }

    /// A runner of a stage has answered a call, after which all is made of what these orders asked for.
    pub(crate) fn record_batch_answer(self: &Arc<Self>, runner: &Runner, complete: Vec<ContentId>) {
        {
            let mut known = lock(&self.quarantine.known);
            known.runner_observed(&instance(runner), self.now());
            if known.is_idle() {
                return;
            }
            known.runner_answered(&instance(runner));
        }
        for content in complete {
            self.record_answer(content, runner);
        }
    }

    /// Whether runners have ended under any request, as far as is known.
    pub(crate) fn has_suspects(&self) -> bool {
        lock(&self.quarantine.known).has_suspects()
    }

    /// Reads what is known of such requests.
    pub(crate) fn suspects<T>(&self, read: impl FnOnce(&Quarantine<RunnerInstance>) -> T) -> T {
        read(&lock(&self.quarantine.known))
    }

    /// Passes on what is new, so that it reaches all processes that links lead to, and has the row of
    /// the request follow it.
    fn take_in(self: &Arc<Self>, content: ContentId, merged: Merge, origin: &str) {
        let Merge::New { was_held, is_held } = merged else {
            return;
        };
        let report = lock(&self.quarantine.known).report(content, self.now());
        let Some(report) = report else { return };
        info!(self.log, "suspect"; "content" => content_name(content), "crashes" => report.count,
            "trials" => report.trials, "cleared_ago_ms" => report.cleared.map(millis),
            "silent" => report.silences.len(), "was_held" => was_held, "held" => is_held,
            "from" => origin);
        if is_announced(&report) {
            self.announce(&report);
        }
        let is_home = || {
            self.peers
                .members(|members| members.owner(&key(content)).id)
        };
        if report.silences.len() >= ANNOUNCE_THRESHOLD as usize
            && is_home() == self.options.member.id
        {
            self.check_silent(&report);
        }
        if was_held != is_held && self.order(content) == 0 {
            self.quarantine.rewrite(content);
        }
    }

    fn announce(&self, report: &Suspicion) {
        self.telemetry
            .held(lock(&self.quarantine.known).held_count());
        self.peers.announce_suspicion(report);
    }

    /// What a new peer is told.
    pub(crate) fn suspicions(&self) -> Vec<Suspicion> {
        lock(&self.quarantine.known).reports(self.now())
    }

    /// A hash of what is known of suspects.
    pub(crate) fn suspicions_digest(&self) -> u64 {
        lock(&self.quarantine.known).digest()
    }

    /// Whether runners have ended under a request.
    pub(crate) fn is_suspect(&self, content: ContentId) -> bool {
        lock(&self.quarantine.known).is_suspect(content)
    }

    /// Whether a request is held back here.
    #[must_use]
    pub fn is_quarantined(&self, content: ContentId) -> bool {
        lock(&self.quarantine.known).is_held(content)
    }

    /// The place of this process among those that try a request again.
    fn order(&self, content: ContentId) -> u32 {
        let row = key(content);
        self.peers.members(|members| members.takeover_rank(&row))
    }

    fn admission(&self, content: ContentId) -> Admission {
        let now = self.now();
        // The place is looked up only where it matters.
        let admission = lock(&self.quarantine.known).admission(content, 0, now);
        if admission == Admission::Free {
            return admission;
        }
        let order = self.order(content);
        lock(&self.quarantine.known).admission(content, order, now)
    }
}

/// Whether all processes must know of it: one silent runner may be slow.
fn is_announced(report: &Suspicion) -> bool {
    let concerns_all = !report.crashes.is_empty() || report.cleared.is_some();
    concerns_all || report.tried.is_some() || report.silences.len() >= ANNOUNCE_THRESHOLD as usize
}

/// Whether a request may be worked for.
///
/// # Errors
///
/// [`Refusal::Poison`] if it, or what it asks for of one of its stages, is held back.
pub(crate) fn admit<D: Downstream>(job: &Job<D>) -> Result<(), Refusal> {
    let held = job.contents().filter_map(|content| held(job, content));
    match held.max() {
        Some(retry_after) => Err(Refusal::Poison { retry_after }),
        None => Ok(()),
    }
}

/// For how long a content of a request is still held back.
fn held<D: Downstream>(job: &Job<D>, content: ContentId) -> Option<Duration> {
    let Admission::Held(left) = job.relay.admission(content) else {
        return None;
    };
    lock(&job.relay.quarantine.known).touch(content, job.relay.now());
    Some(left)
}

/// Whether the pieces of a stage are sent to a runner only to learn whether they still should be held
/// back; counts that as the trial.
///
/// # Errors
///
/// [`StageError::Poison`] if they are held back.
pub(crate) fn begin_stage<D: Downstream>(job: &Job<D>, stage: usize) -> Result<bool, StageError> {
    let content = job.stage_content(stage);
    match job.relay.admission(content) {
        Admission::Free => Ok(false),
        Admission::Held(_) => Err(StageError::Poison),
        Admission::Trial => {
            begin_trial(job, content);
            Ok(true)
        }
    }
}

/// When a request may come back whose pieces are held back, as the process knows that makes them.
pub(crate) fn retry_after<D: Downstream>(job: &Job<D>) -> Duration {
    let held = job.contents().filter_map(|content| held(job, content));
    held.max().unwrap_or(RUNNERS_RETURN)
}

fn begin_trial<D: Downstream>(job: &Job<D>, content: ContentId) {
    info!(job.relay.log, "poison request tried again"; "request" => &*job.request.id,
        "content" => content_name(content));
    let report = lock(&job.relay.quarantine.known).begin_trial(content, job.relay.now());
    if let Some(report) = report {
        job.relay.announce(&report);
    }
}

/// Waits until a request under which runners have ended may be sent to one, beside what is left of its
/// service.
///
/// Each attempt may end one more. Sent on at once, a single request takes down all of the few runners
/// of a small service, and nobody is served until one is back.
///
/// # Errors
///
/// [`Refusal::Poison`] if too few runners are left for half of the caller's time.
async fn await_runners<D: Downstream>(job: &Job<D>) -> Result<(), Refusal> {
    let since = Instant::now();
    let patience = job.remaining() / 2;
    loop {
        let standing = job.relay.standing(&job.service);
        let (may_run, crashes) = {
            let known = lock(&job.relay.quarantine.known);
            let now = job.relay.now();
            let risk = match known.risk(job.content, now) {
                // A single answer was lost, or is late, at a runner that may live.
                risk if risk < ANNOUNCE_THRESHOLD && known.crashes(job.content) == 0 => 0,
                risk => risk,
            };
            let may_spread = known.may_spread(job.content, now);
            (may_spread && standing.allows_attempt(risk), risk)
        };
        let waited = since.elapsed();
        let outcome = match (may_run, waited >= patience) {
            (true, _) if waited < RUNNERS_LOOK => return Ok(()),
            (true, _) => "sent",
            (false, true) => "given up",
            (false, false) => {
                sleep(RUNNERS_LOOK).await;
                continue;
            }
        };
        info!(job.relay.log, "suspect waited for runners"; "request" => &*job.request.id,
            "content" => content_name(job.content), "crashes" => crashes, "up" => standing.up,
            "down" => standing.down, "runners_age_ms" => job.relay.runner_list_age().map(millis),
            "waited_ms" => millis(waited), "outcome" => outcome);
        return match may_run {
            true => Ok(()),
            false => Err(Refusal::Poison {
                retry_after: RUNNERS_RETURN,
            }),
        };
    }
}

/// Whether a request may be sent to a runner now; counts it as the trial if it is one.
///
/// Asked again here because its stages take time, in which others may have ended runners with it.
///
/// # Errors
///
/// [`Refusal::Poison`] if it is held back, also if too few runners are left to risk one.
pub(crate) async fn admit_attempt<D: Downstream>(job: &Job<D>) -> Result<(), Refusal> {
    if job.relay.options.policy.suspects == Policy::Shipped {
        await_runners(job).await?;
    }
    match job.relay.admission(job.content) {
        Admission::Free => {}
        Admission::Trial => begin_trial(job, job.content),
        Admission::Held(retry_after) => return Err(Refusal::Poison { retry_after }),
    }
    Ok(())
}

fn key(content: ContentId) -> String {
    format!("{PREFIX}{}", content_name(content))
}

/// Takes in a row of the table of the processes, if it is about a request that is held back.
pub(crate) fn apply_row<D: Downstream>(relay: &Arc<Relay<D>>, change: &store::Change) -> bool {
    let Some(name) = change.key.strip_prefix(PREFIX) else {
        return false;
    };
    let Ok(content) = ContentId::from_str_radix(name, 16) else {
        warn!(relay.log, "row of a poison request unreadable"; "row" => &change.key);
        return true;
    };
    let now = relay.now();
    let merged = match change.value.as_ref().map(Row::deserialize) {
        Some(Ok(row)) => lock(&relay.quarantine.known).restore(content, row.crashes, now),
        // Links tell sooner. What is newer than this says has been announced there as well.
        None => lock(&relay.quarantine.known).discard_restored(content, member::MAX_AGE, now),
        Some(Err(error)) => {
            warn!(relay.log, "row of a poison request unreadable"; "row" => &change.key, "error" => %error);
            return true;
        }
    };
    relay.take_in(content, merged, "its row");
    true
}

/// Forgets suspects that nobody has asked for in a long time.
pub(crate) fn expire<D: Downstream>(relay: &Relay<D>) {
    let forgotten = lock(&relay.quarantine.known).forget_old(relay.now());
    for content in forgotten {
        info!(relay.log, "poison request forgotten"; "content" => content_name(content));
        if relay.order(content) == 0 {
            relay.quarantine.rewrite(content);
        }
    }
}

/// Has the rows written again that a table service lacks which came back from an older copy.
pub(crate) fn rewrite_rows<D: Downstream>(relay: &Relay<D>) {
    let suspicions = relay.suspicions().into_iter();
    let held = suspicions.filter(Report::is_held);
    for suspicion in held.filter(|suspicion| relay.order(suspicion.content) == 0) {
        relay.quarantine.rewrite(suspicion.content);
    }
}

/// Keeps the rows of requests that are held back until the task is dropped.
pub async fn write_rows<D: Downstream, T: Table>(relay: Arc<Relay<D>>, table: T) {
    loop {
        let next = lock(&relay.quarantine.unwritten).pop_first();
        let Some(content) = next else {
            relay.quarantine.changed.notified().await;
            continue;
        };
        let written = table.transact(&write(&relay, content)).await;
        if let Err(error @ Error::Conflict { .. }) = &written {
            warn!(relay.log, "row of a poison request cannot be written";
                "content" => content_name(content), "error" => %error);
        } else if let Err(error) = written {
            info!(relay.log, "row of a poison request not written yet";
                "content" => content_name(content), "error" => %error);
            relay.quarantine.rewrite(content);
            sleep(PAUSE).await;
        }
    }
}

/// The row of a request as it should be; none if it is not held back.
fn write<D: Downstream>(relay: &Relay<D>, content: ContentId) -> Transaction {
    let report = lock(&relay.quarantine.known).report(content, relay.now());
    let held = report.filter(Report::is_held);
    let row = held.map(|report| {
        serde_json::json!(Row {
            crashes: report.count
        })
    });
    let put = Put {
        table: member::TABLE.to_owned(),
        key: key(content),
        value: row,
    };
    Transaction {
        checks: Vec::new(),
        puts: vec![put],
    }
}
