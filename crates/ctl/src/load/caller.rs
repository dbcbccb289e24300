//! Sends one request and returns its outcome.

use super::arrival::{Arrival, Work};
use crate::error::{Outcome, Problem};
use crate::event::{Event, Parser};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for an answer. A request without an answer by then counts as lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum submissions of one request by a caller that retries after each refusal.
const MAX_SUBMISSIONS: u32 = 20;
/// Wait before a retry if the refusal specifies none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// Complete and correct.
    Complete,
    /// Refused before anything ran, with the wait that the refusal specifies.
    NotRun(Option<Duration>),
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Failed,
    /// Neither an answer nor a problem arrived.
    Lost,
    /// Complete, but the answer to another request.
    Wrong,
}

/// The outcome of a request, with its times.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Time from the scheduled time of its last submission to its end.
    pub elapsed: Duration,
    /// Time from that scheduled time to the first part of a stream.
    pub time_to_first: Option<Duration>,
    /// Times between the parts of a stream.
    pub intervals: Vec<Duration>,
    /// Number of submissions.
    pub submissions: u32,
    /// When it ended.
    pub finished_at: Instant,
}

/// Sends requests to the entries in turn, as a load balancer would.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Arc<[SocketAddr]>,
    next_entry: Arc<AtomicUsize>,
    retries: bool,
}

/// The parts of an answer received so far.
struct StreamParts {
    due: Instant,
    last: Option<Instant>,
    time_to_first: Option<Duration>,
    intervals: Vec<Duration>,
    text: Vec<String>,
}

impl Caller {
    /// Creates a caller of these entries that retries after a refusal if `retries` is true.
    #[must_use]
    pub fn new(entries: &[SocketAddr], retries: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            entries: entries.into(),
            next_entry: Arc::default(),
            retries,
        }
    }

    /// Sends a request that is scheduled for `due`, and waits for its outcome.
    pub async fn call(&self, arrival: &Arrival, due: Instant) -> RequestResult {
        let mut due = due;
        let mut submissions = 1;
        loop {
            let mut result = self.submit(arrival, due).await;
            result.submissions = submissions;
            let RequestOutcome::NotRun(after) = &result.outcome else {
                return result;
            };
            if !self.retries || submissions >= MAX_SUBMISSIONS {
                return result;
            }
            due = Instant::now() + after.unwrap_or(DEFAULT_RETRY_DELAY);
            submissions += 1;
            tokio::time::sleep_until(due).await;
        }
    }

    async fn submit(&self, arrival: &Arrival, due: Instant) -> RequestResult {
        let mut parts = StreamParts::new(due);
        let exchange = self.exchange(arrival, &mut parts);
        let outcome = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        RequestResult {
            outcome: outcome.unwrap_or(RequestOutcome::Lost),
            elapsed: due.elapsed(),
            time_to_first: parts.time_to_first,
            intervals: parts.intervals,
            submissions: 1,
            finished_at: Instant::now(),
        }
    }

    async fn exchange(&self, arrival: &Arrival, parts: &mut StreamParts) -> RequestOutcome {
        let Ok(request) = self.request(arrival) else {
            return RequestOutcome::Lost;
        };
        let Ok(response) = self.client.request(request).await else {
            return RequestOutcome::Lost;
        };
        let streamed = is_stream(&response);
        let status = response.status();
        let read = if streamed {
            read_stream(response, parts).await
        } else {
            read_complete(response, status).await
        };
        match read {
            Ok(text) if is_expected(&arrival.work, &arrival.text, &text) => {
                RequestOutcome::Complete
            }
            Ok(_) => RequestOutcome::Wrong,
            Err(outcome) => outcome,
        }
    }

    fn request(&self, arrival: &Arrival) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let next_entry = self.next_entry.fetch_add(1, Ordering::Relaxed);
        let entry = self.entries[next_entry % self.entries.len()];
        let work = &arrival.work;
        let path = format!(
            "http://{entry}/v1/pipelines/{}/versions/1/run",
            work.pipeline
        );
        let input = serde_json::json!({"text": arrival.text, "max_tokens": work.tokens});
        let mut request = Request::post(path)
            .header("content-type", "application/json")
            .header("linnetdrift-workspace", &*arrival.workspace)
            .header("linnetdrift-class", &work.pipeline)
            .header(
                "linnetdrift-deadline-ms",
                work.deadline.as_millis().to_string(),
            );
        if work.stream {
            request = request.header("accept", "text/event-stream");
        }
        if work.once {
            request = request.header("idempotency-key", &arrival.text);
        }
        request.body(Full::from(input.to_string()))
    }
}

fn is_stream(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get("content-type");
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

async fn read_complete(
    response: Response<Incoming>,
    status: StatusCode,
) -> Result<String, RequestOutcome> {
    let body = response.into_body().collect().await;
    let body = body.map_err(|_| RequestOutcome::Lost)?.to_bytes();
    if status != StatusCode::OK {
        return Err(problem(&body));
    }
    let answer: Value = serde_json::from_slice(&body).map_err(|_| RequestOutcome::Wrong)?;
    let text = answer["output"]["text"].as_str();
    Ok(text.unwrap_or_default().to_owned())
}

async fn read_stream(
    response: Response<Incoming>,
    parts: &mut StreamParts,
) -> Result<String, RequestOutcome> {
    let mut parser = Parser::default();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let bytes = frame.map_err(|_| RequestOutcome::Lost)?.into_data();
        for event in parser.push(&bytes.unwrap_or_default()) {
            match event.name.as_str() {
                "done" => return Ok(parts.text.join(" ")),
                "problem" => return Err(problem(event.data.as_bytes())),
                _ => parts.add(&event),
            }
        }
    }
    Err(RequestOutcome::Lost)
}

fn problem(body: &[u8]) -> RequestOutcome {
    let problem: Problem = serde_json::from_slice(body).unwrap_or_default();
    match problem.outcome {
        Some(Outcome::NotRun) => RequestOutcome::NotRun(problem.retry_delay()),
        Some(Outcome::Unknown) => RequestOutcome::Unknown,
        Some(Outcome::Failed) => RequestOutcome::Failed,
        None => RequestOutcome::Lost,
    }
}

impl StreamParts {
    fn new(due: Instant) -> Self {
        Self {
            due,
            last: None,
            time_to_first: None,
            intervals: Vec::new(),
            text: Vec::new(),
        }
    }

    fn add(&mut self, event: &Event) {
        let now = Instant::now();
        match self.last.replace(now) {
            Some(last) => self.intervals.push(now - last),
            None => self.time_to_first = Some(now - self.due),
        }
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let token = data.get("token").unwrap_or(&data);
        self.text
            .push(token.as_str().unwrap_or_default().to_owned());
    }
}

/// Whether the answer is the one that the stand-ins compute from the text of this request.
fn is_expected(work: &Work, text: &str, answer: &str) -> bool {
    let Some((last, before)) = work.operations.split_last() else {
        return true;
    };
    let input = before.iter().fold(text.to_owned(), |text, operation| {
        standin::answer::wrap(operation, &text)
    });
    let expected = match work.stream {
        true => standin::answer::tokens(&input, work.tokens),
        false => standin::answer::wrap(last, &input),
    };
    answer == expected
}
