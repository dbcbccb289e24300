//! HTTP client of the agent's runner.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use protocol::CallId;
use std::convert::Infallible;
use std::fmt::Write;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use wire::Work;

pub(crate) const X_CALL: HeaderName = HeaderName::from_static("x-call");
pub(crate) const X_BUSY_US: HeaderName = HeaderName::from_static("x-busy-us");
pub(crate) const X_PREFIX_HITS: HeaderName = HeaderName::from_static("x-prefix-hits");
pub(crate) const X_NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const X_WORKSPACE: HeaderName = HeaderName::from_static("x-workspace");
const X_PRIORITY: HeaderName = HeaderName::from_static("x-priority");
const X_RESUME: HeaderName = HeaderName::from_static("x-resume");
const X_PREFIX: HeaderName = HeaderName::from_static("x-prefix");
const X_MODEL: HeaderName = HeaderName::from_static("x-model");
const APPLICATION_JSON: HeaderValue = HeaderValue::from_static("application/json");
const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");

/// Idle time after which the agent closes a connection. If the runner closed an idle connection
/// while a call is being sent on it, that call would be refused.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of a request that signals when it has been handed over to the connection.
#[derive(Debug)]
pub(crate) struct InputBody {
    data: Option<Bytes>,
    handed_over: Option<oneshot::Sender<()>>,
}

impl InputBody {
    /// Returns a body and the receiver of the signal that the connection has taken it.
    ///
    /// Without that signal, no complete request can have reached the runner. The connection never
    /// polls an empty body, so that it counts as taken from the start.
    pub(crate) fn new(data: Bytes) -> (Self, oneshot::Receiver<()>) {
        let (handed_over, receiver) = oneshot::channel();
        let mut input = Self {
            data: Some(data),
            handed_over: Some(handed_over),
        };
        if input.is_end_stream() {
            input.notify();
        }
        (input, receiver)
    }

    fn notify(&mut self) {
        if let Some(handed_over) = self.handed_over.take() {
            let _ = handed_over.send(());
        }
    }
}

impl Body for InputBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.notify();
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}

/// Client of the agent's runner.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    client: Client<HttpConnector, InputBody>,
    address: SocketAddr,
}

impl Runner {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, address }
    }

    /// Sends a call to the runner; the receiver signals when the connection has taken its input.
    pub(crate) fn run(
        &self,
        call: CallId,
        work: &Work,
    ) -> (
        impl Future<Output = Result<Response<Incoming>, Error>> + Send + use<>,
        oneshot::Receiver<()>,
    ) {
        let (input, handed_over) = InputBody::new(work.input.clone());
        let mut request = self.request("/v1/run", input);
        let headers = request.headers_mut();
        headers.insert(X_CALL, header_value(call.to_string()));
        headers.insert(X_WORKSPACE, header_value(work.workspace.as_str()));
        headers.insert(X_PRIORITY, u16::from(work.priority).into());
        if work.stream {
            headers.insert(ACCEPT, EVENT_STREAM);
            headers.insert(X_RESUME, work.resume.into());
        }
        if !work.prefix.is_empty() {
            headers.insert(X_PREFIX, header_value(format_blocks(&work.prefix)));
        }
        if let Some(model) = &work.model {
            headers.insert(X_MODEL, header_value(model));
        }
        (self.client.request(request), handed_over)
    }

    /// Asks the runner to stop a call; the runner may ignore this.
    pub(crate) async fn cancel(&self, call: CallId) {
        let (input, _) = InputBody::new(Bytes::new());
        let request = self.request(&format!("/v1/cancel/{call}"), input);
        let _ = self.client.request(request).await;
    }

    /// Sends an order to the engine.
    pub(crate) async fn send_order(&self, body: Bytes) -> Result<Response<Incoming>, Error> {
        let (input, _) = InputBody::new(body);
        self.client.request(self.request("/v1/orders", input)).await
    }

    /// Requests the list of loaded models from the engine.
    pub(crate) async fn models(&self) -> Result<Response<Incoming>, Error> {
        let (input, _) = InputBody::new(Bytes::new());
        let mut request = self.request("/v1/models", input);
        *request.method_mut() = Method::GET;
        self.client.request(request).await
    }

    fn request(&self, path: &str, input: InputBody) -> Request<InputBody> {
        let mut request = Request::new(input);
        *request.method_mut() = Method::POST;
        let uri = format!("http://{}{path}", self.address);
        // An address and a fixed path always form a valid URI.
        *request.uri_mut() = uri.parse().unwrap_or_default();
        request.headers_mut().insert(CONTENT_TYPE, APPLICATION_JSON);
        request
    }
}

/// Replaces a value that is not valid in a header by an empty one, so that the call does not fail.
fn header_value(value: impl AsRef<str>) -> HeaderValue {
    HeaderValue::from_bytes(value.as_ref().as_bytes()).unwrap_or(HeaderValue::from_static(""))
}

fn format_blocks(prefix: &[u64]) -> String {
    let mut text = String::with_capacity(prefix.len() * 17);
    prefix.iter().for_each(|block| {
        let comma = if text.is_empty() { "" } else { "," };
        let _ = write!(text, "{comma}{block:016x}");
    });
    text
}
