//! Batches single-row writes into shared transactions.
//!
//! The table service handles several hundred writes per second, far fewer than the number of calls
//! of all entries. Writes that arrive during a transaction therefore share the next one.

use serde::Serialize;
use std::collections::VecDeque;
use store::table::RowRevision;
use store::{Check, Error, Put, Row, Table, Transaction};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of writes in one transaction.
const MAX_BATCH: usize = 64;
/// Capacity of the queue; senders wait while it is full.
const QUEUE_CAPACITY: usize = 4096;

/// Identifies a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowKey {
    /// Table of the row.
    pub table: &'static str,
    /// Key within the table.
    pub key: String,
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect with this revision.
    Written(RowRevision),
    /// The write had no effect, since the row has the given content.
    Conflict(Option<Row>),
    /// The table service refused the write before it took effect.
    Unavailable,
    /// No answer arrived; the write may have taken effect or may do so later.
    Unsure,
}

#[derive(Debug)]
struct Write {
    row_key: RowKey,
    check: Option<RowRevision>,
    value: Option<serde_json::Value>,
    done: oneshot::Sender<WriteOutcome>,
}

/// Queue of an entry's single-row writes.
#[derive(Clone, Debug)]
pub struct Writes {
    queue: mpsc::Sender<Write>,
}

impl Writes {
    /// Starts the task that performs the writes.
    pub fn start(table: impl Table) -> Self {
        let (queue, writes) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(commit(table, writes));
        Self { queue }
    }

    /// Writes a row, or deletes it if `value` is `None`, provided that its revision is `check`.
    pub async fn write(
        &self,
        row_key: RowKey,
        check: Option<RowRevision>,
        value: Option<&impl Serialize>,
    ) -> WriteOutcome {
        let (done, outcome) = oneshot::channel();
        let write = Write {
            row_key,
            check,
            value: value.and_then(|value| serde_json::to_value(value).ok()),
            done,
        };
        if self.queue.send(write).await.is_err() {
            return WriteOutcome::Unavailable;
        }
        // The writing task ends only with the runtime.
        outcome.await.unwrap_or(WriteOutcome::Unsure)
    }
}

async fn commit(table: impl Table, mut queue: mpsc::Receiver<Write>) {
    let mut waiting = VecDeque::new();
    while receive(&mut queue, &mut waiting).await {
        let batch = next_batch(&mut waiting);
        write_all(&table, batch).await;
    }
}

/// Waits for a first write if none is pending, and takes all writes queued behind it.
async fn receive(queue: &mut mpsc::Receiver<Write>, waiting: &mut VecDeque<Write>) -> bool {
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

/// Takes the next batch, with at most one write to each row: if two claims on one key were in one
/// transaction, both would find the row absent and both would run the call.
fn next_batch(waiting: &mut VecDeque<Write>) -> Vec<Write> {
    let mut batch: Vec<Write> = Vec::new();
    let mut remaining = VecDeque::new();
    while let Some(write) = waiting.pop_front() {
        let taken = batch.iter().any(|other| other.row_key == write.row_key);
        if taken || batch.len() == MAX_BATCH {
            remaining.push_back(write);
        } else {
            batch.push(write);
        }
    }
    *waiting = remaining;
    batch
}

/// Writes a batch. Writes whose rows have changed are answered with the conflict, and the rest is
/// tried again without them.
async fn write_all(table: &impl Table, mut batch: Vec<Write>) {
    while !batch.is_empty() {
        match table.transact(&transaction(&batch)).await {
            Ok(revision) => return reply(batch, &WriteOutcome::Written(revision)),
            Err(Error::Conflict { rows }) => batch = drop_conflicts(table, batch, rows).await,
            Err(Error::Unavailable { .. }) => return reply(batch, &WriteOutcome::Unavailable),
            Err(Error::Unsure { .. } | Error::Malformed { .. }) => {
                return reply(batch, &WriteOutcome::Unsure);
            }
        }
    }
}

fn reply(batch: Vec<Write>, outcome: &WriteOutcome) {
    for write in batch {
        // The receiver is gone only if its task has ended.
        let _ = write.done.send(outcome.clone());
    }
}

async fn drop_conflicts(table: &impl Table, batch: Vec<Write>, rows: Vec<Row>) -> Vec<Write> {
    let known = batch.len();
    let mut remaining = Vec::new();
    for write in batch {
        let changed = rows
            .iter()
            .find(|row| row.table == write.row_key.table && row.key == write.row_key.key);
        match changed {
            Some(row) => reply(vec![write], &WriteOutcome::Conflict(Some(row.clone()))),
            None => remaining.push(write),
        }
    }
    if remaining.len() < known {
        return remaining;
    }
    // A check failed because a row was deleted. The table service does not name it, so each row is
    // read.
    for write in remaining {
        let outcome = match table.read(write.row_key.table, &write.row_key.key).await {
            Ok(row) => WriteOutcome::Conflict(row),
            Err(_) => WriteOutcome::Unavailable,
        };
        reply(vec![write], &outcome);
    }
    Vec::new()
}

fn transaction(batch: &[Write]) -> Transaction {
    let check = |write: &Write| Check {
        table: write.row_key.table.to_owned(),
        key: write.row_key.key.clone(),
        revision: write.check,
    };
    let put = |write: &Write| Put {
        table: write.row_key.table.to_owned(),
        key: write.row_key.key.clone(),
        value: write.value.clone(),
    };
    Transaction {
        checks: batch.iter().map(check).collect(),
        puts: batch.iter().map(put).collect(),
    }
}
