//! Requests that end the runners that run them, and are held back for it.
//!
//! What one process sees it tells the others over the links that carry orders, and writes to the
//! table of the processes once a request is held back: one that starts later, or that no link leads
//! to, reads it there.

use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::request::{ContentId, Refusal};
use crate::runner::{Runner, RunnerId};
use crate::serve::{Job, content_name};
use protocol::quarantine::{Pass, Quarantine, Report};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::{Error, Put, Table, Transaction};
use tokio::sync::Notify;
use tokio::time::sleep;

/// One start of a runner: its name, and when it started.
pub type Start = (RunnerId, Option<u64>);
/// What processes tell one another of a suspect.
pub type Suspicion = Report<Start>;

/// Beginning of the keys of rows about requests that are held back.
const PREFIX: &str = "quarantine/";
/// Pause after a row could not be written.
const PAUSE: Duration = Duration::from_millis(400);

/// What this process knows of such requests, and what of it is still to be written.
#[derive(Debug, Default)]
pub(crate) struct State {
    known: Mutex<Quarantine<Start>>,
    /// Requests whose rows are out of date.
    unwritten: Mutex<BTreeSet<ContentId>>,
    changed: Notify,
    /// Runners that are being looked for.
    looking: Mutex<BTreeSet<Start>>,
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

fn start(runner: &Runner) -> Start {
    (runner.id.clone(), runner.started)
}

impl<D: Downstream> Relay<D> {
    /// The answer to a request was lost while a runner ran it.
    pub(crate) fn note_lost(&self, content: ContentId, runner: &Runner) {
        let now = self.now();
        lock(&self.quarantine.known).lost(content, start(runner), now);
    }

    /// A runner has ended without a word.
    pub(crate) fn note_ended(&self, runner: &Runner) {
        let now = self.now();
        let reports = lock(&self.quarantine.known).ended(&start(runner), now);
        for report in reports {
            info!(self.log, "runner ended under a request"; "runner" => &*runner.id,
                "content" => content_name(report.content), "crashes" => report.count);
            self.pass_on(&report);
            if report.is_held() {
                self.quarantine.rewrite(report.content);
            }
        }
    }

    /// Takes in what another process tells of a suspect.
    pub fn hear_suspicion(&self, report: &Suspicion, origin: &str) {
        let now = self.now();
        let known = {
            let mut known = lock(&self.quarantine.known);
            if !known.hear(report, now) {
                return;
            }
            known.report(report.content, now)
        };
        let Some(known) = known else { return };
        info!(self.log, "suspect told"; "content" => content_name(known.content),
            "crashes" => known.count, "from" => origin);
        self.pass_on(&known);
    }

    /// Tells the linked processes of a suspect. Each passes on what is new to it, so that all hear of it that
    /// any link leads to.
    fn pass_on(&self, report: &Suspicion) {
        self.telemetry.held(lock(&self.quarantine.known).held());
        self.peers.announce_suspicion(report);
    }

    /// A runner has answered a request as it should.
    pub(crate) fn note_served(&self, content: ContentId) {
        if lock(&self.quarantine.known).is_idle() {
            return;
        }
        if self.clear(content, "its answer") {
            self.quarantine.rewrite(content);
        }
    }

    /// Another process says that a request has been answered.
    pub(crate) fn hear_cleared(&self, content: ContentId, origin: &str) {
        self.clear(content, origin);
    }

    /// Tells whether the request had been held back.
    fn clear(&self, content: ContentId, origin: &str) -> bool {
        let now = self.now();
        let (held, count) = {
            let mut known = lock(&self.quarantine.known);
            let Some(held) = known.clear(content, now) else {
                return false;
            };
            (held, known.held())
        };
        info!(self.log, "suspect cleared"; "content" => content_name(content), "held" => held,
            "by" => origin);
        self.telemetry.held(count);
        self.peers.announce_cleared(content);
        held
    }

    /// What a new peer is told.
    pub(crate) fn suspicions(&self) -> Vec<Suspicion> {
        lock(&self.quarantine.known).reports(self.now())
    }

    /// Whether this process is the one that tries a request again.
    fn tries(&self, content: ContentId) -> bool {
        let row = key(content);
        let owner = self.peers.members(|members| members.owner(&row));
        owner.id == self.options.member.id
    }

    fn pass(&self, content: ContentId) -> Pass {
        if lock(&self.quarantine.known).is_idle() {
            return Pass::Free;
        }
        let tries = self.tries(content);
        lock(&self.quarantine.known).pass(content, tries, self.now())
    }
}

/// Looks whether a runner has ended that has just lost an answer.
///
/// Its entry may stay for seconds, in which the request that ended it would end the next ones.
pub(crate) fn look_for<D: Downstream>(relay: &Arc<Relay<D>>, runner: &Arc<Runner>) {
    let looked_for = start(runner);
    if !lock(&relay.quarantine.looking).insert(looked_for.clone()) {
        return;
    }
    let (relay, runner) = (relay.clone(), runner.clone());
    tokio::spawn(async move {
        if relay.downstream.has_ended(&runner).await {
            relay.note_ended(&runner);
        }
        lock(&relay.quarantine.looking).remove(&looked_for);
    });
}

/// Whether a request may be worked for.
///
/// # Errors
///
/// [`Refusal::Poison`] if it is held back.
pub(crate) fn admit<D: Downstream>(job: &Job<D>) -> Result<Pass, Refusal> {
    match job.relay.pass(job.content) {
        Pass::Held(retry_after) => {
            lock(&job.relay.quarantine.known).asked(job.content, job.relay.now());
            Err(Refusal::Poison { retry_after })
        }
        pass => Ok(pass),
    }
}

/// Whether a request may be sent to a runner now; counts it as the trial if it is one.
///
/// Asked again here because its stages take time, in which others may have ended runners with it.
///
/// # Errors
///
/// As [`admit`].
pub(crate) fn begin<D: Downstream>(job: &Job<D>) -> Result<(), Refusal> {
    if admit(job)? == Pass::Trial {
        info!(job.relay.log, "poison request tried again"; "request" => &*job.request.id,
            "content" => content_name(job.content));
        lock(&job.relay.quarantine.known).begin_trial(job.content, job.relay.now());
    }
    Ok(())
}

fn key(content: ContentId) -> String {
    format!("{PREFIX}{}", content_name(content))
}

/// Takes in a row of the table of the processes, if it is about a request that is held back.
pub(crate) fn take<D: Downstream>(relay: &Relay<D>, change: &store::Change) -> bool {
    let Some(name) = change.key.strip_prefix(PREFIX) else {
        return false;
    };
    let Ok(content) = ContentId::from_str_radix(name, 16) else {
        warn!(relay.log, "row of a poison request unreadable"; "row" => &change.key);
        return true;
    };
    let Some(value) = &change.value else {
        relay.hear_cleared(content, "its row");
        return true;
    };
    match Row::deserialize(value) {
        Ok(row) => {
            let report = Report {
                content,
                crashes: Vec::new(),
                count: row.crashes,
            };
            relay.hear_suspicion(&report, "its row");
        }
        Err(error) => {
            warn!(relay.log, "row of a poison request unreadable"; "row" => &change.key, "error" => %error);
        }
    }
    true
}

/// Forgets suspects that nobody has asked for in a long time.
pub(crate) fn forget_old<D: Downstream>(relay: &Relay<D>) {
    let forgotten = lock(&relay.quarantine.known).forget_old(relay.now());
    for content in forgotten {
        info!(relay.log, "poison request forgotten"; "content" => content_name(content));
        if relay.tries(content) {
            relay.quarantine.rewrite(content);
        }
    }
}

/// Has the rows written again that a table service lacks which came back from an older copy.
pub(crate) fn write_again<D: Downstream>(relay: &Relay<D>) {
    let suspicions = relay.suspicions().into_iter();
    let held = suspicions.filter(Report::is_held);
    for suspicion in held.filter(|suspicion| relay.tries(suspicion.content)) {
        relay.quarantine.rewrite(suspicion.content);
    }
}

/// Keeps the rows of requests that are held back until the task is dropped.
pub async fn keep<D: Downstream, T: Table>(relay: Arc<Relay<D>>, table: T) {
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
        table: crate::member::TABLE.to_owned(),
        key: key(content),
        value: row,
    };
    Transaction {
        checks: Vec::new(),
        puts: vec![put],
    }
}
