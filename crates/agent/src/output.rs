//! The answer of one call: sent to the entry as it comes and kept for a recall.

use bytes::Bytes;
use protocol::{CallId, Sequence};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::Mutex;
use wire::{Frame, Load, Sender};

/// Bytes of one answer that are kept while it runs; older chunks go first, since the entry most
/// likely has them.
const KEPT: usize = 4 << 20;

/// Answer of one call.
#[derive(Debug)]
pub(crate) struct Output {
    call: CallId,
    kept: AtomicUsize,
    /// Whether the end has been handed to a link that stood.
    delivered: AtomicBool,
    /// Whether the entry has said that it needs nothing more.
    taken: AtomicBool,
    parts: Mutex<Parts>,
}

#[derive(Debug)]
struct Parts {
    link: Option<Sender>,
    /// Number of the oldest kept chunk.
    first: Sequence,
    chunks: VecDeque<Bytes>,
    bytes: usize,
    end: Option<Frame>,
}

impl Parts {
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
        while self.bytes > KEPT
            && let Some(oldest) = self.chunks.pop_front()
        {
            self.bytes -= oldest.len();
            self.first += 1;
        }
    }
}

impl Output {
    /// An answer that goes out on `link` and whose first chunk bears the number `first`.
    pub(crate) fn new(call: CallId, first: Sequence, link: Sender) -> Self {
        let parts = Parts {
            link: Some(link),
            first,
            chunks: VecDeque::new(),
            bytes: 0,
            end: None,
        };
        Self {
            call,
            kept: AtomicUsize::new(0),
            delivered: AtomicBool::new(false),
            taken: AtomicBool::new(false),
            parts: Mutex::new(parts),
        }
    }

    /// Bytes that are kept now.
    pub(crate) fn kept(&self) -> usize {
        self.kept.load(Ordering::Relaxed)
    }

    /// Whether the end has been handed to a link that stood, or is not wanted.
    pub(crate) fn delivered(&self) -> bool {
        self.taken.load(Ordering::Relaxed) || self.delivered.load(Ordering::Relaxed)
    }

    /// The entry has the whole answer, or wants none.
    pub(crate) fn mark_taken(&self) {
        self.taken.store(true, Ordering::Relaxed);
    }

    /// The link is lost, and with it perhaps what was handed to it last.
    pub(crate) fn mark_undelivered(&self) {
        self.delivered.store(false, Ordering::Relaxed);
    }

    /// Sends a frame that is not part of the answer.
    pub(crate) async fn send(&self, frame: Frame) {
        self.parts.lock().await.send(frame).await;
    }

    /// Keeps and sends the next chunk; waits while the link is congested.
    pub(crate) async fn chunk(&self, data: Bytes) {
        let mut parts = self.parts.lock().await;
        let sequence = parts.next();
        parts.bytes += data.len();
        parts.chunks.push_back(data.clone());
        parts.trim();
        self.kept.store(parts.bytes, Ordering::Relaxed);
        let call = self.call;
        parts
            .send(Frame::Chunk {
                call,
                sequence,
                data,
            })
            .await;
    }

    /// Keeps and sends the end.
    pub(crate) async fn end(&self, end: Frame) {
        let mut parts = self.parts.lock().await;
        parts.end = Some(end.clone());
        parts.send(end).await;
        self.delivered
            .store(parts.link.is_some(), Ordering::Relaxed);
    }

    /// Sends what there is from chunk `from` on over a new link, which the rest will take too.
    pub(crate) async fn recall(&self, from: Sequence, link: Sender, load: Load) {
        let mut parts = self.parts.lock().await;
        parts.link = Some(link);
        if from < parts.first {
            return parts.send(self.too_old(from, load)).await;
        }
        let skipped = (from - parts.first) as usize;
        let again: Vec<_> = parts.chunks.iter().skip(skipped).cloned().collect();
        let call = self.call;
        for (sequence, data) in (from..).zip(again) {
            let chunk = Frame::Chunk {
                call,
                sequence,
                data,
            };
            parts.send(chunk).await;
        }
        if let Some(end) = parts.end.clone() {
            parts.send(end).await;
            self.delivered
                .store(parts.link.is_some(), Ordering::Relaxed);
        }
    }

    fn too_old(&self, from: Sequence, load: Load) -> Frame {
        Frame::Break {
            call: self.call,
            reason: format!("chunk {from} is no longer kept"),
            load,
        }
    }
}
