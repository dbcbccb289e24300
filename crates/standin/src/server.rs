//! Serves a stand-in over HTTP/1.1.

use crate::kind::Kind;
use crate::options::Options;
use crate::service::Service;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

/// Delay after a failed accept: without file descriptors, accept fails immediately, and a retry
/// loop would occupy a whole core.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Errors of a stand-in.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Listening on the address failed.
    #[snafu(display("listen on {listen}: {source}"))]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// A running stand-in; dropping it aborts all connections immediately.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: AbortOnDropHandle<()>,
}

/// Starts a stand-in; port 0 selects a free port.
///
/// # Errors
///
/// [`Error::Listen`] if listening on the address fails.
///
/// # Examples
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let listen = "127.0.0.1:0".parse().unwrap();
/// let server = standin::start(standin::Kind::Pool, listen, standin::Options::default()).await.unwrap();
/// assert_ne!(server.address().port(), 0);
/// server.stop().await;
/// # });
/// ```
pub async fn start(kind: Kind, listen: SocketAddr, options: Options) -> Result<Server, Error> {
    let listener = TcpListener::bind(listen)
        .await
        .context(ListenSnafu { listen })?;
    let address = listener.local_addr().context(ListenSnafu { listen })?;
    let stop = CancellationToken::new();
    let service = Service::new(kind, &options);
    let task = tokio::spawn(serve(listener, service, stop.clone()));
    Ok(Server {
        address,
        stop,
        task: AbortOnDropHandle::new(task),
    })
}

impl Server {
    /// The address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: accepts no new connections and completes the requests and streams in
    /// progress.
    pub async fn stop(self) {
        self.stop.cancel();
        // The task fails only if it has panicked; nothing is left to stop then.
        let _ = self.task.await;
    }
}

async fn serve(listener: TcpListener, service: Service, stop: CancellationToken) {
    let mut background = JoinSet::new();
    background.spawn(service.clone().run_background());
    let mut connections = JoinSet::new();
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let connection = connect(stream, service.clone());
                    connections.spawn(graceful.watch(connection));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connect(
    stream: TcpStream,
    service: Service,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> {
    // Nagle's algorithm would delay small responses; if this fails, they are only slower.
    let _ = stream.set_nodelay(true);
    http1::Builder::new().serve_connection(
        TokioIo::new(stream),
        service_fn(move |request| service.clone().handle(request)),
    )
}
