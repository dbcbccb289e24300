//! Listener, TLS and routes.

use crate::core::{Core, Platform};
use crate::in_progress::InProgress;
use crate::{caller, operator};
use connection::{Activity, Socket};
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use viz::{Request, Responder, Response, Router, Tree};

/// Time that the rest of a request gets to arrive once an entry stops.
pub(crate) const REST_TIME: Duration = Duration::from_secs(1);
/// Timeout of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, which avoids a busy loop while file descriptors are exhausted.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Returns the routes of an entry.
pub fn routes<P: Platform>(core: &Arc<Core<P>>) -> Router {
    macro_rules! handler {
        ($function:path) => {{
            let core = core.clone();
            move |request: Request| {
                let core = core.clone();
                async move { Ok::<Response, viz::Error>($function(core, request).await) }
            }
        }};
        ($function:path, bare) => {{
            let core = core.clone();
            move |_: Request| {
                let core = core.clone();
                async move { Ok::<Response, viz::Error>($function(core).await) }
            }
        }};
    }
    Router::new()
        .post(
            "/v1/pipelines/:name/versions/:version/run",
            handler!(caller::run),
        )
        .get("/v1/requests/:id", handler!(caller::fetch))
        .get("/v1/records", handler!(operator::records))
        .post("/v1/apply", handler!(operator::apply))
        .get("/v1/history", handler!(operator::history))
        .get("/v1/status", handler!(operator::status, bare))
        .get("/ready", handler!(operator::ready, bare))
}

/// Serves until `stop`, then waits until every open connection has finished its requests.
///
/// There is no time limit for requests in progress: the server of the HTTP library closes connections
/// after ten seconds, which would interrupt streams at a planned stop.
pub async fn serve<P: Platform>(
    core: Arc<Core<P>>,
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    stop: CancellationToken,
) {
    let tree: Arc<Tree> = Arc::new(routes(&core).into());
    let graceful = Arc::new(GracefulShutdown::new());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, address)) => {
                let server = ConnectionServer {
                    address,
                    tree: tree.clone(),
                    graceful: graceful.clone(),
                    activity: Activity::new(),
                    stop: stop.clone(),
                };
                tokio::spawn(server.serve(stream, tls.clone()));
            }
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
    drop(listener);
    let Some(graceful) = wait_until_unshared(graceful).await else {
        return;
    };
    graceful.shutdown().await;
}

/// Waits until no connection in its TLS handshake holds a reference.
async fn wait_until_unshared(mut graceful: Arc<GracefulShutdown>) -> Option<GracefulShutdown> {
    loop {
        match Arc::try_unwrap(graceful) {
            Ok(graceful) => return Some(graceful),
            Err(shared) => graceful = shared,
        }
        sleep(RETRY_DELAY).await;
    }
}

/// What the server of one connection needs.
struct ConnectionServer {
    address: SocketAddr,
    tree: Arc<Tree>,
    graceful: Arc<GracefulShutdown>,
    activity: Activity,
    stop: CancellationToken,
}

impl ConnectionServer {
    async fn serve(self, stream: TcpStream, tls: Option<TlsAcceptor>) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let stream = Socket::new(stream, self.activity.clone());
        match tls {
            None => self.serve_http(stream).await,
            Some(tls_acceptor) => {
                let handshake = timeout(HANDSHAKE_TIMEOUT, tls_acceptor.accept(stream));
                if let Ok(Ok(stream)) = handshake.await {
                    self.serve_http(stream).await;
                }
            }
        }
    }

    async fn serve_http(self, stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static) {
        let builder = Builder::new(TokioExecutor::new());
        let responder = Responder::new(self.tree, Some(self.address));
        let activity = self.activity.clone();
        let service = service_fn(move |request| {
            let guard = activity.begin();
            let responding = responder.call(request);
            async move {
                let response = responding.await?;
                Ok::<_, Infallible>(response.map(|body| InProgress::new(body, guard)))
            }
        });
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = self.graceful.watch(connection);
        drop(self.graceful);
        tokio::select! {
            biased;
            // Connection errors are caused by the client and are not reported.
            _ = connection => {}
            () = rest_overdue(&self.activity, &self.stop) => {}
        }
    }
}

/// Waits until a stopping entry no longer awaits the rest of a request's head. A connection with a request in
/// progress is closed by the HTTP library after the response.
async fn rest_overdue(activity: &Activity, stop: &CancellationToken) {
    stop.cancelled().await;
    sleep(REST_TIME).await;
    if !activity.awaits_request() {
        std::future::pending::<()>().await;
    }
}

/// Reads the certificate and key of the listener for callers and operators.
///
/// # Errors
///
/// Returns an [`io::Error`] that names the unusable file.
pub fn tls_acceptor(tls: &setting::Tls) -> io::Result<TlsAcceptor> {
    let key =
        PrivateKeyDer::from_pem_file(&tls.key).map_err(|error| invalid_data(&tls.key, error))?;
    let mut config = rustls::ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(certificates(&tls.certificate)?, key)
        .map_err(|error| invalid_data(&tls.certificate, error))?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}

/// Reads the certificates to trust in connections to the other entries.
///
/// # Errors
///
/// Returns an [`io::Error`] that names the unusable file.
pub fn client_config(tls: &setting::Tls) -> io::Result<rustls::ClientConfig> {
    let path = tls.ca.as_ref().unwrap_or(&tls.certificate);
    let mut roots = rustls::RootCertStore::empty();
    for certificate in certificates(path)? {
        roots
            .add(certificate)
            .map_err(|error| invalid_data(path, error))?;
    }
    let config = rustls::ClientConfig::builder().with_root_certificates(roots);
    Ok(config.with_no_client_auth())
}

fn certificates(path: &Path) -> io::Result<Vec<CertificateDer<'static>>> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| invalid_data(path, error))
}

fn invalid_data(path: &Path, error: impl std::fmt::Display) -> io::Error {
    let reason = format!("{}: {error}", path.display());
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
