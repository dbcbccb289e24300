//! A caller's request, and what a caller gets.

use bytes::Bytes;
use decide::route::affinity::PromptPart;
use http::{HeaderMap, Method, Uri};
pub use protocol::ContentId;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Name of a request; each attempt of a caller has its own.
pub type RequestId = Arc<str>;
/// Position of an event in its stream.
pub type EventId = u64;

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Host that it asks for.
    pub host: String,
    /// Key of its workspace.
    pub key: Option<String>,
    /// When it had been read.
    pub arrived: Instant,
    /// Time that the caller waits, if it told.
    pub timeout: Option<Duration>,
    /// Pieces of each stage; a stage without pieces is left out.
    pub pieces: Vec<u32>,
    /// Key of the pieces of the first stages.
    pub piece_key: String,
    /// The prompt of a request to a model.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has, where it goes on with a stream.
    pub resume_after: Option<EventId>,
    /// What is passed on to the runner.
    pub message: Arc<Message>,
}

impl Request {
    /// Tells requests apart by what they ask for: attempts of one caller with the same host, path and
    /// body are the same, whatever their names.
    ///
    /// # Examples
    ///
    /// ```
    /// use relay::request::{Message, Request};
    /// use std::sync::Arc;
    /// use tokio::time::Instant;
    ///
    /// let attempt = |id: &str, body: &'static str| Request {
    ///     id: id.into(),
    ///     host: "shop.example".to_owned(),
    ///     key: None,
    ///     arrived: Instant::now(),
    ///     timeout: None,
    ///     pieces: Vec::new(),
    ///     piece_key: String::new(),
    ///     prompt: None,
    ///     resume_after: None,
    ///     message: Arc::new(Message {
    ///         method: http::Method::POST,
    ///         target: "/label".parse().unwrap(),
    ///         headers: http::HeaderMap::new(),
    ///         body: body.into(),
    ///     }),
    /// };
    /// let content = attempt("a", "W-1042").content(Some("coop"));
    /// assert_eq!(content, attempt("b", "W-1042").content(Some("coop")));
    /// assert_ne!(content, attempt("a", "W-1043").content(Some("coop")));
    /// assert_ne!(content, attempt("a", "W-1042").content(Some("other")));
    /// ```
    #[must_use]
    pub fn content(&self, workspace: Option<&str>) -> ContentId {
        let path = self.message.target.path();
        let asked = (&self.host, path, workspace, &self.message.body);
        foldhash::quality::FixedState::default().hash_one(asked)
    }
}

/// Tells the pieces of one stage of a request apart from those of other stages: a request may end the
/// runners of one stage, whose calls carry its pieces, and none of another.
#[must_use]
pub fn stage_content(content: ContentId, stage: usize) -> ContentId {
    foldhash::quality::FixedState::default().hash_one((content, stage))
}

/// The part of a request that is passed on as it is.
#[derive(Clone, Debug)]
pub struct Message {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers that are for the runner.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The prompt of a request to a model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Tokens to read.
    pub input: u32,
    /// Most tokens to generate.
    pub output: u32,
    /// Parts that it shares with other requests, in their order.
    pub shared: Vec<PromptPart>,
}

impl Prompt {
    /// Tokens that are its own, which a runner reads in any case.
    #[must_use]
    pub fn unshared(&self) -> u32 {
        let shared: u32 = self.shared.iter().map(|part| part.tokens).sum();
        self.input.saturating_sub(shared)
    }
}

/// What a caller gets.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers of the runner's answer, or of the refusal.
    pub headers: HeaderMap,
    /// When the caller should come back, where the request has not run.
    pub retry_after: Option<Duration>,
    /// Body.
    pub body: Body,
}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Full(Bytes),
    /// Parts as they come. It ends well only if the channel closes without a [`IncompleteBody`].
    Stream(mpsc::Receiver<Result<Bytes, IncompleteBody>>),
}

/// An answer that ended before it was whole; the caller's connection must not make it look whole.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("answer broke off: {reason}"))]
pub struct IncompleteBody {
    /// What happened.
    pub reason: String,
}

impl Answer {
    /// An answer of the relay itself.
    #[must_use]
    pub fn from_refusal(refusal: &Refusal) -> Self {
        Self {
            status: refusal.status(),
            headers: HeaderMap::new(),
            retry_after: refusal.retry_after(),
            body: Body::Full(Bytes::from(refusal.to_string())),
        }
    }
}

/// Why a request gets no answer of a runner.
///
/// Only the first five say that it has not run and never will; a caller may safely send it again
/// after those.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum Refusal {
    /// No configuration or no list of runners is known yet.
    #[snafu(display("not ready"))]
    NotReady,
    /// It cannot be served in time, or no runner takes it.
    #[snafu(display("overloaded: {reason}"))]
    Overloaded {
        /// What is short.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// It has ended the runners that ran it.
    #[snafu(display("held back: runners ended under this request"))]
    Poison {
        /// When it is tried again.
        retry_after: Duration,
    },
    /// No route leads there.
    #[snafu(display("no such route"))]
    NoRoute,
    /// No workspace holds its key.
    #[snafu(display("unknown key"))]
    NoKey,
    /// The request makes no sense.
    #[snafu(display("bad request: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The runner's answer was lost; the request may have run.
    #[snafu(display("answer lost: {reason}"))]
    Lost {
        /// What happened to it.
        reason: String,
    },
    /// No answer came in time; the request may have run.
    #[snafu(display("timed out"))]
    Late,
}

/// Time after which a caller may come back that was refused for want of a configuration: about
/// that of reading it.
const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(300);

impl Refusal {
    /// Its status.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::NotReady | Self::Overloaded { .. } | Self::Poison { .. } => 503,
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::Malformed { .. } => 400,
            Self::Lost { .. } => 502,
            Self::Late => 504,
        }
    }

    /// When the caller should come back, where the request has not run.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotReady => Some(RETRY_AFTER_NOT_READY),
            Self::Overloaded { retry_after, .. } | Self::Poison { retry_after } => {
                Some(*retry_after)
            }
            _ => None,
        }
    }
}
