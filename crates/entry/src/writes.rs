//! Single-row writes that share transactions.
//!
//! The table service takes several hundred writes a second and the fleet far more calls, so that
//! writes that arrive while a transaction is under way share the next one.

use serde::Serialize;
use std::collections::VecDeque;
use store::table::RowRevision;
use store::{Check, Error, Put, Row, Table, Transaction};
use tokio::sync::{mpsc, oneshot};

/// Writes in one transaction at most.
const BATCH: usize = 64;
/// Writes that wait before their senders wait to queue more.
const QUEUE: usize = 4096;

/// A row's place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Table the row is in.
    pub table: &'static str,
    /// Key within the table.
    pub key: String,
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// It took effect as this transaction.
    Written(RowRevision),
    /// It did nothing, since the row is as given.
    Conflict(Option<Row>),
    /// The table refused it before it did anything.
    Unavailable,
    /// No answer came; it may have taken effect, or may yet.
    Unsure,
}

#[derive(Debug)]
struct Write {
    place: Place,
    check: Option<RowRevision>,
    value: Option<serde_json::Value>,
    done: oneshot::Sender<Fate>,
}

/// The queue of an entry's single-row writes.
#[derive(Clone, Debug)]
pub struct Writes {
    queue: mpsc::Sender<Write>,
}

impl Writes {
    /// Starts the writer.
    pub fn start(table: impl Table) -> Self {
        let (queue, writes) = mpsc::channel(QUEUE);
        tokio::spawn(commit(table, writes));
        Self { queue }
    }

    /// Writes a row, or deletes it without a value, if its revision is still as expected.
    pub async fn write(
        &self,
        place: Place,
        check: Option<RowRevision>,
        value: Option<&impl Serialize>,
    ) -> Fate {
        let (done, fate) = oneshot::channel();
        let write = Write {
            place,
            check,
            value: value.and_then(|value| serde_json::to_value(value).ok()),
            done,
        };
        if self.queue.send(write).await.is_err() {
            return Fate::Unavailable;
        }
        // The writer goes only with the runtime.
        fate.await.unwrap_or(Fate::Unsure)
    }
}

async fn commit(table: impl Table, mut queue: mpsc::Receiver<Write>) {
    let mut waiting = VecDeque::new();
    while fill(&mut queue, &mut waiting).await {
        let batch = take(&mut waiting);
        write_all(&table, batch).await;
    }
}

/// Waits for a first write, if none waits yet, and takes all that are queued behind it.
async fn fill(queue: &mut mpsc::Receiver<Write>, waiting: &mut VecDeque<Write>) -> bool {
    if waiting.is_empty() {
        match queue.recv().await {
            Some(write) => waiting.push_back(write),
            None => return false,
        }
    }
    while let Ok(write) = queue.try_recv() {
        waiting.push_back(write);
    }
    true
}

/// Takes the next batch, with each row at most once: two claims on one key in one transaction
/// would both find the row absent, and both would run the call.
fn take(waiting: &mut VecDeque<Write>) -> Vec<Write> {
    let mut batch: Vec<Write> = Vec::new();
    let mut left = VecDeque::new();
    while let Some(write) = waiting.pop_front() {
        let taken = batch.iter().any(|other| other.place == write.place);
        if taken || batch.len() == BATCH {
            left.push_back(write);
        } else {
            batch.push(write);
        }
    }
    *waiting = left;
    batch
}

/// Writes a batch; those whose rows have changed are told so, and the rest is tried without them.
async fn write_all(table: &impl Table, mut batch: Vec<Write>) {
    while !batch.is_empty() {
        match table.transact(&transaction(&batch)).await {
            Ok(revision) => return tell(batch, &Fate::Written(revision)),
            Err(Error::Conflict { rows }) => batch = drop_conflicts(table, batch, rows).await,
            Err(Error::Unavailable { .. }) => return tell(batch, &Fate::Unavailable),
            Err(Error::Unsure { .. } | Error::Malformed { .. }) => {
                return tell(batch, &Fate::Unsure);
            }
        }
    }
}

fn tell(batch: Vec<Write>, fate: &Fate) {
    for write in batch {
        // A sender that no longer listens has gone with its runtime.
        let _ = write.done.send(fate.clone());
    }
}

async fn drop_conflicts(table: &impl Table, batch: Vec<Write>, rows: Vec<Row>) -> Vec<Write> {
    let known = batch.len();
    let mut left = Vec::new();
    for write in batch {
        let changed = rows
            .iter()
            .find(|row| row.table == write.place.table && row.key == write.place.key);
        match changed {
            Some(row) => tell(vec![write], &Fate::Conflict(Some(row.clone()))),
            None => left.push(write),
        }
    }
    if left.len() < known {
        return left;
    }
    // A check failed on a row that is gone: the service names no row, so each is read.
    for write in left {
        let fate = match table.read(write.place.table, &write.place.key).await {
            Ok(row) => Fate::Conflict(row),
            Err(_) => Fate::Unavailable,
        };
        tell(vec![write], &fate);
    }
    Vec::new()
}

fn transaction(batch: &[Write]) -> Transaction {
    let check = |write: &Write| Check {
        table: write.place.table.to_owned(),
        key: write.place.key.clone(),
        revision: write.check,
    };
    let put = |write: &Write| Put {
        table: write.place.table.to_owned(),
        key: write.place.key.clone(),
        value: write.value.clone(),
    };
    Transaction {
        checks: batch.iter().map(check).collect(),
        puts: batch.iter().map(put).collect(),
    }
}
