//! A caller: asks, checks that what comes is its own and whole, and asks again while it may.

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

/// Wait before the next try where the entry names none.
const PAUSE: Duration = Duration::from_millis(50);
/// Times that a broken stream is asked for again before the request is sent anew.
const RESUMES: u32 = 6;
/// Longest wait before the next try.
const PAUSE_MOST: Duration = Duration::from_millis(500);

/// What a caller wants.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Pipeline, one of those in [`record`].
    pub pipeline: &'static str,
    /// Workspace of the caller.
    pub workspace: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Text of the input.
    pub text: String,
    /// Tokens of the answer, where an engine gives it.
    pub tokens: u32,
    /// Whether the answer is wanted as a stream.
    pub stream: bool,
    /// When the answer is due.
    pub deadline: Duration,
}

impl Ask {
    /// A request for a whole answer.
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

    /// The same under an idempotency key.
    #[must_use]
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// The same as a stream of so many tokens.
    #[must_use]
    pub fn streamed(mut self, tokens: u32) -> Self {
        self.stream = true;
        self.tokens = tokens;
        self
    }

    /// The input as it is sent.
    #[must_use]
    pub fn input(&self) -> Bytes {
        let input = json!({"text": self.text, "max_tokens": self.tokens});
        input.to_string().into()
    }

    /// The only right answer.
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

    /// Asks one entry once.
    pub async fn once(&self, entry: SocketAddr) -> Told {
        match self.send(entry).await {
            Ok(response) => self.read(entry, response).await,
            Err(error) => Told::from_error(&error),
        }
    }

    /// Asks for the answer to a request by its identity, once.
    pub async fn again(&self, entry: SocketAddr, request: &str) -> Told {
        let path = format!("/v1/requests/{request}");
        let client = Client::plain(entry);
        match client
            .send(Method::GET, &path, self.headers(), Bytes::new())
            .await
        {
            Ok(response) => self.read(entry, response).await,
            Err(error) => Told::from_error(&error),
        }
    }

    /// Opens the answer as a stream.
    ///
    /// # Errors
    ///
    /// What the caller is told instead.
    pub async fn open(&self, entry: SocketAddr) -> Result<Stream, Told> {
        let response = self
            .send(entry)
            .await
            .map_err(|error| Told::from_error(&error))?;
        Stream::new(self.clone(), entry, response).await
    }

    async fn read(&self, entry: SocketAddr, response: Response<Incoming>) -> Told {
        if is_stream(&response) {
            return match Stream::new(self.clone(), entry, response).await {
                Ok(stream) => stream.finish().await,
                Err(told) => told,
            };
        }
        match collect(response).await {
            Ok(answer) => self.judge(&answer),
            Err(error) => Told::from_error(&error),
        }
    }

    pub(crate) fn judge(&self, answer: &FullResponse) -> Told {
        if !answer.status.is_success() {
            return Told::Problem(answer.problem());
        }
        let whole: Value = answer.json().unwrap_or_default();
        let output = &whole["output"];
        let found = match output.as_array() {
            Some(tokens) => join(tokens.iter()),
            None => output["text"].as_str().unwrap_or_default().to_owned(),
        };
        self.compare(found, &output["serial"], whole["late"] == true)
    }

    pub(crate) fn compare(&self, found: String, serial: &Value, late: bool) -> Told {
        if found != self.expected() {
            return Told::Wrong(found);
        }
        let serial = serial.as_u64();
        Told::Whole { late, serial }
    }

    /// Asks in turn at the entries until there is a final word; see [`Ask::persist_at`].
    pub async fn persist(&self, entries: &[SocketAddr], patience: Duration) -> Word {
        let mut entries = entries.iter().copied().cycle();
        self.persist_at(|| entries.next(), patience).await
    }

    /// Asks at the entries that `next` names until there is a final word, as a patient caller does:
    /// again after *not run* and where nothing was sent, by the request's identity where a stream
    /// broke off, and anew after a lost answer if the call may be repeated or bears a key.
    pub async fn persist_at(
        &self,
        mut next: impl FnMut() -> Option<SocketAddr>,
        patience: Duration,
    ) -> Word {
        let end = Instant::now() + patience;
        let mut word = Word::default();
        while Instant::now() < end
            && let Some(entry) = next()
        {
            let asked = tokio::time::timeout_at(end, self.attempt(entry, &mut next, &mut word));
            if asked.await.is_err() {
                word.told.push(Told::Silent);
            }
            word.tries += 1;
            let told = word.last();
            let over = told
                .is_some_and(|told| told.is_final() || (*told == Told::Lost && !self.may_resend()));
            if over {
                break;
            }
            tokio::time::sleep(told.map_or(PAUSE, Told::pause)).await;
        }
        word
    }

    /// A call that may not be repeated is sent again only under its key.
    fn may_resend(&self) -> bool {
        self.key.is_some() || self.pipeline != record::PRINT
    }

    async fn attempt(
        &self,
        entry: SocketAddr,
        next: &mut impl FnMut() -> Option<SocketAddr>,
        word: &mut Word,
    ) {
        if !self.stream {
            return word.told.push(self.once(entry).await);
        }
        let mut stream = match self.open(entry).await {
            Ok(stream) => stream,
            Err(told) => return word.told.push(told),
        };
        loop {
            let told = stream.drive().await;
            let lost = told == Told::Lost;
            word.told.push(told);
            if !lost {
                return;
            }
            word.cut.push(stream.entry);
            if !resume(&mut stream, next, word).await {
                return;
            }
        }
    }
}

/// Asks for the rest of a stream until an entry gives it or says why not.
async fn resume(
    stream: &mut Stream,
    next: &mut impl FnMut() -> Option<SocketAddr>,
    word: &mut Word,
) -> bool {
    for _ in 0..RESUMES {
        let Some(entry) = next() else { break };
        match stream.resume(entry).await {
            Ok(()) => return true,
            Err(told) => word.told.push(told),
        }
        if word.last().is_some_and(Told::is_final) {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    false
}

/// What a caller was told, in order.
#[derive(Clone, Debug, Default)]
pub struct Word {
    /// Every answer.
    pub told: Vec<Told>,
    /// Times that it asked.
    pub tries: u32,
    /// Entries at which a stream broke off.
    pub cut: Vec<SocketAddr>,
}

impl Word {
    /// The last answer.
    #[must_use]
    pub fn last(&self) -> Option<&Told> {
        self.told.last()
    }
}

/// What a caller was told once.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Its own whole answer.
    Whole {
        /// Whether it came after its deadline.
        late: bool,
        /// Number of the execution at a plain service.
        serial: Option<u64>,
    },
    /// An answer that is not its own, or not whole though it says so.
    Wrong(String),
    /// A problem document.
    Problem(Problem),
    /// No connection; nothing was sent.
    Unreachable,
    /// The connection broke without an answer, or in the middle of one.
    Lost,
    /// No answer in all the time that the caller had.
    Silent,
}

impl Told {
    pub(crate) fn from_error(error: &Error) -> Self {
        match error {
            Error::Unreachable { .. } => Self::Unreachable,
            _ => Self::Lost,
        }
    }

    /// What a problem says about the work.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Problem(problem) => problem.outcome,
            _ => None,
        }
    }

    /// Whether it is the caller's own whole answer.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole { .. })
    }

    /// Whether asking again may change it.
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

    fn pause(&self) -> Duration {
        match self {
            Self::Problem(problem) => problem.retry_delay().unwrap_or(PAUSE).min(PAUSE_MOST),
            _ => PAUSE,
        }
    }
}

fn join<'a>(tokens: impl Iterator<Item = &'a Value>) -> String {
    tokens.map(token).collect::<Vec<_>>().join(" ")
}
