//! Subscription to a table's changes, without repeated reads of the whole table.

use crate::table::{Error, RowRevision};
use serde_json::Value;
use std::time::Duration;

/// Change of one row.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key within the table.
    pub key: String,
    /// Content; `None` if the row was deleted.
    pub value: Option<Value>,
    /// Revision of the transaction that wrote or deleted the row.
    pub revision: RowRevision,
}

/// Snapshot of a table, or its changes since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Rows in order.
    pub rows: Vec<Change>,
    /// Revision up to which the rows are complete; the next request continues from here.
    pub revision: RowRevision,
    /// Monotonic clock of the service, if it reports one.
    pub clock: Option<Duration>,
}

/// Reasons why changes cannot be provided.
#[derive(Clone, Debug, PartialEq, snafu::Snafu)]
pub enum FeedError {
    /// The history since the revision is no longer available: the whole table must be read.
    #[snafu(display("change history is no longer available"))]
    Gap,
    /// The service was restored from an older backup since the revision: the whole table must be
    /// read, and may lack rows that have not been rewritten yet.
    #[snafu(display("table service restored from an older backup"))]
    Restored,
    /// The call failed; it is safe to retry.
    #[snafu(display("{error}"))]
    Failed {
        /// Error of the call.
        error: Error,
    },
}

/// A table service that provides changes as they occur.
pub trait Feed: Clone + Send + Sync + 'static {
    /// Reads a consistent snapshot of all rows of a table.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Conflict`].
    fn list(&self, table: &str) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Waits up to `wait` for changes after a revision; the result may be empty.
    ///
    /// # Errors
    ///
    /// [`FeedError`] if the changes cannot be provided.
    fn changes(
        &self,
        table: &str,
        after: RowRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, FeedError>> + Send;
}
