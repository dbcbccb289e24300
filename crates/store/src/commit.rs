//! Commits a transaction even if its answer is lost.
//!
//! A transaction without an answer may have taken effect, or may still do so: a read that returns
//! the old row proves nothing about a write that is still in flight, and waiting longer is no
//! guarantee. The outcome is resolved by submitting the *same* checked transaction again. If a row
//! is both checked and written, the transaction can take effect only once, whichever copy arrives
//! first: its own effect invalidates the check of every other copy, because revisions are never
//! reused.
//!
//! * If the second copy is committed, the first never will be.
//! * If the second copy conflicts, some check is permanently invalid, so that no copy can take
//!   effect any more. A read *after* the conflict then shows whether one did before.
//!
//! That last read proves nothing if a later transaction may have overwritten the row with the
//! token. It is conclusive only for a row that is written once, such as a claim or a log entry,
//! which the transaction declares by expecting that the row does not exist. For other rows the
//! outcome stays [`Outcome::Unsure`].
//!
//! A row whose absence is checked must not be deleted while a copy may still be in flight: the
//! check would hold again, and a late copy would take effect a second time.

use crate::table::{Error, Put, RowRevision, Table, Transaction};
use std::time::Duration;

/// Field of a written value that contains the writer's unique token.
pub const TOKEN: &str = "token";

/// Retries while the outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of submissions after the first.
    pub retries: u32,
    /// Delay after the first retry; it doubles with each further one.
    pub backoff: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            retries: 5,
            backoff: Duration::from_millis(50),
        }
    }
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It took effect, once, with this revision.
    Applied(RowRevision),
    /// It did not take effect and never will.
    NotApplied(Error),
    /// It may have taken effect, or may still do so.
    Unsure(Error),
}

/// Commits a transaction, one of whose puts writes an object with the field [`TOKEN`] set to
/// `token`, which no other transaction uses.
///
/// A refusal of the first submission is returned immediately, as nothing was written.
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
    let Some(token_put) = TokenPut::find(transaction, token) else {
        return Outcome::Unsure(error);
    };
    let mut backoff = policy.backoff;
    for _ in 0..policy.retries {
        if let Ok(Some(revision)) = token_put.read_revision(table).await {
            return Outcome::Applied(revision);
        }
        if !token_put.at_most_once {
            return Outcome::Unsure(error);
        }
        error = match table.transact(transaction).await {
            Ok(revision) => return Outcome::Applied(revision),
            Err(conflict @ Error::Conflict { .. }) => {
                if let Some(outcome) = token_put.resolve_conflict(table, conflict).await {
                    return outcome;
                }
                error
            }
            Err(error) => error,
        };
        tokio::time::sleep(backoff.max(retry_after(&error))).await;
        backoff = backoff.saturating_mul(2);
    }
    Outcome::Unsure(error)
}

/// The put that contains the token, and the guarantees that the transaction's checks give.
struct TokenPut<'a> {
    put: &'a Put,
    token: &'a str,
    /// Whether the transaction can take effect only once.
    at_most_once: bool,
    /// Whether the row of the put is written only once.
    write_once: bool,
}

impl<'a> TokenPut<'a> {
    fn find(transaction: &'a Transaction, token: &'a str) -> Option<Self> {
        let has_token = |put: &&Put| {
            let value = put.value.as_ref();
            value.is_some_and(|value| value[TOKEN] == token)
        };
        let put = transaction.puts.iter().find(has_token)?;
        let at_most_once = transaction.checks.iter().any(|check| {
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
            at_most_once,
            write_once,
        })
    }

    /// Reads the revision of the row if it contains the token.
    async fn read_revision(&self, table: &impl Table) -> Result<Option<RowRevision>, Error> {
        let row = table.read(&self.put.table, &self.put.key).await?;
        Ok(row
            .filter(|row| row.value[TOKEN] == self.token)
            .map(|row| row.revision))
    }

    /// Determines after a conflict whether an earlier copy took effect; `None` if the row cannot
    /// currently be read.
    async fn resolve_conflict(&self, table: &impl Table, conflict: Error) -> Option<Outcome> {
        match self.read_revision(table).await {
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
