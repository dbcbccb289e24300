//! Client for the operators' interface of entries.

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

/// Maximum number of times that a change is sent before its outcome is reported as unknown.
const ATTEMPT_LIMIT: u32 = 6;
/// Delay between attempts if the entry gives none.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Upper limit of the delay that an entry may request.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// A record in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Revision of the change that last wrote the record.
    pub revision: Revision,
    /// The record.
    pub document: Document,
}

/// All records in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Records {
    /// Revision of the last accepted change.
    pub revision: Revision,
    /// The records.
    pub records: Vec<StoredRecord>,
}

/// A change of records, which is accepted completely or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Unique token of the change, so that it takes effect once however often it is sent.
    pub token: String,
    /// Revision at which the operator read each record; `None` if the record did not exist.
    pub base: BTreeMap<String, Option<Revision>>,
    /// Records to write.
    pub documents: Vec<Document>,
    /// Keys of records to delete.
    pub delete: Vec<String>,
}

impl Change {
    /// Creates an empty change with a random token.
    #[must_use]
    pub fn with_random_token() -> Self {
        Self {
            token: format!("{:032x}", StdRng::from_os_rng().random::<u128>()),
            ..Self::default()
        }
    }
}

/// A record that another operator has changed in the meantime.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key of the record.
    pub key: String,
    /// Current revision, if the record exists.
    pub revision: Option<Revision>,
    /// Current content, if the record exists.
    pub document: Option<Document>,
}

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision of the change.
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

/// Client for the operators' interface.
#[derive(Clone)]
pub struct OperatorClient {
    client: Client,
}

impl OperatorClient {
    /// Creates a client for the entries given in the options.
    ///
    /// # Errors
    ///
    /// As [`Client::new`].
    pub fn new(common: &Common) -> Result<Self, Error> {
        let client = Client::new(common)?;
        Ok(Self { client })
    }

    /// Reads from an entry, with retries while it is unavailable.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] for a problem document, and the errors of [`Client::call`].
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let mut attempt = 1;
        loop {
            let error = match self.read_once(path).await {
                Ok(value) => return Ok(value),
                Err(error @ Error::Refused { .. }) if attempt < ATTEMPT_LIMIT => error,
                Err(error) => return Err(error),
            };
            let Some(retry_delay) = retry_delay(&error) else {
                return Err(error);
            };
            attempt += 1;
            tokio::time::sleep(retry_delay).await;
        }
    }

    async fn read_once<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let (headers, body) = (HeaderMap::new(), bytes::Bytes::new());
        let answer = self.client.call(Method::GET, path, headers, body).await?;
        parse_response(&answer, StatusCode::OK)
    }

    /// Fetches all records in force.
    ///
    /// # Errors
    ///
    /// As [`OperatorClient::read`].
    pub async fn records(&self) -> Result<Records, Error> {
        self.read("/v1/records").await
    }

    /// Fetches the record of a key, if it exists.
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

    /// Sends a change, with retries until its outcome is known.
    ///
    /// If a response is lost after the entry wrote the change, the outcome is unknown to the
    /// operator. The change is sent again to the next entry with the same token and gets the
    /// response of the first call; with a new token it would conflict with the operator's own
    /// change. After a lost response, a refusal does not apply to the first call, so only an
    /// acceptance, a conflict or findings end the loop early.
    ///
    /// # Errors
    ///
    /// [`Error::Conflicting`], [`Error::Invalid`], [`Error::Refused`], or [`Error::Lost`] if the
    /// outcome remains unknown.
    pub async fn apply(&mut self, change: &Change) -> Result<Accepted, Error> {
        let body = serde_json::to_vec(change).map_err(|error| Error::Failed {
            reason: error.to_string(),
        })?;
        let body = bytes::Bytes::from(body);
        let mut unresolved = None;
        let mut attempt = 1;
        loop {
            let error = match self.attempt(body.clone()).await {
                Ok(accepted) => return Ok(accepted),
                Err(error) => error,
            };
            let retry_delay = retry_delay(&error).filter(|_| attempt < ATTEMPT_LIMIT);
            let error = match unresolved.take() {
                Some(first) if !is_conclusive(&error) => first,
                _ => error,
            };
            let Some(retry_delay) = retry_delay else {
                return Err(error);
            };
            if error.exit() == EXIT_UNKNOWN {
                unresolved = Some(error);
            }
            attempt += 1;
            self.client.rotate();
            tokio::time::sleep(retry_delay).await;
        }
    }

    async fn attempt(&self, body: bytes::Bytes) -> Result<Accepted, Error> {
        let answer = self
            .client
            .call(Method::POST, "/v1/apply", HeaderMap::new(), body)
            .await?;
        parse_response(&answer, StatusCode::OK)
    }
}

/// Returns the delay before the next attempt, or `None` if a retry is of no use.
fn retry_delay(error: &Error) -> Option<Duration> {
    match error {
        Error::Lost { .. } | Error::Unreachable { .. } => Some(RETRY_DELAY),
        Error::Refused { problem }
            if problem.status == StatusCode::SERVICE_UNAVAILABLE
                || problem.outcome == Some(Outcome::Unknown) =>
        {
            Some(
                problem
                    .retry_delay()
                    .unwrap_or(RETRY_DELAY)
                    .min(MAX_RETRY_DELAY),
            )
        }
        _ => None,
    }
}

/// Returns whether the error also states the outcome of earlier attempts of the same change.
fn is_conclusive(error: &Error) -> bool {
    matches!(error, Error::Conflicting { .. } | Error::Invalid { .. })
}

fn parse_response<T: DeserializeOwned>(
    answer: &FullResponse,
    expected: StatusCode,
) -> Result<T, Error> {
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
