//! Quarantine of poison requests, which crash the runners that serve them.
//!
//! Each process announces what it observes over the links of the overlay. Once a request is quarantined, it
//! also writes a row to the membership table, for processes that start later or that no link reaches.

mod admission;
mod silence;
mod trial;

pub(crate) use admission::{admit, admit_attempt, begin_stage, retry_after};
pub(crate) use protocol::quarantine::SILENCE_TIMEOUT;
pub use trial::{TrialClaim, TrialReply};

use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::member;
use crate::request::ContentId;
use crate::runner::{Runner, RunnerId};
use crate::serve::content_name;
use crate::telemetry::millis;
use protocol::quarantine::{
    ANNOUNCE_THRESHOLD, Admission, Merge, Quarantine, RecentAnswers, Report,
};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::{Error, Put, Table, Transaction};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// A runner between two of its starts: its name and start time.
pub type RunnerInstance = (RunnerId, Option<u64>);
/// State of a suspect request, as processes exchange it.
pub type Suspicion = Report<RunnerInstance>;

/// Key prefix of the rows of quarantined requests.
const PREFIX: &str = "quarantine/";
/// Delay before a failed write of a row is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Suspect requests that this process knows of, and the rows that it still has to write.
#[derive(Debug, Default)]
pub(crate) struct State {
    known: Mutex<Quarantine<RunnerInstance>>,
    answered_parts: Mutex<RecentAnswers>,
    /// Requests whose rows are out of date.
    outdated: Mutex<BTreeSet<ContentId>>,
    changed: Notify,
}

impl State {
    fn schedule_write(&self, content: ContentId) {
        lock(&self.outdated).insert(content);
        self.changed.notify_one();
    }
}

/// Row of a quarantined request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Row {
    /// Number of runners that crashed while they served the request.
    crashes: u32,
}

pub(crate) fn instance(runner: &Runner) -> RunnerInstance {
    (runner.id.clone(), runner.started)
}

impl<D: Downstream> Relay<D> {
    /// Records that the response to a request was lost. `sent` is when the runner was sent the request.
    ///
    /// `isolated` is whether the runner was serving nothing but suspect requests.
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

    /// Records that an attempt of a request has reached no runner.
    pub(crate) fn record_not_run(&self, content: ContentId) {
        lock(&self.quarantine.known).attempt_not_run(content);
    }

    /// Records that a runner has exited without announcing it.
    pub(crate) fn record_exit(&self, runner: &Runner) {
        let now = self.now();
        let reports = lock(&self.quarantine.known).runner_exited(&instance(runner), now);
        for report in reports {
            info!(self.log, "runner exited during a request"; "runner" => &*runner.id,
                "content" => content_name(report.content), "exits" => report.count,
                "crashes" => self.suspects(|known| known.distinct_crashes(report.content)));
            self.announce(&report);
            if report.is_held() {
                self.quarantine.schedule_write(report.content);
            }
        }
    }

    /// Merges what another process knows of a suspect.
    pub fn merge_suspicion(self: &Arc<Self>, report: &Suspicion, origin: &str) {
        let merged = lock(&self.quarantine.known).merge(report, self.now());
        self.propagate(report.content, merged, origin);
    }

    /// Records that a runner has served a request with these contents successfully.
    pub(crate) fn record_answer(self: &Arc<Self>, contents: &[ContentId], runner: &Runner) {
        let merged: Vec<Merge> = {
            let mut known = lock(&self.quarantine.known);
            let (runner, now) = (instance(runner), self.now());
            known.runner_observed(&runner, now);
            let contents = contents.iter();
            contents
                .clone()
                .for_each(|content| known.request_answered(*content, now));
            if known.is_idle() {
                return;
            }
            contents
                .map(|content| known.answered(*content, &runner, now))
                .collect()
        };
        for (content, merged) in contents.iter().zip(merged) {
            if let Merge::New { was_held: true, .. } = merged {
                self.quarantine.schedule_write(*content);
            }
            self.propagate(*content, merged, "response");
        }
    }

    /// Records a complete response to a request with these prompt parts.
    pub(crate) fn record_answered_parts(&self, parts: &[ContentId]) {
        let now = self.now();
        let mut answered = lock(&self.quarantine.answered_parts);
        parts.iter().for_each(|part| answered.record(*part, now));
    }

    /// Whether a request with this prompt part has been answered completely since `moment`.
    pub(crate) fn is_part_answered_since(&self, part: ContentId, moment: Instant) -> bool {
        lock(&self.quarantine.answered_parts).is_answered_since(part, self.at(moment))
    }

    /// Records that a stage runner has answered a call; `complete` lists the requests whose pieces are all
    /// made now.
    pub(crate) fn record_batch_answer(self: &Arc<Self>, runner: &Runner, complete: &[ContentId]) {
        {
            let mut known = lock(&self.quarantine.known);
            known.runner_observed(&instance(runner), self.now());
            if known.is_idle() {
                return;
            }
            known.runner_answered(&instance(runner));
        }
        self.record_answer(complete, runner);
    }

    /// Whether runners are known to have exited or become unresponsive during any request.
    pub(crate) fn has_suspects(&self) -> bool {
        lock(&self.quarantine.known).has_suspects()
    }

    /// Reads the quarantine state.
    pub(crate) fn suspects<T>(&self, read: impl FnOnce(&Quarantine<RunnerInstance>) -> T) -> T {
        read(&lock(&self.quarantine.known))
    }

    /// Forwards new information on a suspect, so that it reaches all linked processes, and schedules an
    /// update of the request's row.
    fn propagate(self: &Arc<Self>, content: ContentId, merged: Merge, origin: &str) {
        let Merge::New { was_held, is_held } = merged else {
            return;
        };
        let (report, distinct) = {
            let known = lock(&self.quarantine.known);
            (
                known.report(content, self.now()),
                known.distinct_crashes(content),
            )
        };
        let Some(report) = report else { return };
        info!(self.log, "suspect"; "content" => content_name(content), "crashes" => distinct,
            "exits" => report.count, "trials" => report.trials, "cleared_ago_ms" => report.cleared.map(millis),
            "silent" => report.silences.len(), "was_held" => was_held, "held" => is_held,
            "from" => origin);
        if self.must_announce(&report) {
            self.announce(&report);
        }
        let owner = || {
            self.peers
                .members(|members| members.owner(&key(content)).id)
        };
        if report.silences.len() >= ANNOUNCE_THRESHOLD as usize && owner() == self.options.member.id
        {
            self.check_silent(&report);
        }
        if was_held != is_held && self.row_rank(content) == 0 {
            self.quarantine.schedule_write(content);
        }
    }

    /// Whether a report must be sent to all processes. A single unresponsive runner may merely be slow; it is
    /// reported to the process that counts them, unless processes may disagree on which one that is.
    fn must_announce(&self, report: &Suspicion) -> bool {
        concerns_all(report) || self.peers.members(|members| members.is_changing())
    }

    fn announce(&self, report: &Suspicion) {
        self.telemetry
            .held(lock(&self.quarantine.known).held_count());
        self.peers.announce_suspicion(report);
    }

    /// All suspects, as they are sent to a newly linked peer.
    pub(crate) fn suspicions(&self) -> Vec<Suspicion> {
        lock(&self.quarantine.known).reports(self.now())
    }

    /// Hash of the quarantine state, for comparison with other processes.
    pub(crate) fn suspicions_digest(&self) -> u64 {
        lock(&self.quarantine.known).digest()
    }

    /// Whether a request is a suspect.
    pub(crate) fn is_suspect(&self, content: ContentId) -> bool {
        lock(&self.quarantine.known).is_suspect(content)
    }

    /// Whether this process currently quarantines a request.
    #[must_use]
    pub fn is_quarantined(&self, content: ContentId) -> bool {
        lock(&self.quarantine.known).is_held(content)
    }

    /// Position of this process in the order in which processes write the row of a quarantined request.
    fn row_rank(&self, content: ContentId) -> u32 {
        let row = key(content);
        self.peers.members(|members| members.takeover_rank(&row))
    }

    /// Whether a content may be sent to a runner now, or tried by a request at this place in the order of
    /// trials.
    fn admission(&self, content: ContentId, order: u32) -> Admission {
        lock(&self.quarantine.known).admission(content, order, self.now())
    }
}

/// Whether a report shows more than a single unresponsive runner.
fn concerns_all(report: &Suspicion) -> bool {
    let is_suspect = !report.crashes.is_empty() || report.cleared.is_some();
    is_suspect || report.tried.is_some() || report.silences.len() >= ANNOUNCE_THRESHOLD as usize
}

fn key(content: ContentId) -> String {
    format!("{PREFIX}{}", content_name(content))
}

/// Applies a changed row of the membership table if it is that of a quarantined request, and returns
/// whether it is.
pub(crate) fn apply_row<D: Downstream>(relay: &Arc<Relay<D>>, change: &store::Change) -> bool {
    let Some(name) = change.key.strip_prefix(PREFIX) else {
        return false;
    };
    let Ok(content) = ContentId::from_str_radix(name, 16) else {
        warn!(relay.log, "invalid quarantine row"; "row" => &change.key);
        return true;
    };
    let now = relay.now();
    let merged = match change.value.as_ref().map(Row::deserialize) {
        Some(Ok(row)) => lock(&relay.quarantine.known).restore(content, row.crashes, now),
        // Links are faster than the table, so anything newer than this row has been announced over them.
        None => lock(&relay.quarantine.known).discard_restored(content, member::MAX_AGE, now),
        Some(Err(error)) => {
            warn!(relay.log, "invalid quarantine row"; "row" => &change.key, "error" => %error);
            return true;
        }
    };
    relay.propagate(content, merged, "row");
    true
}

/// Removes suspects that have not been requested for a long time.
pub(crate) fn expire<D: Downstream>(relay: &Relay<D>) {
    let expired = lock(&relay.quarantine.known).forget_old(relay.now());
    for content in expired {
        info!(relay.log, "quarantined request expired"; "content" => content_name(content));
        if relay.row_rank(content) == 0 {
            relay.quarantine.schedule_write(content);
        }
    }
}

/// Schedules the rows of quarantined requests for writing after the table service was restored from an older
/// backup.
pub(crate) fn rewrite_rows<D: Downstream>(relay: &Relay<D>) {
    let suspicions = relay.suspicions().into_iter();
    let quarantined = suspicions.filter(Report::is_held);
    for suspicion in quarantined.filter(|suspicion| relay.row_rank(suspicion.content) == 0) {
        relay.quarantine.schedule_write(suspicion.content);
    }
}

/// Writes the rows of quarantined requests until the task is dropped.
pub async fn write_rows<D: Downstream, T: Table>(relay: Arc<Relay<D>>, table: T) {
    loop {
        let next = lock(&relay.quarantine.outdated).pop_first();
        let Some(content) = next else {
            relay.quarantine.changed.notified().await;
            continue;
        };
        let written = table.transact(&row_update(&relay, content)).await;
        if let Err(error @ Error::Conflict { .. }) = &written {
            warn!(relay.log, "quarantine row rejected by the table service";
                "content" => content_name(content), "error" => %error);
        } else if let Err(error) = written {
            info!(relay.log, "quarantine row not written, will retry";
                "content" => content_name(content), "error" => %error);
            relay.quarantine.schedule_write(content);
            sleep(WRITE_RETRY_DELAY).await;
        }
    }
}

/// The transaction that brings a request's row up to date; it deletes the row unless the request is
/// quarantined.
fn row_update<D: Downstream>(relay: &Relay<D>, content: ContentId) -> Transaction {
    let report = lock(&relay.quarantine.known).report(content, relay.now());
    let quarantined = report.filter(Report::is_held);
    let row = quarantined.map(|report| {
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
