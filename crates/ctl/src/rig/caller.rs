//! A client that sends requests, checks that each answer is complete and belongs to its request,
//! and retries where that is allowed.

use crate::Error;
use crate::client::{Client, FullResponse, collect};
use crate::error::{Outcome, Problem};
use crate::rig::record;
use crate::rig::stream::{Stream, is_stream, token};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Wait before the next attempt if the entry specifies none.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Attempts to resume an interrupted stream before the request is sent anew.
const MAX_RESUMES: u32 = 6;
/// Longest wait before the next attempt.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request and its options.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Pipeline, one of those in [`record`].
    pub pipeline: &'static str,
    /// Workspace of the client.
    pub workspace: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Text of the input.
    pub text: String,
    /// Number of tokens of the answer, if an engine produces it.
    pub tokens: u32,
    /// Whether the answer is requested as a stream.
    pub stream: bool,
    /// Time within which the answer is due.
    pub deadline: Duration,
}

impl ClientRequest {
    /// Creates a request for an answer that is not streamed.
    pub fn new(pipeline: &'static str, text: impl Into<String>) -> Self {
        Self {
            pipeline,
            workspace: "yard".to_owned(),
            key: None,
            text: text.into(),
            tokens: 16,
            stream: false,
            deadline: Duration::from_secs(10),
        }
    }

    /// Sets an idempotency key.
    #[must_use]
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Requests the answer as a stream of `tokens` tokens.
    #[must_use]
    pub fn streamed(mut self, tokens: u32) -> Self {
        self.stream = true;
        self.tokens = tokens;
        self
    }

    /// Returns the request body.
    #[must_use]
    pub fn input(&self) -> Bytes {
        let input = json!({"text": self.text, "max_tokens": self.tokens});
        input.to_string().into()
    }

    /// Returns the only correct answer.
    #[must_use]
    pub fn expected(&self) -> String {
        record::expected(self.pipeline, &self.text, self.tokens)
    }

    pub(crate) fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        set("linnetdrift-workspace", &self.workspace);
        set(
            "linnetdrift-deadline-ms",
            &self.deadline.as_millis().to_string(),
        );
        if let Some(key) = &self.key {
            set("idempotency-key", key);
        }
        if self.stream {
            set("accept", "text/event-stream");
        }
        headers
    }

    async fn send(&self, entry: SocketAddr) -> Result<Response<Incoming>, Error> {
        let path = format!("/v1/pipelines/{}/versions/1/run", self.pipeline);
        let client = Client::plain(entry);
        client
            .send(Method::POST, &path, self.headers(), self.input())
            .await
    }

    /// Sends the request once to one entry.
    pub async fn once(&self, entry: SocketAddr) -> ResponseOutcome {
        match self.send(entry).await {
            Ok(response) => self.read(entry, response).await,
            Err(error) => ResponseOutcome::from_error(&error),
        }
    }

    /// Requests the answer to an earlier request once, by the id of that request.
    pub async fn fetch_result(&self, entry: SocketAddr, request: &str) -> ResponseOutcome {
        let path = format!("/v1/requests/{request}");
        let client = Client::plain(entry);
        match client
            .send(Method::GET, &path, self.headers(), Bytes::new())
            .await
        {
            Ok(response) => self.read(entry, response).await,
            Err(error) => ResponseOutcome::from_error(&error),
        }
    }

    /// Sends the request and opens the answer as a stream.
    ///
    /// # Errors
    ///
    /// The outcome if no stream is opened.
    pub async fn open(&self, entry: SocketAddr) -> Result<Stream, ResponseOutcome> {
        let response = self
            .send(entry)
            .await
            .map_err(|error| ResponseOutcome::from_error(&error))?;
        Stream::new(self.clone(), entry, response).await
    }

    async fn read(&self, entry: SocketAddr, response: Response<Incoming>) -> ResponseOutcome {
        if is_stream(&response) {
            return match Stream::new(self.clone(), entry, response).await {
                Ok(stream) => stream.finish().await,
                Err(outcome) => outcome,
            };
        }
        match collect(response).await {
            Ok(answer) => self.check_answer(&answer),
            Err(error) => ResponseOutcome::from_error(&error),
        }
    }

    pub(crate) fn check_answer(&self, answer: &FullResponse) -> ResponseOutcome {
        if !answer.status.is_success() {
            return ResponseOutcome::Problem(answer.problem());
        }
        let answer_json: Value = answer.json().unwrap_or_default();
        let output = &answer_json["output"];
        let found = match output.as_array() {
            Some(tokens) => join(tokens.iter()),
            None => output["text"].as_str().unwrap_or_default().to_owned(),
        };
        self.check_output(found, &output["serial"], answer_json["late"] == true)
    }

    pub(crate) fn check_output(
        &self,
        found: String,
        serial: &Value,
        late: bool,
    ) -> ResponseOutcome {
        if found != self.expected() {
            return ResponseOutcome::Wrong(found);
        }
        let serial = serial.as_u64();
        ResponseOutcome::Whole { late, serial }
    }

    /// Sends the request to the entries in turn until the outcome is final; see
    /// [`ClientRequest::send_until_final_at`].
    pub async fn send_until_final(
        &self,
        entries: &[SocketAddr],
        timeout: Duration,
    ) -> RequestRecord {
        let mut entries = entries.iter().copied().cycle();
        self.send_until_final_at(|| entries.next(), timeout).await
    }

    /// Sends the request to the entries that `next` returns until the outcome is final or `timeout`
    /// has passed.
    ///
    /// The request is sent again after *not run* and if nothing was sent. An interrupted stream is
    /// resumed by the id of the request. After a lost answer the request is sent anew if the call may
    /// be repeated or carries an idempotency key.
    pub async fn send_until_final_at(
        &self,
        mut next: impl FnMut() -> Option<SocketAddr>,
        timeout: Duration,
    ) -> RequestRecord {
        let end = Instant::now() + timeout;
        let mut history = RequestRecord::default();
        while Instant::now() < end
            && let Some(entry) = next()
        {
            let attempt =
                tokio::time::timeout_at(end, self.attempt(entry, &mut next, &mut history));
            if attempt.await.is_err() {
                history.outcomes.push(ResponseOutcome::Silent);
            }
            history.attempts += 1;
            let outcome = history.last();
            let done = outcome.is_some_and(|outcome| {
                outcome.is_final() || (*outcome == ResponseOutcome::Lost && !self.may_resend())
            });
            if done {
                break;
            }
            tokio::time::sleep(outcome.map_or(RETRY_DELAY, ResponseOutcome::retry_delay)).await;
        }
        history
    }

    /// Whether the request may be sent again: a call that may not be repeated needs an idempotency key.
    fn may_resend(&self) -> bool {
        self.key.is_some() || self.pipeline != record::PRINT
    }

    async fn attempt(
        &self,
        entry: SocketAddr,
        next: &mut impl FnMut() -> Option<SocketAddr>,
        history: &mut RequestRecord,
    ) {
        if !self.stream {
            return history.outcomes.push(self.once(entry).await);
        }
        let mut stream = match self.open(entry).await {
            Ok(stream) => stream,
            Err(outcome) => return history.outcomes.push(outcome),
        };
        loop {
            let outcome = stream.read_to_end().await;
            let lost = outcome == ResponseOutcome::Lost;
            history.outcomes.push(outcome);
            if !lost {
                return;
            }
            history.cut.push(stream.entry);
            if !resume(&mut stream, next, history).await {
                return;
            }
        }
    }
}

/// Requests the rest of a stream until an entry sends it or the outcome is final, and returns whether
/// the stream was resumed.
async fn resume(
    stream: &mut Stream,
    next: &mut impl FnMut() -> Option<SocketAddr>,
    history: &mut RequestRecord,
) -> bool {
    for _ in 0..MAX_RESUMES {
        let Some(entry) = next() else { break };
        match stream.resume(entry).await {
            Ok(()) => return true,
            Err(outcome) => history.outcomes.push(outcome),
        }
        if history.last().is_some_and(ResponseOutcome::is_final) {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    false
}

/// The outcomes of all attempts of a request, in order.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// The outcome of each response.
    pub outcomes: Vec<ResponseOutcome>,
    /// Number of attempts.
    pub attempts: u32,
    /// Entries at which a stream was interrupted.
    pub cut: Vec<SocketAddr>,
}

impl RequestRecord {
    /// Returns the last outcome.
    #[must_use]
    pub fn last(&self) -> Option<&ResponseOutcome> {
        self.outcomes.last()
    }
}

/// How a client's request to an entry ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseOutcome {
    /// The complete and correct answer.
    Whole {
        /// Whether it arrived after its deadline.
        late: bool,
        /// Serial number of the execution at a plain service.
        serial: Option<u64>,
    },
    /// An answer to another request, or one that is marked complete but is not.
    Wrong(String),
    /// A problem document.
    Problem(Problem),
    /// No connection was established, so nothing was sent.
    Unreachable,
    /// The connection broke before or during the answer.
    Lost,
    /// No answer arrived before the client's timeout.
    Silent,
}

impl ResponseOutcome {
    pub(crate) fn from_error(error: &Error) -> Self {
        match error {
            Error::Unreachable { .. } => Self::Unreachable,
            _ => Self::Lost,
        }
    }

    /// Returns what a problem document says about the execution of the request.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Problem(problem) => problem.outcome,
            _ => None,
        }
    }

    /// Whether it is the complete and correct answer.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole { .. })
    }

    /// Whether it is final, so that another attempt cannot change it.
    #[must_use]
    pub fn is_final(&self) -> bool {
        match self {
            Self::Whole { .. } | Self::Wrong(_) => true,
            Self::Problem(problem) => {
                problem.outcome != Some(Outcome::NotRun) || problem.retry_after.is_none()
            }
            Self::Unreachable | Self::Lost | Self::Silent => false,
        }
    }

    fn retry_delay(&self) -> Duration {
        match self {
            Self::Problem(problem) => problem
                .retry_delay()
                .unwrap_or(RETRY_DELAY)
                .min(MAX_RETRY_DELAY),
            _ => RETRY_DELAY,
        }
    }
}

fn join<'a>(tokens: impl Iterator<Item = &'a Value>) -> String {
    tokens.map(token).collect::<Vec<_>>().join(" ")
}
