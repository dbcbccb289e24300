//! An ordered link between two processes: length-delimited postcard frames over TCP.
//!
//! The type of the messages is a parameter; between an entry and an agent it is [`Frame`].
//!
//! A link starts with a [`crate::handshake`] and is monitored for
//! [liveness](crate::liveness). An empty frame only shows that the peer is alive.

use crate::frame::Frame;
use crate::handshake;
use crate::liveness::{KEEPALIVE, TimeoutReader};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Semaphore, mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Maximum length of a frame in bytes, without the length prefix. A longer frame is refused by the
/// sender with [`Error::Oversize`] and closes the link at the receiver.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Capacity of the writer's queue; senders wait while it is full.
const QUEUE_FRAMES: usize = 1024;
/// Size of the write buffer, in bytes.
const WRITE_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of concurrent handshakes; further connections wait in the system's backlog.
const MAX_HANDSHAKES: usize = 64;

/// Errors of a link.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The socket failed.
    #[snafu(display("link: {source}"))]
    Socket {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A frame could not be encoded or decoded.
    #[snafu(display("frame: {source}"))]
    Codec {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// The frame is longer than [`MAX_FRAME_BYTES`]; it was not sent, and the link stays open.
    #[snafu(display("frame of {length} bytes is longer than {MAX_FRAME_BYTES}"))]
    Oversize {
        /// Length of the frame in bytes.
        length: usize,
    },
    /// The link is closed.
    #[snafu(display("link closed"))]
    Closed,
    /// The peer does not hold the shared key.
    #[snafu(display("peer does not hold the shared key"))]
    Unauthorized,
}

/// Shared key of a deployment's processes.
#[derive(Clone)]
pub struct Key(Vec<u8>);

/// Omits the key, so that it cannot end up in a log.
impl std::fmt::Debug for Key {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Key")
    }
}

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

/// Item of the writer's queue.
#[derive(Debug)]
enum Item {
    Frame(Bytes),
    Flush(oneshot::Sender<()>),
}

/// Sending half of a link; clones share the link.
#[derive(Debug)]
pub struct Sender<M = Frame> {
    queue: mpsc::Sender<Item>,
    lost: CancellationToken,
    message: PhantomData<fn(M)>,
}

impl<M> Clone for Sender<M> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            lost: self.lost.clone(),
            message: PhantomData,
        }
    }
}

/// Senders of one link are equal.
impl<M> PartialEq for Sender<M> {
    fn eq(&self, other: &Self) -> bool {
        self.queue.same_channel(&other.queue)
    }
}

impl<M: Serialize> Sender<M> {
    /// Queues a frame behind those sent before it.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] if the link is closed, [`Error::Oversize`] if the frame is too long.
    /// Without an error, the frame may still be lost with the link.
    pub async fn send(&self, frame: M) -> Result<(), Error> {
        self.queue(Item::Frame(encode(&frame)?)).await
    }

    /// Queues a frame without waiting for space in the queue.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] also if the queue is full: a peer that reads so slowly is treated as lost.
    pub fn try_send(&self, frame: &M) -> Result<(), Error> {
        ensure!(!self.lost.is_cancelled(), ClosedSnafu);
        let item = Item::Frame(encode(frame)?);
        self.queue.try_send(item).map_err(|_| Error::Closed)
    }

    /// Whether the link is known to be lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost.is_cancelled()
    }

    /// Closes the link immediately, without sending queued frames.
    pub fn abort(&self) {
        self.lost.cancel();
    }

    /// Waits until all frames queued so far have been passed to the operating system.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] if the link was lost first.
    pub async fn flush(&self) -> Result<(), Error> {
        let (done, flushed) = oneshot::channel();
        self.queue(Item::Flush(done)).await?;
        flushed.await.map_err(|_| Error::Closed)
    }

    async fn queue(&self, item: Item) -> Result<(), Error> {
        ensure!(!self.lost.is_cancelled(), ClosedSnafu);
        self.queue.send(item).await.map_err(|_| Error::Closed)
    }
}

fn encode(frame: &impl Serialize) -> Result<Bytes, Error> {
    let bytes = postcard::to_stdvec(frame).context(CodecSnafu)?;
    let length = bytes.len();
    ensure!(length <= MAX_FRAME_BYTES, OversizeSnafu { length });
    Ok(bytes.into())
}

/// Receiving half of a link.
#[derive(Debug)]
pub struct Receiver<M = Frame> {
    frames: FramedRead<TimeoutReader<OwnedReadHalf>, LengthDelimitedCodec>,
    lost: CancellationToken,
    message: PhantomData<fn() -> M>,
}

impl<M: DeserializeOwned> Receiver<M> {
    /// Receives the next frame, or `None` once the link is closed. Cancel safe: dropping the future
    /// loses no frame.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] or [`Error::Codec`]. The link is unusable after either: its [`Sender`]s
    /// fail from then on, as they do once it is closed.
    pub async fn recv(&mut self) -> Result<Option<M>, Error> {
        let received = self.read().await;
        // A writer that continued after the peer has closed would accept frames that are never
        // read, and their sender would count them as sent.
        if !matches!(received, Ok(Some(_))) {
            self.lost.cancel();
        }
        received
    }

    async fn read(&mut self) -> Result<Option<M>, Error> {
        while let Some(bytes) = self.frames.next().await {
            let bytes = bytes.context(SocketSnafu)?;
            if !bytes.is_empty() {
                return postcard::from_bytes(&bytes).context(CodecSnafu).map(Some);
            }
        }
        Ok(None)
    }
}

/// Both halves of one end of a link.
type Link<M> = (Sender<M>, Receiver<M>);

/// Accepts links.
#[derive(Debug)]
pub struct Listener<M = Frame> {
    address: SocketAddr,
    links: Mutex<mpsc::Receiver<Result<Link<M>, Error>>>,
    _accepting: DropGuard,
}

impl<M: 'static> Listener<M> {
    /// Listens on an address; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the address cannot be bound.
    pub async fn bind(address: SocketAddr, key: Key) -> Result<Self, Error> {
        let socket = TcpListener::bind(address).await.context(SocketSnafu)?;
        let address = socket.local_addr().context(SocketSnafu)?;
        let (ready, links) = mpsc::channel(MAX_HANDSHAKES);
        let stop = CancellationToken::new();
        let accepting = accept_all(socket, key, ready);
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(Self {
            address,
            links: Mutex::new(links),
            _accepting: stop.drop_guard(),
        })
    }

    /// The address that peers connect to.
    ///
    /// # Errors
    ///
    /// Never fails; the result type leaves room for listeners that learn their address late.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        Ok(self.address)
    }

    /// Waits for the next link whose peer has proved that it holds the key.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] or [`Error::Unauthorized`] if one connection failed; the listener stays
    /// usable.
    pub async fn accept(&self) -> Result<Link<M>, Error> {
        self.links.lock().await.recv().await.ok_or(Error::Closed)?
    }
}

/// Accepts connections and performs each handshake in its own task, so that a peer that connects
/// and sends nothing does not block others.
async fn accept_all<M: 'static>(
    socket: TcpListener,
    key: Key,
    ready: mpsc::Sender<Result<Link<M>, Error>>,
) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    while let Ok(permit) = handshakes.clone().acquire_owned().await {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(source) => {
                // Avoids a busy loop on a persistent error such as exhausted file descriptors.
                sleep(KEEPALIVE).await;
                let _ = ready.send(Err(Error::Socket { source })).await;
                continue;
            }
        };
        let (key, ready) = (key.clone(), ready.clone());
        tokio::spawn(async move {
            let _ = ready.send(authenticate(stream, &key).await).await;
            drop(permit);
        });
    }
}

async fn authenticate<M>(mut stream: TcpStream, key: &Key) -> Result<Link<M>, Error> {
    stream.set_nodelay(true).context(SocketSnafu)?;
    handshake::accept(&mut stream, key).await?;
    Ok(split(stream))
}

/// Opens a link to a listener.
///
/// # Examples
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), wire::Error> {
/// use wire::{Frame, Key, Listener};
///
/// let listener = Listener::bind("127.0.0.1:0".parse().unwrap(), Key::new("key")).await?;
/// let (sender, _) = wire::connect(listener.address()?, &Key::new("key")).await?;
/// let (_, mut receiver) = listener.accept().await?;
/// sender.send(Frame::Leave { incarnation: 1 }).await?;
/// assert_eq!(receiver.recv().await?, Some(Frame::Leave { incarnation: 1 }));
/// # Ok(())
/// # }
/// ```
///
/// # Errors
///
/// [`Error::Socket`] if the listener cannot be reached in time, [`Error::Unauthorized`] if the keys
/// differ.
pub async fn connect<M>(address: SocketAddr, key: &Key) -> Result<Link<M>, Error> {
    let mut stream = timeout(handshake::TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(std::io::Error::from)
        .context(SocketSnafu)?
        .context(SocketSnafu)?;
    stream.set_nodelay(true).context(SocketSnafu)?;
    handshake::connect(&mut stream, key).await?;
    Ok(split(stream))
}

fn split<M>(stream: TcpStream) -> Link<M> {
    let (read, write) = stream.into_split();
    let (queue, items) = mpsc::channel(QUEUE_FRAMES);
    let mut sink = FramedWrite::new(write, codec());
    sink.set_backpressure_boundary(WRITE_BUFFER_BYTES);
    let lost = CancellationToken::new();
    let writing = lost
        .clone()
        .run_until_cancelled_owned(write_all(sink, items));
    tokio::spawn(writing);
    let frames = FramedRead::new(TimeoutReader::new(read), codec());
    let sender = Sender {
        queue,
        lost: lost.clone(),
        message: PhantomData,
    };
    let receiver = Receiver {
        frames,
        lost,
        message: PhantomData,
    };
    (sender, receiver)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

type Sink = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Writes queued frames and flushes once the queue is empty, so that a burst of tokens costs one
/// system call.
async fn write_all(mut sink: Sink, mut items: mpsc::Receiver<Item>) -> Result<(), Error> {
    loop {
        match timeout(KEEPALIVE, items.recv()).await {
            Ok(Some(first)) => write_batch(&mut sink, first, &mut items).await?,
            Ok(None) => break,
            Err(_) => sink.send(Bytes::new()).await.context(SocketSnafu)?,
        }
    }
    SinkExt::<Bytes>::close(&mut sink)
        .await
        .context(SocketSnafu)
}

async fn write_batch(
    sink: &mut Sink,
    first: Item,
    items: &mut mpsc::Receiver<Item>,
) -> Result<(), Error> {
    let mut next = Some(first);
    let mut flushes = Vec::new();
    while let Some(item) = next {
        match item {
            Item::Frame(bytes) => sink.feed(bytes).await.context(SocketSnafu)?,
            Item::Flush(done) => flushes.push(done),
        }
        next = items.try_recv().ok();
    }
    SinkExt::<Bytes>::flush(sink).await.context(SocketSnafu)?;
    flushes.into_iter().for_each(|done| {
        let _ = done.send(());
    });
    Ok(())
}
