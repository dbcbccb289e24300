//! HTTP client of the platform.

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

/// Default timeout of a call; see [`Client::with_timeout`].
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client of the platform's services.
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

/// A response that was received completely.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Failure of a call without a complete response.
enum Failure {
    /// No connection was established, so nothing was sent.
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
    /// Creates a client of the services at these addresses; it connects on first use.
    #[must_use]
    pub fn new(table: SocketAddr, objects: SocketAddr, vms: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // By default the library resends a request on a new connection if a pooled one turns out
        // to be closed. After a lost response, the write would then conflict with itself, which
        // looks like a conflict with another writer. Without the retry the caller gets `Unsure`
        // and resolves it.
        let http = Http::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
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

    /// Sets the timeout of each call, including the time to connect.
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
        let response = response.map_err(|error| classify(&error))?;
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

    /// Sends a GET request; returns `None` on `404`.
    async fn get(&self, address: SocketAddr, path: &str) -> Result<Option<Bytes>, Error> {
        let answer = self
            .call(Method::GET, address, path, Bytes::new())
            .await
            .map_err(Failure::into_read_error)?;
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
        let body = serde_json::to_vec(transaction).map_err(|error| malformed(&error))?;
        let answer = self
            .call(Method::POST, self.table, "/v1/transact", body.into())
            .await
            .map_err(Failure::into_write_error)?;
        match answer.status {
            StatusCode::OK => answer
                .parse_written::<Committed>()
                .map(|done| done.revision),
            StatusCode::CONFLICT => {
                let Rows { rows } = answer.parse_written()?;
                Err(Error::Conflict { rows })
            }
            _ => Err(answer.write_error()),
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
            .map_err(Failure::into_write_error)?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(answer.write_error())
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        let path = format!("/v1/objects/{}", percent_encode(name));
        self.get(self.objects, &path).await
    }
}

impl Vms for Client {
    async fn list(&self) -> Result<Vec<Vm>, Error> {
        let body = self.get(self.vms, "/v1/vms").await?;
        let body = body.ok_or_else(|| malformed(&"VM list not found"))?;
        parse::<List>(&body).map(|list| list.vms)
    }
}

impl Answer {
    fn is_refusal(&self) -> bool {
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

    /// Error of a write with an unexpected status. Only the two statuses of [`Self::is_refusal`]
    /// guarantee that nothing was written.
    fn write_error(&self) -> Error {
        if self.is_refusal() {
            return self.unavailable();
        }
        Error::Unsure {
            reason: self.status.to_string(),
        }
    }

    /// Parses the response to a write. The write may have taken effect even if the response is
    /// malformed, so the error is `Unsure`, not `Malformed`.
    fn parse_written<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Unsure {
            reason: format!("{} with an unreadable body: {error}", self.status),
        })
    }
}

impl Failure {
    fn into_read_error(self) -> Error {
        let (Self::Unsent(reason) | Self::Lost(reason)) = self;
        Error::Unavailable {
            reason,
            retry_after: None,
        }
    }

    fn into_write_error(self) -> Error {
        match self {
            Self::Lost(reason) => Error::Unsure { reason },
            unsent @ Self::Unsent(_) => unsent.into_read_error(),
        }
    }
}

fn classify(error: &hyper_util::client::legacy::Error) -> Failure {
    if error.is_connect() {
        return Failure::Unsent(error_chain(error));
    }
    Failure::Lost(error_chain(error))
}

/// Formats an error with its causes: the library's own message only says that the request failed.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    std::iter::successors(Some(error), |error| error.source())
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| malformed(&error))
}

fn malformed(reason: &impl ToString) -> Error {
    Error::Malformed {
        reason: reason.to_string(),
    }
}

/// Percent-encodes all characters except those that are valid in both path segments and query
/// values.
pub fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            // Writing to a `String` cannot fail.
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}
