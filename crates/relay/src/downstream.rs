//! Calls to runners. The [`Downstream`] trait is implemented by an adapter that speaks the runners'
//! protocol.

use crate::configuration::Rank;
use crate::request::{EventId, IncompleteBody, Message, RequestId};
use crate::runner::Runner;
use bytes::Bytes;
use futures::Stream;
use http::HeaderMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// Identifier of a stage result, which is stored at the runner that produced it.
pub type Handle = Arc<str>;

/// A request to be sent to a runner.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id.
    pub id: RequestId,
    /// Message to forward.
    pub message: Arc<Message>,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    /// Workspace that the request belongs to.
    pub workspace: Option<Arc<str>>,
    /// Priority of a request to a model.
    pub rank: Option<Rank>,
    /// Stage results that the request needs.
    pub inputs: Vec<Handle>,
    /// Id of the last event that the client has received, if it resumes a stream.
    pub resume_after: Option<EventId>,
    /// Whether a pooled connection may be reused. If the pooled connection has died unnoticed, the
    /// request is lost with it and it is unknown whether it has run, so connections are never
    /// reused for requests that may run at most once.
    pub reuse: bool,
    /// Maximum number of idle connections to keep open to the runner.
    pub idle: usize,
}

/// One piece of a stage.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Request id.
    pub id: RequestId,
    /// Index of the stage in the route.
    pub stage: usize,
    /// Index of the piece in its stage.
    pub piece: u32,
    /// Time left until the piece's deadline.
    pub remaining: Duration,
    /// Input of the piece.
    pub source: Source,
}

/// Input of a piece.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Source {
    /// Key given by the client, for a stage without preceding stages.
    Key(Arc<str>),
    /// Results of the preceding stages.
    Inputs(Arc<[Handle]>),
}

/// Outcome of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The piece is done; its result is stored under this handle.
    Done(Handle),
    /// The deadline had passed when the runner got to the piece.
    Late,
    /// One of the inputs no longer exists.
    InputGone,
    /// The runner had no room for the result.
    NoRoom,
    /// The runner failed to process the piece.
    Failed,
}

/// Outcome of a batch call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchReply {
    /// Outcome of each piece, in the order of the call.
    pub outcomes: Vec<PieceOutcome>,
    /// See [`Reply::spacing`].
    pub spacing: Option<Duration>,
}

/// Head of a runner's response, with the body still to be read.
#[derive(Debug)]
pub struct Reply<B> {
    /// HTTP status.
    pub status: u16,
    /// Whether the response carries the runner's proof that it produced it.
    pub proven: bool,
    /// Headers to forward to the client.
    pub headers: HeaderMap,
    /// Mean interval that the runner asks for between requests from all processes together, if any.
    pub spacing: Option<Duration>,
    /// Body.
    pub body: B,
}

/// Why a call got no response.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// The runner has not run the request and will not run it.
    #[snafu(display("not run: {reason}"))]
    NotRun {
        /// Reason.
        reason: NotRun,
    },
    /// The request was sent but its response was not received completely, so it may have run.
    #[snafu(display("lost: {reason}"))]
    Lost {
        /// Description of the failure.
        reason: String,
    },
}

impl Failure {
    /// Whether nothing was sent because the runner no longer accepts work.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        let reason = NotRun::Withdrawn;
        *self == Self::NotRun { reason }
    }
}

/// Why a runner has not run a call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NotRun {
    /// No connection could be established.
    #[snafu(display("unreachable: {reason}"))]
    Unreachable {
        /// Error reported by the operating system.
        reason: String,
    },
    /// The runner is at capacity.
    #[snafu(display("full"))]
    Full {
        /// See [`Reply::spacing`].
        spacing: Option<Duration>,
    },
    /// The runner stopped accepting work before anything was sent.
    #[snafu(display("withdrawn"))]
    Withdrawn,
    /// Another runner now listens at the address.
    #[snafu(display("replaced"))]
    Replaced,
    /// A result that the request needs no longer exists.
    #[snafu(display("input gone"))]
    InputGone,
    /// The runner refused the call for another reason.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
    },
}

/// Load of a runner when it sent a response, according to the runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Calls that the runner is working on.
    pub running: u32,
    /// Calls that wait at the runner.
    pub waiting: u32,
    /// Calls that the runner can work on at the same time.
    pub slots: u32,
    /// How many times longer than usual work takes, if the runner has said so.
    pub slowness: Option<f64>,
}

/// What the head of a runner's response says about the runner itself, whatever it was asked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the runner is shutting down.
    pub leaving: bool,
    /// How long the runner wants no requests from this process, if it has turned the call away.
    pub rest: Option<Duration>,
    /// Load of the runner, if it has sent a valid one.
    pub load: Option<Load>,
    /// Whether the runner has sent a load that could not be decoded.
    pub is_load_malformed: bool,
}

/// The relay's side of a call to a runner.
pub trait CallObserver: Sync {
    /// Whether the runner still accepts work. It is called once the connection is established,
    /// immediately before the first byte is written.
    fn is_open(&self) -> bool;

    /// Takes the notice of each response, before the response is forwarded.
    fn observe(&self, notice: Notice);
}

/// Client for the runners' protocol.
pub trait Downstream: Clone + Send + Sync + 'static {
    /// Body of a runner's response. The stream ends without an error only if the body is complete.
    /// Dropping it cancels the call at the runner.
    type Body: Stream<Item = Result<Bytes, IncompleteBody>> + Send + Unpin + 'static;

    /// Sends a request and waits for the head of the response. Dropping the future cancels the call
    /// at the runner.
    ///
    /// # Errors
    ///
    /// [`Failure::NotRun`] only if it is certain that the request has not run.
    fn call(
        &self,
        runner: &Runner,
        call: Call,
        observer: &impl CallObserver,
    ) -> impl Future<Output = Result<Reply<Self::Body>, Failure>> + Send;

    /// Has a runner process pieces.
    ///
    /// # Errors
    ///
    /// [`Failure::NotRun`] if no piece was processed.
    fn run_batch(
        &self,
        runner: &Runner,
        items: Vec<Item>,
        timeout: Duration,
        observer: &impl CallObserver,
    ) -> impl Future<Output = Result<BatchReply, Failure>> + Send;

    /// Tells a runner that these results are no longer needed.
    ///
    /// # Errors
    ///
    /// Any failure; the runner eventually drops the results on its own.
    fn release(
        &self,
        runner: &Runner,
        handles: Vec<Handle>,
        observer: &impl CallObserver,
    ) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Whether the runner has exited, which is when nothing listens at its address any more. An
    /// unreachable runner may have exited as well.
    fn has_exited(&self, runner: &Runner) -> impl Future<Output = bool> + Send;

    /// Whether the runner answers a status query, which costs it no work. A runner that does not
    /// answer promptly may just be busy.
    fn responds(&self, runner: &Runner) -> impl Future<Output = bool> + Send;

    /// Address of the runner that stores a result.
    fn holder(&self, handle: &Handle) -> Option<std::net::SocketAddr>;
}
