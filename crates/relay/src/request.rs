//! Client requests, and the responses to them.

use bytes::Bytes;
use decide::route::affinity::PromptPart;
use http::{HeaderMap, Method, Uri};
pub use protocol::ContentId;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Request id; each attempt of a client has its own.
pub type RequestId = Arc<str>;
/// Id of an event in its stream.
pub type EventId = u64;

/// A request as received from its client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id.
    pub id: RequestId,
    /// Requested host.
    pub host: String,
    /// API key of the workspace.
    pub key: Option<String>,
    /// When the request had been read.
    pub arrived: Instant,
    /// How long the client waits, if it has said so.
    pub timeout: Option<Duration>,
    /// Number of pieces of each stage; a stage without pieces is skipped.
    pub pieces: Vec<u32>,
    /// Key of the pieces of the first stages.
    pub piece_key: String,
    /// Prompt, for a request to a model.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the client has received, if it resumes a stream.
    pub resume_after: Option<EventId>,
    /// Message to forward to the runner.
    pub message: Arc<Message>,
}

impl Request {
    /// Identifies what a request asks for: attempts of one client with the same host, path and body
    /// have the same content, whatever their request ids.
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

/// Derives the content of one stage of a request. A request may crash the runners of one stage,
/// which process its pieces, but not those of another.
#[must_use]
pub fn stage_content(content: ContentId, stage: usize) -> ContentId {
    foldhash::quality::FixedState::default().hash_one((content, stage))
}

/// Content id of a prompt part. A part may crash the runners of every request that contains it,
/// whatever else the request holds.
///
/// # Examples
///
/// ```
/// use relay::request::part_content;
///
/// assert_eq!(part_content("5c1e07a2"), part_content("5c1e07a2"));
/// assert_ne!(part_content("5c1e07a2"), part_content("91bd3f06"));
/// ```
#[must_use]
pub fn part_content(id: &str) -> ContentId {
    foldhash::quality::FixedState::default().hash_one(("part", id))
}

/// The part of a request that is forwarded unchanged.
#[derive(Clone, Debug)]
pub struct Message {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers to forward to the runner.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Prompt of a request to a model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Number of prompt tokens.
    pub input: u32,
    /// Maximum number of tokens to generate.
    pub output: u32,
    /// Prompt parts shared with other requests, in order.
    pub shared: Vec<PromptPart>,
    /// Content ids of these parts. Each identifies one part alone, whatever precedes it.
    pub part_contents: Vec<ContentId>,
}

impl Prompt {
    /// Number of tokens not shared with other requests, which a runner has to process in any case.
    #[must_use]
    pub fn unshared(&self) -> u32 {
        let tokens = self.shared.iter().map(|part| part.tokens);
        tokens.fold(self.input, u32::saturating_sub)
    }
}

/// Response to a client.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the runner's response or of the refusal.
    pub headers: HeaderMap,
    /// When the client should retry, if the request has not run.
    pub retry_after: Option<Duration>,
    /// Body.
    pub body: Body,
}

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// The complete body.
    Full(Bytes),
    /// Parts as they arrive. The body is complete only if the channel closes without an
    /// [`IncompleteBody`].
    Stream(mpsc::Receiver<Result<Bytes, IncompleteBody>>),
}

/// A response body that ended early. The client must be able to tell: its connection is aborted so
/// that the body does not look complete.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("response body incomplete: {reason}"))]
pub struct IncompleteBody {
    /// Description of the failure.
    pub reason: String,
}

impl Answer {
    /// Creates the relay's own response to a refused request.
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

/// Why a request gets no response from a runner.
///
/// Only the first five variants state that the request has not run and never will, so that the
/// client may safely send it again.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum Refusal {
    /// No configuration or no runner list is available yet.
    #[snafu(display("not ready"))]
    NotReady,
    /// The request cannot be served in time, or no runner accepts it.
    #[snafu(display("overloaded: {reason}"))]
    Overloaded {
        /// What is lacking.
        reason: &'static str,
        /// When to retry.
        retry_after: Duration,
    },
    /// The request is quarantined because runners exited while running it.
    #[snafu(display("held back: runners ended under this request"))]
    Poison {
        /// When the request is tried again.
        retry_after: Duration,
    },
    /// No route matches the request.
    #[snafu(display("no such route"))]
    NoRoute,
    /// The API key belongs to no workspace.
    #[snafu(display("unknown key"))]
    NoKey,
    /// The request is invalid.
    #[snafu(display("bad request: {reason}"))]
    Malformed {
        /// What is invalid.
        reason: &'static str,
    },
    /// The runner's response was lost; the request may have run.
    #[snafu(display("answer lost: {reason}"))]
    Lost {
        /// How it was lost.
        reason: String,
    },
    /// No response arrived in time; the request may have run.
    #[snafu(display("timed out"))]
    Late,
}

/// When to retry a request that was refused because no configuration was available. Reading the
/// configuration takes about this long.
const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(300);

impl Refusal {
    /// Refuses a request because all runners of a service want no requests for this time.
    #[must_use]
    pub(crate) fn resting(retry_after: Duration) -> Self {
        Self::Overloaded {
            reason: "all runners have asked for rest",
            retry_after,
        }
    }

    /// HTTP status.
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

    /// When the client should retry, if the request has not run.
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
