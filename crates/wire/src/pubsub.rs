//! Notifications between processes by publish-subscribe: fast, unordered and lossy.
//!
//! Every notification has a slower second source: links report which processes leave, polling
//! finds the head of the change log, and loads are piggybacked on answers. A lost message
//! therefore costs only time, and publishers never wait for subscribers.
//!
//! Each message carries the publisher's random origin, a sequence number and an HMAC. An attacker
//! without the key can neither forge nor replay notifications.

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

/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4096;
/// Capacity of the queue of verified notifications; further ones are dropped.
const QUEUE_MESSAGES: usize = 1024;
/// Maximum number of publishers whose last sequence number is stored; all are discarded once it is
/// reached.
const MAX_ORIGINS: usize = 8192;
/// Label of the HMAC, so that no proof of a link handshake is valid for a message.
const LABEL: &[u8] = b"linnetdrift news 1";
/// Length of the HMAC at the end of a message, in bytes.
const MAC_BYTES: usize = 32;
/// Initial delay before a subscriber reconnects to a publisher.
const RECONNECT_MIN: Duration = Duration::from_millis(100);
/// Maximum delay before a subscriber reconnects to a publisher.
const RECONNECT_MAX: Duration = Duration::from_secs(5);

/// Errors of publishers and subscribers.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The messaging library failed.
    #[snafu(display("news on {place}: {source}"))]
    Socket {
        /// Address, or `socket` where there is none yet.
        place: String,
        /// Error of the library.
        source: nng::Error,
    },
    /// The operating system provided no random bytes.
    #[snafu(display("no random bytes: {source}"))]
    Random {
        /// Error of the operating system.
        source: rand::rand_core::OsError,
    },
    /// The message could not be encoded.
    #[snafu(display("news: {source}"))]
    Codec {
        /// Error of the codec.
        source: postcard::Error,
    },
}

/// A notification.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notification {
    /// A process accepts no new work from now on.
    Leaving {
        /// VM of the process.
        vm: String,
        /// Incarnation of the process on that VM.
        incarnation: Incarnation,
    },
    /// The change log has reached this revision.
    Head {
        /// Newest accepted revision that the publisher knows.
        revision: Revision,
    },
    /// Load of an agent.
    Load {
        /// VM of the agent.
        vm: String,
        /// Load when the message was sent.
        load: Load,
    },
}

/// A notification with the fields that identify the message.
#[derive(Serialize, Deserialize)]
struct Message {
    origin: u64,
    number: u64,
    notification: Notification,
}

impl Message {
    fn seal(&self, key: &Key) -> Result<Vec<u8>, Error> {
        let mut bytes = postcard::to_stdvec(self).context(CodecSnafu)?;
        let mac = mac(key).chain_update(LABEL).chain_update(&bytes).finalize();
        bytes.extend_from_slice(&mac.into_bytes());
        Ok(bytes)
    }

    /// Compares the HMAC in constant time before decoding anything.
    fn open(sealed: &[u8], key: &Key) -> Option<Self> {
        let split = sealed.len().checked_sub(MAC_BYTES)?;
        let (bytes, expected) = sealed.split_at(split);
        let mac = mac(key).chain_update(LABEL).chain_update(bytes);
        mac.verify_slice(expected).ok()?;
        postcard::from_bytes(bytes).ok()
    }
}

/// Publishes notifications to all connected subscribers.
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
/// let (subscriber, mut notifications) = Subscriber::new(Key::new("key"))?;
/// subscriber.dial(publisher.address())?;
/// // Notifications published before the subscriber has connected are lost.
/// while notifications.try_recv() != Ok(Notification::Head { revision: 7 }) {
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
    /// Binds to an address; port 0 picks a free one.
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

    /// The address that subscribers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a notification to all connected subscribers without waiting for any of them.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the library did not accept the message.
    pub fn publish(&self, notification: Notification) -> Result<(), Error> {
        let message = Message {
            origin: self.origin,
            number: self.numbers.fetch_add(1, Ordering::Relaxed),
            notification,
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

/// Receives notifications from many publishers.
#[derive(Debug)]
pub struct Subscriber {
    socket: Socket,
    dialers: Mutex<HashMap<SocketAddr, Dialer, RandomState>>,
    _receiving: Aio,
}

impl Subscriber {
    /// Creates a subscriber without connections, and the channel of its verified notifications.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the library is out of resources.
    pub fn new(key: Key) -> Result<(Self, mpsc::Receiver<Notification>), Error> {
        let place = || SocketSnafu { place: "socket" };
        let socket = Socket::new(Protocol::Sub0).with_context(|_| place())?;
        socket
            .set_opt::<protocol::pubsub::Subscribe>(Vec::new())
            .and_then(|()| socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES))
            .and_then(|()| socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN)))
            .and_then(|()| socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX)))
            .with_context(|_| place())?;
        let (queue, notifications) = mpsc::channel(QUEUE_MESSAGES);
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
                inbox.receive(message.as_slice());
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
        Ok((subscriber, notifications))
    }

    /// Connects to a publisher as soon as it can be reached, and reconnects whenever the connection
    /// is lost.
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

    /// Disconnects from a publisher, for example because its VM is gone.
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
    /// Closes the socket explicitly: the receive callback owns a clone, which would keep it open
    /// forever.
    fn drop(&mut self) {
        self.socket.close();
    }
}

/// Verifies messages and drops duplicates.
struct Inbox {
    key: Key,
    queue: mpsc::Sender<Notification>,
    last: HashMap<u64, u64, RandomState>,
}

impl Inbox {
    fn receive(&mut self, sealed: &[u8]) {
        let Some(message) = Message::open(sealed, &self.key) else {
            return;
        };
        if self.last.len() >= MAX_ORIGINS {
            self.last.clear();
        }
        let last = self.last.insert(message.origin, message.number);
        if last.is_none_or(|last| last < message.number) {
            let _ = self.queue.try_send(message.notification);
        } else if let Some(last) = last {
            self.last.insert(message.origin, last);
        }
    }
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
