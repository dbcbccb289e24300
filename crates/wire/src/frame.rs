//! Messages between entries and agents about calls and models.

use bytes::Bytes;
use protocol::{CallId, FencingToken, Incarnation, Revision, Sequence};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Entry to agent: enqueue this call.
    Offer {
        /// The attempt.
        call: CallId,
        /// Work to execute.
        work: Box<Work>,
    },
    /// Entry to agent: the call may start.
    Grant {
        /// The attempt.
        call: CallId,
    },
    /// Entry to agent: the call must never start.
    Deny {
        /// The attempt.
        call: CallId,
    },
    /// Entry to agent: refuse the call unless it has started.
    Revoke {
        /// The attempt.
        call: CallId,
    },
    /// Entry to agent: the answer is no longer needed; stop the runner's work if possible.
    Cancel {
        /// The attempt.
        call: CallId,
    },
    /// Entry to agent, after a link was lost: resend the answer from this chunk on.
    Recall {
        /// The attempt.
        call: CallId,
        /// First chunk that the entry has not received.
        from: Sequence,
    },
    /// Agent to entry: a slot is free; asks whether the call may start.
    Ask {
        /// The attempt.
        call: CallId,
    },
    /// Agent to entry: the call did not start and never will.
    Refuse {
        /// The attempt.
        call: CallId,
        /// Reason why it did not start.
        reason: Refusal,
        /// Time that the agent suggests to wait before a retry.
        retry_after: Duration,
        /// Load of the agent when it sent the message.
        load: Load,
    },
    /// Agent to entry: the runner has received the work.
    Start {
        /// The attempt.
        call: CallId,
    },
    /// Agent to entry: part of the answer.
    Chunk {
        /// The attempt.
        call: CallId,
        /// Position in the answer.
        sequence: Sequence,
        /// Content.
        data: Bytes,
    },
    /// Agent to entry: end of a complete answer.
    Done {
        /// The attempt.
        call: CallId,
        /// Number of chunks in the whole answer.
        chunks: Sequence,
        /// Number of bytes in the chunks that this attempt sent.
        length: u64,
        /// Time the runner was busy with the call.
        busy: Duration,
        /// Load of the agent when it sent the message.
        load: Load,
    },
    /// Agent to entry: the runner answered with an error.
    Fail {
        /// The attempt.
        call: CallId,
        /// HTTP status of the runner's answer.
        status: u16,
        /// Body of the runner's answer.
        body: Bytes,
        /// Load of the agent when it sent the message.
        load: Load,
    },
    /// Agent to entry: the call started, but its answer was lost, truncated or belongs to another
    /// call.
    Break {
        /// The attempt.
        call: CallId,
        /// Cause of the failure, for logs.
        reason: String,
        /// Load of the agent when it sent the message.
        load: Load,
    },
    /// Agent to entry: this agent accepts no new work from now on.
    Leave {
        /// Incarnation of the agent that shuts down.
        incarnation: Incarnation,
    },
    /// Entry to agent: forward an order to the engine; orders of one link are executed in
    /// sequence.
    Order {
        /// Fencing token of the lease under which the order is given.
        fence: FencingToken,
        /// JSON body of the order.
        body: Bytes,
    },
    /// Agent to entry: result of the oldest order of this link that is still open.
    OrderDone {
        /// HTTP status of the engine's answer, or 412 if the agent refused an outdated token.
        status: u16,
        /// Body of the engine's answer.
        body: Bytes,
    },
    /// Entry to agent: asks for the engine's models.
    Query {
        /// Number of the query on this link.
        number: u64,
        /// Fencing token of the lease, if the querying entry holds it: the answer is then sent
        /// only once orders with lower tokens are refused.
        fence: Option<FencingToken>,
        /// Models that requests at the querying entry needed but did not find since its last
        /// query.
        wanted: Vec<String>,
    },
    /// Agent to entry: models of the engine at some moment after the query arrived.
    Models {
        /// Number of the query.
        number: u64,
        /// Models of the engine, or `None` if it could not be queried.
        models: Option<Models>,
    },
}

impl Frame {
    /// The attempt that the message is about, if it is about one.
    #[must_use]
    pub fn call(&self) -> Option<CallId> {
        match self {
            Self::Offer { call, .. }
            | Self::Grant { call }
            | Self::Deny { call }
            | Self::Revoke { call }
            | Self::Cancel { call }
            | Self::Recall { call, .. }
            | Self::Ask { call }
            | Self::Refuse { call, .. }
            | Self::Start { call }
            | Self::Chunk { call, .. }
            | Self::Done { call, .. }
            | Self::Fail { call, .. }
            | Self::Break { call, .. } => Some(*call),
            Self::Leave { .. }
            | Self::Order { .. }
            | Self::OrderDone { .. }
            | Self::Query { .. }
            | Self::Models { .. } => None,
        }
    }
}

/// Work for a runner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Workspace of the caller.
    pub workspace: String,
    /// Class of the request within its workspace.
    pub class: String,
    /// Service that the stage calls.
    pub service: String,
    /// Name of the stage.
    pub stage: String,
    /// Whether the call may run more than once; a call that may not needs a [`Frame::Grant`].
    pub repeatable: bool,
    /// Whether the runner should stream its answer.
    pub stream: bool,
    /// Priority at the runner; higher goes first.
    pub priority: u8,
    /// Time left until the end-to-end deadline when the message was sent.
    pub remaining: Duration,
    /// Hashes of the prompt's prefix blocks, longest last.
    pub prefix: Vec<u64>,
    /// First chunk to send; earlier ones have already reached the caller.
    pub resume: Sequence,
    /// Configuration revision under which the request started.
    pub revision: Revision,
    /// JSON input of the stage.
    pub input: Bytes,
    /// Model that executes it, if the stage names one.
    pub model: Option<String>,
}

/// Models of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Models {
    /// Models that are loaded.
    pub warm: Vec<String>,
    /// Model that it is loading by order of the agent.
    pub loading: Option<String>,
    /// Models that requests at any entry recently needed but did not find.
    pub wanted: Vec<String>,
}

/// Why an agent refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue is full.
    Full,
    /// The agent is shutting down.
    Leaving,
    /// The entry revoked the call.
    Revoked,
    /// The entry denied the call.
    Denied,
    /// The runner could not be reached, so that nothing was sent to it.
    Unreachable,
    /// The agent serves another service.
    Misdirected,
    /// The agent has no record of the call and will not start it.
    Forgotten,
}

/// Load of an agent, piggybacked on its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of calls that wait for a slot.
    pub queued: u32,
    /// Number of calls at the runner.
    pub running: u32,
    /// Maximum number of concurrent calls to the runner.
    pub limit: u32,
    /// Number of the call's prefix blocks that the runner found in its cache.
    pub prefix_hits: u32,
    /// Number of the call's prefix blocks.
    pub prefix_blocks: u32,
}
