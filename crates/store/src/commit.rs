//! Commits a transaction even if its answer is lost.
//!
//! A transaction without an answer may have taken effect, or may yet: a read that shows the old
//! row proves nothing about a write that is still on its way. Waiting closes that gap only by
//! luck. It is closed by submitting the *same* checked transaction again. If a row is both checked
//! and written, the transaction can take effect only once, whichever copy arrives first: its own
//! effect breaks the check of every other copy, for revisions never come back.
//!
//! * The second copy is committed: the first never will be.
//! * The second copy meets a conflict: some check is broken for good, so that no copy can take
//!   effect any more. A read *after* the conflict then shows whether one did before.
//!
//! That last read tells nothing if the row that bears the token may have been written over by a
//! later transaction. It decides only for a row that is written once, such as a claim or an entry
//! of a log, which the transaction shows by expecting that there is no such row. For other rows
//! the outcome stays [`Outcome::Unsure`].
//!
//! A row whose absence is checked must not be deleted while a copy may still be on its way: the
//! check would hold again, and a late copy would take effect a second time.

use crate::table::{Error, Put, RowRevision, Table, Transaction};
use std::time::Duration;

/// Field of a written value that bears the writer's unique token.
pub const TOKEN: &str = "token";

/// How long to go on while the outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Submissions after the first.
    pub retries: u32,
    /// Wait before the first of them; doubled before each further one.
    pub pause: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            retries: 5,
            pause: Duration::from_millis(50),
        }
    }
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It took effect, once, as this revision.
    Applied(RowRevision),
    /// It did not take effect and never will.
    NotApplied(Error),
    /// It may have taken effect, or may yet.
    Unsure(Error),
}

/// Commits a transaction, one of whose puts writes an object with the field [`TOKEN`] set to
/// `token`, which no other transaction uses.
///
/// A refusal of the first submission is given back at once, as nothing was sent.
///
/// # Examples
///
/// ```
/// use store::commit::{Outcome, RetryPolicy, commit};
/// use store::{Check, Memory, Put, Transaction};
///
/// # futures::executor::block_on(async {
/// let (table, key) = ("claim".to_owned(), "label-7".to_owned());
/// let transaction = Transaction {
///     checks: vec![Check { table: table.clone(), key: key.clone(), revision: None }],
///     puts: vec![Put { table, key, value: Some(serde_json::json!({"token": "a1"})) }],
/// };
/// let memory = Memory::default();
/// memory.lose_answers(1);
/// let outcome = commit(&memory, &transaction, "a1", RetryPolicy::default()).await;
/// assert_eq!(outcome, Outcome::Applied(1));
/// # });
/// ```
pub async fn commit(
    table: &impl Table,
    transaction: &Transaction,
    token: &str,
    policy: RetryPolicy,
) -> Outcome {
    let mut error = match table.transact(transaction).await {
        Ok(revision) => return Outcome::Applied(revision),
        Err(error @ (Error::Unsure { .. } | Error::Malformed { .. })) => error,
        Err(error) => return Outcome::NotApplied(error),
    };
    let Some(witness) = Witness::find(transaction, token) else {
        return Outcome::Unsure(error);
    };
    let mut pause = policy.pause;
    for _ in 0..policy.retries {
        if let Ok(Some(revision)) = witness.look(table).await {
            return Outcome::Applied(revision);
        }
        if !witness.guarded {
            return Outcome::Unsure(error);
        }
        error = match table.transact(transaction).await {
            Ok(revision) => return Outcome::Applied(revision),
            Err(conflict @ Error::Conflict { .. }) => {
                if let Some(outcome) = witness.after_conflict(table, conflict).await {
                    return outcome;
                }
                error
            }
            Err(error) => error,
        };
        tokio::time::sleep(pause.max(retry_after(&error))).await;
        pause = pause.saturating_mul(2);
    }
    Outcome::Unsure(error)
}

/// The put that bears the token, and what its checks promise about it.
struct Witness<'a> {
    put: &'a Put,
    token: &'a str,
    /// Whether the transaction can take effect only once.
    guarded: bool,
    /// Whether the row is written once only.
    write_once: bool,
}

impl<'a> Witness<'a> {
    fn find(transaction: &'a Transaction, token: &'a str) -> Option<Self> {
        let bears_token = |put: &&Put| {
            let value = put.value.as_ref();
            value.is_some_and(|value| value[TOKEN] == token)
        };
        let put = transaction.puts.iter().find(bears_token)?;
        let guarded = transaction.checks.iter().any(|check| {
            let mut puts = transaction.puts.iter();
            puts.any(|put| {
                let same_row = put.table == check.table && put.key == check.key;
                same_row && (put.value.is_some() || check.revision.is_some())
            })
        });
        let write_once = transaction.checks.iter().any(|check| {
            check.table == put.table && check.key == put.key && check.revision.is_none()
        });
        Some(Self {
            put,
            token,
            guarded,
            write_once,
        })
    }

    /// The revision of the row if it bears the token.
    async fn look(&self, table: &impl Table) -> Result<Option<RowRevision>, Error> {
        let row = table.read(&self.put.table, &self.put.key).await?;
        Ok(row
            .filter(|row| row.value[TOKEN] == self.token)
            .map(|row| row.revision))
    }

    /// Tells after a conflict whether an earlier copy took effect; `None` if the row cannot be
    /// read now.
    async fn after_conflict(&self, table: &impl Table, conflict: Error) -> Option<Outcome> {
        match self.look(table).await {
            Ok(Some(revision)) => Some(Outcome::Applied(revision)),
            Ok(None) if self.write_once => Some(Outcome::NotApplied(conflict)),
            Ok(None) => Some(Outcome::Unsure(conflict)),
            Err(_) => None,
        }
    }
}

fn retry_after(error: &Error) -> Duration {
    match error {
        Error::Unavailable {
            retry_after: Some(wait),
            ..
        } => *wait,
        _ => Duration::ZERO,
    }
}
