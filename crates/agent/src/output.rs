//! Buffer for the answer of one call, which is sent on to the entry at once and kept for a recall.

use bytes::Bytes;
use protocol::{CallId, Sequence};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::Mutex;
use wire::{Frame, Load, Sender};

/// Maximum number of bytes of one answer that are kept while its call runs; the oldest chunks are
/// dropped first, since the entry most likely has them.
const MAX_KEPT_BYTES: usize = 4 << 20;

/// Answer of one call.
#[derive(Debug)]
pub(crate) struct AnswerBuffer {
    call: CallId,
    kept_bytes: AtomicUsize,
    /// Whether the end has been handed to a link that was up.
    delivered: AtomicBool,
    /// Whether the entry has reported that it needs nothing more.
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
    /// Sends a frame if the link is still up. A lost link is dropped; the entry's recall comes with
    /// a new one.
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
    /// A buffer that sends its answer over `link` and numbers its chunks from `first` on.
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

    /// Whether the end has been handed to a link that was up, or is not needed.
    pub(crate) fn is_delivered(&self) -> bool {
        self.not_needed.load(Ordering::Relaxed) || self.delivered.load(Ordering::Relaxed)
    }

    /// Records that the entry has the complete answer or needs none.
    pub(crate) fn mark_not_needed(&self) {
        self.not_needed.store(true, Ordering::Relaxed);
    }

    /// Records that the link is lost, possibly with the frames that were handed to it last.
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

    /// Resends the answer from chunk `from` on over a new link, which also carries the rest.
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
