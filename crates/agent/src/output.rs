//! The answer of one call: sent to the entry as it comes and kept for a recall.

use bytes::Bytes;
use protocol::{CallId, Sequence};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::Mutex;
use wire::{Frame, Load, Sender};

/// Bytes of one answer that are kept while it runs; older chunks go first, since the entry most
/// likely has them.
const MAX_KEPT_BYTES: usize = 4 << 20;

/// Answer of one call.
#[derive(Debug)]
pub(crate) struct AnswerBuffer {
    call: CallId,
    kept_bytes: AtomicUsize,
    /// Whether the end has been handed to a link that stood.
    delivered: AtomicBool,
    /// Whether the entry has said that it needs nothing more.
    not_needed: AtomicBool,
    state: Mutex<BufferState>,
}

#[derive(Debug)]
struct BufferState {
    link: Option<Sender>,
    /// Number of the oldest kept chunk.
    first: Sequence,
    chunks: VecDeque<Bytes>,
    bytes: usize,
    end: Option<Frame>,
}

impl BufferState {
    /// Sends a frame if the link still stands. A link that is gone is forgotten; the entry
    /// brings a new one with its recall.
    async fn send(&mut self, frame: Frame) {
        if let Some(link) = &self.link
            && link.send(frame).await.is_err()
        {
            self.link = None;
        }
    }

    fn next(&self) -> Sequence {
        self.first + Sequence::try_from(self.chunks.len()).unwrap_or(Sequence::MAX)
    }

    fn trim(&mut self) {
        while self.bytes > MAX_KEPT_BYTES
            && let Some(oldest) = self.chunks.pop_front()
        {
            self.bytes -= oldest.len();
            self.first += 1;
        }
    }
}

impl AnswerBuffer {
    /// An answer that goes out on `link` and whose first chunk bears the number `first`.
    pub(crate) fn new(call: CallId, first: Sequence, link: Sender) -> Self {
        let state = BufferState {
            link: Some(link),
            first,
            chunks: VecDeque::new(),
            bytes: 0,
            end: None,
        };
        Self {
            call,
            kept_bytes: AtomicUsize::new(0),
            delivered: AtomicBool::new(false),
            not_needed: AtomicBool::new(false),
            state: Mutex::new(state),
        }
    }

    /// Bytes that are kept now.
    pub(crate) fn kept_bytes(&self) -> usize {
        self.kept_bytes.load(Ordering::Relaxed)
    }

    /// Whether the end has been handed to a link that stood, or is not wanted.
    pub(crate) fn is_delivered(&self) -> bool {
        self.not_needed.load(Ordering::Relaxed) || self.delivered.load(Ordering::Relaxed)
    }

    /// The entry has the whole answer, or wants none.
    pub(crate) fn mark_not_needed(&self) {
        self.not_needed.store(true, Ordering::Relaxed);
    }

    /// The link is lost, and with it perhaps what was handed to it last.
    pub(crate) fn mark_undelivered(&self) {
        self.delivered.store(false, Ordering::Relaxed);
    }

    /// Sends a frame that is not part of the answer.
    pub(crate) async fn send(&self, frame: Frame) {
        self.state.lock().await.send(frame).await;
    }

    /// Keeps and sends the next chunk; waits while the link is congested.
    pub(crate) async fn push_chunk(&self, data: Bytes) {
        let mut state = self.state.lock().await;
        let sequence = state.next();
        state.bytes += data.len();
        state.chunks.push_back(data.clone());
        state.trim();
        self.kept_bytes.store(state.bytes, Ordering::Relaxed);
        let call = self.call;
        state
            .send(Frame::Chunk {
                call,
                sequence,
                data,
            })
            .await;
    }

    /// Keeps and sends the end.
    pub(crate) async fn finish(&self, end: Frame) {
        let mut state = self.state.lock().await;
        state.end = Some(end.clone());
        state.send(end).await;
        self.delivered
            .store(state.link.is_some(), Ordering::Relaxed);
    }

    /// Sends what there is from chunk `from` on over a new link, which the rest will take too.
    pub(crate) async fn resend(&self, from: Sequence, link: Sender, load: Load) {
        let mut state = self.state.lock().await;
        state.link = Some(link);
        if from < state.first {
            return state.send(self.chunk_evicted_frame(from, load)).await;
        }
        let skipped = (from - state.first) as usize;
        let chunks: Vec<_> = state.chunks.iter().skip(skipped).cloned().collect();
        let call = self.call;
        for (sequence, data) in (from..).zip(chunks) {
            let chunk = Frame::Chunk {
                call,
                sequence,
                data,
            };
            state.send(chunk).await;
        }
        if let Some(end) = state.end.clone() {
            state.send(end).await;
            self.delivered
                .store(state.link.is_some(), Ordering::Relaxed);
        }
    }

    fn chunk_evicted_frame(&self, from: Sequence, load: Load) -> Frame {
        Frame::Break {
            call: self.call,
            reason: format!("chunk {from} is no longer kept"),
            load,
        }
    }
}
