#![allow(clippy::unwrap_used, missing_docs)]

use futures::FutureExt;
use std::time::Duration;
use store::commit::{Outcome, RetryPolicy, commit};
use store::{Check, Error, Memory, Put, Row, RowRevision, Table, Transaction};

const RETRY_POLICY: RetryPolicy = RetryPolicy {
    retries: 3,
    backoff: Duration::from_secs(1),
};

fn write(revision: Option<RowRevision>, token: &str) -> Transaction {
    let (table, key) = ("claim".to_owned(), "label-7".to_owned());
    Transaction {
        checks: vec![Check {
            table: table.clone(),
            key: key.clone(),
            revision,
        }],
        puts: vec![Put {
            table,
            key,
            value: Some(serde_json::json!({ "token": token })),
        }],
    }
}

async fn row(memory: &Memory) -> Row {
    memory.read("claim", "label-7").await.unwrap().unwrap()
}

// The claim of a label print was written and its answer lost. If the outcome were not resolved, the
// caller would be notified that the label may or may not be printed.
#[tokio::test(start_paused = true)]
async fn lost_answer() {
    let memory = Memory::default();
    memory.lose_answers(1);
    let outcome = commit(&memory, &write(None, "a"), "a", RETRY_POLICY).await;
    assert_eq!(outcome, Outcome::Applied(1));
}

// The write is delayed in flight and a read finds no row. The second submission takes effect; the
// delayed copy arrives afterwards and must change nothing.
#[tokio::test(start_paused = true)]
async fn delayed_copy() {
    let memory = Memory::default();
    memory.delay_writes(1);
    let outcome = commit(&memory, &write(None, "a"), "a", RETRY_POLICY).await;
    assert_eq!(outcome, Outcome::Applied(1));
    assert_eq!(memory.release_writes(), 0);
    assert_eq!(row(&memory).await.revision, 1);
}

// Two entries race for one claim. The loser's write is delayed, so that its outcome is unknown at
// first; it must never be applied, or the label would be printed twice.
#[tokio::test(start_paused = true)]
async fn lost_race() {
    let memory = Memory::default();
    memory.delay_writes(2);
    let winner = async {
        tokio::time::sleep(RETRY_POLICY.backoff / 2).await;
        memory.transact(&write(None, "b")).await
    };
    let loser = write(None, "a");
    let (outcome, won) = tokio::join!(commit(&memory, &loser, "a", RETRY_POLICY), winner);
    won.unwrap();
    assert!(matches!(
        outcome,
        Outcome::NotApplied(Error::Conflict { .. })
    ));
    assert_eq!(memory.release_writes(), 0);
}

// The same race, but the winner has written first: the conflict returns the winner's row.
#[tokio::test(start_paused = true)]
async fn earlier_winner() {
    let memory = Memory::default();
    memory.transact(&write(None, "b")).await.unwrap();
    memory.delay_writes(1);
    let outcome = commit(&memory, &write(None, "a"), "a", RETRY_POLICY).await;
    assert!(matches!(
        outcome,
        Outcome::NotApplied(Error::Conflict { .. })
    ));
    assert_eq!(memory.release_writes(), 0);
    assert_eq!(row(&memory).await.value["token"], "b");
}

// A row that is written repeatedly: the write took effect, its answer was lost, and the next writer
// has overwritten the row before it could be read back. Neither "applied" nor "not applied" can be
// proved.
#[tokio::test(start_paused = true)]
async fn overwritten_row() {
    let memory = Memory::default();
    memory.transact(&write(None, "first")).await.unwrap();
    memory.lose_answers(1);
    let overwritten = AfterTransact(memory.clone(), |memory| {
        let next = write(Some(2), "next");
        // Takes effect only after the first copy; after the others the check fails.
        let _ = memory.transact(&next).now_or_never();
    });
    let outcome = commit(&overwritten, &write(Some(1), "a"), "a", RETRY_POLICY).await;
    assert!(matches!(outcome, Outcome::Unsure(_)), "{outcome:?}");
    assert_eq!(row(&memory).await.value["token"], "next");
}

// The service becomes unavailable right after the write took effect. No number of retries resolves
// the outcome, and "not applied" would be a guess.
#[tokio::test(start_paused = true)]
async fn outage_after_write() {
    let memory = Memory::default();
    memory.lose_answers(1);
    let lost = AfterTransact(memory.clone(), |memory| memory.set_outage(true));
    let outcome = commit(&lost, &write(None, "a"), "a", RETRY_POLICY).await;
    assert!(matches!(outcome, Outcome::Unsure(_)), "{outcome:?}");
    memory.set_outage(false);
    let outcome = commit(&memory, &write(None, "a"), "a", RETRY_POLICY).await;
    assert!(matches!(
        outcome,
        Outcome::NotApplied(Error::Conflict { .. })
    ));
}

// The service is unavailable from the start. Nothing was written, so the outcome is known at once.
#[tokio::test(start_paused = true)]
async fn outage_before_write() {
    let memory = Memory::default();
    memory.set_outage(true);
    let outcome = commit(&memory, &write(None, "a"), "a", RETRY_POLICY).await;
    assert!(matches!(
        outcome,
        Outcome::NotApplied(Error::Unavailable { .. })
    ));
}

// No row is both checked and written, so two copies could both take effect. The write must not be
// sent a second time.
#[tokio::test(start_paused = true)]
async fn unguarded_write() {
    let memory = Memory::default();
    memory.delay_writes(1);
    let mut transaction = write(None, "a");
    transaction.checks.clear();
    let outcome = commit(&memory, &transaction, "a", RETRY_POLICY).await;
    assert!(matches!(outcome, Outcome::Unsure(_)), "{outcome:?}");
    assert_eq!(memory.release_writes(), 1);
}

/// A table service that runs a callback after each transaction.
#[derive(Clone)]
struct AfterTransact(Memory, fn(&Memory));

impl Table for AfterTransact {
    async fn transact(&self, transaction: &Transaction) -> Result<RowRevision, Error> {
        let answer = self.0.transact(transaction).await;
        self.1(&self.0);
        answer
    }

    async fn read(&self, table: &str, key: &str) -> Result<Option<Row>, Error> {
        self.0.read(table, key).await
    }

    async fn scan(&self, table: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        self.0.scan(table, after, limit).await
    }
}
