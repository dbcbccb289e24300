//! The answer to a request: its chunks as they arrive, and its outcome.
//!
//! Several readers may follow one answer, each from any chunk: the connection of the caller, a new
//! connection of the same caller after the first one broke, and a retry with the same idempotency
//! key.

use bytes::Bytes;
use protocol::RequestId;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The chunks contain the complete answer.
    Complete {
        /// Whether the answer came after the deadline.
        late: bool,
    },
    /// No runner has started any stage, and none ever will.
    NotRun {
        /// Why the request did not run.
        detail: String,
        /// When a retry may succeed.
        retry_after: Duration,
    },
    /// The request may have run; it is not run again.
    Unknown {
        /// What is not known.
        detail: String,
    },
    /// Another request with the same idempotency key has the answer or will have it.
    Elsewhere {
        /// Id of that request.
        request: RequestId,
    },
    /// The idempotency key was used for a different request; nothing ran.
    Mismatch,
    /// A runner responded with an error.
    Failed {
        /// Stage that failed.
        stage: String,
        /// HTTP status of the runner's response.
        status: u16,
        /// Body of the runner's response.
        body: Bytes,
    },
}

/// Progress of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Whether the request may run, which includes that its claim, if it needs one, has been
    /// granted.
    pub admitted: bool,
    /// Number of chunks so far.
    pub chunks: usize,
    /// Whether the request has ended.
    pub ended: bool,
}

#[derive(Debug, Default)]
struct State {
    admitted: bool,
    chunks: Vec<Bytes>,
    bytes: usize,
    outcome: Option<RequestOutcome>,
}

/// The answer to one request, which grows until the request has ended.
#[derive(Debug)]
pub struct Answer {
    request: RequestId,
    streamed: bool,
    state: Mutex<State>,
    progress: watch::Sender<Progress>,
}

impl Answer {
    /// Creates the answer of a new request; each chunk of a streamed answer is a JSON value of its
    /// own.
    #[must_use]
    pub fn new(request: RequestId, streamed: bool) -> Self {
        Self {
            request,
            streamed,
            state: Mutex::default(),
            progress: watch::Sender::new(Progress::default()),
        }
    }

    /// Returns the id of the request.
    #[must_use]
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Whether each chunk of the answer is a JSON value of its own.
    #[must_use]
    pub fn is_streamed(&self) -> bool {
        self.streamed
    }

    /// Records that the request may run.
    pub fn admit(&self) {
        self.change(|state| state.admitted = true);
    }

    /// Appends a chunk.
    pub fn push(&self, chunk: Bytes) {
        self.change(|state| {
            state.bytes += chunk.len();
            state.chunks.push(chunk);
        });
    }

    /// Sets the outcome; only the first one counts.
    pub fn finish(&self, outcome: RequestOutcome) {
        self.change(|state| {
            state.outcome.get_or_insert(outcome);
        });
    }

    /// Returns the chunk at a position, if it has arrived.
    pub fn chunk(&self, position: usize) -> Option<Bytes> {
        self.lock().chunks.get(position).cloned()
    }

    /// Returns all chunks so far.
    pub fn chunks(&self) -> Vec<Bytes> {
        self.lock().chunks.clone()
    }

    /// Returns the number of chunks so far.
    pub fn len(&self) -> usize {
        self.lock().chunks.len()
    }

    /// Whether no chunk has arrived yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the total size of all chunks so far in bytes.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Returns the outcome of the request, if it has ended.
    pub fn outcome(&self) -> Option<RequestOutcome> {
        self.lock().outcome.clone()
    }

    /// Subscribes to the progress of the answer.
    pub fn follow(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Waits until the request may run or has ended.
    pub async fn admitted(&self) {
        let mut progress = self.follow();
        // The channel cannot close, since `self` holds the sender.
        let _ = progress
            .wait_for(|progress| progress.admitted || progress.ended)
            .await;
    }

    /// Waits until the request has ended.
    pub async fn ended(&self) -> RequestOutcome {
        let mut progress = self.follow();
        loop {
            if let Some(outcome) = self.outcome() {
                return outcome;
            }
            // The channel cannot close, since `self` holds the sender.
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
                ended: state.outcome.is_some(),
            }
        };
        self.progress.send_replace(progress);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
