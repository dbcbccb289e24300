//! The transactional table service.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::time::Duration;

/// Number of a transaction of the table service, combined with its era ([`crate::era`]); increases
/// with each transaction that takes effect.
pub type RowRevision = u64;

/// A row as stored by the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Table that contains the row.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Content.
    pub value: serde_json::Value,
    /// Revision of the transaction that last wrote the row.
    pub revision: RowRevision,
}

/// Condition of a transaction: the row has a given revision, or does not exist.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// Table that contains the row.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Expected revision; `None` expects that the row does not exist.
    pub revision: Option<RowRevision>,
}

/// A row to write or delete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Table that contains the row.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// New content, or `None` to delete the row.
    pub value: Option<serde_json::Value>,
}

/// Writes that take effect atomically if all checks hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub puts: Vec<Put>,
}

/// Errors of a call to the platform.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A check did not hold; nothing was written.
    #[snafu(display("{} row(s) have changed", rows.len()))]
    Conflict {
        /// Current state of the rows whose checks failed; rows that do not exist are omitted.
        rows: Vec<Row>,
    },
    /// Nothing was written: the service refused the call, could not be reached, or did not answer a
    /// read.
    #[snafu(display("platform unavailable: {reason}"))]
    Unavailable {
        /// Reason given by the service or the client.
        reason: String,
        /// Time to wait before a retry, if the service gave one.
        retry_after: Option<Duration>,
    },
    /// The call was sent but no valid answer was received: it may have taken effect, or may still
    /// do so.
    #[snafu(display("platform answer lost: {reason}"))]
    Unsure {
        /// Reason why there is no answer.
        reason: String,
    },
    /// The answer could not be parsed.
    #[snafu(display("platform answer unreadable: {reason}"))]
    Malformed {
        /// Error of the parser.
        reason: String,
    },
}

/// The table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Executes a transaction and returns its revision.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] and [`Error::Unavailable`] guarantee that nothing was written;
    /// [`Error::Unsure`] means that it may have been.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<RowRevision, Error>> + Send;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Conflict`].
    fn read(
        &self,
        table: &str,
        key: &str,
    ) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Reads up to `limit` rows with keys greater than `after`, in order of their keys.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Conflict`].
    fn scan(
        &self,
        table: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;
}
