//! A client's socket: records when the client reads, and closes without losing what is on its way.

use crate::Activity;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Time for which a closed connection waits for its client to close it too. A socket that is closed while
/// bytes of the client lie unread, or before they arrive, is reset, and a reset discards what the client has
/// not received yet.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes that are discarded at once while a connection lingers.
const DISCARD_BYTES: usize = 1 << 10;

/// A client's socket.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    activity: Activity,
    /// Ends the wait for the client, once the sending side has been closed.
    lingering: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    /// Records in `activity` what happens on the socket.
    #[must_use]
    pub fn new(stream: TcpStream, activity: Activity) -> Self {
        Self {
            stream,
            activity,
            lingering: None,
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(_) => self.activity.record_written(),
            Poll::Pending => self.activity.record_blocked(),
        }
    }

    /// Waits until the client closes the connection.
    fn poll_client_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.activity.is_mid_request() {
            return self.poll_discard(context);
        }
        // What arrives now is a request that the client may repeat only if nobody has read it. The reset that
        // follows when the socket is closed shows that.
        let mut byte = [0; 1];
        let mut buffer = ReadBuf::new(&mut byte);
        match ready!(self.stream.poll_peek(context, &mut buffer)) {
            Ok(0) | Err(_) => Poll::Ready(()),
            // Only the end of the wait is of interest now.
            Ok(_) => Poll::Pending,
        }
    }

    /// Discards the rest of a request that has been answered before it was complete, until the client closes
    /// the connection.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            // After an error nothing more arrives, as after the end.
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.activity.record_read();
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.lingering.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.activity.record_closed();
            self.lingering = Some(Box::pin(sleep(LINGER_TIME)));
        }
        // First, since a client that sends without pause would keep the time from being looked at.
        let lingering = self.lingering.as_mut();
        if lingering.is_none_or(|time| time.as_mut().poll(context).is_ready()) {
            return Poll::Ready(Ok(()));
        }
        self.poll_client_closed(context).map(Ok)
    }
}
