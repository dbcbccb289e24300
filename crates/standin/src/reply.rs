//! Responses and their bodies, complete or truncated.

use crate::engine::Stream;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::fmt::{self, Display, Formatter};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Value of `Retry-After` in a refusal, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

/// A response; on an error, the connection is closed without one.
pub(crate) type Reply = Result<Response<Body>, ConnectionClosed>;

/// Error that closes the connection at this point.
#[derive(Debug)]
pub(crate) struct ConnectionClosed;

impl Display for ConnectionClosed {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("connection closed by an injected fault")
    }
}

impl std::error::Error for ConnectionClosed {}

/// Body of a response.
pub(crate) enum Body {
    /// Complete body.
    Full(Option<Bytes>),
    /// First part of a body; the connection is closed after it.
    Partial(Option<Bytes>),
    /// State of `Partial` after the part has been passed to the server.
    Aborted { flushed: bool },
    /// Event stream of an engine.
    Stream(Box<Stream>),
    /// Rate-limited download of weights.
    Download(Box<crate::weight::Download>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = ConnectionClosed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionClosed>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Self::Partial(bytes) => {
                let bytes = bytes.take().unwrap_or_default();
                *self = Self::Aborted { flushed: false };
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            // When a body fails, the server drops all data that it has not flushed. The failure is
            // therefore delayed by one poll; otherwise the part would never be sent.
            Self::Aborted { flushed } if !*flushed => {
                *flushed = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Self::Aborted { .. } => Poll::Ready(Some(Err(ConnectionClosed))),
            Self::Stream(stream) => stream.poll(context),
            Self::Download(download) => download.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            _ => SizeHint::default(),
        }
    }
}

/// A response with these bytes as its body.
pub(crate) fn bytes(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let bytes = bytes.into();
    let body = (!bytes.is_empty()).then_some(bytes);
    let mut response = Response::new(Body::Full(body));
    *response.status_mut() = status;
    response
}

/// A response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    bytes(status, Bytes::new())
}

/// A JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let Ok(body) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = bytes(status, body);
    let kind = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// A refusal with `Retry-After`.
pub(crate) fn refusal(status: StatusCode) -> Response<Body> {
    let mut response = empty(status);
    let wait = hyper::header::HeaderValue::from_static(RETRY_AFTER_SECONDS);
    response.headers_mut().insert(RETRY_AFTER, wait);
    response
}

/// `503` with `X-Not-Run: 1`, which states that the call did not start.
pub(crate) fn not_run() -> Response<Body> {
    let mut response = refusal(StatusCode::SERVICE_UNAVAILABLE);
    let one = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert("x-not-run", one);
    response
}

/// A JSON response with an error message.
pub(crate) fn error(status: StatusCode, reason: impl Display) -> Response<Body> {
    json(status, &serde_json::json!({ "error": reason.to_string() }))
}

/// Truncates a response: declares the full length but sends only the first half.
pub(crate) fn cut(response: Response<Body>) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    let Body::Full(Some(bytes)) = body else {
        return Response::from_parts(parts, body);
    };
    parts.headers.insert(CONTENT_LENGTH, bytes.len().into());
    let half = bytes.slice(..bytes.len() / 2);
    Response::from_parts(parts, Body::Partial(Some(half)))
}
