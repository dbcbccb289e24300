//! HTTP clients of the platform.

use crate::object::Objects;
use crate::table::{Error, Row, RowRevision, Table, Transaction};
use crate::vm::{Vm, Vms};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Time that a call may take unless [`Client::with_timeout`] says otherwise.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an unused connection is closed.
const IDLE: Duration = Duration::from_secs(30);

/// HTTP client of every platform service that the settings name.
///
/// # Examples
///
/// ```no_run
/// use store::{Client, Table};
///
/// # async fn example() -> Result<(), store::Error> {
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let client = Client::new(address, address, address);
/// let row = client.read("record", "head").await?;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    table: SocketAddr,
    objects: SocketAddr,
    vms: SocketAddr,
    timeout: Duration,
}

/// An answer that arrived whole.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// How a call ended without a whole answer.
enum Failure {
    /// No connection came about, so nothing was sent.
    Unsent(String),
    /// The request may have reached the service.
    Lost(String),
}

#[derive(Deserialize)]
struct Committed {
    revision: RowRevision,
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Deserialize)]
struct List {
    vms: Vec<Vm>,
}

impl Client {
    /// A client of the services at these addresses; it connects when first used.
    #[must_use]
    pub fn new(table: SocketAddr, objects: SocketAddr, vms: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // The library sends a request again on a new connection when a pooled one turns out to be
        // closed. A lost answer would then surface as a conflict of the write with itself, which
        // reads as another writer's win. Without it the caller gets `Unsure` and settles it.
        let http = Http::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            http,
            table,
            objects,
            vms,
            timeout: TIMEOUT,
        }
    }

    /// The same client with another time limit for each call, connecting included.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Failure::Unsent(error.to_string()))?;
        tokio::time::timeout(self.timeout, self.exchange(request))
            .await
            .unwrap_or_else(|_| Err(Failure::Lost(format!("no answer in {:?}", self.timeout))))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, Failure> {
        let response = self.http.request(request).await;
        let response = response.map_err(|error| failure(&error))?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| Failure::Lost(error.to_string()))?
            .to_bytes();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Reads with GET; `None` stands for `404`.
    async fn get(&self, address: SocketAddr, path: &str) -> Result<Option<Bytes>, Error> {
        let answer = self
            .call(Method::GET, address, path, Bytes::new())
            .await
            .map_err(Failure::of_read)?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(answer.unavailable()),
        }
    }

    async fn rows(&self, path: &str) -> Result<Vec<Row>, Error> {
        let body = self.get(self.table, path).await?;
        body.map_or_else(
            || Ok(Vec::new()),
            |body| parse::<Rows>(&body).map(|rows| rows.rows),
        )
    }
}

impl Table for Client {
    async fn transact(&self, transaction: &Transaction) -> Result<RowRevision, Error> {
        let body = serde_json::to_vec(transaction).map_err(|error| garbled(&error))?;
        let answer = self
            .call(Method::POST, self.table, "/v1/transact", body.into())
            .await
            .map_err(Failure::of_write)?;
        match answer.status {
            StatusCode::OK => answer.written::<Committed>().map(|done| done.revision),
            StatusCode::CONFLICT => {
                let Rows { rows } = answer.written()?;
                Err(Error::Conflict { rows })
            }
            _ => Err(answer.not_written()),
        }
    }

    async fn read(&self, table: &str, key: &str) -> Result<Option<Row>, Error> {
        let path = format!(
            "/v1/rows/{}?key={}",
            percent_encode(table),
            percent_encode(key)
        );
        let body = self.get(self.table, &path).await?;
        body.map(|body| parse(&body)).transpose()
    }

    async fn scan(&self, table: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let (table, after) = (percent_encode(table), percent_encode(after));
        self.rows(&format!("/v1/rows/{table}?after={after}&limit={limit}"))
            .await
    }
}

impl Objects for Client {
    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), Error> {
        let path = format!("/v1/objects/{}", percent_encode(name));
        let answer = self
            .call(Method::PUT, self.objects, &path, content)
            .await
            .map_err(Failure::of_write)?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(answer.not_written())
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        let path = format!("/v1/objects/{}", percent_encode(name));
        self.get(self.objects, &path).await
    }
}

impl Vms for Client {
    async fn list(&self) -> Result<Vec<Vm>, Error> {
        let body = self.get(self.vms, "/v1/vms").await?;
        let body = body.ok_or_else(|| garbled(&"no list of VMs there"))?;
        parse::<List>(&body).map(|list| list.vms)
    }
}

impl Answer {
    fn refused(&self) -> bool {
        matches!(
            self.status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        )
    }

    fn unavailable(&self) -> Error {
        let seconds = self.headers.get(RETRY_AFTER);
        Error::Unavailable {
            reason: self.status.to_string(),
            retry_after: seconds
                .and_then(|seconds| seconds.to_str().ok()?.trim().parse().ok())
                .map(Duration::from_secs),
        }
    }

    /// Only the two statuses of the contract say that nothing was written.
    fn not_written(&self) -> Error {
        if self.refused() {
            return self.unavailable();
        }
        Error::Unsure {
            reason: self.status.to_string(),
        }
    }

    /// An unreadable answer to a write may hide a write that took effect, so it is not `Malformed`.
    fn written<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Unsure {
            reason: format!("{} with an unreadable body: {error}", self.status),
        })
    }
}

impl Failure {
    fn of_read(self) -> Error {
        let (Self::Unsent(reason) | Self::Lost(reason)) = self;
        Error::Unavailable {
            reason,
            retry_after: None,
        }
    }

    fn of_write(self) -> Error {
        match self {
            Self::Lost(reason) => Error::Unsure { reason },
            unsent @ Self::Unsent(_) => unsent.of_read(),
        }
    }
}

fn failure(error: &hyper_util::client::legacy::Error) -> Failure {
    if error.is_connect() {
        return Failure::Unsent(error_chain(error));
    }
    Failure::Lost(error_chain(error))
}

/// An error with its causes: the library's message alone says only that the request failed.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    std::iter::successors(Some(error), |error| error.source())
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| garbled(&error))
}

fn garbled(reason: &impl ToString) -> Error {
    Error::Malformed {
        reason: reason.to_string(),
    }
}

/// Percent-encodes all but the characters that a path segment and a query value share.
pub fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}
