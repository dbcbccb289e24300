//! Claims on idempotency keys: many in one transaction.
//!
//! The table service takes several hundred writes a second and the fleet far more calls, so that
//! claims that arrive while a transaction is under way share the next one.

use crate::config::rows;
use platform::{Check, Error, Objects, Put, Row, Table, Transaction};
use protocol::RequestId;
use protocol::claim::{self, Action, Claim, Event, Kept, Verdict};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Table of claims.
pub const CLAIMS: &str = "claim";
/// Claims written in one transaction at most.
const BATCH: usize = 64;
/// Writes that wait before callers wait to queue theirs.
const QUEUE: usize = 4096;
/// Pause before a release or answer that could not be written is tried again.
const LATER: Duration = Duration::from_millis(500);

/// A row to write, and where to tell what became of it.
#[derive(Debug)]
struct Write {
    key: String,
    check: Option<platform::table::RowRevision>,
    row: claim::Row,
    done: oneshot::Sender<Event>,
}

/// Claims of one entry.
#[derive(Clone, Debug)]
pub struct Claims<P> {
    platform: P,
    writes: mpsc::Sender<Write>,
}

/// A request's claim that was settled for its caller.
#[derive(Debug)]
pub struct Settled {
    claim: Claim,
    key: String,
    /// What the caller is told, or whether the request may run.
    pub verdict: Verdict,
}

impl Settled {
    /// Whether the row needs no more writes.
    pub fn is_settled(&self) -> bool {
        self.claim.is_settled()
    }
}

/// Key of a claim's row. Workspaces are kept apart by a length, so that no name can be made to
/// meet another workspace's keys.
fn row_key(workspace: &str, key: &str) -> String {
    format!("{}:{workspace}:{key}", workspace.len())
}

impl<P: Table + Objects> Claims<P> {
    /// Starts the writer of claims.
    pub fn start(platform: P) -> Self {
        let (writes, queue) = mpsc::channel(QUEUE);
        tokio::spawn(commit(platform.clone(), queue));
        Self { platform, writes }
    }

    /// Claims a workspace's key for a request whose content has this digest.
    pub async fn claim(
        &self,
        workspace: &str,
        key: &str,
        request: RequestId,
        digest: u64,
    ) -> Settled {
        let key = row_key(workspace, key);
        let (mut claim, mut action) = Claim::open(rand::random(), request, digest);
        loop {
            match action {
                Action::Tell(verdict) => {
                    return Settled {
                        claim,
                        key,
                        verdict,
                    };
                }
                action_now => {
                    let event = self.carry_out(&key, action_now).await;
                    action = claim.on(event);
                }
            }
        }
    }

    /// Brings the row to its last state, for as long as it takes: the key would otherwise stay
    /// claimed by a request that has ended, and its next caller would be told *unknown*.
    pub async fn close(&self, mut settled: Settled, event: Event) {
        let mut action = settled.claim.on(event);
        while !settled.claim.is_settled() {
            if action == Action::Later {
                tokio::time::sleep(LATER).await;
            }
            let event = self.carry_out(&settled.key, action).await;
            action = settled.claim.on(event);
        }
    }

    async fn carry_out(&self, key: &str, action: Action) -> Event {
        match action {
            Action::Write { check, row } => self.write(key, check, row).await,
            Action::Read => self.read(key).await,
            Action::Later | Action::Ignore | Action::Tell(_) => Event::Retry,
        }
    }

    async fn write(
        &self,
        key: &str,
        check: Option<platform::table::RowRevision>,
        row: claim::Row,
    ) -> Event {
        let (done, event) = oneshot::channel();
        let write = Write {
            key: key.to_owned(),
            check,
            row,
            done,
        };
        if self.writes.send(write).await.is_err() {
            return Event::Unavailable;
        }
        // The writer goes only with the runtime.
        event.await.unwrap_or(Event::Unsure)
    }

    async fn read(&self, key: &str) -> Event {
        match self.platform.read(CLAIMS, key).await {
            Ok(row) => found(row),
            Err(_) => Event::Unavailable,
        }
    }
}

fn found(row: Option<Row>) -> Event {
    let Some(row) = row else {
        return Event::Found(None);
    };
    let revision = row.revision;
    match rows::parse(row) {
        Ok(row) => Event::Found(Some(Kept { row, revision })),
        Err(_) => Event::Unavailable,
    }
}

async fn commit<P: Table>(platform: P, mut queue: mpsc::Receiver<Write>) {
    let mut waiting = VecDeque::new();
    while fill(&mut queue, &mut waiting).await {
        let batch = take(&mut waiting);
        write_all(&platform, batch).await;
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

/// Takes the next batch, with each key at most once: two claims on one key in one transaction
/// would both find the row absent, and both would run the call.
fn take(waiting: &mut VecDeque<Write>) -> Vec<Write> {
    let mut batch: Vec<Write> = Vec::new();
    let mut left = VecDeque::new();
    while let Some(write) = waiting.pop_front() {
        let taken = batch.iter().any(|other| other.key == write.key);
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
async fn write_all<P: Table>(platform: &P, mut batch: Vec<Write>) {
    while !batch.is_empty() {
        match platform.transact(&transaction(&batch)).await {
            Ok(revision) => return tell(batch, Event::Written(revision)),
            Err(Error::Conflict { rows }) => batch = drop_conflicts(platform, batch, rows).await,
            Err(Error::Unavailable { .. }) => return tell(batch, Event::Unavailable),
            Err(Error::Unsure { .. } | Error::Garbled { .. }) => return tell(batch, Event::Unsure),
        }
    }
}

fn tell(batch: Vec<Write>, event: Event) {
    for write in batch {
        // A caller that no longer listens has gone with its runtime.
        let _ = write.done.send(event);
    }
}

async fn drop_conflicts<P: Table>(platform: &P, batch: Vec<Write>, rows: Vec<Row>) -> Vec<Write> {
    let known = batch.len();
    let mut left = Vec::new();
    for write in batch {
        match rows.iter().find(|row| row.key == write.key) {
            Some(row) => tell(vec![write], found(Some(row.clone()))),
            None => left.push(write),
        }
    }
    if left.len() < known {
        return left;
    }
    // A check failed on a row that is gone: the service names no row, so each is read.
    for write in left {
        let event = match platform.read(CLAIMS, &write.key).await {
            Ok(row) => found(row),
            Err(_) => Event::Unavailable,
        };
        tell(vec![write], event);
    }
    Vec::new()
}

fn transaction(batch: &[Write]) -> Transaction {
    Transaction {
        checks: batch
            .iter()
            .map(|write| Check {
                table: CLAIMS.to_owned(),
                key: write.key.clone(),
                revision: write.check,
            })
            .collect(),
        puts: batch
            .iter()
            .map(|write| Put {
                table: CLAIMS.to_owned(),
                key: write.key.clone(),
                value: serde_json::to_value(write.row).ok(),
            })
            .collect(),
    }
}
