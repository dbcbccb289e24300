//! A slow link between one process and all others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::sleep;

/// Bytes of one connection that are forwarded before the next connection's turn.
const PACKET_BYTES: usize = 4 << 10;
/// Time that a packet takes, which results in about 10 Mbit/s.
const PACKET_TIME: Duration = Duration::from_millis(3);

/// A link whose connections take turns. Clones share the link.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowLink {
    turn: Arc<Mutex<()>>,
    carried: Arc<AtomicU64>,
}

/// Direction of a connection that goes over the link.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Direction {
    /// From the client to the server.
    Out,
    /// From the server to the client.
    Back,
}

impl SlowLink {
    /// Bytes that were forwarded so far.
    pub(crate) fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Starts a proxy for `target` whose connections go over the link in one direction; returns its
    /// address.
    pub(crate) async fn proxy_to(&self, target: SocketAddr, direction: Direction) -> SocketAddr {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.expect("bound");
        let address = listener.local_addr().expect("bound");
        tokio::spawn(self.clone().accept(listener, target, direction));
        address
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr, direction: Direction) {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            let (limited, unlimited) = match direction {
                Direction::Out => ((near_in, far_out), (far_in, near_out)),
                Direction::Back => ((far_in, near_out), (near_in, far_out)),
            };
            tokio::spawn(self.clone().forward(limited.0, limited.1));
            tokio::spawn(forward_unlimited(unlimited.0, unlimited.1));
        }
    }

    async fn forward(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut packet = vec![0; PACKET_BYTES];
        while let Ok(length @ 1..) = from.read(&mut packet).await {
            let turn = self.turn.lock().await;
            sleep(PACKET_TIME).await;
            drop(turn);
            self.carried.fetch_add(length as u64, Ordering::Relaxed);
            if to.write_all(&packet[..length]).await.is_err() {
                break;
            }
        }
    }
}

async fn forward_unlimited(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    // Both ends of the connection detect an error by themselves.
    let _ = tokio::io::copy(&mut from, &mut to).await;
}
