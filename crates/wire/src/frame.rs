//! What entries and agents say to each other about calls.

use bytes::Bytes;
use protocol::{CallId, FencingToken, Incarnation, Revision, Sequence};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Entry to agent: take this call into the queue.
    Offer {
        /// The attempt.
        call: CallId,
        /// What to run.
        work: Box<Work>,
    },
    /// Entry to agent: the call may start.
    Grant {
        /// The attempt.
        call: CallId,
    },
    /// Entry to agent: the call may never start.
    Deny {
        /// The attempt.
        call: CallId,
    },
    /// Entry to agent: hand the call back unless it has started.
    Revoke {
        /// The attempt.
        call: CallId,
    },
    /// Entry to agent: the answer is no longer wanted; stop the runner's work if it can be.
    Cancel {
        /// The attempt.
        call: CallId,
    },
    /// Entry to agent, after a link was lost: send the answer again from this chunk on.
    Recall {
        /// The attempt.
        call: CallId,
        /// First chunk that the entry lacks.
        from: Sequence,
    },
    /// Agent to entry: a slot is free, may the call start?
    Ask {
        /// The attempt.
        call: CallId,
    },
    /// Agent to entry: the call did not start and never will.
    Refuse {
        /// The attempt.
        call: CallId,
        /// Why it did not start.
        reason: Refusal,
        /// How long the agent would wait before it tried again.
        retry_after: Duration,
        /// The agent's load at that moment.
        load: Load,
    },
    /// Agent to entry: the runner has the work.
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
    /// Agent to entry: end mark of a whole answer.
    Done {
        /// The attempt.
        call: CallId,
        /// Chunks in the whole answer.
        chunks: Sequence,
        /// Bytes in the chunks that this attempt sent.
        length: u64,
        /// Time the runner was busy with the call.
        busy: Duration,
        /// The agent's load at that moment.
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
        /// The agent's load at that moment.
        load: Load,
    },
    /// Agent to entry: the call started, but its answer was lost, cut short or another's.
    Break {
        /// The attempt.
        call: CallId,
        /// What went wrong, for logs.
        reason: String,
        /// The agent's load at that moment.
        load: Load,
    },
    /// Agent to entry: this agent takes no new work from now on.
    Leave {
        /// Life of the agent that leaves.
        incarnation: Incarnation,
    },
    /// Entry to agent: pass an order on to the engine; orders of one link are carried out in
    /// turn.
    Order {
        /// Fencing number of the lease under which the order is given.
        fence: FencingToken,
        /// JSON body of the order.
        body: Bytes,
    },
    /// Agent to entry: what became of the oldest order of this link that is still open.
    OrderDone {
        /// HTTP status of the engine's answer, or 412 if the agent refused an old number.
        status: u16,
        /// Body of the engine's answer.
        body: Bytes,
    },
    /// Entry to agent: what does the engine hold?
    Query {
        /// Number of the question on this link.
        number: u64,
        /// Fencing number of the lease that the asking entry holds, if it does: the answer then
        /// comes only once orders with lower numbers are refused.
        fence: Option<FencingToken>,
        /// Models that callers of the asking entry have lacked since its last question.
        wanted: Vec<String>,
    },
    /// Agent to entry: what the engine held at some moment after the question came.
    Models {
        /// Number of the question.
        number: u64,
        /// What it held, or `None` if it could not be asked.
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

/// What a runner is asked to do.
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
    /// Whether the call may run more than once; if not, it needs a grant.
    pub repeatable: bool,
    /// Whether the runner should stream its answer.
    pub stream: bool,
    /// Priority at the runner; higher goes first.
    pub priority: u8,
    /// Time left until the end-to-end deadline, at the moment of sending.
    pub remaining: Duration,
    /// Hashes of the prompt's prefix blocks, longest last.
    pub prefix: Vec<u64>,
    /// First chunk to send; earlier ones have reached the caller already.
    pub resume: Sequence,
    /// Configuration revision that the request began with.
    pub revision: Revision,
    /// JSON input of the stage.
    pub input: Bytes,
    /// Model that answers it, if the stage names one.
    pub model: Option<String>,
}

/// What an engine holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Models {
    /// Models that are loaded.
    pub warm: Vec<String>,
    /// Model that it loads at the agent's order.
    pub loading: Option<String>,
    /// Models that callers of any entry have lately lacked.
    pub wanted: Vec<String>,
}

/// Why an agent refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue is full.
    Full,
    /// The agent is leaving.
    Leaving,
    /// The entry revoked the call.
    Revoked,
    /// The entry denied the call.
    Denied,
    /// The runner could not be reached, so that nothing was sent to it.
    Unreachable,
    /// The agent serves another service.
    Misdirected,
    /// The agent has no memory of the call and will not start it.
    Forgotten,
}

/// An agent's load; rides on its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Calls at the runner.
    pub running: u32,
    /// Calls that the runner is given at once at most.
    pub limit: u32,
    /// Prefix blocks of the call that the runner found in its cache.
    pub prefix_hits: u32,
    /// Prefix blocks of the call.
    pub prefix_blocks: u32,
}
