//! Rows of the table service that hold the configuration.

use protocol::Revision;
use record::Document;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use store::{Error, Row};

/// Table with the head of the log.
pub const CONFIG: &str = "config";
/// Key of the head.
pub const HEAD: &str = "head";
/// Table with the log of accepted changes.
pub const LOG: &str = "config-log";
/// Table with the tokens of accepted changes.
pub const TOKENS: &str = "config-token";
/// Table with the records in force.
pub const RECORDS: &str = "config-record";

/// Head of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Latest accepted revision.
    pub revision: Revision,
}

/// A record and the revision that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Revision that last changed it.
    pub revision: Revision,
    /// The record.
    pub document: Document,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its place in the log.
    pub revision: Revision,
    /// Operator who made it.
    pub operator: String,
    /// Token that the operator's client drew for it.
    pub token: String,
    /// Records written.
    pub documents: Vec<Document>,
    /// Keys of records deleted.
    #[serde(default)]
    pub delete: Vec<String>,
}

/// Key of a log entry; keys sort as their revisions do.
///
/// # Examples
///
/// ```
/// use entry::config::rows::log_key;
/// assert!(log_key(9) < log_key(10));
/// ```
#[must_use]
pub fn log_key(revision: Revision) -> String {
    format!("{revision:020}")
}

/// Reads a row's content.
///
/// # Errors
///
/// [`Error::Malformed`] if it is not of the expected form.
pub fn parse<T: DeserializeOwned>(row: Row) -> Result<T, Error> {
    serde_json::from_value(row.value).map_err(|error| Error::Malformed {
        reason: format!("{}/{}: {error}", row.table, row.key),
    })
}
