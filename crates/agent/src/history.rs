//! Ended calls: answers that are retained for a recall, and calls that must never start.

use protocol::CallId;
use record::Map;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;
use wire::Refusal;

/// Limit for the ended answers that are kept for a recall, including [`ANSWER_OVERHEAD_BYTES`]
/// each.
const MAX_RETAINED_BYTES: usize = 6 << 20;
/// Assumed memory cost of an ended call in addition to its chunks.
const ANSWER_OVERHEAD_BYTES: usize = 1024;
/// How long the answer of an unrepeatable call is kept.
const UNREPEATABLE_RETENTION: Duration = Duration::from_secs(60);
/// How long the answer of a repeatable call is kept. This covers the detection of a lost link and
/// the next connection.
const REPEATABLE_RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of calls that are remembered as forbidden to start.
const MAX_FORBIDDEN_CALLS: usize = 16_384;

/// An ended answer that is kept for a recall.
#[derive(Clone, Copy, Debug)]
struct RetainedAnswer {
    call: CallId,
    expires_at: Instant,
    bytes: usize,
}

/// Ended answers, in the order in which they ended, and calls that must never start.
#[derive(Debug, Default)]
pub(crate) struct CallHistory {
    repeatable: VecDeque<RetainedAnswer>,
    unrepeatable: VecDeque<RetainedAnswer>,
    bytes: usize,
    forbidden: Map<CallId, Refusal>,
    forbidden_order: VecDeque<CallId>,
}

impl CallHistory {
    /// Records that a call has ended with `bytes` of chunks kept.
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

    /// Removes and returns the next call whose answer is to be dropped: an expired one or, if the
    /// limit is exceeded, the oldest, repeatable calls first.
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

    /// Records that the call must never start from now on.
    ///
    /// An entry that was notified of this may report *not run* to its caller. Starting the call for
    /// an offer that is still in transit on an older link would make that report false.
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

    /// Returns the reason why the call must never start, if it must not.
    pub(crate) fn forbidden(&self, call: CallId) -> Option<Refusal> {
        self.forbidden.get(&call).copied()
    }
}
