//! Accepts operators' changes.

use crate::config::rows::{self, Change, Head, Stored};
use crate::config::{Config, Records};
use protocol::Revision;
use record::Document;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use store::{Check, Error, Put, Table, Transaction};
use tokio::time::Instant;

/// How long a change whose fate is not known is looked after before the operator is told so.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between attempts to settle it.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A change as an operator asks for it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Drawn by the operator's client, once for each change.
    pub token: String,
    /// Revision of each record that the operator saw; `None`, or no entry, if there was none.
    #[serde(default)]
    pub base: BTreeMap<String, Option<Revision>>,
    /// Records to write.
    #[serde(default)]
    pub documents: Vec<Document>,
    /// Keys of records to delete.
    #[serde(default)]
    pub delete: Vec<String>,
}

/// A record that is not as the operator saw it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Conflict {
    /// Key of the record.
    pub key: String,
    /// Its revision now.
    pub revision: Option<Revision>,
    /// Its content now.
    pub document: Option<Document>,
}

/// Why a change was not accepted, or why nobody knows.
#[derive(Clone, Debug, Snafu)]
pub enum Refusal {
    /// Another operator was first.
    #[snafu(display("{} record(s) have changed", conflicts.len()))]
    Conflicts {
        /// The records as they are.
        conflicts: Vec<Conflict>,
    },
    /// The records contradict themselves or one another.
    #[snafu(display("{} finding(s)", findings.0.len()))]
    Findings {
        /// What is wrong, each with its place.
        findings: record::Findings,
    },
    /// The table service refused; nothing was accepted.
    #[snafu(display("{source}"))]
    Unavailable {
        /// What it said.
        source: Error,
    },
    /// The change may have been accepted.
    #[snafu(display("no answer from the table service within {RESOLVE_TIMEOUT:?}"))]
    Unknown,
}

/// What became of one transaction.
enum TransactionOutcome {
    Accepted(Revision),
    HeadChanged,
}

impl<P: Table> Config<P> {
    /// Accepts a change or says why not; the same token is accepted once only.
    ///
    /// # Errors
    ///
    /// [`Refusal`]; only [`Refusal::Unknown`] leaves open whether the change is accepted.
    pub async fn accept(&self, operator: &str, request: &Request) -> Result<Revision, Refusal> {
        let _writing = self.writing.lock().await;
        loop {
            self.poll().await.map_err(unavailable)?;
            if let Some(revision) = self.accepted(&request.token).await.map_err(unavailable)? {
                return Ok(revision);
            }
            let (change, head_row) = self.prepare(operator, request)?;
            let transaction = transaction(&change, head_row);
            if let TransactionOutcome::Accepted(revision) =
                self.submit(&change, &transaction).await?
            {
                // The change is accepted whether or not this entry can read it back at once.
                let _ = self.poll().await;
                return Ok(revision);
            }
        }
    }

    /// Revision under which a token was accepted.
    async fn accepted(&self, token: &str) -> Result<Option<Revision>, Error> {
        match self.platform.read(rows::TOKENS, token).await? {
            Some(row) => rows::parse::<Head>(row).map(|head| Some(head.revision)),
            None => Ok(None),
        }
    }

    fn prepare(
        &self,
        operator: &str,
        request: &Request,
    ) -> Result<(Change, Option<store::table::RowRevision>), Refusal> {
        let state = self.lock();
        let conflicts = conflicts(&state.records, request);
        if !conflicts.is_empty() {
            return Err(Refusal::Conflicts { conflicts });
        }
        let documents: Vec<Document> = request
            .documents
            .iter()
            .map(|document| merged(&state.records, document))
            .collect();
        let findings = findings(&state.records, &documents, &request.delete);
        if !findings.0.is_empty() {
            return Err(Refusal::Findings { findings });
        }
        let change = Change {
            revision: state.follower.applied() + 1,
            operator: operator.to_owned(),
            token: request.token.clone(),
            documents,
            delete: request.delete.clone(),
        };
        Ok((change, state.head_row))
    }

    /// Submits a transaction until its fate is known.
    ///
    /// An answer that was lost leaves open whether the transaction took effect or will. The token
    /// row tells that it did. That it did not cannot be read from any row, since a delayed write
    /// may still arrive, so the same transaction is sent again: its check of the head lets only
    /// one of the copies take effect.
    async fn submit(
        &self,
        change: &Change,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, Refusal> {
        let give_up_at = Instant::now() + RESOLVE_TIMEOUT;
        let mut unsure = false;
        loop {
            match self.platform.transact(transaction).await {
                Ok(_) => return Ok(TransactionOutcome::Accepted(change.revision)),
                Err(Error::Conflict { .. }) if !unsure => {
                    return Ok(TransactionOutcome::HeadChanged);
                }
                Err(Error::Conflict { .. }) => {
                    if let Ok(found) = self.accepted(&change.token).await {
                        return Ok(found.map_or(
                            TransactionOutcome::HeadChanged,
                            TransactionOutcome::Accepted,
                        ));
                    }
                }
                Err(error @ Error::Unavailable { .. }) if !unsure => {
                    return Err(unavailable(error));
                }
                Err(Error::Unavailable { .. }) => {}
                Err(Error::Unsure { .. } | Error::Garbled { .. }) => unsure = true,
            }
            if Instant::now() > give_up_at {
                return Err(Refusal::Unknown);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

fn unavailable(source: Error) -> Refusal {
    Refusal::Unavailable { source }
}

/// The records that the change touches or names and that are not as the operator saw them.
///
/// A record that is touched without being named in `base` counts as one that the operator has not
/// seen: to write over it would silently undo what another operator had accepted.
fn conflicts(records: &Records, request: &Request) -> Vec<Conflict> {
    let written = request.documents.iter().map(Document::key);
    let touched = written.chain(request.delete.iter().cloned());
    let keys: BTreeSet<String> = touched.chain(request.base.keys().cloned()).collect();
    keys.into_iter()
        .filter_map(|key| {
            let stored = records.get(&key);
            let revision = stored.map(|stored| stored.revision);
            let seen = request.base.get(&key).copied().flatten();
            (revision != seen).then(|| Conflict {
                key,
                revision,
                document: stored.map(|stored| stored.document.clone()),
            })
        })
        .collect()
}

fn merged(records: &Records, document: &Document) -> Document {
    match records.get(&document.key()) {
        Some(stored) => record::merge(&stored.document, document),
        None => document.clone(),
    }
}

fn findings(records: &Records, documents: &[Document], delete: &[String]) -> record::Findings {
    let mut after: BTreeMap<String, Document> = records
        .iter()
        .filter(|(key, _)| !delete.contains(key))
        .map(|(key, stored)| (key.clone(), stored.document.clone()))
        .collect();
    after.extend(
        documents
            .iter()
            .map(|document| (document.key(), document.clone())),
    );
    let after: Vec<Document> = after.into_values().collect();
    record::check::all(&after)
}

fn transaction(change: &Change, head_row: Option<store::table::RowRevision>) -> Transaction {
    let head = Head {
        revision: change.revision,
    };
    let records = change.documents.iter().map(|document| {
        let stored = Stored {
            revision: change.revision,
            document: document.clone(),
        };
        put(rows::RECORDS, document.key(), Some(&stored))
    });
    let deleted = change
        .delete
        .iter()
        .map(|key| put::<Stored>(rows::RECORDS, key.clone(), None));
    let mut puts = vec![
        put(rows::CONFIG, rows::HEAD.to_owned(), Some(&head)),
        put(rows::LOG, rows::log_key(change.revision), Some(change)),
        put(rows::TOKENS, change.token.clone(), Some(&head)),
    ];
    puts.extend(deleted);
    puts.extend(records);
    Transaction {
        checks: vec![
            Check {
                table: rows::CONFIG.to_owned(),
                key: rows::HEAD.to_owned(),
                revision: head_row,
            },
            // An entry of the log is never written over, whatever the head says.
            Check {
                table: rows::LOG.to_owned(),
                key: rows::log_key(change.revision),
                revision: None,
            },
        ],
        puts,
    }
}

fn put<T: Serialize>(table: &str, key: String, value: Option<&T>) -> Put {
    Put {
        table: table.to_owned(),
        key,
        value: value.and_then(|value| serde_json::to_value(value).ok()),
    }
}
