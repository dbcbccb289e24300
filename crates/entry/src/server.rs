//! Listener, TLS and routes.

use crate::core::{Core, Platform};
use crate::{caller, operator};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use viz::{Request, Responder, Response, Router, Tree};

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
/// There is no time limit: the server of the HTTP library closes connections after ten seconds,
/// which would interrupt streams at a planned stop.
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
                let tree = tree.clone();
                let graceful = graceful.clone();
                tokio::spawn(serve_connection(
                    stream,
                    address,
                    tls.clone(),
                    tree,
                    graceful,
                ));
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
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
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn serve_connection(
    stream: TcpStream,
    address: SocketAddr,
    tls: Option<TlsAcceptor>,
    tree: Arc<Tree>,
    graceful: Arc<GracefulShutdown>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    match tls {
        None => serve_http(stream, address, tree, graceful).await,
        Some(tls_acceptor) => {
            let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, tls_acceptor.accept(stream));
            if let Ok(Ok(stream)) = handshake.await {
                serve_http(stream, address, tree, graceful).await;
            }
        }
    }
}

async fn serve_http(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    address: SocketAddr,
    tree: Arc<Tree>,
    graceful: Arc<GracefulShutdown>,
) {
    let builder = Builder::new(TokioExecutor::new());
    let responder = Responder::new(tree, Some(address));
    let connection = builder
        .serve_connection(TokioIo::new(stream), responder)
        .into_owned();
    let connection = graceful.watch(connection);
    drop(graceful);
    // Connection errors are caused by the client and are not reported.
    let _ = connection.await;
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
