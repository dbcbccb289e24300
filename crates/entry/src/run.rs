//! Starts an entry and stops it gracefully.

use crate::core::{Core, Platform};
use crate::journal::sweep;
use crate::news::{self, Exchange};
use crate::peers::Peers;
use crate::placement::{self, lease};
use crate::telemetry::Telemetry;
use crate::{discovery, server};
use metric::Registry;
use slog::{Logger, info};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::Key;

/// Maximum time that a planned stop waits for writes about ended requests.
const TASKS_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a newly started entry polls its peers while the table service is unavailable.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Why an entry could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display("listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Notifications cannot be exchanged.
    #[snafu(display("{source}"))]
    News {
        /// Error of the transport.
        source: wire::pubsub::Error,
    },
    /// The certificate or key cannot be used.
    #[snafu(display("tls: {source}"))]
    Certificate {
        /// Error of reading or parsing it.
        source: std::io::Error,
    },
}

/// Addresses that an entry has bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address on which notifications are published, if the settings contain one.
    pub news: Option<SocketAddr>,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
}

/// Runs an entry against the platform in its settings until `shutdown`, then stops gracefully.
///
/// # Errors
///
/// Returns [`Error`] if the entry could not start.
pub async fn run(
    settings: setting::Entry,
    log: Logger,
    ready: impl FnOnce(Ready) + Send,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), Error> {
    let services = &settings.platform;
    let platform = store::Client::new(services.table, services.objects, services.vms);
    run_with(settings, platform, log, ready, shutdown).await
}

/// Runs an entry against any platform.
///
/// # Errors
///
/// Returns [`Error`] if the entry could not start.
pub async fn run_with<P: Platform>(
    settings: setting::Entry,
    platform: P,
    log: Logger,
    ready: impl FnOnce(Ready) + Send,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), Error> {
    let tls = settings.tls.as_ref().map(server::tls_acceptor).transpose();
    let tls = tls.context(CertificateSnafu)?;
    let client_config = settings.tls.as_ref().map(server::client_config).transpose();
    let peers = Peers::new(client_config.context(CertificateSnafu)?);
    let address = settings.listen;
    let listener = TcpListener::bind(address)
        .await
        .context(BindSnafu { address })?;
    let listen = listener.local_addr().context(BindSnafu { address })?;
    let mut registry = Registry::with_prefix("linnetdrift");
    let telemetry = Telemetry::new(&mut registry);
    let address = settings.metrics;
    let metrics = metric::serve(address, Arc::new(registry))
        .await
        .context(BindSnafu { address })?;

    let core = Arc::new(Core::new(settings, platform, peers, telemetry, log));
    let background = CancellationToken::new();
    start_background(&core, &background);
    let news = start_notifications(&core, &background)?;
    let stop = CancellationToken::new();
    let serving = tokio::spawn(server::serve(core.clone(), listener, tls, stop.clone()));
    info!(core.log, "started"; "listen" => %listen);
    ready(Ready {
        listen,
        news,
        metrics,
    });
    shutdown.await;
    stop_gracefully(&core, &stop, serving).await;
    background.cancel();
    Ok(())
}

fn start_background<P: Platform>(core: &Arc<Core<P>>, stop: &CancellationToken) {
    let pause = Duration::from_millis(core.settings.head_poll_ms);
    let follower = core.clone();
    spawn_until(stop, async move { follower.config.follow(pause).await });
    spawn_until(stop, discovery::follow(core.clone()));
    spawn_until(stop, read_records_from_peers(core.clone()));
    spawn_until(stop, lease::maintain(core.clone()));
    spawn_until(stop, placement::run(core.clone()));
    let journal = core.clone();
    spawn_until(stop, async move { journal.journal.renew_all().await });
    spawn_until(stop, sweep::run(core.clone()));
}

fn start_notifications<P: Platform>(
    core: &Arc<Core<P>>,
    stop: &CancellationToken,
) -> Result<Option<SocketAddr>, Error> {
    let Some(address) = core.settings.news else {
        return Ok(None);
    };
    let key = Key::new(core.settings.key.as_bytes());
    let (exchange, notifications) = Exchange::bind(address, &key).context(NewsSnafu)?;
    let address = exchange.address();
    // The cell is empty, since this is the only place that sets it.
    let _ = core.exchange.set(exchange);
    spawn_until(stop, news::follow(core.clone(), notifications));
    Ok(Some(address))
}

fn spawn_until(stop: &CancellationToken, work: impl Future<Output = ()> + Send + 'static) {
    let stop = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = work => {}
            () = stop.cancelled() => {}
        }
    });
}

/// Reads the records from the peers while a newly started entry cannot read the table service.
async fn read_records_from_peers<P: Platform>(core: Arc<Core<P>>) {
    while !core.config.is_ready() {
        tokio::time::sleep(PEER_POLL_INTERVAL).await;
        if core.config.is_ready() {
            break;
        }
        if let Some((revision, records)) = core.peers.records().await {
            core.config.adopt_snapshot(revision, records);
        }
    }
}

/// Refuses new requests, completes the running ones, then closes the connections.
///
/// The listener stays open meanwhile: a caller that the load balancer still routes here gets
/// *not run* and retries elsewhere, instead of having its connection refused.
async fn stop_gracefully<P: Platform>(
    core: &Arc<Core<P>>,
    stop: &CancellationToken,
    serving: tokio::task::JoinHandle<()>,
) {
    info!(core.log, "draining");
    core.drain();
    core.lease.resign();
    core.requests.close();
    core.tasks.close();
    core.requests.wait().await;
    stop.cancel();
    // The server task ends once all its connections are closed; the only possible error is a panic.
    let _ = serving.await;
    // Requests that were accepted just as the stop began are waited for as well.
    core.requests.wait().await;
    // While the table service is unavailable, claims and journal cannot be updated. Their rows then
    // contain less than is known, which may leave an outcome unknown to a caller but never causes a
    // call to run twice.
    let _ = tokio::time::timeout(TASKS_TIMEOUT, core.tasks.wait()).await;
    core.lease.wait_until_resigned().await;
    info!(core.log, "stopped");
}
