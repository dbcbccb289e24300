//! Downloads from the weight store.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::header::RETRY_AFTER;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of attempts to download a model.
const FETCH_ATTEMPT_LIMIT: u32 = 100;
/// Delay before the next attempt if the store sends no `Retry-After`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Client of the weight store.
#[derive(Clone, Debug)]
pub(super) struct WeightClient {
    weights: SocketAddr,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl WeightClient {
    pub(super) fn new(weights: SocketAddr) -> Self {
        Self {
            weights,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Downloads the weights of a model, with retries after the time that the store requests;
    /// `false` if all attempts have failed.
    pub(super) async fn download(&self, model: &str) -> bool {
        for _ in 0..FETCH_ATTEMPT_LIMIT {
            match self.try_download(model).await {
                Ok(()) => return true,
                Err(wait) => tokio::time::sleep(wait).await,
            }
        }
        false
    }

    /// Makes one attempt; an error is the delay before the next one.
    async fn try_download(&self, model: &str) -> Result<(), Duration> {
        let request = Request::get(format!("http://{}/v1/weights/{model}", self.weights))
            .body(Empty::new())
            .map_err(|_| DEFAULT_RETRY_DELAY)?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|_| DEFAULT_RETRY_DELAY)?;
        if response.status() != StatusCode::OK {
            let seconds = response.headers().get(RETRY_AFTER);
            let seconds = seconds.and_then(|seconds| seconds.to_str().ok()?.parse().ok());
            return Err(seconds.map_or(DEFAULT_RETRY_DELAY, Duration::from_secs));
        }
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            frame.map_err(|_| DEFAULT_RETRY_DELAY)?;
        }
        Ok(())
    }
}
