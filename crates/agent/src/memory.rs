//! What the agent remembers of calls that are over.

use protocol::CallId;
use record::Map;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;
use wire::Refusal;

/// Bytes of ended answers that are kept for recall, with [`OVERHEAD`] for each.
const BUDGET: usize = 6 << 20;
/// Assumed cost in bytes of keeping one ended call beside its chunks.
const OVERHEAD: usize = 1024;
/// How long an answer that may not be repeated is kept.
const UNREPEATABLE: Duration = Duration::from_secs(60);
/// How long an answer that can be had again is kept; covers the detection of a lost link and the
/// next connection.
const REPEATABLE: Duration = Duration::from_secs(15);
/// Calls that are remembered as never to be started.
const BARRED: usize = 16_384;

/// An ended answer in the order of ends.
#[derive(Clone, Copy, Debug)]
struct Kept {
    call: CallId,
    until: Instant,
    bytes: usize,
}

/// Ended answers and calls that must never start.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    repeatable: VecDeque<Kept>,
    unrepeatable: VecDeque<Kept>,
    bytes: usize,
    barred: Map<CallId, Refusal>,
    bars: VecDeque<CallId>,
}

impl Memory {
    /// Notes that a call has ended with `bytes` of chunks kept.
    pub(crate) fn keep(&mut self, call: CallId, repeatable: bool, bytes: usize) {
        let (list, time) = if repeatable {
            (&mut self.repeatable, REPEATABLE)
        } else {
            (&mut self.unrepeatable, UNREPEATABLE)
        };
        let bytes = bytes + OVERHEAD;
        let until = Instant::now() + time;
        list.push_back(Kept { call, until, bytes });
        self.bytes += bytes;
    }

    /// The next call whose answer has to go: one whose time is over or, if memory is short, the
    /// oldest, repeatable ones first.
    pub(crate) fn evict(&mut self) -> Option<CallId> {
        let now = Instant::now();
        let full = self.bytes > BUDGET;
        let due = |list: &VecDeque<Kept>| list.front().is_some_and(|kept| kept.until <= now);
        let list = if due(&self.repeatable) || (full && !self.repeatable.is_empty()) {
            &mut self.repeatable
        } else if due(&self.unrepeatable) || full {
            &mut self.unrepeatable
        } else {
            return None;
        };
        let kept = list.pop_front()?;
        self.bytes -= kept.bytes;
        Some(kept.call)
    }

    /// Remembers that the call must never start from now on.
    ///
    /// An entry that was told so may tell its caller *not run*; an offer that is still under way
    /// on an older link would make that a lie.
    pub(crate) fn bar(&mut self, call: CallId, why: Refusal) {
        if self.barred.contains_key(&call) {
            return;
        }
        if self.bars.len() == BARRED
            && let Some(oldest) = self.bars.pop_front()
        {
            self.barred.remove(&oldest);
        }
        self.barred.insert(call, why);
        self.bars.push_back(call);
    }

    /// Why the call must never start, if it must not.
    pub(crate) fn barred(&self, call: CallId) -> Option<Refusal> {
        self.barred.get(&call).copied()
    }
}
