//! HTTP client for entries, with or without TLS.

use crate::error::Problem;
use crate::{Common, Error};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use rustls::{ClientConfig, RootCertStore};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, ServerName};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

/// Maximum time to establish a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Address of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Whether to connect with TLS.
    pub tls: bool,
    /// Host and port.
    pub authority: String,
}

impl FromStr for Endpoint {
    type Err = Error;

    /// Reads `IP:PORT`, `http://IP:PORT` or `https://IP:PORT`.
    ///
    /// # Examples
    ///
    /// ```
    /// let endpoint: ctl::client::Endpoint = "https://127.0.0.1:8443".parse().unwrap();
    /// assert!(endpoint.tls);
    /// assert_eq!(endpoint.authority, "127.0.0.1:8443");
    /// ```
    fn from_str(text: &str) -> Result<Self, Error> {
        let (tls, authority) = match text.split_once("://") {
            Some(("https", rest)) => (true, rest),
            Some(("http", rest)) => (false, rest),
            None => (false, text),
            Some(_) => return Err(invalid_endpoint(text)),
        };
        let (host, port) = authority
            .rsplit_once(':')
            .ok_or_else(|| invalid_endpoint(text))?;
        if host.is_empty() || port.parse::<u16>().is_err() {
            return Err(invalid_endpoint(text));
        }
        let authority = authority.to_owned();
        Ok(Self { tls, authority })
    }
}

fn invalid_endpoint(text: &str) -> Error {
    Error::usage(format!(
        "--entry `{text}` is not IP:PORT or https://IP:PORT"
    ))
}

/// An HTTP response with its complete body.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl FullResponse {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the body is not JSON of the expected form.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| Error::Malformed {
            reason: format!("{}: {error}", self.status),
        })
    }

    /// Converts the response to a problem, even if its body is not a problem document.
    #[must_use]
    pub fn problem(&self) -> Problem {
        let problem: Problem = serde_json::from_slice(&self.body).unwrap_or_default();
        let title = match problem.title.is_empty() {
            true => self
                .status
                .canonical_reason()
                .unwrap_or("problem")
                .to_owned(),
            false => problem.title,
        };
        Problem {
            status: self.status.as_u16(),
            title,
            retry_after: problem.retry_after.or_else(|| retry_after(&self.headers)),
            ..problem
        }
    }
}

fn retry_after(headers: &HeaderMap) -> Option<f64> {
    headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()
}

/// HTTP client that tries the next entry if one cannot be reached.
#[derive(Clone)]
pub struct Client {
    entries: Vec<Endpoint>,
    tls: Option<Arc<ClientConfig>>,
    token: Option<HeaderValue>,
}

impl Client {
    /// Creates a client for the entries given in the options.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] if no entry is given or the certificates cannot be read.
    pub fn new(common: &Common) -> Result<Self, Error> {
        if common.entries.is_empty() {
            return Err(Error::usage("--entry is missing"));
        }
        let needs_tls = common.entries.iter().any(|entry| entry.tls);
        let tls = match (&common.ca, needs_tls) {
            (Some(path), _) => Some(Arc::new(load_tls_config(path)?)),
            (None, true) => return Err(Error::usage("an https entry needs --ca")),
            (None, false) => None,
        };
        let token = common.token.as_ref().map(|token| {
            HeaderValue::from_str(&format!("Bearer {token}"))
                .map_err(|_| Error::usage("the token holds characters that no header may"))
        });
        let mut entries = common.entries.clone();
        for entry in &mut entries {
            entry.tls |= tls.is_some();
        }
        Ok(Self {
            entries,
            tls,
            token: token.transpose()?,
        })
    }

    /// Creates a client for one address, without TLS and without a token.
    #[must_use]
    pub fn plain(address: SocketAddr) -> Self {
        let entry = Endpoint {
            tls: false,
            authority: address.to_string(),
        };
        Self {
            entries: vec![entry],
            tls: None,
            token: None,
        }
    }

    /// Moves the first entry to the end of the list, so that the next call starts with the second.
    pub fn rotate(&mut self) {
        self.entries.rotate_left(1);
    }

    /// Sends a request and returns the response head; the body is streamed.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if nothing was sent, [`Error::Lost`] if no response arrived.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let mut last_error = Error::usage("--entry is missing");
        for entry in &self.entries {
            match self.connect(entry).await {
                Ok(mut sender) => {
                    let request = self.request(entry, method, path, headers, body)?;
                    return sender
                        .send_request(request)
                        .await
                        .map_err(|error| response_lost(&error));
                }
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Fetches a JSON document.
    ///
    /// # Errors
    ///
    /// As [`Client::call`], and [`Error::Malformed`] if the body is not of the expected form.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let answer = self.call(Method::GET, path, HeaderMap::new(), Bytes::new());
        answer.await?.json()
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and [`Error::Lost`] if the response is incomplete.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<FullResponse, Error> {
        let response = self.send(method, path, headers, body).await?;
        collect(response).await
    }

    fn request(
        &self,
        entry: &Endpoint,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path
            .parse::<Uri>()
            .map_err(|error| Error::usage(error.to_string()))?;
        *request.headers_mut() = headers;
        let host = HeaderValue::from_str(&entry.authority)
            .map_err(|error| Error::usage(error.to_string()))?;
        let headers = request.headers_mut();
        headers.insert(HOST, host);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(token) = &self.token {
            headers.insert(AUTHORIZATION, token.clone());
        }
        Ok(request)
    }

    async fn connect(&self, entry: &Endpoint) -> Result<http1::SendRequest<Full<Bytes>>, Error> {
        let unreachable = |reason: String| Error::Unreachable {
            endpoint: entry.authority.clone(),
            reason,
        };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&entry.authority))
            .await
            .map_err(|_| unreachable("timed out while connecting".to_owned()))?
            .map_err(|error| unreachable(error.to_string()))?;
        let Some(config) = self.tls.as_ref().filter(|_| entry.tls) else {
            return handshake(stream).await.map_err(unreachable);
        };
        let host = entry
            .authority
            .rsplit_once(':')
            .map_or("", |(host, _)| host);
        let name = ServerName::try_from(host.trim_matches(['[', ']']).to_owned())
            .map_err(|error| unreachable(error.to_string()))?;
        let connector = TlsConnector::from(Arc::clone(config));
        let stream = connector.connect(name, stream).await;
        let stream = stream.map_err(|error| unreachable(error.to_string()))?;
        handshake(stream).await.map_err(unreachable)
    }
}

/// Reads the body of a response to its end.
///
/// # Errors
///
/// [`Error::Lost`] if the connection breaks before the end of the body.
pub async fn collect(response: Response<Incoming>) -> Result<FullResponse, Error> {
    let (head, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|error| response_lost(&error))?;
    Ok(FullResponse {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

async fn handshake(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
) -> Result<http1::SendRequest<Full<Bytes>>, String> {
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    Ok(sender)
}

fn load_tls_config(path: &Path) -> Result<ClientConfig, Error> {
    let unreadable = |error: String| Error::usage(format!("--ca {}: {error}", path.display()));
    let mut roots = RootCertStore::empty();
    let certificates =
        CertificateDer::pem_file_iter(path).map_err(|error| unreadable(error.to_string()))?;
    for certificate in certificates {
        let certificate = certificate.map_err(|error| unreadable(error.to_string()))?;
        roots
            .add(certificate)
            .map_err(|error| unreadable(error.to_string()))?;
    }
    if roots.is_empty() {
        return Err(unreadable("the file contains no certificate".to_owned()));
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| unreadable(error.to_string()))?;
    Ok(config.with_root_certificates(roots).with_no_client_auth())
}

fn response_lost(error: &hyper::Error) -> Error {
    Error::Lost {
        reason: error.to_string(),
    }
}
