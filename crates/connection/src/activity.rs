//! What is in progress on a client's connection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// Requests of a connection, and what of their responses has been handed to the operating system. Clones
/// share the state.
#[derive(Clone, Debug)]
pub struct Activity(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    in_progress: u32,
    /// Whether a part of a request has been read, and not all of it.
    is_mid_request: bool,
    last_change: Instant,
    /// Since when the client has read nothing although there is something to write.
    blocked_since: Option<Instant>,
    /// Id of the request whose response was handed over completely last.
    last_request: String,
    /// Whether the sending side has been closed.
    is_closed: bool,
    /// Why the connection is closed, if it is.
    close_reason: Option<String>,
}

/// A request in progress on its connection.
#[derive(Debug)]
pub struct RequestGuard(Activity);

impl Activity {
    /// A connection that has carried nothing yet.
    #[must_use]
    pub fn new() -> Self {
        let state = State {
            in_progress: 0,
            is_mid_request: false,
            last_change: Instant::now(),
            blocked_since: None,
            last_request: String::new(),
            is_closed: false,
            close_reason: None,
        };
        Self(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins with the head of a request.
    #[must_use]
    pub fn begin(&self) -> RequestGuard {
        self.state().is_mid_request = true;
        self.change_in_progress(1);
        RequestGuard(self.clone())
    }

    fn change_in_progress(&self, by: i32) {
        let mut state = self.state();
        state.in_progress = state.in_progress.saturating_add_signed(by);
        state.last_change = Instant::now();
    }

    /// Records that bytes of the client have been read. While a request is in progress they are its own.
    pub fn record_read(&self) {
        let mut state = self.state();
        state.is_mid_request |= state.in_progress == 0;
    }

    /// Whether a part of a request has been read, and not all of it.
    #[must_use]
    pub fn is_mid_request(&self) -> bool {
        self.state().is_mid_request
    }

    /// Whether a part of a request has been read, and not all of its head.
    #[must_use]
    pub fn is_mid_head(&self) -> bool {
        let state = self.state();
        state.in_progress == 0 && state.is_mid_request
    }

    /// Records that the operating system has taken bytes.
    pub fn record_written(&self) {
        let mut state = self.state();
        state.blocked_since = None;
        state.last_change = Instant::now();
    }

    /// Records that the operating system takes no more bytes until the client has read some.
    pub fn record_blocked(&self) {
        let mut state = self.state();
        state.blocked_since.get_or_insert_with(Instant::now);
    }

    /// Records that the sending side has been closed, after all bytes have been written.
    pub fn record_closed(&self) {
        self.state().is_closed = true;
    }

    /// Records why the connection is closed, before its requests are dropped.
    pub fn close(&self, reason: String) {
        self.state().close_reason = Some(reason);
    }

    /// Why the connection is closed, if it is.
    #[must_use]
    pub fn close_reason(&self) -> Option<String> {
        self.state().close_reason.clone()
    }

    /// Since when the client has neither had a request in progress nor read its response; none if it is
    /// active.
    #[must_use]
    pub fn idle_since(&self) -> Option<Instant> {
        let state = self.state();
        let unused = (state.in_progress == 0).then_some(state.last_change);
        state.blocked_since.or(unused)
    }

    /// Whether nothing is in progress until the client sends another request.
    #[must_use]
    pub fn awaits_request(&self) -> bool {
        let state = self.state();
        state.in_progress == 0 && state.blocked_since.is_none() && !state.is_closed
    }

    /// Id of the request whose response the client has not read completely, if its end has been handed over.
    #[must_use]
    pub fn unsent_response(&self) -> Option<String> {
        let state = self.state();
        let is_unsent = state.in_progress == 0 && state.blocked_since.is_some();
        is_unsent.then(|| state.last_request.clone())
    }
}

impl Default for Activity {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestGuard {
    /// The connection that the request came on.
    #[must_use]
    pub fn activity(&self) -> &Activity {
        &self.0
    }

    /// Records that all of this request has been read.
    pub fn request_read(&self) {
        self.0.state().is_mid_request = false;
    }

    /// Records that the end of the response to this request has been handed over.
    pub fn complete(&self, request: &str) {
        self.0.state().last_request = request.to_owned();
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.change_in_progress(-1);
    }
}
