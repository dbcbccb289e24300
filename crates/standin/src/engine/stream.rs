//! The events of one answer, as a body.

use super::Begun;
use super::batch::Progress;
use crate::answer;
use crate::fault::Draw;
use crate::log::{Entry, ExecutionStatus};
use crate::reply::Broken;
use crate::runner::Cancel;
use bytes::Bytes;
use hyper::body::Frame;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc::UnboundedReceiver;

/// A stream of events; dropping it cancels the work.
pub(crate) struct Stream {
    entry: Entry,
    receiver: UnboundedReceiver<Progress>,
    text: String,
    total: u32,
    /// Token before which a cut stream breaks off.
    middle: u32,
    draw: Draw,
    _cancel: Cancel,
}

impl Stream {
    pub(super) fn new(begun: Begun, text: String, resume: u32, total: u32, draw: Draw) -> Self {
        Self {
            entry: begun.entry,
            receiver: begun.receiver,
            text,
            total,
            middle: resume + total.saturating_sub(resume) / 2,
            draw,
            _cancel: begun.cancel,
        }
    }

    /// The next event; a stream that was cancelled ends without an end mark.
    pub(crate) fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let Some(progress) = ready!(self.receiver.poll_recv(context)) else {
            return Poll::Ready(None);
        };
        Poll::Ready(match progress {
            Progress::Token(k) if self.draw.cut && k >= self.middle => {
                self.entry.end(ExecutionStatus::Cut, 0);
                Some(Err(Broken))
            }
            Progress::Token(k) => Some(Ok(self.frame(&self.token(k)))),
            Progress::Done { busy_us } if self.draw.truncate => {
                self.entry.end(ExecutionStatus::Cut, busy_us);
                None
            }
            Progress::Done { busy_us } => {
                self.entry.end(ExecutionStatus::Answered, busy_us);
                Some(Ok(self.frame(&self.done())))
            }
            // The start has been taken before the stream was made.
            Progress::Start { .. } => Some(Ok(Frame::data(Bytes::new()))),
        })
    }

    fn token(&self, k: u32) -> String {
        // Tokens hold hex digits and a point only, so that they need no escapes.
        let token = answer::token(&self.text, k);
        format!("id: {k}\ndata: {{\"token\":\"{token}\"}}\n\n")
    }

    fn done(&self) -> String {
        format!("event: done\ndata: {{\"chunks\":{}}}\n\n", self.total)
    }

    fn frame(&self, event: &str) -> Frame<Bytes> {
        let times = 1 + usize::from(self.draw.double);
        Frame::data(Bytes::from(event.repeat(times)))
    }
}
