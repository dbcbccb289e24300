//! News between processes by publish and subscribe: fast, unordered and lossy.
//!
//! Whatever the news says has a slower second source: links tell who leaves, polls find the head
//! of the change log, loads ride on answers. So a lost message costs time and nothing else, and
//! publishers never wait for subscribers.
//!
//! Each message bears the publisher's random origin, a number and a keyed hash. A stranger
//! without the key can neither make news nor have a message of a publisher taken twice.

use crate::frame::Load;
use crate::handshake::mac;
use crate::link::Key;
use ::protocol::{Incarnation, Revision};
use foldhash::fast::RandomState;
use hmac::Mac;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, protocol, transport};
use nng::{Aio, AioResult, Dialer, Listener, Protocol, Socket};
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::collections::hash_map::{Entry, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

/// Largest message in bytes.
pub const MAX_MESSAGE: usize = 4096;
/// Verified news that waits for its reader; more is dropped.
const QUEUE: usize = 1024;
/// Publishers whose last number is remembered; beyond it the memory starts anew.
const ORIGINS: usize = 8192;
/// Label under which news is hashed, so that no proof of a link passes for one.
const LABEL: &[u8] = b"linnetdrift news 1";
/// Bytes of the keyed hash at the end of a message.
const PROOF: usize = 32;
/// First pause before a subscriber dials a publisher again.
const RECONNECT_MIN: Duration = Duration::from_millis(100);
/// Longest pause before a subscriber dials a publisher again.
const RECONNECT_MAX: Duration = Duration::from_secs(5);

/// What can go wrong with news.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The messaging library failed.
    #[snafu(display("news on {place}: {source}"))]
    Socket {
        /// Address, or `socket` where there is none yet.
        place: String,
        /// Cause given by the library.
        source: nng::Error,
    },
    /// The system gave no random bytes.
    #[snafu(display("no random bytes: {source}"))]
    Random {
        /// Cause given by the operating system.
        source: rand::rand_core::OsError,
    },
    /// The message could not be encoded.
    #[snafu(display("news: {source}"))]
    Codec {
        /// Cause given by the codec.
        source: postcard::Error,
    },
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notification {
    /// A process takes no new work from now on.
    Leaving {
        /// Its VM.
        vm: String,
        /// Its life on that VM.
        incarnation: Incarnation,
    },
    /// The change log has reached this revision.
    Head {
        /// Newest accepted revision that the publisher knows.
        revision: Revision,
    },
    /// Load of an agent.
    Load {
        /// Its VM.
        vm: String,
        /// Load at the moment of sending.
        load: Load,
    },
}

/// News with what identifies the message.
#[derive(Serialize, Deserialize)]
struct Message {
    origin: u64,
    number: u64,
    news: Notification,
}

impl Message {
    fn seal(&self, key: &Key) -> Result<Vec<u8>, Error> {
        let mut bytes = postcard::to_stdvec(self).context(CodecSnafu)?;
        let proof = mac(key).chain_update(LABEL).chain_update(&bytes).finalize();
        bytes.extend_from_slice(&proof.into_bytes());
        Ok(bytes)
    }

    /// Compares in constant time before it decodes anything.
    fn open(sealed: &[u8], key: &Key) -> Option<Self> {
        let split = sealed.len().checked_sub(PROOF)?;
        let (bytes, proof) = sealed.split_at(split);
        let mac = mac(key).chain_update(LABEL).chain_update(bytes);
        mac.verify_slice(proof).ok()?;
        postcard::from_bytes(bytes).ok()
    }
}

/// Publishes news to all who dial.
///
/// # Examples
///
/// ```
/// use wire::Key;
/// use wire::pubsub::{Notification, Publisher, Subscriber};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), wire::pubsub::Error> {
/// let publisher = Publisher::bind("127.0.0.1:0".parse().unwrap(), Key::new("key"))?;
/// let (subscriber, mut news) = Subscriber::new(Key::new("key"))?;
/// subscriber.dial(publisher.address())?;
/// // What is published before the subscriber has connected is lost.
/// while news.try_recv() != Ok(Notification::Head { revision: 7 }) {
///     publisher.publish(Notification::Head { revision: 7 })?;
///     tokio::task::yield_now().await;
/// }
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Publisher {
    socket: Socket,
    address: SocketAddr,
    key: Key,
    origin: u64,
    numbers: AtomicU64,
}

impl Publisher {
    /// Publishes on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the address cannot be bound.
    pub fn bind(address: SocketAddr, key: Key) -> Result<Self, Error> {
        let place = || SocketSnafu {
            place: address.to_string(),
        };
        let socket = Socket::new(Protocol::Pub0).with_context(|_| place())?;
        let listener = Listener::new(&socket, &url(address)).with_context(|_| place())?;
        let port = listener
            .get_opt::<transport::tcp::BoundPort>()
            .with_context(|_| place())?;
        Ok(Self {
            socket,
            address: SocketAddr::new(address.ip(), port),
            key,
            origin: OsRng.try_next_u64().context(RandomSnafu)?,
            numbers: AtomicU64::new(0),
        })
    }

    /// The address that subscribers dial.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends news to those who are connected, without waiting for any of them.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the library took nothing.
    pub fn publish(&self, news: Notification) -> Result<(), Error> {
        let message = Message {
            origin: self.origin,
            number: self.numbers.fetch_add(1, Ordering::Relaxed),
            news,
        };
        let sealed = message.seal(&self.key)?;
        self.socket
            .try_send(sealed.as_slice())
            .map_err(|(_, source)| source)
            .context(SocketSnafu {
                place: self.address.to_string(),
            })
    }
}

/// Takes news from many publishers.
#[derive(Debug)]
pub struct Subscriber {
    socket: Socket,
    dialers: Mutex<HashMap<SocketAddr, Dialer, RandomState>>,
    _receiving: Aio,
}

impl Subscriber {
    /// A subscriber that has dialled nobody yet, and the verified news that it will get.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the library has no resources.
    pub fn new(key: Key) -> Result<(Self, mpsc::Receiver<Notification>), Error> {
        let place = || SocketSnafu { place: "socket" };
        let socket = Socket::new(Protocol::Sub0).with_context(|_| place())?;
        socket
            .set_opt::<protocol::pubsub::Subscribe>(Vec::new())
            .and_then(|()| socket.set_opt::<RecvMaxSize>(MAX_MESSAGE))
            .and_then(|()| socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN)))
            .and_then(|()| socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX)))
            .with_context(|_| place())?;
        let (queue, news) = mpsc::channel(QUEUE);
        let inbox = Mutex::new(Inbox {
            key,
            queue,
            last: HashMap::default(),
        });
        let source = socket.clone();
        let receive = move |aio: Aio, result: AioResult| {
            if let AioResult::Recv(Ok(message)) = &result
                && let Ok(mut inbox) = inbox.lock()
            {
                inbox.take(message.as_slice());
            }
            if !matches!(result, AioResult::Recv(Err(nng::Error::Closed))) {
                let _ = source.recv_async(&aio);
            }
        };
        let receiving = Aio::new(receive).with_context(|_| place())?;
        socket.recv_async(&receiving).with_context(|_| place())?;
        let subscriber = Self {
            socket,
            dialers: Mutex::default(),
            _receiving: receiving,
        };
        Ok((subscriber, news))
    }

    /// Connects to a publisher, now or as soon as it can be reached, and again whenever the
    /// connection is lost.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the address is not usable.
    pub fn dial(&self, address: SocketAddr) -> Result<(), Error> {
        if let Entry::Vacant(place) = self.dialers().entry(address) {
            let dialer = Dialer::new(&self.socket, &url(address), true).context(SocketSnafu {
                place: address.to_string(),
            })?;
            place.insert(dialer);
        }
        Ok(())
    }

    /// Gives a publisher up, whose VM is gone, say.
    pub fn disconnect(&self, address: SocketAddr) {
        if let Some(dialer) = self.dialers().remove(&address) {
            dialer.close();
        }
    }

    fn dialers(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Dialer, RandomState>> {
        self.dialers
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Drop for Subscriber {
    /// The callback holds the socket, so that without this it would stay open for ever.
    fn drop(&mut self) {
        self.socket.close();
    }
}

/// Verifies messages and drops repeated ones.
struct Inbox {
    key: Key,
    queue: mpsc::Sender<Notification>,
    last: HashMap<u64, u64, RandomState>,
}

impl Inbox {
    fn take(&mut self, sealed: &[u8]) {
        let Some(message) = Message::open(sealed, &self.key) else {
            return;
        };
        if self.last.len() >= ORIGINS {
            self.last.clear();
        }
        let last = self.last.insert(message.origin, message.number);
        if last.is_none_or(|last| last < message.number) {
            let _ = self.queue.try_send(message.news);
        } else if let Some(last) = last {
            self.last.insert(message.origin, last);
        }
    }
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
