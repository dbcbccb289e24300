//! The operators' interface of entries.

use crate::client::FullResponse;
use crate::error::{EXIT_UNKNOWN, Outcome};
use crate::{Client, Common, Error};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use record::{Document, Finding, Findings, Revision};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Times that a change is sent before its outcome is given up as unknown.
const ATTEMPTS: u32 = 6;
/// Wait before a change is sent again, where the entry names none.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest wait that an entry may ask of a command.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// A record in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Change that last wrote it.
    pub revision: Revision,
    /// The record.
    pub document: Document,
}

/// Records in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Records {
    /// Last accepted change.
    pub revision: Revision,
    /// The records.
    pub records: Vec<StoredRecord>,
}

/// What an operator asks for; accepted as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Unique for each change, so that it takes effect once however often it is sent.
    pub token: String,
    /// Revision of each record that the operator saw; `None` where there was none.
    pub base: BTreeMap<String, Option<Revision>>,
    /// Records to write.
    pub documents: Vec<Document>,
    /// Keys of records to delete.
    pub delete: Vec<String>,
}

impl Change {
    /// An empty change under a fresh token.
    #[must_use]
    pub fn with_random_token() -> Self {
        Self {
            token: format!("{:032x}", StdRng::from_os_rng().random::<u128>()),
            ..Self::default()
        }
    }
}

/// A record that another operator has changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key of the record.
    pub key: String,
    /// Its revision, if it exists.
    pub revision: Option<Revision>,
    /// The record as it is, if it exists.
    pub document: Option<Document>,
}

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its number.
    pub revision: Revision,
}

#[derive(Deserialize)]
struct Conflicts {
    conflicts: Vec<Conflict>,
}

#[derive(Deserialize)]
struct Rejected {
    findings: Vec<Rejection>,
}

#[derive(Deserialize)]
struct Rejection {
    #[serde(alias = "origin")]
    key: String,
    path: String,
    message: String,
}

/// A client of the operators' interface.
#[derive(Clone)]
pub struct OperatorClient {
    client: Client,
}

impl OperatorClient {
    /// A client of the entries that the options name.
    ///
    /// # Errors
    ///
    /// As [`Client::new`].
    pub fn new(common: &Common) -> Result<Self, Error> {
        let client = Client::new(common)?;
        Ok(Self { client })
    }

    /// Reads from an entry; again after a wait where it cannot tell yet.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] for a problem, and those of [`Client::call`].
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let mut attempt = 1;
        loop {
            let error = match self.read_once(path).await {
                Ok(value) => return Ok(value),
                Err(error @ Error::Refused { .. }) if attempt < ATTEMPTS => error,
                Err(error) => return Err(error),
            };
            let Some(pause) = pause(&error) else {
                return Err(error);
            };
            attempt += 1;
            tokio::time::sleep(pause).await;
        }
    }

    async fn read_once<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let (headers, body) = (HeaderMap::new(), bytes::Bytes::new());
        let answer = self.client.call(Method::GET, path, headers, body).await?;
        accept(&answer, StatusCode::OK)
    }

    /// All records in force.
    ///
    /// # Errors
    ///
    /// As [`OperatorClient::read`].
    pub async fn records(&self) -> Result<Records, Error> {
        self.read("/v1/records").await
    }

    /// The record of a key, if there is one.
    ///
    /// # Errors
    ///
    /// As [`OperatorClient::read`].
    pub async fn record(&self, key: &str) -> Result<Option<StoredRecord>, Error> {
        let path = format!("/v1/records?key={key}");
        match self.read::<Records>(&path).await {
            Ok(records) => Ok(records.records.into_iter().next()),
            Err(Error::Refused { problem }) if problem.status == StatusCode::NOT_FOUND => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Sends a change until an answer settles it.
    ///
    /// An answer that is lost after the entry wrote the change leaves the operator unsure. The
    /// same token is sent again, to the next entry, and gets the answer of the first call; a new
    /// token would meet the operator's own change as a conflict. Once one answer has been lost, a
    /// later refusal says nothing about the first call, so only an acceptance, a conflict or
    /// findings end the loop early.
    ///
    /// # Errors
    ///
    /// [`Error::Conflicting`], [`Error::Invalid`], [`Error::Refused`], or [`Error::Lost`] if no
    /// answer settled it.
    pub async fn apply(&mut self, change: &Change) -> Result<Accepted, Error> {
        let body = serde_json::to_vec(change).map_err(|error| Error::Failed {
            reason: error.to_string(),
        })?;
        let body = bytes::Bytes::from(body);
        let mut doubt = None;
        let mut attempt = 1;
        loop {
            let error = match self.attempt(body.clone()).await {
                Ok(accepted) => return Ok(accepted),
                Err(error) => error,
            };
            let pause = pause(&error).filter(|_| attempt < ATTEMPTS);
            let error = match doubt.take() {
                Some(first) if !settles(&error) => first,
                _ => error,
            };
            let Some(pause) = pause else {
                return Err(error);
            };
            if error.exit() == EXIT_UNKNOWN {
                doubt = Some(error);
            }
            attempt += 1;
            self.client.rotate();
            tokio::time::sleep(pause).await;
        }
    }

    async fn attempt(&self, body: bytes::Bytes) -> Result<Accepted, Error> {
        let answer = self
            .client
            .call(Method::POST, "/v1/apply", HeaderMap::new(), body)
            .await?;
        accept(&answer, StatusCode::OK)
    }
}

/// How long to wait before the change is sent again, or `None` if that makes no sense.
fn pause(error: &Error) -> Option<Duration> {
    match error {
        Error::Lost { .. } | Error::Unreachable { .. } => Some(PAUSE),
        Error::Refused { problem }
            if problem.status == StatusCode::SERVICE_UNAVAILABLE
                || problem.outcome == Some(Outcome::Unknown) =>
        {
            Some(problem.retry_delay().unwrap_or(PAUSE).min(MAX_PAUSE))
        }
        _ => None,
    }
}

/// Whether the answer also says what became of the same change sent earlier.
fn settles(error: &Error) -> bool {
    matches!(error, Error::Conflicting { .. } | Error::Invalid { .. })
}

fn accept<T: DeserializeOwned>(answer: &FullResponse, expected: StatusCode) -> Result<T, Error> {
    match answer.status {
        status if status == expected => answer.json(),
        StatusCode::CONFLICT => {
            let Conflicts { conflicts } = answer.json()?;
            Err(Error::Conflicting { conflicts })
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            let rejected: Rejected = answer.json()?;
            let findings = rejected.findings.into_iter();
            let findings = findings.map(|each| Finding::new(each.key, each.path, each.message));
            Err(Error::Invalid {
                findings: Findings(findings.collect()),
            })
        }
        _ => Err(Error::Refused {
            problem: answer.problem(),
        }),
    }
}
