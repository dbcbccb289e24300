//! Client of the other entries, for answers and records that this entry does not have.

mod liveness;

use crate::caller::{AnswerOptions, EVENT_STREAM, format_id};
use crate::config::Records;
use crate::config::rows::Stored;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::http::request::Builder;
use hyper::{Request, Response};
use hyper_rustls::{HttpsConnector, HttpsConnectorBuilder};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use protocol::{RequestId, Revision};
use rustls::{ClientConfig, RootCertStore};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;
use store::Vm;

/// Header that prevents a forwarded request from being forwarded again.
pub const FORWARDED: &str = "linnetdrift-forwarded";
/// Timeout of requests to a peer that it can answer without waiting.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of random low bits in a request id. The high bits identify the entry that accepted the
/// request, so that any other entry can forward requests for its answer.
const RANDOM_BITS: u32 = 96;

/// HTTP client of the other entries. All entries of a deployment serve with TLS, or none does.
#[derive(Clone, Debug)]
struct Http {
    client: Client<HttpsConnector<HttpConnector>, Empty<Bytes>>,
    scheme: &'static str,
}

impl Http {
    fn new(tls: Option<ClientConfig>) -> Self {
        let scheme = if tls.is_some() { "https" } else { "http" };
        let tls = tls.unwrap_or_else(|| {
            ClientConfig::builder()
                .with_root_certificates(RootCertStore::empty())
                .with_no_client_auth()
        });
        let connector = HttpsConnectorBuilder::new()
            .with_tls_config(tls)
            .https_or_http()
            .enable_http1()
            .build();
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            scheme,
        }
    }

    fn get(&self, address: SocketAddr, path: &str) -> Builder {
        Request::get(format!("{}://{address}{path}", self.scheme))
    }

    async fn request(
        &self,
        request: Request<Empty<Bytes>>,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        self.client.request(request).await
    }
}

/// The response of an entry to a request for its records.
#[derive(Debug, Deserialize)]
struct Listing {
    revision: Revision,
    records: Vec<Stored>,
}

/// The other entries of the deployment.
#[derive(Debug)]
pub struct Peers {
    entries: RwLock<Vec<Vm>>,
    http: Http,
}

/// Returns the tag of an entry, which is part of the ids of the requests that it accepts.
#[must_use]
pub fn entry_tag(entry: &str) -> u32 {
    // FNV-1a is stable across builds and processes, unlike a seeded hasher.
    entry.bytes().fold(0x811c_9dc5, |hash: u32, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

/// Generates the id of a new request that `entry` accepts.
pub fn draw_request_id(entry: &str, rng: &mut impl rand::Rng) -> RequestId {
    let random: u128 = rng.random();
    (u128::from(entry_tag(entry)) << RANDOM_BITS) | (random >> (128 - RANDOM_BITS))
}

impl Peers {
    /// Creates a client without known entries; `tls` holds the trusted certificates if the entries
    /// serve with TLS.
    #[must_use]
    pub fn new(tls: Option<ClientConfig>) -> Self {
        Self {
            entries: RwLock::default(),
            http: Http::new(tls),
        }
    }

    /// Updates the list of entries; `own` is the id of this entry, which is left out.
    pub fn update(&self, listed: Vec<Vm>, own: &str) {
        let others = listed.into_iter().filter(|vm| vm.id != own).collect();
        *self.entries.write().unwrap_or_else(PoisonError::into_inner) = others;
    }

    /// Returns the addresses of the other entries.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.read().iter().map(|vm| vm.address).collect()
    }

    /// Returns the address of the entry that accepted a request.
    pub fn owner(&self, request: RequestId) -> Option<SocketAddr> {
        let owner = u32::try_from(request >> RANDOM_BITS).unwrap_or(0);
        self.read()
            .iter()
            .find(|vm| entry_tag(&vm.id) == owner)
            .map(|vm| vm.address)
    }

    /// Forwards a caller's request for an answer to the entry that accepted the original request.
    /// Returns `None` if that entry cannot be reached or stops responding.
    pub async fn forward(
        &self,
        address: SocketAddr,
        request: RequestId,
        follow: &AnswerOptions,
    ) -> Option<hyper::Response<viz::Body>> {
        let path = format!("/v1/requests/{}", format_id(request));
        let mut request = self.http.get(address, &path).header(FORWARDED, "1");
        if follow.stream {
            request = request.header("accept", EVENT_STREAM);
        }
        if let Some(last) = follow.from.checked_sub(1) {
            request = request.header("last-event-id", last);
        }
        if let Some(wait) = follow.wait {
            request = request.header("prefer", format!("wait={}", wait.as_secs()));
        }
        let request = request.body(Empty::new()).ok()?;
        let mut unresponsive = Box::pin(liveness::unresponsive(self.http.clone(), address));
        let answer = tokio::select! {
            answer = self.http.request(request) => answer.ok()?,
            () = &mut unresponsive => return None,
        };
        Some(answer.map(|body| {
            viz::Body::from_stream(liveness::abort_if_unresponsive(body, unresponsive))
        }))
    }

    /// Returns the records of the peer with the highest revision, for a newly started process while
    /// the table service is unavailable.
    pub async fn records(&self) -> Option<(Revision, Records)> {
        let addresses = self.addresses();
        let requests = addresses.into_iter().map(|address| self.listing(address));
        futures::future::join_all(requests)
            .await
            .into_iter()
            .flatten()
            .max_by_key(|listing| listing.revision)
            .map(|listing| {
                let records = listing.records.into_iter();
                let records = records.map(|stored| (stored.document.key(), stored));
                (listing.revision, records.collect())
            })
    }

    async fn listing(&self, address: SocketAddr) -> Option<Listing> {
        let listing = tokio::time::timeout(REQUEST_TIMEOUT, self.read_listing(address));
        listing.await.ok()?
    }

    async fn read_listing(&self, address: SocketAddr) -> Option<Listing> {
        let request = self.http.get(address, "/v1/records");
        let request = request.body(Empty::new()).ok()?;
        let answer = self.http.request(request).await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, Vec<Vm>> {
        self.entries.read().unwrap_or_else(PoisonError::into_inner)
    }
}
