//! Detection of a dead peer.
//!
//! A peer whose VM is gone, or that is behind a network partition, does not close its connection:
//! the connection stays half open and a reader would wait forever. Both ends therefore send
//! something at least every [`KEEPALIVE`], and a reader that receives nothing for [`IDLE_TIMEOUT`]
//! fails.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// Maximum time between two writes on a healthy link. An idle link sends an empty frame, which
/// costs 4 bytes and a TCP segment each way.
pub const KEEPALIVE: Duration = Duration::from_secs(1);
/// Time without received bytes after which the link is considered lost.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A reader that fails with [`io::ErrorKind::TimedOut`] after [`IDLE_TIMEOUT`] without a byte.
///
/// Bytes count, not frames: a large frame that takes long to arrive shows that the peer is alive.
#[derive(Debug)]
pub(crate) struct TimeoutReader<R> {
    inner: R,
    last_read: Instant,
    timer: Pin<Box<Sleep>>,
}

impl<R> TimeoutReader<R> {
    pub(crate) fn new(inner: R) -> Self {
        Self {
            inner,
            last_read: Instant::now(),
            timer: Box::pin(sleep(IDLE_TIMEOUT)),
        }
    }

    /// Completes once the timeout has expired. The timer is reset only when it fires, so that a
    /// read costs no timer operation.
    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(context));
            let deadline = self.last_read + IDLE_TIMEOUT;
            if deadline <= Instant::now() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(deadline);
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for TimeoutReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(result) = Pin::new(&mut self.inner).poll_read(context, buffer) {
            self.last_read = Instant::now();
            return Poll::Ready(result);
        }
        ready!(self.poll_timeout(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}
