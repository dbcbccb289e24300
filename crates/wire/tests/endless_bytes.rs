//! Peers that send bytes without end.
#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use wire::link::MAX_FRAME_BYTES;
use wire::{Frame, Key, Listener};

/// Most bytes that the other end takes, with what the sockets hold.
const MAX_TAKEN: usize = MAX_FRAME_BYTES + (32 << 20);
/// Bytes that are written at a time.
const PART: usize = 64 << 10;
/// Timeout of each step on a busy machine.
const LONG: Duration = Duration::from_secs(20);

fn key() -> Key {
    Key::new(*b"key")
}

async fn listener() -> Listener {
    let address = "127.0.0.1:0".parse().unwrap();
    Listener::bind(address, key()).await.unwrap()
}

/// Writes bytes until the other end closes, and returns how many it took.
async fn flood(mut stream: TcpStream, part: &[u8]) -> usize {
    let mut taken = 0;
    while stream.write_all(part).await.is_ok() {
        taken += part.len();
        assert!(taken <= MAX_TAKEN, "still open after {taken} bytes");
    }
    taken
}

async fn is_served(listener: &Listener) {
    let address = listener.address().unwrap();
    let key = key();
    let (entry, agent) = tokio::join!(wire::connect(address, &key), listener.accept());
    let (sender, _guard) = entry.unwrap();
    let (_, mut receiver) = agent.unwrap();
    sender.send(Frame::Leave { incarnation: 1 }).await.unwrap();
    assert!(receiver.recv().await.unwrap().is_some());
}

/// Guards against a stranger who keeps a listener busy: the connection is closed, and others are served.
#[tokio::test]
async fn instead_of_handshake() {
    for byte in [0, 1, b'a'] {
        let listener = listener().await;
        let stream = TcpStream::connect(listener.address().unwrap())
            .await
            .unwrap();
        let flooding = tokio::spawn(async move { flood(stream, &[byte; PART]).await });
        let refused = timeout(LONG, listener.accept()).await.unwrap();
        assert!(refused.is_err());
        timeout(LONG, flooding).await.unwrap().unwrap();
        is_served(&listener).await;
    }
}

/// Guards against a process that connects to an address at which something else listens.
#[tokio::test]
async fn instead_of_answer() {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let taken = Arc::new(AtomicUsize::new(usize::MAX));
    let counted = taken.clone();
    tokio::spawn(async move {
        let (stream, _) = socket.accept().await.unwrap();
        let count = flood(stream, &[1; PART]).await;
        counted.store(count, Ordering::SeqCst);
    });
    let connected = timeout(LONG, wire::connect::<Frame>(address, &key())).await;
    assert!(connected.unwrap().is_err());
    let closed = async {
        while taken.load(Ordering::SeqCst) == usize::MAX {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LONG, closed).await.unwrap();
}

/// Forwards the handshake of a process with the key, and then floods its link.
async fn flood_link(near: TcpStream, far: TcpStream, part: &[u8]) -> usize {
    /// Bytes that the connecting end sends: version and nonce, and its proof.
    const HELLO: u64 = 1 + 32 + 32;
    /// Bytes of the answer.
    const ANSWER: u64 = 64;
    let (near_read, mut near_write) = near.into_split();
    let (far_read, mut far_write) = far.into_split();
    let there = async move {
        let mut hello = tokio::io::AsyncReadExt::take(near_read, HELLO);
        tokio::io::copy(&mut hello, &mut far_write).await.unwrap();
        (hello, far_write)
    };
    let back = async move {
        let mut answer = tokio::io::AsyncReadExt::take(far_read, ANSWER);
        tokio::io::copy(&mut answer, &mut near_write).await.unwrap();
        (answer, near_write)
    };
    let ((_hello, far_write), (answer, _near_write)) = tokio::join!(there, back);
    flood(far_write.reunite(answer.into_inner()).unwrap(), part).await
}

/// Guards against a link whose other end sends what is no frame, or one without end: it is closed, and takes
/// the memory of one frame at most.
#[tokio::test]
async fn instead_of_frames() {
    let mut endless = vec![b'a'; PART];
    endless[..4].copy_from_slice(&u32::try_from(MAX_FRAME_BYTES).unwrap().to_be_bytes());
    for part in [vec![b'a'; PART], endless] {
        let listener = listener().await;
        let address = listener.address().unwrap();
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let forwarder = socket.local_addr().unwrap();
        let flooding = tokio::spawn(async move {
            let (near, _) = socket.accept().await.unwrap();
            flood_link(near, TcpStream::connect(address).await.unwrap(), &part).await
        });
        let key = key();
        let connecting = wire::connect::<Frame>(forwarder, &key);
        let (entry, agent) = tokio::join!(connecting, listener.accept());
        let (_entry, (_, mut receiver)) = (entry.unwrap(), agent.unwrap());
        let received = timeout(LONG, receiver.recv()).await.unwrap();
        assert!(received.is_err());
        drop(receiver);
        timeout(LONG, flooding).await.unwrap().unwrap();
        is_served(&listener).await;
    }
}
