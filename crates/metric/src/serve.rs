//! The `/metrics` endpoint.

use crate::Registry;
use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Content type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Delay after a connection that could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Error of binding the endpoint's address.
pub type Error = std::io::Error;

/// Serves the registry's metrics until the runtime shuts down; returns the bound address.
///
/// # Errors
///
/// [`Error`] if the address cannot be bound.
pub async fn serve(listen: SocketAddr, registry: Arc<Registry>) -> Result<SocketAddr, Error> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(accept(listener, registry));
    Ok(address)
}

async fn accept(listener: TcpListener, registry: Arc<Registry>) {
    loop {
        // A failure such as exhausted file descriptors must not disable the endpoint permanently.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let registry = registry.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| respond(registry.clone(), request));
            hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await
        });
    }
}

async fn respond(
    registry: Arc<Registry>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut text = String::new();
    let encoded = request.uri().path() == "/metrics"
        && prometheus_client::encoding::text::encode(&mut text, &registry).is_ok();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    if encoded {
        let value = hyper::header::HeaderValue::from_static(OPEN_METRICS);
        response.headers_mut().insert(CONTENT_TYPE, value);
    } else {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}
