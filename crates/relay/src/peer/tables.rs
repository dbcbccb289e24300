//! What this process has read of the platform's tables, for other processes that ask it.
//!
//! Each question to the table service costs as much as a change does, and nearly all are answered with
//! nothing new. In a large fleet a few processes read the tables and tell the others.

use super::talk::Frame;
use super::{Line, Peers};
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::member::Member;
use crate::telemetry::millis;
use decide::Map;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::{Change, Changes, RowRevision};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, timeout};
use wire::Sender;

/// Time after a question of another process for which this one goes on to read the table for it.
const ASKED: Duration = Duration::from_secs(4);
/// Longest time that a question of another process waits here; by then it has read the table itself.
const TELL: Duration = Duration::from_secs(3);
/// Batches of changes that are kept for processes that are behind.
const BATCHES: usize = 64;
/// Bytes of changes that are told at most. More is read from the table: a small VM's link would be
/// taken up for seconds by thirty copies of a whole configuration.
const BYTES: usize = 8 << 10;

/// A row as it is told: JSON text, since the codec of links has no free form.
type Row = (String, Option<String>);

/// What a process tells of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Revision behind which the changes begin.
    pub before: RowRevision,
    /// Revision up to which they are complete.
    pub revision: RowRevision,
    rows: Vec<Row>,
    /// Milliseconds from the arrival of the question to the latest moment at which nothing newer was
    /// in the table; negative if that was before.
    current: i64,
    /// For how long entries that are gone may only have lapsed.
    pub lapse: Option<Duration>,
}

impl News {
    /// Latest moment at which nothing newer was in the table, for one who asked at `asked`.
    #[must_use]
    pub fn current(&self, asked: Duration) -> Duration {
        let offset = Duration::from_millis(self.current.unsigned_abs());
        if self.current < 0 {
            return asked.saturating_sub(offset);
        }
        asked + offset
    }

    /// The changes. A row that cannot be read as JSON is one that cannot be read here either.
    #[must_use]
    pub fn changes(self) -> Changes {
        let change = |(key, text): Row| Change {
            key,
            value: text.map(|text| serde_json::from_str(&text).unwrap_or_default()),
        };
        Changes {
            rows: self.rows.into_iter().map(change).collect(),
            revision: self.revision,
        }
    }
}

/// Changes that were read in one go.
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
    lapse: Option<Instant>,
}

/// What this process has read of a table in one go.
#[derive(Debug)]
pub(crate) struct Read<'a> {
    /// Revision that was known before; none if the table was read as a whole.
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
        if read.before != Some(self.revision) {
            self.since = read.before.unwrap_or(revision);
            self.batches.clear();
        }
        if read.before.is_some() && !read.changes.rows.is_empty() {
            let row = |change: &Change| {
                let text = change.value.as_ref().map(ToString::to_string);
                (change.key.clone(), text)
            };
            let rows = read.changes.rows.iter().map(row).collect();
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

    /// What a process that knows the table up to `after` and asked at `asked` is told.
    fn news(&self, after: RowRevision, asked: Instant) -> Option<News> {
        let current = self.current?;
        let newer = self.batches.iter().filter(|batch| batch.revision > after);
        let rows: Vec<Row> = newer.flat_map(|batch| batch.rows.clone()).collect();
        let bytes = |(key, text): &Row| key.len() + text.as_ref().map_or(0, String::len);
        let fits = rows.iter().map(bytes).sum::<usize>() <= BYTES;
        let before = if fits {
            after.max(self.since)
        } else {
            self.revision
        };
        let later = millis(current.saturating_duration_since(asked));
        let sooner = millis(asked.saturating_duration_since(current));
        let signed = |span: u64| i64::try_from(span).unwrap_or(i64::MAX);
        Some(News {
            before,
            revision: self.revision,
            rows: if fits { rows } else { Vec::new() },
            current: signed(later) - signed(sooner),
            lapse: self
                .lapse
                .map(|until| until.saturating_duration_since(Instant::now())),
        })
    }
}

/// One table, and whether other processes rely on this one to read it.
#[derive(Debug, Default)]
pub(crate) struct Table {
    known: watch::Sender<Known>,
    /// When another process asked last.
    asked: Mutex<Option<Instant>>,
    /// Wakes the follower of the table, which may be waiting for another process's word.
    wanted: Notify,
}

impl Table {
    /// Whether other processes rely on this one to read the table.
    pub(crate) fn is_asked(&self) -> bool {
        lock(&self.asked).is_some_and(|asked| asked.elapsed() < ASKED)
    }

    /// Waits until another process asks that nobody has read the table for.
    pub(crate) async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Takes in what this process has read.
    pub(crate) fn publish(&self, read: &Read<'_>) {
        self.known.send_modify(|known| known.take(read));
    }

    /// What a process is told that knows the table up to `after`: as soon as there is something newer,
    /// or once nothing newer was there after its question.
    async fn news(&self, after: RowRevision) -> Option<News> {
        let asked = Instant::now();
        if !self.is_asked() {
            self.wanted.notify_one();
        }
        *lock(&self.asked) = Some(asked);
        let mut known = self.known.subscribe();
        let says_something = |known: &Known| {
            let current = known.current;
            current.is_some_and(|current| current >= asked || known.revision > after)
        };
        // One that waits in vain is told what there is, and judges by itself how old that is.
        let _ = timeout(TELL, known.wait_for(says_something)).await;
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
pub(super) async fn tell<D: Downstream>(
    relay: Arc<Relay<D>>,
    sender: Sender<Frame>,
    ticket: u64,
    table: String,
    after: RowRevision,
) {
    let table = relay.peers.tables.get(&table);
    let news = table.news(after).await;
    // Lost with the link, if at all; the other process reads the table itself then.
    let _ = sender.send(Frame::News { ticket, news }).await;
}

/// A question that waits on a link.
struct Question {
    line: Arc<Line>,
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
        after: RowRevision,
    ) -> Option<News> {
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

impl Line {
    fn enter_question(&self, reply: oneshot::Sender<Option<News>>) -> u64 {
        let mut pending = lock(&self.pending);
        let ticket = pending.ticket();
        pending.news.insert(ticket, reply);
        ticket
    }
}
