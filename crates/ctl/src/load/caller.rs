//! Sends one request and says what became of it.

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

/// Longest wait for an answer; a request without one by then is lost.
const PATIENCE: Duration = Duration::from_secs(30);
/// Submissions of one request by a caller that comes back after each refusal.
const MOST_SUBMISSIONS: u32 = 20;
/// Wait before a caller comes back that was not told when.
const PAUSE: Duration = Duration::from_millis(100);

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Whole and the caller's own.
    Whole,
    /// Refused before anything ran.
    NotRun(Option<Duration>),
    /// It may have run.
    Unknown,
    /// It ran and failed.
    Failed,
    /// Neither an answer nor a problem arrived.
    Lost,
    /// Whole, but the answer to something else.
    Wrong,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Fate {
    /// How it ended.
    pub end: End,
    /// Time from the intended moment of its last submission to its end.
    pub elapsed: Duration,
    /// Time from that moment to the first part of a stream.
    pub first: Option<Duration>,
    /// Times between the parts of a stream.
    pub between: Vec<Duration>,
    /// Times that it was submitted.
    pub submissions: u32,
    /// When it ended.
    pub ended: Instant,
}

/// Sends requests to entries in turn, as a balancer would.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Arc<[SocketAddr]>,
    turn: Arc<AtomicUsize>,
    returns: bool,
}

/// Parts of an answer as they arrive.
struct Parts {
    due: Instant,
    last: Option<Instant>,
    first: Option<Duration>,
    between: Vec<Duration>,
    text: Vec<String>,
}

impl Caller {
    /// A caller of these entries that comes back after a refusal if `returns`.
    #[must_use]
    pub fn new(entries: &[SocketAddr], returns: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            entries: entries.into(),
            turn: Arc::default(),
            returns,
        }
    }

    /// Sends a request that was due at `due` and waits for its end.
    pub async fn call(&self, arrival: &Arrival, due: Instant) -> Fate {
        let mut due = due;
        let mut submissions = 1;
        loop {
            let mut fate = self.submit(arrival, due).await;
            fate.submissions = submissions;
            let End::NotRun(after) = &fate.end else {
                return fate;
            };
            if !self.returns || submissions >= MOST_SUBMISSIONS {
                return fate;
            }
            due = Instant::now() + after.unwrap_or(PAUSE);
            submissions += 1;
            tokio::time::sleep_until(due).await;
        }
    }

    async fn submit(&self, arrival: &Arrival, due: Instant) -> Fate {
        let mut parts = Parts::new(due);
        let exchange = self.exchange(arrival, &mut parts);
        let end = tokio::time::timeout(PATIENCE, exchange).await;
        Fate {
            end: end.unwrap_or(End::Lost),
            elapsed: due.elapsed(),
            first: parts.first,
            between: parts.between,
            submissions: 1,
            ended: Instant::now(),
        }
    }

    async fn exchange(&self, arrival: &Arrival, parts: &mut Parts) -> End {
        let Ok(request) = self.request(arrival) else {
            return End::Lost;
        };
        let Ok(response) = self.client.request(request).await else {
            return End::Lost;
        };
        let streamed = is_stream(&response);
        let status = response.status();
        let read = if streamed {
            read_stream(response, parts).await
        } else {
            read_whole(response, status).await
        };
        match read {
            Ok(text) if is_own(&arrival.work, &arrival.text, &text) => End::Whole,
            Ok(_) => End::Wrong,
            Err(end) => end,
        }
    }

    fn request(&self, arrival: &Arrival) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let entry = self.entries[turn % self.entries.len()];
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

async fn read_whole(response: Response<Incoming>, status: StatusCode) -> Result<String, End> {
    let body = response.into_body().collect().await;
    let body = body.map_err(|_| End::Lost)?.to_bytes();
    if status != StatusCode::OK {
        return Err(problem(&body));
    }
    let answer: Value = serde_json::from_slice(&body).map_err(|_| End::Wrong)?;
    let text = answer["output"]["text"].as_str();
    Ok(text.unwrap_or_default().to_owned())
}

async fn read_stream(response: Response<Incoming>, parts: &mut Parts) -> Result<String, End> {
    let mut parser = Parser::default();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let bytes = frame.map_err(|_| End::Lost)?.into_data();
        for event in parser.push(&bytes.unwrap_or_default()) {
            match event.name.as_str() {
                "done" => return Ok(parts.text.join(" ")),
                "problem" => return Err(problem(event.data.as_bytes())),
                _ => parts.add(&event),
            }
        }
    }
    Err(End::Lost)
}

fn problem(body: &[u8]) -> End {
    let problem: Problem = serde_json::from_slice(body).unwrap_or_default();
    match problem.outcome {
        Some(Outcome::NotRun) => End::NotRun(problem.retry_delay()),
        Some(Outcome::Unknown) => End::Unknown,
        Some(Outcome::Failed) => End::Failed,
        None => End::Lost,
    }
}

impl Parts {
    fn new(due: Instant) -> Self {
        Self {
            due,
            last: None,
            first: None,
            between: Vec::new(),
            text: Vec::new(),
        }
    }

    fn add(&mut self, event: &Event) {
        let now = Instant::now();
        match self.last.replace(now) {
            Some(last) => self.between.push(now - last),
            None => self.first = Some(now - self.due),
        }
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let token = data.get("token").unwrap_or(&data);
        self.text
            .push(token.as_str().unwrap_or_default().to_owned());
    }
}

/// Whether the answer is what the stand-ins make of this request's own text.
fn is_own(work: &Work, text: &str, answer: &str) -> bool {
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
