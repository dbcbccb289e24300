//! Calls to runners, as the product sees them; an adapter speaks the runners' protocol.

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

/// Names a result that lies at the runner that made it.
pub type Handle = Arc<str>;

/// A request on its way to a runner.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub id: RequestId,
    /// What is passed on.
    pub message: Arc<Message>,
    /// Time that is left.
    pub remaining: Duration,
    /// Workspace that the request belongs to.
    pub workspace: Option<Arc<str>>,
    /// Urgency of a request to a model.
    pub rank: Option<Rank>,
    /// Results that the request needs.
    pub inputs: Vec<Handle>,
    /// Last event that the caller has, where a stream goes on.
    pub resume_after: Option<EventId>,
    /// Whether an open connection may be used again. One that died unnoticed takes the request
    /// with it, and nobody can tell whether it has run: never for what may run once at most.
    pub reuse: bool,
    /// Connections to the runner that may stay open unused.
    pub idle: usize,
}

/// One piece of a stage.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The request.
    pub id: RequestId,
    /// Position of the stage in the route.
    pub stage: usize,
    /// Number of the piece.
    pub piece: u32,
    /// Time that is left.
    pub remaining: Duration,
    /// What the piece is made from.
    pub source: Source,
}

/// What a piece is made from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Source {
    /// The caller's key, for a stage that follows no other.
    Key(Arc<str>),
    /// Results of the stages before.
    Inputs(Arc<[Handle]>),
}

/// What became of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// Its result lies here.
    Done(Handle),
    /// It was too late when its turn came.
    Late,
    /// One of its inputs is gone.
    InputGone,
    /// The runner had no room for the result.
    NoRoom,
    /// The runner failed.
    Failed,
}

/// What became of the pieces of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchReply {
    /// Each of them, in their order.
    pub outcomes: Vec<PieceOutcome>,
    /// As in [`Reply::spacing`].
    pub spacing: Option<Duration>,
}

/// The beginning of a runner's answer.
#[derive(Debug)]
pub struct Reply<B> {
    /// Status.
    pub status: u16,
    /// Whether it bears the runner's proof that the answer is its own.
    pub proven: bool,
    /// Headers that are for the caller.
    pub headers: HeaderMap,
    /// Mean time between the requests that the runner takes from all processes together, if it asks
    /// for some.
    pub spacing: Option<Duration>,
    /// Body.
    pub body: B,
}

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// The runner has not run it and will not.
    #[snafu(display("not run: {reason}"))]
    NotRun {
        /// Why not.
        reason: NotRun,
    },
    /// The call was sent, and its answer did not come whole: it may have run.
    #[snafu(display("lost: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
}

impl Failure {
    /// Whether nothing was sent, since the runner takes no more work.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        let reason = NotRun::Withdrawn;
        *self == Self::NotRun { reason }
    }
}

/// Why a runner has not run a call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum NotRun {
    /// No connection came about.
    #[snafu(display("unreachable: {reason}"))]
    Unreachable {
        /// What the system says.
        reason: String,
    },
    /// It is full.
    #[snafu(display("full"))]
    Full {
        /// As in [`Reply::spacing`].
        spacing: Option<Duration>,
    },
    /// It came to be known that the runner takes no more work before anything was sent.
    #[snafu(display("withdrawn"))]
    Withdrawn,
    /// Another runner listens at its address now.
    #[snafu(display("replaced"))]
    Replaced,
    /// A result that the request needs is gone.
    #[snafu(display("input gone"))]
    InputGone,
    /// It refused the call for another reason.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// Status of the refusal.
        status: u16,
    },
}

/// Speaks to runners.
pub trait Downstream: Clone + Send + Sync + 'static {
    /// Body of a runner's answer; it ends well only if the answer is whole. Dropping it ends the
    /// call at the runner.
    type Body: Stream<Item = Result<Bytes, IncompleteBody>> + Send + Unpin + 'static;

    /// Sends a request and waits for the beginning of its answer. Dropping the future ends the
    /// call at the runner.
    ///
    /// `is_open` tells whether the runner still takes work. It is asked when the connection is there, right
    /// before the first byte is written.
    ///
    /// # Errors
    ///
    /// [`Failure::NotRun`] only if it is certain.
    fn call(
        &self,
        runner: &Runner,
        call: Call,
        is_open: impl Fn() -> bool + Send,
    ) -> impl Future<Output = Result<Reply<Self::Body>, Failure>> + Send;

    /// Has pieces made; `is_open` as for [`Downstream::call`].
    ///
    /// # Errors
    ///
    /// [`Failure::NotRun`] if none was made.
    fn make(
        &self,
        runner: &Runner,
        items: Vec<Item>,
        patience: Duration,
        is_open: impl Fn() -> bool + Send,
    ) -> impl Future<Output = Result<BatchReply, Failure>> + Send;

    /// Tells a runner that these results are needed no more.
    ///
    /// # Errors
    ///
    /// Any; the runner drops them later by itself.
    fn release(
        &self,
        runner: &Runner,
        handles: Vec<Handle>,
    ) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Whether the runner has ended: nothing listens at its address any more. One that cannot be
    /// reached may have.
    fn has_ended(&self, runner: &Runner) -> impl Future<Output = bool> + Send;

    /// Whether the runner answers a question after its state, which costs it no work. One that does not
    /// answer within a moment may be busy.
    fn answers(&self, runner: &Runner) -> impl Future<Output = bool> + Send;

    /// Address of the runner that holds a result.
    fn holder(&self, handle: &Handle) -> Option<std::net::SocketAddr>;
}
