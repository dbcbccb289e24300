//! What the agent remembers of calls that are over.

use protocol::CallId;
use record::Map;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;
use wire::Refusal;

/// Bytes of ended answers that are kept for recall, with [`ANSWER_OVERHEAD_BYTES`] for each.
const MAX_RETAINED_BYTES: usize = 6 << 20;
/// Assumed cost in bytes of keeping one ended call beside its chunks.
const ANSWER_OVERHEAD_BYTES: usize = 1024;
/// How long an answer that may not be repeated is kept.
const UNREPEATABLE_RETENTION: Duration = Duration::from_secs(60);
/// How long an answer that can be had again is kept; covers the detection of a lost link and the
/// next connection.
const REPEATABLE_RETENTION: Duration = Duration::from_secs(15);
/// Calls that are remembered as never to be started.
const MAX_FORBIDDEN_CALLS: usize = 16_384;

/// An ended answer in the order of ends.
#[derive(Clone, Copy, Debug)]
struct RetainedAnswer {
    call: CallId,
    expires_at: Instant,
    bytes: usize,
}

/// Ended answers and calls that must never start.
#[derive(Debug, Default)]
pub(crate) struct CallHistory {
    repeatable: VecDeque<RetainedAnswer>,
    unrepeatable: VecDeque<RetainedAnswer>,
    bytes: usize,
    forbidden: Map<CallId, Refusal>,
    forbidden_order: VecDeque<CallId>,
}

impl CallHistory {
    /// Notes that a call has ended with `bytes` of chunks kept.
    pub(crate) fn retain(&mut self, call: CallId, repeatable: bool, bytes: usize) {
        let (answers, retention) = if repeatable {
            (&mut self.repeatable, REPEATABLE_RETENTION)
        } else {
            (&mut self.unrepeatable, UNREPEATABLE_RETENTION)
        };
        let bytes = bytes + ANSWER_OVERHEAD_BYTES;
        let expires_at = Instant::now() + retention;
        answers.push_back(RetainedAnswer {
            call,
            expires_at,
            bytes,
        });
        self.bytes += bytes;
    }

    /// The next call whose answer has to go: one whose time is over or, if memory is short, the
    /// oldest, repeatable ones first.
    pub(crate) fn evict(&mut self) -> Option<CallId> {
        let now = Instant::now();
        let full = self.bytes > MAX_RETAINED_BYTES;
        let has_expired = |answers: &VecDeque<RetainedAnswer>| {
            answers
                .front()
                .is_some_and(|answer| answer.expires_at <= now)
        };
        let answers = if has_expired(&self.repeatable) || (full && !self.repeatable.is_empty()) {
            &mut self.repeatable
        } else if has_expired(&self.unrepeatable) || full {
            &mut self.unrepeatable
        } else {
            return None;
        };
        let answer = answers.pop_front()?;
        self.bytes -= answer.bytes;
        Some(answer.call)
    }

    /// Remembers that the call must never start from now on.
    ///
    /// An entry that was told so may tell its caller *not run*; an offer that is still under way
    /// on an older link would make that a lie.
    pub(crate) fn forbid(&mut self, call: CallId, reason: Refusal) {
        if self.forbidden.contains_key(&call) {
            return;
        }
        if self.forbidden_order.len() == MAX_FORBIDDEN_CALLS
            && let Some(oldest) = self.forbidden_order.pop_front()
        {
            self.forbidden.remove(&oldest);
        }
        self.forbidden.insert(call, reason);
        self.forbidden_order.push_back(call);
    }

    /// Why the call must never start, if it must not.
    pub(crate) fn forbidden(&self, call: CallId) -> Option<Refusal> {
        self.forbidden.get(&call).copied()
    }
}
