//! Configuration in force: follows the change log and accepts changes by operators.
//!
//! The table service stores the head of the log, the log itself, the records and the tokens of
//! accepted changes. A single transaction writes all four and checks the head, so concurrent
//! changes by operators are serialized and every accepted change is in the log exactly once.

pub mod accept;
pub mod rows;

use crate::config::rows::{Change, Head, Stored};
use protocol::Revision;
use protocol::follower::{Action, Event, Follower};
use record::{Document, RecordSet};
use slog::{Logger, info, warn};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use store::{Error, Table};
use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

/// Number of rows read at once.
const PAGE: usize = 500;

/// Records by key, each with the revision that last changed it.
pub type Records = BTreeMap<String, Stored>;

#[derive(Debug, Default)]
struct State {
    follower: Follower,
    records: Records,
    head_row: Option<store::table::RowRevision>,
    head_read: Option<Instant>,
    unreachable: bool,
}

/// Configuration in force at one entry.
#[derive(Debug)]
pub struct Config<P> {
    platform: P,
    log: Logger,
    state: Mutex<State>,
    current: RwLock<Arc<RecordSet>>,
    read_lock: tokio::sync::Mutex<()>,
    write_lock: tokio::sync::Mutex<()>,
    /// Wakes the follower before its next poll is due.
    pub wake: Notify,
}

impl<P: Table> Config<P> {
    /// Creates an empty configuration.
    pub fn new(platform: P, log: Logger) -> Self {
        Self {
            platform,
            log,
            state: Mutex::default(),
            current: RwLock::default(),
            read_lock: tokio::sync::Mutex::default(),
            write_lock: tokio::sync::Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Returns the records in force.
    pub fn current(&self) -> Arc<RecordSet> {
        self.current
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Whether the entry has read enough to serve requests.
    pub fn is_ready(&self) -> bool {
        self.lock().follower.is_ready()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.lock().follower.applied()
    }

    /// Returns the time since the head of the log was last read.
    pub fn head_age(&self) -> Option<Duration> {
        self.lock().head_read.map(|read| read.elapsed())
    }

    /// Returns the records in force by key: all of them, or only the one with `key`.
    pub fn records(&self, key: Option<&str>) -> Records {
        let state = self.lock();
        let Some(key) = key else {
            return state.records.clone();
        };
        let found = state.records.get(key);
        found
            .map(|stored| (key.to_owned(), stored.clone()))
            .into_iter()
            .collect()
    }

    /// Returns the highest revision known to exist.
    pub fn latest_known_revision(&self) -> Revision {
        self.lock().follower.latest_known()
    }

    /// Records that another process has seen this revision.
    pub fn record_revision(&self, revision: Revision) {
        if matches!(
            self.lock().follower.on(Event::Push(revision)),
            Action::Fetch { .. }
        ) {
            self.wake.notify_one();
        }
    }

    /// Adopts all records of a ready peer, for a newly started process while the table service is
    /// unavailable.
    pub fn adopt_snapshot(&self, revision: Revision, records: Records) {
        let adopted = {
            let mut state = self.lock();
            state.follower.on(Event::Peers(revision));
            let apply = state.follower.on(Event::Snapshot(revision));
            if matches!(apply, Action::Apply(_)) {
                state.records = records;
                true
            } else {
                false
            }
        };
        if adopted {
            self.publish();
        }
    }

    /// Follows the log until the entry stops; a notification from a peer ends the wait early.
    pub async fn follow(&self, pause: Duration) {
        loop {
            self.poll_logged().await;
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    async fn poll_logged(&self) {
        let result = self.poll().await;
        let unreachable = result.is_err();
        let changed = std::mem::replace(&mut self.lock().unreachable, unreachable) != unreachable;
        if changed {
            match result {
                Ok(()) => info!(self.log, "table service reachable"),
                Err(error) => warn!(self.log, "table service unreachable"; "error" => %error),
            }
        }
    }

    /// Reads the head of the log and applies new changes.
    ///
    /// # Errors
    ///
    /// Returns any error of the table service; the configuration in force is kept.
    pub async fn poll(&self) -> Result<(), Error> {
        let _read_guard = self.read_lock.lock().await;
        let head = match self.head().await {
            Ok(head) => head,
            Err(error) => {
                self.lock().follower.on(Event::Down);
                return Err(error);
            }
        };
        let action = self.lock().follower.on(Event::Head(head));
        match action {
            Action::Fetch { after: 0 } => self.snapshot(head).await?,
            Action::Fetch { after } => self.entries(after).await?,
            _ => {}
        }
        Ok(())
    }

    async fn head(&self) -> Result<Revision, Error> {
        let row = self.platform.read(rows::CONFIG, rows::HEAD).await?;
        let mut state = self.lock();
        state.head_read = Some(Instant::now());
        state.head_row = row.as_ref().map(|row| row.revision);
        match row {
            Some(row) => rows::parse::<Head>(row).map(|head| head.revision),
            None => Ok(0),
        }
    }

    /// Reads all records, and then the log after the head that was read before them. A change
    /// accepted meanwhile may be in only some of the records read; applying it again completes it.
    async fn snapshot(&self, head: Revision) -> Result<(), Error> {
        let mut records = Records::new();
        for row in self.scan(rows::RECORDS, "").await? {
            let key = row.key.clone();
            records.insert(key, rows::parse(row)?);
        }
        let changes = self.changes(head).await?;
        let reached = changes.last().map_or(head, |change| change.revision);
        for change in &changes {
            apply(&mut records, change);
        }
        let action = {
            let mut state = self.lock();
            let action = state.follower.on(Event::Snapshot(reached));
            if matches!(action, Action::Apply(_)) {
                state.records = records;
            }
            action
        };
        if matches!(action, Action::Apply(_)) {
            self.publish();
        }
        Ok(())
    }

    async fn entries(&self, after: Revision) -> Result<(), Error> {
        let changes = self.changes(after).await?;
        {
            let mut state = self.lock();
            for change in &changes {
                let action = state.follower.on(Event::Entry(change.revision));
                if matches!(action, Action::Apply(_)) {
                    apply(&mut state.records, change);
                }
            }
        }
        self.publish();
        Ok(())
    }

    /// Returns the entries of the log after a revision.
    ///
    /// # Errors
    ///
    /// Returns any error of the table service.
    pub async fn changes(&self, after: Revision) -> Result<Vec<Change>, Error> {
        let rows = self.scan(rows::LOG, &rows::log_key(after)).await?;
        rows.into_iter().map(rows::parse).collect()
    }

    async fn scan(&self, table: &str, after: &str) -> Result<Vec<store::Row>, Error> {
        let mut all: Vec<store::Row> = Vec::new();
        let mut after = after.to_owned();
        loop {
            let page = self.platform.scan(table, &after, PAGE).await?;
            let full = page.len() == PAGE;
            if let Some(last) = page.last() {
                after.clone_from(&last.key);
            }
            all.extend(page);
            if !full {
                return Ok(all);
            }
        }
    }

    /// Puts the records of the applied revision in force.
    ///
    /// A set that took longer to build must not replace a newer one.
    fn publish(&self) {
        let state = self.lock();
        let revision = state.follower.applied();
        let documents: Vec<&Document> = state
            .records
            .values()
            .map(|stored| &stored.document)
            .collect();
        let set = Arc::new(RecordSet::new(revision, documents));
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if set.revision() > current.revision() {
            info!(self.log, "configuration in force"; "revision" => revision);
            *current = set;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn apply(records: &mut Records, change: &Change) {
    for key in &change.delete {
        records.remove(key);
    }
    for document in &change.documents {
        let stored = Stored {
            revision: change.revision,
            document: document.clone(),
        };
        records.insert(document.key(), stored);
    }
}
