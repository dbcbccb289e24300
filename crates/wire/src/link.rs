//! An ordered link between one entry and one agent: length-delimited postcard frames over TCP.

use crate::frame::Frame;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Largest frame in bytes; a longer one closes the link.
pub const MAX_FRAME: usize = 64 << 20;
/// Frames that wait for the writer before senders wait.
const QUEUE: usize = 1024;

/// What can go wrong with a link.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The socket failed.
    #[snafu(display("link: {source}"))]
    Socket {
        /// Cause given by the operating system.
        source: std::io::Error,
    },
    /// A frame could not be read.
    #[snafu(display("frame: {source}"))]
    Codec {
        /// Cause given by the codec.
        source: postcard::Error,
    },
    /// The link is closed.
    #[snafu(display("link closed"))]
    Closed,
    /// The peer does not hold the shared key.
    #[snafu(display("peer does not hold the shared key"))]
    Unauthorized,
}

/// Shared key of a deployment's entries and agents.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// A key from the bytes in the settings.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// The bytes of the key.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Sending end of a link; clones share the link.
#[derive(Clone, Debug)]
pub struct Sender {
    queue: mpsc::Sender<Frame>,
}

impl Sender {
    /// Queues a frame behind those sent before it.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] if the link is gone; the frame may or may not have been sent otherwise.
    pub async fn send(&self, frame: Frame) -> Result<(), Error> {
        self.queue.send(frame).await.map_err(|_| Error::Closed)
    }
}

/// Receiving end of a link.
#[derive(Debug)]
pub struct Receiver {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
}

impl Receiver {
    /// The next frame, or `None` once the link is closed.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] or [`Error::Codec`]; the link is of no further use after either.
    pub async fn recv(&mut self) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.frames.next().await else {
            return Ok(None);
        };
        let bytes = bytes.context(SocketSnafu)?;
        postcard::from_bytes(&bytes).context(CodecSnafu).map(Some)
    }
}

/// Accepts links from entries.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
}

impl Listener {
    /// Listens on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the address cannot be bound.
    pub async fn bind(address: SocketAddr, _key: Key) -> Result<Self, Error> {
        let socket = TcpListener::bind(address).await.context(SocketSnafu)?;
        Ok(Self { socket })
    }

    /// The address that peers connect to.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the socket has none.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        self.socket.local_addr().context(SocketSnafu)
    }

    /// Waits for the next link.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if this link failed; the listener goes on.
    pub async fn accept(&self) -> Result<(Sender, Receiver), Error> {
        let (stream, _) = self.socket.accept().await.context(SocketSnafu)?;
        split(stream)
    }
}

/// Opens a link to an agent.
///
/// # Errors
///
/// [`Error::Socket`] if the agent cannot be reached, [`Error::Unauthorized`] if the keys differ.
pub async fn connect(address: SocketAddr, _key: &Key) -> Result<(Sender, Receiver), Error> {
    split(TcpStream::connect(address).await.context(SocketSnafu)?)
}

fn split(stream: TcpStream) -> Result<(Sender, Receiver), Error> {
    stream.set_nodelay(true).context(SocketSnafu)?;
    let (read, write) = stream.into_split();
    let (queue, frames) = mpsc::channel(QUEUE);
    tokio::spawn(write_all(FramedWrite::new(write, codec()), frames));
    let frames = FramedRead::new(read, codec());
    Ok((Sender { queue }, Receiver { frames }))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// Writes what is queued and flushes once the queue is empty, so that a burst of tokens costs one
/// system call.
async fn write_all(
    mut sink: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut frames: mpsc::Receiver<Frame>,
) -> Result<(), Error> {
    while let Some(first) = frames.recv().await {
        feed(&mut sink, &first).await?;
        while let Ok(frame) = frames.try_recv() {
            feed(&mut sink, &frame).await?;
        }
        SinkExt::<Bytes>::flush(&mut sink)
            .await
            .context(SocketSnafu)?;
    }
    SinkExt::<Bytes>::close(&mut sink)
        .await
        .context(SocketSnafu)
}

async fn feed(
    sink: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    frame: &Frame,
) -> Result<(), Error> {
    let bytes = postcard::to_stdvec(frame).context(CodecSnafu)?;
    sink.feed(Bytes::from(bytes)).await.context(SocketSnafu)
}
