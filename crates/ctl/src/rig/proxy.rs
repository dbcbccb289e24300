//! A TCP proxy that can be cut, frozen and delayed.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes passed on at once at most.
const BUFFER: usize = 16 << 10;

/// What the proxy does with what reaches it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Passes everything on after a while.
    Delay(Duration),
    /// Keeps connections open and passes nothing on, as a cut without a reset does.
    Freeze,
    /// Keeps connections open and passes on only what callers send.
    NoAnswers,
    /// Keeps connections open and passes on only what comes back.
    NoCalls,
    /// Closes all connections, new ones at once.
    Cut,
}

/// A relay to one address; dropping it closes all its connections.
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

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does from now on.
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
    while let Ok((near, _)) = listener.accept().await {
        if *mode.borrow() != Mode::Cut {
            tokio::spawn(join(near, target, mode.clone()));
        }
    }
}

async fn join(near: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Held-back small writes would only be slower.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        pump(near_read, far_write, mode.clone(), Mode::NoCalls),
        pump(far_read, near_write, mode, Mode::NoAnswers),
    );
}

/// Passes one direction on, which `held` holds up; an end of it is passed on too, and the other
/// direction goes on.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    held: Mode,
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
            .wait_for(|mode| *mode != Mode::Freeze && *mode != held)
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
