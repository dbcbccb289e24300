//! What a caller gets: chunks as they arrive and how the request ended.
//!
//! Several readers may follow one answer from any chunk on: the caller's own connection, the same
//! caller after its connection broke, and a repeated request with the same idempotency key.

use bytes::Bytes;
use protocol::RequestId;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The whole answer is in the chunks.
    Complete {
        /// Whether it came after the deadline.
        late: bool,
    },
    /// No runner started any stage and none ever will.
    NotRun {
        /// What stood in the way.
        detail: String,
        /// When a retry may succeed.
        retry_after: Duration,
    },
    /// It may have run; it is not run again.
    Unknown {
        /// What is not known.
        detail: String,
    },
    /// Another request with the same idempotency key has, or will have, the answer.
    Elsewhere {
        /// That request.
        request: RequestId,
    },
    /// The idempotency key was used for another call; nothing ran.
    Mismatch,
    /// A runner answered with an error.
    Failed {
        /// Stage that failed.
        stage: String,
        /// HTTP status of the runner's answer.
        status: u16,
        /// Body of the runner's answer.
        body: Bytes,
    },
}

/// How far an answer has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Whether the request may run: its claim, if it needs one, is settled.
    pub admitted: bool,
    /// Chunks so far.
    pub chunks: usize,
    /// Whether the request has ended.
    pub ended: bool,
}

#[derive(Debug, Default)]
struct State {
    admitted: bool,
    chunks: Vec<Bytes>,
    bytes: usize,
    end: Option<RequestOutcome>,
}

/// The answer to one request, growing until its end.
#[derive(Debug)]
pub struct Answer {
    request: RequestId,
    streamed: bool,
    state: Mutex<State>,
    progress: watch::Sender<Progress>,
}

impl Answer {
    /// The answer of a request that begins; a streamed one comes in chunks that are JSON values of
    /// their own.
    #[must_use]
    pub fn new(request: RequestId, streamed: bool) -> Self {
        Self {
            request,
            streamed,
            state: Mutex::default(),
            progress: watch::Sender::new(Progress::default()),
        }
    }

    /// The request that is answered.
    #[must_use]
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Whether the answer comes in chunks that are JSON values of their own.
    #[must_use]
    pub fn is_streamed(&self) -> bool {
        self.streamed
    }

    /// Says that the request may run.
    pub fn admit(&self) {
        self.change(|state| state.admitted = true);
    }

    /// Adds the next chunk.
    pub fn push(&self, chunk: Bytes) {
        self.change(|state| {
            state.bytes += chunk.len();
            state.chunks.push(chunk);
        });
    }

    /// Ends the answer; only the first end counts.
    pub fn finish(&self, end: RequestOutcome) {
        self.change(|state| {
            state.end.get_or_insert(end);
        });
    }

    /// The chunk at a position, if it has arrived.
    pub fn chunk(&self, position: usize) -> Option<Bytes> {
        self.lock().chunks.get(position).cloned()
    }

    /// All chunks so far.
    pub fn chunks(&self) -> Vec<Bytes> {
        self.lock().chunks.clone()
    }

    /// Number of chunks so far.
    pub fn len(&self) -> usize {
        self.lock().chunks.len()
    }

    /// Whether no chunk has arrived yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes in all chunks so far.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// How the request ended, if it has.
    pub fn end(&self) -> Option<RequestOutcome> {
        self.lock().end.clone()
    }

    /// Follows the answer's progress.
    pub fn follow(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Waits until the request may run or has ended.
    pub async fn admitted(&self) {
        let mut progress = self.follow();
        // The sender lives in `self`, so that the channel cannot close meanwhile.
        let _ = progress
            .wait_for(|progress| progress.admitted || progress.ended)
            .await;
    }

    /// Waits until the request has ended.
    pub async fn ended(&self) -> RequestOutcome {
        let mut progress = self.follow();
        loop {
            if let Some(end) = self.end() {
                return end;
            }
            // The sender lives in `self`, so that the channel cannot close meanwhile.
            let _ = progress.changed().await;
        }
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let progress = {
            let mut state = self.lock();
            change(&mut state);
            Progress {
                admitted: state.admitted,
                chunks: state.chunks.len(),
                ended: state.end.is_some(),
            }
        };
        self.progress.send_replace(progress);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
