//! The journal of durable requests, which survive the failure of the entry that accepted them.
//!
//! A request of a durable pipeline is written to the table service before it runs. Its row is a
//! lease on the request: the entry that runs the request rewrites the row every few seconds. If
//! another entry has seen the row unchanged for long enough, measured by its own clock, it takes
//! the request over with a write that is conditional on the row's revision. If the first entry was
//! only suspended, it finds its row changed and stores no answer. Both may then have run the
//! stages, so every stage of a durable pipeline must be repeatable.
//!
//! * [`row`]: the row of a request
//! * [`sweep`]: finds requests whose entry has stopped or crashed

pub mod row;
pub mod sweep;

use crate::job::Job;
use crate::journal::row::JournalEntry;
use crate::writes::{RowKey, WriteOutcome, Writes};
use foldhash::fast::RandomState;
use protocol::RequestId;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::Table;
use store::table::RowRevision;
use tokio::time::{Instant, sleep};

/// Table that stores the journal.
pub const JOURNAL: &str = "journal";
/// Maximum time to resolve the outcome of a write.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between attempts to resolve the outcome.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Outcome of inserting a request into the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The request is in the journal.
    Written,
    /// The request is not in the journal and will not appear there.
    Refused,
    /// The request may be in the journal or may appear there later.
    Unknown,
}

/// A journalled request that this entry runs.
#[derive(Clone, Debug)]
struct RunningRequest {
    entry: JournalEntry,
    revision: RowRevision,
}

/// The journalled requests that this entry runs.
#[derive(Debug)]
pub struct Journal {
    writes: Writes,
    renew_interval: Duration,
    running: Mutex<HashMap<RequestId, RunningRequest, RandomState>>,
}

fn row_key(request: RequestId) -> RowKey {
    RowKey {
        table: JOURNAL,
        key: row::key(request),
    }
}

/// Whether a request is in the journal.
pub async fn contains(table: &impl Table, request: RequestId) -> bool {
    let row = table.read(JOURNAL, &row::key(request)).await;
    matches!(row, Ok(Some(_)))
}

impl Journal {
    /// Creates a journal that writes through this queue and renews its rows at this interval.
    #[must_use]
    pub fn new(writes: Writes, renew_interval: Duration) -> Self {
        Self {
            writes,
            renew_interval,
            running: Mutex::default(),
        }
    }

    /// Inserts a request before it runs.
    ///
    /// A write whose answer was lost may still take effect, and another entry would then run a
    /// request that was reported to its caller as *not run*. The write is therefore repeated until
    /// its outcome is known.
    pub async fn insert(&self, job: &Job, owner: &str) -> InsertOutcome {
        let entry = JournalEntry::new(job, owner);
        let give_up_at = Instant::now() + RESOLVE_TIMEOUT;
        let mut unsure = false;
        loop {
            let outcome = self.writes.write(row_key(job.id), None, Some(&entry)).await;
            match outcome {
                WriteOutcome::Written(revision) => {
                    return self.record_written(job.id, entry, revision);
                }
                // No other request writes this key, so the row was written by an earlier attempt.
                WriteOutcome::Conflict(Some(row)) => {
                    return self.record_written(job.id, entry, row.revision);
                }
                WriteOutcome::Conflict(None) => {}
                WriteOutcome::Unavailable if !unsure => return InsertOutcome::Refused,
                WriteOutcome::Unavailable => {}
                WriteOutcome::Unsure => unsure = true,
            }
            if Instant::now() > give_up_at {
                return InsertOutcome::Unknown;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Takes over a request whose entry has stopped or crashed. Returns the updated journal entry
    /// if this entry is now the one to run the request.
    pub async fn take_over(
        &self,
        request: RequestId,
        entry: JournalEntry,
        revision: RowRevision,
        owner: &str,
    ) -> Option<JournalEntry> {
        let entry = entry.taken_over(owner);
        let row_key = row_key(request);
        let outcome = self
            .writes
            .write(row_key, Some(revision), Some(&entry))
            .await;
        let WriteOutcome::Written(revision) = outcome else {
            // If only the answer was lost, the row stays unchanged and the request is taken over
            // again later.
            return None;
        };
        self.record_written(request, entry.clone(), revision);
        Some(entry)
    }

    fn record_written(
        &self,
        request: RequestId,
        entry: JournalEntry,
        revision: RowRevision,
    ) -> InsertOutcome {
        self.lock()
            .insert(request, RunningRequest { entry, revision });
        InsertOutcome::Written
    }

    /// Whether this entry runs the request.
    pub fn is_running(&self, request: RequestId) -> bool {
        self.lock().contains_key(&request)
    }

    /// Removes a request from the journal. Returns whether it is known to be removed.
    ///
    /// Until then, another entry may run it.
    pub async fn remove(&self, request: RequestId) -> bool {
        let give_up_at = Instant::now() + RESOLVE_TIMEOUT;
        loop {
            let Some(running) = self.lock().get(&request).cloned() else {
                return false;
            };
            let nothing = None::<&JournalEntry>;
            let outcome = self
                .writes
                .write(row_key(request), Some(running.revision), nothing)
                .await;
            match outcome {
                WriteOutcome::Written(_) | WriteOutcome::Conflict(None) => {
                    self.lock().remove(&request);
                    return true;
                }
                WriteOutcome::Conflict(Some(row)) => {
                    if !self.check_owner(request, row) {
                        return false;
                    }
                }
                WriteOutcome::Unavailable | WriteOutcome::Unsure => {}
            }
            if Instant::now() > give_up_at {
                // The row remains, and the entry that takes it over finds the stored answer.
                self.lock().remove(&request);
                return false;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Renews the rows of the requests that run here, until the entry stops.
    pub async fn renew_all(&self) {
        loop {
            sleep(self.renew_interval).await;
            let running: Vec<RequestId> = self.lock().keys().copied().collect();
            let renewals = running.into_iter().map(|request| self.renew(request));
            futures::future::join_all(renewals).await;
        }
    }

    async fn renew(&self, request: RequestId) {
        let Some(mut running) = self.lock().get(&request).cloned() else {
            return;
        };
        running.entry.beat += 1;
        let row_key = row_key(request);
        let outcome = self
            .writes
            .write(row_key, Some(running.revision), Some(&running.entry))
            .await;
        match outcome {
            WriteOutcome::Written(revision) => {
                if let Some(current) = self.lock().get_mut(&request) {
                    *current = RunningRequest {
                        revision,
                        ..running
                    };
                }
            }
            WriteOutcome::Conflict(Some(row)) => {
                self.check_owner(request, row);
            }
            WriteOutcome::Conflict(None) => {
                self.lock().remove(&request);
            }
            WriteOutcome::Unavailable | WriteOutcome::Unsure => {}
        }
    }

    /// Handles a row with an unexpected revision. Returns whether this entry still owns it: the row
    /// was written either by an own renewal whose answer was lost, or by another entry that has
    /// taken the request over.
    fn check_owner(&self, request: RequestId, row: store::Row) -> bool {
        let revision = row.revision;
        let found: Option<JournalEntry> = crate::config::rows::parse(row).ok();
        let mut all = self.lock();
        let Some(running) = all.get_mut(&request) else {
            return false;
        };
        if found.is_some_and(|found| found.owner == running.entry.owner) {
            running.revision = revision;
            return true;
        }
        all.remove(&request);
        false
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, RunningRequest, RandomState>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
