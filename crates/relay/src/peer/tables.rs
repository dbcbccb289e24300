//! Contents of the platform's tables, as this process knows them, for other processes that request them.
//!
//! A request to the table service costs as much as a change does, and nearly all requests find nothing
//! new. Therefore, in a large fleet, a few processes read the tables, and each passes the changes on to
//! a few others.

use super::frame::Frame;
use super::{PeerLink, Peers};
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::member::Member;
use crate::telemetry::millis;
use decide::Map;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::{Change, Changes, RowRevision};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, timeout};
use wire::Sender;

/// Longest time that a request of another process waits here; by then that process has read the table
/// itself.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(3);
/// Batches of changes that are kept for processes that lag behind.
const MAX_BATCHES: usize = 64;
/// Size limit of an update; larger ones are left to be read from the table.
const MAX_UPDATE_BYTES: usize = 1 << 20;
/// Size from which a row counts as large.
const LARGE_ROW_BYTES: usize = 16 << 10;

/// A row as it is sent. Its value is JSON text, since the codec of links cannot encode a value of any
/// shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Row {
    key: String,
    /// `None` if the row was deleted.
    text: Option<String>,
    revision: RowRevision,
}

impl Row {
    fn new(change: &Change) -> Self {
        Self {
            key: change.key.clone(),
            text: change.value.as_ref().map(ToString::to_string),
            revision: change.revision,
        }
    }

    fn bytes(&self) -> usize {
        self.key.len() + self.text.as_ref().map_or(0, String::len)
    }

    fn is_large(&self) -> bool {
        self.bytes() > LARGE_ROW_BYTES
    }

    /// Converts the row into a change. Text that is not JSON becomes null, which is rejected as an
    /// invalid row.
    fn into_change(self) -> Change {
        let value = |text: String| serde_json::from_str(&text).unwrap_or_default();
        Change {
            key: self.key,
            value: self.text.map(value),
            revision: self.revision,
        }
    }
}

/// Changes of a table, as one process sends them to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Revision after which the changes begin; `None` if they are the whole table.
    pub before: Option<RowRevision>,
    /// Revision up to which they are complete.
    pub revision: RowRevision,
    rows: Vec<Row>,
    /// Milliseconds from the arrival of the request to the latest moment at which the table is known to
    /// have contained nothing newer; negative if that moment was before the request.
    current: i64,
    /// Remaining time in which entries that are missing may only have expired during an outage.
    pub lapse: Option<Duration>,
    /// Newest revision of the large rows that are left out; processes transfer their content separately.
    pub withheld: Option<RowRevision>,
}

impl TableUpdate {
    /// Whether the update contains the whole table.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.before.is_none()
    }

    /// Age of the update when the request arrived.
    #[must_use]
    pub fn age(&self) -> Duration {
        let before = self.current.min(0).unsigned_abs();
        Duration::from_millis(before)
    }

    /// Latest moment at which the table is known to have contained nothing newer, for a request that was
    /// sent at `requested_at`.
    #[must_use]
    pub fn current(&self, requested_at: Duration) -> Duration {
        let offset = Duration::from_millis(self.current.unsigned_abs());
        if self.current < 0 {
            return requested_at.saturating_sub(offset);
        }
        requested_at + offset
    }

    /// Converts the update into changes of a table.
    #[must_use]
    pub fn changes(self) -> Changes {
        Changes {
            rows: self.rows.into_iter().map(Row::into_change).collect(),
            revision: self.revision,
            clock: None,
        }
    }
}

/// Changes that were received together.
#[derive(Clone, Debug)]
struct Batch {
    revision: RowRevision,
    rows: Vec<Row>,
}

/// Known contents of one table.
#[derive(Debug, Default)]
struct TableState {
    /// Revision after which all changes are kept.
    since: RowRevision,
    revision: RowRevision,
    /// Latest moment at which the table is known to have contained nothing newer; `None` before the
    /// first read.
    current: Option<Instant>,
    batches: VecDeque<Batch>,
    /// All rows.
    rows: BTreeMap<String, Row>,
    grace_until: Option<Instant>,
    /// Whether large rows are left out of updates.
    withholds: bool,
}

/// Result of one read of a table.
#[derive(Debug)]
pub(crate) struct TableRead<'a> {
    /// Revision that was known before; `None` if this is the whole table.
    pub(crate) before: Option<RowRevision>,
    /// The changes.
    pub(crate) changes: &'a Changes,
    /// Latest moment at which the table is known to have contained nothing newer.
    pub(crate) current: Instant,
    /// End of the time in which entries that are missing may only have expired during an outage.
    pub(crate) grace_until: Option<Instant>,
}

impl TableState {
    fn apply(&mut self, read: &TableRead<'_>) {
        let revision = read.changes.revision;
        let rows: Vec<Row> = read.changes.rows.iter().map(Row::new).collect();
        if read.before.is_none() {
            self.rows.clear();
        }
        for row in &rows {
            if row.text.is_some() {
                self.rows.insert(row.key.clone(), row.clone());
            } else {
                self.rows.remove(&row.key);
            }
        }
        if read.before != Some(self.revision) {
            self.since = read.before.unwrap_or(revision);
            self.batches.clear();
        }
        if read.before.is_some() && !rows.is_empty() {
            self.batches.push_back(Batch { revision, rows });
        }
        if self.batches.len() > MAX_BATCHES {
            let oldest = self.batches.pop_front();
            self.since = oldest.map_or(self.since, |batch| batch.revision);
        }
        self.revision = revision;
        self.current = Some(read.current);
        self.grace_until = read.grace_until;
    }

    /// The update for a process that has read the table up to `after`, if at all, and sent its request
    /// at
    /// `requested_at`: the changes since then, or the whole table if not all of them are kept.
    fn update(&self, after: Option<RowRevision>, requested_at: Instant) -> Option<TableUpdate> {
        let current = self.current?;
        let kept = after.filter(|after| *after >= self.since);
        let rows: Vec<&Row> = match kept {
            Some(after) => {
                let newer = self.batches.iter().filter(|batch| batch.revision > after);
                newer.flat_map(|batch| &batch.rows).collect()
            }
            None => self.rows.values().collect(),
        };
        let is_withheld = |row: &&Row| self.withholds && row.is_large();
        let left_out = rows.iter().filter(|row| is_withheld(row));
        let withheld = left_out.map(|row| row.revision).max();
        let sent = rows.into_iter().filter(|row| !is_withheld(row));
        let rows: Vec<Row> = sent.cloned().collect();
        let fits = rows.iter().map(Row::bytes).sum::<usize>() <= MAX_UPDATE_BYTES;
        let before = if fits { kept } else { Some(self.revision) };
        let later = millis(current.saturating_duration_since(requested_at));
        let sooner = millis(requested_at.saturating_duration_since(current));
        let signed = |span: u64| i64::try_from(span).unwrap_or(i64::MAX);
        Some(TableUpdate {
            before,
            revision: self.revision,
            rows: if fits { rows } else { Vec::new() },
            current: signed(later) - signed(sooner),
            lapse: self
                .grace_until
                .map(|until| until.saturating_duration_since(Instant::now())),
            withheld,
        })
    }
}

/// One table, whose changes are published to waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Table {
    state: watch::Sender<TableState>,
}

impl Table {
    /// Leaves large rows out of updates from now on.
    pub(crate) fn withhold_large_rows(&self) {
        self.state.send_modify(|state| state.withholds = true);
    }

    /// Publishes what this process has read or received.
    pub(crate) fn publish(&self, read: &TableRead<'_>) {
        self.state.send_modify(|state| state.apply(read));
    }

    /// The update for a process that has read the table up to `after`, if at all. It is available as
    /// soon as there is something newer, or once the table is known to have contained nothing newer
    /// after the request.
    async fn update(&self, after: Option<RowRevision>) -> Option<TableUpdate> {
        let requested_at = Instant::now();
        let mut state = self.state.subscribe();
        let has_update = |state: &TableState| {
            let current = state.current;
            current.is_some_and(|current| current >= requested_at || Some(state.revision) > after)
        };
        // After a timeout, the requesting process judges the age of the update by itself.
        let _ = timeout(UPDATE_TIMEOUT, state.wait_for(has_update)).await;
        state.borrow().update(after, requested_at)
    }
}

/// All tables that this process follows.
#[derive(Debug, Default)]
pub(crate) struct Tables(Mutex<Map<String, Arc<Table>>>);

impl Tables {
    /// The table of this name, which is empty at first.
    pub(crate) fn get(&self, table: &str) -> Arc<Table> {
        let mut tables = lock(&self.0);
        if let Some(known) = tables.get(table) {
            return known.clone();
        }
        let new = Arc::<Table>::default();
        tables.insert(table.to_owned(), new.clone());
        new
    }
}

/// Responds to another process's request, once there is an update.
pub(super) async fn send_update<D: Downstream>(
    relay: Arc<Relay<D>>,
    sender: Sender<Frame>,
    ticket: u64,
    table: String,
    after: Option<RowRevision>,
) {
    let table = relay.peers.tables.get(&table);
    let update = table.update(after).await;
    // If the link is lost, the other process reads the table itself.
    let _ = sender
        .send(Frame::News {
            ticket,
            news: update,
        })
        .await;
}

/// A request that awaits its response on a link.
struct PendingRequest {
    link: Arc<PeerLink>,
    ticket: u64,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        lock(&self.link.pending).updates.remove(&self.ticket);
    }
}

impl Peers {
    /// Requests the changes of a table from a process, and waits for the response; returns `None` if the
    /// process cannot be reached or has not read the table.
    pub(crate) async fn request_update<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        upstream: &Member,
        table: &str,
        after: Option<RowRevision>,
    ) -> Option<TableUpdate> {
        let Some(link) = self.link(relay, upstream).await else {
            self.members(|members| members.suspect(upstream));
            return None;
        };
        let (reply, update) = oneshot::channel();
        let ticket = link.add_request(reply);
        let request = PendingRequest { link, ticket };
        let frame = Frame::AskNews {
            ticket,
            table: table.to_owned(),
            after,
        };
        request.link.sender.send(frame).await.ok()?;
        update.await.ok()?
    }
}

impl PeerLink {
    fn add_request(&self, reply: oneshot::Sender<Option<TableUpdate>>) -> u64 {
        let mut pending = lock(&self.pending);
        let ticket = pending.next_ticket();
        pending.updates.insert(ticket, reply);
        ticket
    }
}
