//! What this process knows of the platform's tables, for other processes that ask it.
//!
//! Each question to the table service costs as much as a change does, and nearly all are answered with
//! nothing new. In a large fleet a few processes read the tables, and each tells a few others.

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

/// Longest time that a question of another process waits here; by then it has read the table itself.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Batches of changes that are kept for processes that are behind.
const BATCHES: usize = 64;
/// Bytes that are told at most; more is read from the table.
const MAX_BYTES: usize = 1 << 20;
/// Bytes of a large row.
const LARGE_ROW: usize = 16 << 10;

/// A row as it is told: JSON text, since the codec of links has no free form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Row {
    key: String,
    /// None if the row is gone.
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
        self.bytes() > LARGE_ROW
    }

    /// A row that cannot be read as JSON is one that cannot be read here either.
    fn change(self) -> Change {
        let value = |text: String| serde_json::from_str(&text).unwrap_or_default();
        Change {
            key: self.key,
            value: self.text.map(value),
            revision: self.revision,
        }
    }
}

/// What a process tells of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Revision behind which the changes begin; none if they are the whole table.
    pub before: Option<RowRevision>,
    /// Revision up to which they are complete.
    pub revision: RowRevision,
    rows: Vec<Row>,
    /// Milliseconds from the arrival of the question to the latest moment at which nothing newer was
    /// in the table; negative if that was before.
    current: i64,
    /// For how long entries that are gone may only have lapsed.
    pub lapse: Option<Duration>,
    /// Newest revision of the large rows that are left out, which processes get from one another in another
    /// way.
    pub withheld: Option<RowRevision>,
}

impl TableUpdate {
    /// Whether they are the whole table.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.before.is_none()
    }

    /// Age of what is told when the question came.
    #[must_use]
    pub fn age(&self) -> Duration {
        let before = self.current.min(0).unsigned_abs();
        Duration::from_millis(before)
    }

    /// Latest moment at which nothing newer was in the table, for one who asked at `asked`.
    #[must_use]
    pub fn current(&self, asked: Duration) -> Duration {
        let offset = Duration::from_millis(self.current.unsigned_abs());
        if self.current < 0 {
            return asked.saturating_sub(offset);
        }
        asked + offset
    }

    /// The changes.
    #[must_use]
    pub fn changes(self) -> Changes {
        Changes {
            rows: self.rows.into_iter().map(Row::change).collect(),
            revision: self.revision,
            clock: None,
        }
    }
}

/// Changes that became known in one go.
#[derive(Clone, Debug)]
struct Batch {
    revision: RowRevision,
    rows: Vec<Row>,
}

/// What is known of one table.
#[derive(Debug, Default)]
struct Known {
    /// Revision behind which all changes are kept.
    since: RowRevision,
    revision: RowRevision,
    /// Latest moment at which nothing newer was there; none before the first reading.
    current: Option<Instant>,
    batches: VecDeque<Batch>,
    /// All rows.
    rows: BTreeMap<String, Row>,
    lapse: Option<Instant>,
    /// Whether large rows are left out of what is told.
    withholds: bool,
}

/// What this process has learnt of a table in one go.
#[derive(Debug)]
pub(crate) struct Read<'a> {
    /// Revision that was known before; none if this is the whole table.
    pub(crate) before: Option<RowRevision>,
    /// The answer.
    pub(crate) changes: &'a Changes,
    /// Latest moment at which nothing newer was there.
    pub(crate) current: Instant,
    /// Until when entries that are gone may only have lapsed.
    pub(crate) lapse: Option<Instant>,
}

impl Known {
    fn take(&mut self, read: &Read<'_>) {
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
        if self.batches.len() > BATCHES {
            let oldest = self.batches.pop_front();
            self.since = oldest.map_or(self.since, |batch| batch.revision);
        }
        self.revision = revision;
        self.current = Some(read.current);
        self.lapse = read.lapse;
    }

    /// What a process that knows the table up to `after`, if at all, and asked at `asked` is told: the
    /// changes since then, or the whole table if not all of them are kept.
    fn news(&self, after: Option<RowRevision>, asked: Instant) -> Option<TableUpdate> {
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
        let told = rows.into_iter().filter(|row| !is_withheld(row));
        let rows: Vec<Row> = told.cloned().collect();
        let fits = rows.iter().map(Row::bytes).sum::<usize>() <= MAX_BYTES;
        let before = if fits { kept } else { Some(self.revision) };
        let later = millis(current.saturating_duration_since(asked));
        let sooner = millis(asked.saturating_duration_since(current));
        let signed = |span: u64| i64::try_from(span).unwrap_or(i64::MAX);
        Some(TableUpdate {
            before,
            revision: self.revision,
            rows: if fits { rows } else { Vec::new() },
            current: signed(later) - signed(sooner),
            lapse: self
                .lapse
                .map(|until| until.saturating_duration_since(Instant::now())),
            withheld,
        })
    }
}

/// One table.
#[derive(Debug, Default)]
pub(crate) struct Table {
    known: watch::Sender<Known>,
}

impl Table {
    /// Leaves large rows out of what others are told from now on.
    pub(crate) fn withhold_large_rows(&self) {
        self.known.send_modify(|known| known.withholds = true);
    }

    /// Takes in what this process has read or was told.
    pub(crate) fn publish(&self, read: &Read<'_>) {
        self.known.send_modify(|known| known.take(read));
    }

    /// What a process is told that knows the table up to `after`, if at all: as soon as there is
    /// something newer, or once nothing newer was there after its question.
    async fn news(&self, after: Option<RowRevision>) -> Option<TableUpdate> {
        let asked = Instant::now();
        let mut known = self.known.subscribe();
        let says_something = |known: &Known| {
            let current = known.current;
            current.is_some_and(|current| current >= asked || Some(known.revision) > after)
        };
        // One that waits in vain is told what there is, and judges by itself how old that is.
        let _ = timeout(ANSWER_TIMEOUT, known.wait_for(says_something)).await;
        known.borrow().news(after, asked)
    }
}

/// All tables that are followed here.
#[derive(Debug, Default)]
pub(crate) struct Tables(Mutex<Map<String, Arc<Table>>>);

impl Tables {
    /// What is known of a table.
    pub(crate) fn get(&self, table: &str) -> Arc<Table> {
        let mut tables = lock(&self.0);
        if let Some(known) = tables.get(table) {
            return known.clone();
        }
        let known = Arc::<Table>::default();
        tables.insert(table.to_owned(), known.clone());
        known
    }
}

/// Answers another process's question, once there is something to say.
pub(super) async fn answer<D: Downstream>(
    relay: Arc<Relay<D>>,
    sender: Sender<Frame>,
    ticket: u64,
    table: String,
    after: Option<RowRevision>,
) {
    let table = relay.peers.tables.get(&table);
    let news = table.news(after).await;
    // Lost with the link, if at all; the other process reads the table itself then.
    let _ = sender.send(Frame::News { ticket, news }).await;
}

/// A question that waits on a link.
struct Question {
    line: Arc<PeerLink>,
    ticket: u64,
}

impl Drop for Question {
    fn drop(&mut self) {
        lock(&self.line.pending).news.remove(&self.ticket);
    }
}

impl Peers {
    /// Asks a process what is new in a table, and waits for its word; none if it is not reached or
    /// knows nothing.
    pub(crate) async fn news<D: Downstream>(
        &self,
        relay: &Arc<Relay<D>>,
        teller: &Member,
        table: &str,
        after: Option<RowRevision>,
    ) -> Option<TableUpdate> {
        let Some(line) = self.line(relay, teller).await else {
            self.members(|members| members.suspect(teller));
            return None;
        };
        let (reply, news) = oneshot::channel();
        let ticket = line.enter_question(reply);
        let question = Question { line, ticket };
        let frame = Frame::AskNews {
            ticket,
            table: table.to_owned(),
            after,
        };
        question.line.sender.send(frame).await.ok()?;
        news.await.ok()?
    }
}

impl PeerLink {
    fn enter_question(&self, reply: oneshot::Sender<Option<TableUpdate>>) -> u64 {
        let mut pending = lock(&self.pending);
        let ticket = pending.ticket();
        pending.news.insert(ticket, reply);
        ticket
    }
}
