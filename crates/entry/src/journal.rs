//! The journal of durable requests: they outlive the entry that accepted them.
//!
//! A request of a durable pipeline is written to the table service before it runs. Its row is a
//! lease on the request: the entry that runs it rewrites the row every few seconds, and another
//! entry that has seen the row unchanged for long enough, on its own clock, takes it over with a
//! write that expects the row as it was. An entry that was only frozen finds its row changed and
//! keeps no answer. Both may then have run the stages, which is why every stage of a durable
//! pipeline must be repeatable.
//!
//! * [`row`]: the row of a request
//! * [`sweep`]: finds requests whose entry is gone

pub mod row;
pub mod sweep;

use crate::job::Job;
use crate::journal::row::Entry;
use crate::writes::{Fate, Place, Writes};
use foldhash::fast::RandomState;
use protocol::RequestId;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::Table;
use store::table::RowRevision;
use tokio::time::{Instant, sleep};

/// Table of the journal.
pub const JOURNAL: &str = "journal";
/// How long a write whose fate is not known is looked after.
const SETTLE: Duration = Duration::from_secs(5);
/// Pause between attempts to settle it.
const PAUSE: Duration = Duration::from_millis(100);

/// What became of a request's entry in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begun {
    /// It is in the journal.
    Written,
    /// It is not, and never will be.
    Refused,
    /// It may be, or may come to be.
    Unknown,
}

/// A journalled request that this entry runs.
#[derive(Clone, Debug)]
struct Held {
    entry: Entry,
    revision: RowRevision,
}

/// The journalled requests that this entry runs.
#[derive(Debug)]
pub struct Journal {
    writes: Writes,
    pulse: Duration,
    held: Mutex<HashMap<RequestId, Held, RandomState>>,
}

fn place(request: RequestId) -> Place {
    Place {
        table: JOURNAL,
        key: row::key(request),
    }
}

/// Whether a request is in the journal.
pub async fn has(table: &impl Table, request: RequestId) -> bool {
    let row = table.read(JOURNAL, &row::key(request)).await;
    matches!(row, Ok(Some(_)))
}

impl Journal {
    /// A journal that is written through this queue and whose rows are rewritten this often.
    #[must_use]
    pub fn new(writes: Writes, pulse: Duration) -> Self {
        Self {
            writes,
            pulse,
            held: Mutex::default(),
        }
    }

    /// Writes a request before it runs.
    ///
    /// A write whose answer was lost may still take effect, and another entry would then run a
    /// request whose caller was told *not run*. So it is sent again until its fate is known.
    pub async fn begin(&self, job: &Job, owner: &str) -> Begun {
        let entry = Entry::new(job, owner);
        let until = Instant::now() + SETTLE;
        let mut unsure = false;
        loop {
            let fate = self.writes.write(place(job.id), None, Some(&entry)).await;
            match fate {
                Fate::Written(revision) => return self.hold(job.id, entry, revision),
                // Only this request writes this key, so that the row is its own.
                Fate::Conflict(Some(row)) => return self.hold(job.id, entry, row.revision),
                Fate::Conflict(None) => {}
                Fate::Unavailable if !unsure => return Begun::Refused,
                Fate::Unavailable => {}
                Fate::Unsure => unsure = true,
            }
            if Instant::now() > until {
                return Begun::Unknown;
            }
            sleep(PAUSE).await;
        }
    }

    /// Takes over a request whose entry is gone; gives its entry as it then is, if this entry is the
    /// one to run it.
    pub async fn take_over(
        &self,
        request: RequestId,
        entry: Entry,
        revision: RowRevision,
        owner: &str,
    ) -> Option<Entry> {
        let entry = entry.taken_over(owner);
        let place = place(request);
        let fate = self.writes.write(place, Some(revision), Some(&entry)).await;
        let Fate::Written(revision) = fate else {
            // After a lost answer the row is seen unchanged for a while and taken over again.
            return None;
        };
        self.hold(request, entry.clone(), revision);
        Some(entry)
    }

    fn hold(&self, request: RequestId, entry: Entry, revision: RowRevision) -> Begun {
        self.lock().insert(request, Held { entry, revision });
        Begun::Written
    }

    /// Whether this entry runs the request.
    pub fn holds(&self, request: RequestId) -> bool {
        self.lock().contains_key(&request)
    }

    /// Takes a request out of the journal; gives whether it is known to be out.
    ///
    /// Until it is, another entry may run it.
    pub async fn end(&self, request: RequestId) -> bool {
        let until = Instant::now() + SETTLE;
        loop {
            let Some(held) = self.lock().get(&request).cloned() else {
                return false;
            };
            let nothing = None::<&Entry>;
            let fate = self
                .writes
                .write(place(request), Some(held.revision), nothing)
                .await;
            match fate {
                Fate::Written(_) | Fate::Conflict(None) => {
                    self.lock().remove(&request);
                    return true;
                }
                Fate::Conflict(Some(row)) => {
                    if !self.keeps(request, row) {
                        return false;
                    }
                }
                Fate::Unavailable | Fate::Unsure => {}
            }
            if Instant::now() > until {
                // The row stays, and whoever takes it over finds the answer that is kept.
                self.lock().remove(&request);
                return false;
            }
            sleep(PAUSE).await;
        }
    }

    /// Rewrites the rows of the requests that run here, until the entry stops.
    pub async fn beat(&self) {
        loop {
            sleep(self.pulse).await;
            let held: Vec<RequestId> = self.lock().keys().copied().collect();
            let beats = held.into_iter().map(|request| self.beat_one(request));
            futures::future::join_all(beats).await;
        }
    }

    async fn beat_one(&self, request: RequestId) {
        let Some(mut held) = self.lock().get(&request).cloned() else {
            return;
        };
        held.entry.beat += 1;
        let place = place(request);
        let fate = self
            .writes
            .write(place, Some(held.revision), Some(&held.entry))
            .await;
        match fate {
            Fate::Written(revision) => {
                if let Some(kept) = self.lock().get_mut(&request) {
                    *kept = Held { revision, ..held };
                }
            }
            Fate::Conflict(Some(row)) => {
                self.keeps(request, row);
            }
            Fate::Conflict(None) => {
                self.lock().remove(&request);
            }
            Fate::Unavailable | Fate::Unsure => {}
        }
    }

    /// Takes in a row that is not as expected: written by an own beat whose answer was lost, or by
    /// another entry that has taken the request over.
    fn keeps(&self, request: RequestId, row: store::Row) -> bool {
        let revision = row.revision;
        let found: Option<Entry> = crate::config::rows::parse(row).ok();
        let mut all = self.lock();
        let Some(held) = all.get_mut(&request) else {
            return false;
        };
        if found.is_some_and(|found| found.owner == held.entry.owner) {
            held.revision = revision;
            return true;
        }
        all.remove(&request);
        false
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Held, RandomState>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
