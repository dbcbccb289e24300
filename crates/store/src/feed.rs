//! Following a table without reading it again and again.

use crate::table::{Error, RowRevision};
use serde_json::Value;
use std::time::Duration;

/// What a follower hears of one row.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key within the table.
    pub key: String,
    /// Content; `None` if the row is gone.
    pub value: Option<Value>,
    /// Revision of the row: that of the transaction that wrote or removed it.
    pub revision: RowRevision,
}

/// A table as of one moment, or what has changed since one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Rows in order.
    pub rows: Vec<Change>,
    /// Revision up to which they are complete; the next question goes on from here.
    pub revision: RowRevision,
    /// Reading of the service's steady clock, if it tells one.
    pub clock: Option<Duration>,
}

/// Why changes cannot be told.
#[derive(Clone, Debug, PartialEq, snafu::Snafu)]
pub enum FeedError {
    /// The history since that revision is gone: the table must be read as a whole.
    #[snafu(display("history is gone"))]
    Gap,
    /// The service has come back from an older copy since that revision: the table must be read as a
    /// whole, and may lack what has not been written again yet.
    #[snafu(display("back from an older copy"))]
    Restored,
    /// The call failed; asking again is safe.
    #[snafu(display("{error}"))]
    Failed {
        /// How.
        error: Error,
    },
}

/// A table service that tells changes as they come.
pub trait Feed: Clone + Send + Sync + 'static {
    /// Reads all rows of a table as of one moment.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Conflict`].
    fn list(&self, table: &str) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Waits up to `wait` for changes after a revision; none may have come.
    ///
    /// # Errors
    ///
    /// [`FeedError`].
    fn changes(
        &self,
        table: &str,
        after: RowRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, FeedError>> + Send;
}
