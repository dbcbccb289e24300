//! A TCP proxy that can cut, freeze and delay its connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the buffer for forwarded data, in bytes.
const BUFFER: usize = 16 << 10;

/// What the proxy does with the data that it receives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Forwards everything after a delay.
    Delay(Duration),
    /// Keeps connections open and forwards nothing, as in a network partition without a reset.
    Freeze,
    /// Keeps connections open and forwards only what clients send.
    NoAnswers,
    /// Keeps connections open and forwards only what the target sends.
    NoCalls,
    /// Closes all connections, and new ones as soon as they are accepted.
    Cut,
}

/// A proxy to one address. Dropping it closes all its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    ///
    /// # Errors
    ///
    /// Those of the operating system.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (mode, watched) = watch::channel(Mode::Pass);
        let task = tokio::spawn(accept(listener, target, watched));
        Ok(Self {
            address,
            mode,
            task,
        })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode for new and existing connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.mode.send_replace(Mode::Cut);
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    while let Ok((client, _)) = listener.accept().await {
        if *mode.borrow() != Mode::Cut {
            tokio::spawn(connect(client, target, mode.clone()));
        }
    }
}

async fn connect(client: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Nagle's algorithm would only delay small writes.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        forward(client_read, server_write, mode.clone(), Mode::NoCalls),
        forward(server_read, client_write, mode, Mode::NoAnswers),
    );
}

/// Forwards one direction of a connection, except in the mode `blocked`. The end of the stream is
/// forwarded as well, and leaves the other direction open.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    blocked: Mode,
) {
    let mut buffer = vec![0; BUFFER];
    let mut cut = mode.clone();
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = cut.wait_for(|mode| *mode == Mode::Cut) => return,
        };
        let Ok(count) = read else { return };
        let Ok(now) = mode
            .wait_for(|mode| *mode != Mode::Freeze && *mode != blocked)
            .await
            .map(|now| *now)
        else {
            return;
        };
        match now {
            Mode::Cut => return,
            Mode::Delay(time) => tokio::time::sleep(time).await,
            Mode::Pass | Mode::Freeze | Mode::NoAnswers | Mode::NoCalls => {}
        }
        if count == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
