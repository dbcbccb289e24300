#![allow(clippy::unwrap_used, missing_docs)]

use futures::FutureExt;
use std::time::Duration;
use store::commit::{Outcome, RetryPolicy, commit};
use store::{Check, Error, Memory, Put, Row, RowRevision, Table, Transaction};

const RETRY_POLICY: RetryPolicy = RetryPolicy {
    retries: 3,
    pause: Duration::from_secs(1),
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

// The claim of a label print was written and its answer lost. Without settling, the fitter would be
// told that the label may or may not be printed.
#[tokio::test(start_paused = true)]
async fn lost_answer() {
    let memory = Memory::default();
    memory.lose_answers(1);
    let outcome = commit(&memory, &write(None, "a"), "a", RETRY_POLICY).await;
    assert_eq!(outcome, Outcome::Applied(1));
}

// The write is held up on its way and a read shows that there is no row. It is submitted again,
// which takes effect; the held copy arrives afterwards and must change nothing.
#[tokio::test(start_paused = true)]
async fn delayed_copy() {
    let memory = Memory::default();
    memory.delay_writes(1);
    let outcome = commit(&memory, &write(None, "a"), "a", RETRY_POLICY).await;
    assert_eq!(outcome, Outcome::Applied(1));
    assert_eq!(memory.release_writes(), 0);
    assert_eq!(row(&memory).await.revision, 1);
}

// Two entries race for one claim. The loser's write is held up, so that it cannot know at first;
// it must end up as not applied, for good, or the label would be printed twice.
#[tokio::test(start_paused = true)]
async fn lost_race() {
    let memory = Memory::default();
    memory.delay_writes(2);
    let winner = async {
        tokio::time::sleep(RETRY_POLICY.pause / 2).await;
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

// The same race, with the winner there before: the conflict names the winner's row.
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

// A row that is written over and over: the write took effect, its answer was lost, and the next
// writer has replaced the row before it could be read back. Neither answer would be the truth.
#[tokio::test(start_paused = true)]
async fn overwritten_row() {
    let memory = Memory::default();
    memory.transact(&write(None, "first")).await.unwrap();
    memory.lose_answers(1);
    let overwritten = Then(memory.clone(), |memory| {
        let next = write(Some(2), "next");
        // Only the first copy is followed by this; after the others the check fails.
        let _ = memory.transact(&next).now_or_never();
    });
    let outcome = commit(&overwritten, &write(Some(1), "a"), "a", RETRY_POLICY).await;
    assert!(matches!(outcome, Outcome::Unsure(_)), "{outcome:?}");
    assert_eq!(row(&memory).await.value["token"], "next");
}

// The service goes down right after it took the write. No number of tries tells what became of it,
// and to say "not applied" would be a guess.
#[tokio::test(start_paused = true)]
async fn outage_after_write() {
    let memory = Memory::default();
    memory.lose_answers(1);
    let lost = Then(memory.clone(), |memory| memory.set_outage(true));
    let outcome = commit(&lost, &write(None, "a"), "a", RETRY_POLICY).await;
    assert!(matches!(outcome, Outcome::Unsure(_)), "{outcome:?}");
    memory.set_outage(false);
    let outcome = commit(&memory, &write(None, "a"), "a", RETRY_POLICY).await;
    assert!(matches!(
        outcome,
        Outcome::NotApplied(Error::Conflict { .. })
    ));
}

// The service is down from the start. Nothing was sent, so the caller may be told at once.
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

// No row is both checked and written, so that two copies could both take effect. The write must
// not be sent a second time.
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

/// A service to which something happens right after each transaction.
#[derive(Clone)]
struct Then(Memory, fn(&Memory));

impl Table for Then {
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
