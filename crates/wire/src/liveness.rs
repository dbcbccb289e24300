//! Detection of a dead peer.
//!
//! A peer whose VM is gone, or that is behind a cut, closes nothing: the connection stays half
//! open and a reader would wait for ever. Both ends therefore send something at least every
//! [`KEEPALIVE`], and a reader that hears nothing for [`IDLE_TIMEOUT`] gives the link up.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// Longest time between two writes on a healthy link; an empty frame fills the gap. It costs 4
/// bytes and a TCP segment each way.
pub const KEEPALIVE: Duration = Duration::from_secs(1);
/// Silence after which the link is declared lost.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A reader that fails with [`io::ErrorKind::TimedOut`] after [`IDLE_TIMEOUT`] without a byte.
///
/// Bytes count, not frames: a large frame that takes long to arrive is a sign of life.
#[derive(Debug)]
pub(crate) struct Watch<R> {
    inner: R,
    heard: Instant,
    timer: Pin<Box<Sleep>>,
}

impl<R> Watch<R> {
    pub(crate) fn new(inner: R) -> Self {
        Self {
            inner,
            heard: Instant::now(),
            timer: Box::pin(sleep(IDLE_TIMEOUT)),
        }
    }

    /// The timer is moved only when it fires, so that a read costs no timer operation.
    fn poll_silence(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(context));
            let due = self.heard + IDLE_TIMEOUT;
            if due <= Instant::now() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(due);
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Watch<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(result) = Pin::new(&mut self.inner).poll_read(context, buffer) {
            self.heard = Instant::now();
            return Poll::Ready(result);
        }
        ready!(self.poll_silence(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}
