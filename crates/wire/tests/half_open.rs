//! Detection of a peer that vanishes without closing its connection.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use tokio::io::copy;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{Duration, Instant, pause, sleep};
use wire::liveness::IDLE_TIMEOUT;
use wire::{Frame, Key, Listener, Receiver, Sender};

type Link = (Sender, Receiver);

/// Forwards one connection until `cut` is dropped, then forwards nothing but keeps it open.
async fn forward(to: SocketAddr) -> (SocketAddr, oneshot::Sender<()>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let (cut, until) = oneshot::channel();
    tokio::spawn(async move {
        let (mut near, _) = socket.accept().await.unwrap();
        let mut far = TcpStream::connect(to).await.unwrap();
        let ((mut near_read, mut near_write), (mut far_read, mut far_write)) =
            (near.split(), far.split());
        tokio::select! {
            _ = copy(&mut near_read, &mut far_write) => {}
            _ = copy(&mut far_read, &mut near_write) => {}
            _ = until => {}
        }
        std::future::pending::<()>().await;
    });
    (address, cut)
}

async fn link() -> (Link, Link, oneshot::Sender<()>) {
    let key = Key::new(*b"key");
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap(), key.clone()).await;
    let listener = listener.unwrap();
    let (address, cut) = forward(listener.address().unwrap()).await;
    let (entry, agent) = tokio::join!(wire::connect(address, &key), listener.accept());
    (entry.unwrap(), agent.unwrap(), cut)
}

/// The agent's VM disappears without closing the connection. The entry's reader must fail after
/// the idle timeout, and its sender with it, or calls would be offered to a dead agent forever.
#[tokio::test]
async fn vanished_peer() {
    let ((sender, mut receiver), _agent, cut) = link().await;
    drop(cut);
    pause();
    assert!(receiver.recv().await.is_err());
    while sender.send(Frame::Leave { incarnation: 0 }).await.is_ok() {
        tokio::task::yield_now().await;
    }
}

/// No calls pass between healthy peers for a long time. Their keepalives must keep the link open,
/// or every idle agent would be considered dead.
#[tokio::test]
async fn idle_peer() {
    let ((entry, mut receiver), (agent, mut other), _cut) = link().await;
    pause();
    let start = Instant::now();
    let idle = sleep(4 * IDLE_TIMEOUT);
    tokio::select! {
        () = idle => {}
        frame = receiver.recv() => panic!("{frame:?} after {:?}", start.elapsed()),
        frame = other.recv() => panic!("{frame:?} after {:?}", start.elapsed()),
    }
    agent.send(Frame::Leave { incarnation: 1 }).await.unwrap();
    assert!(receiver.recv().await.unwrap().is_some());
    assert!(start.elapsed() >= Duration::from_secs(12));
    drop(entry);
}
