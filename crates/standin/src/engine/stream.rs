//! The events of one response, as a body.

use super::Started;
use super::batch::Progress;
use crate::answer;
use crate::fault::CallFaults;
use crate::log::{ExecutionStatus, LogEntry};
use crate::reply::ConnectionClosed;
use crate::runner::CancelGuard;
use bytes::Bytes;
use hyper::body::Frame;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc::UnboundedReceiver;

/// A stream of events; dropping it cancels the execution.
pub(crate) struct Stream {
    entry: LogEntry,
    receiver: UnboundedReceiver<Progress>,
    text: String,
    total: u32,
    /// Number of the token at which the `cut` fault closes the connection.
    middle: u32,
    faults: CallFaults,
    _cancel: CancelGuard,
}

impl Stream {
    pub(super) fn new(
        started: Started,
        text: String,
        resume: u32,
        total: u32,
        faults: CallFaults,
    ) -> Self {
        Self {
            entry: started.entry,
            receiver: started.receiver,
            text,
            total,
            middle: resume + total.saturating_sub(resume) / 2,
            faults,
            _cancel: started.cancel,
        }
    }

    /// Polls the next event; a cancelled stream ends without a `done` event.
    pub(crate) fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionClosed>>> {
        let Some(progress) = ready!(self.receiver.poll_recv(context)) else {
            return Poll::Ready(None);
        };
        Poll::Ready(match progress {
            Progress::Token(k) if self.faults.cut && k >= self.middle => {
                self.entry.end(ExecutionStatus::Cut, 0);
                Some(Err(ConnectionClosed))
            }
            Progress::Token(k) => Some(Ok(self.frame(&self.token(k)))),
            Progress::Done { busy_us } if self.faults.truncate => {
                self.entry.end(ExecutionStatus::Cut, busy_us);
                None
            }
            Progress::Done { busy_us } => {
                self.entry.end(ExecutionStatus::Answered, busy_us);
                Some(Ok(self.frame(&self.done())))
            }
            // `Start` is received before the stream is created.
            Progress::Start { .. } => Some(Ok(Frame::data(Bytes::new()))),
        })
    }

    fn token(&self, k: u32) -> String {
        // Tokens contain only hexadecimal digits and a dot, so that they need no escaping.
        let token = answer::token(&self.text, k);
        format!("id: {k}\ndata: {{\"token\":\"{token}\"}}\n\n")
    }

    fn done(&self) -> String {
        format!("event: done\ndata: {{\"chunks\":{}}}\n\n", self.total)
    }

    fn frame(&self, event: &str) -> Frame<Bytes> {
        let times = 1 + usize::from(self.faults.double);
        Frame::data(Bytes::from(event.repeat(times)))
    }
}
