//! The small process beside one runner: the last hop of every call.
//!
//! It holds offered calls, starts them within the runner's limit and only under a grant where one
//! is needed, checks that each answer is whole and the call's own, and keeps it for entries whose
//! link was lost. See [`protocol::gate`] for the rules and `docs/PLATFORM.md` for the runner's
//! side.

mod answer;
mod core;
mod event;
mod job;
mod link;
mod memory;
mod output;
mod queue;
mod runner;
mod state;
mod telemetry;

use crate::core::Core;
use crate::queue::Order;
use crate::runner::Runner;
use crate::state::Bounds;
use crate::telemetry::Telemetry;
use metric::Registry;
use setting::Policy;
use slog::{Logger, debug, info};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio_util::task::TaskTracker;
use wire::{Key, Listener};

/// Why an agent could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address for entries could not be bound.
    #[snafu(display("cannot listen for entries on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: wire::Error,
    },
    /// The address for metrics could not be bound.
    #[snafu(display("cannot serve metrics on {address}: {source}"))]
    Metrics {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: metric::Error,
    },
}

/// Addresses of an agent that serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// Where entries connect.
    pub listen: SocketAddr,
    /// Where the agent publishes news, if it does.
    pub news: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics: SocketAddr,
}

/// Serves entries until `shutdown` completes, then finishes every running call and returns.
///
/// `ready` is called once the agent serves.
///
/// # Errors
///
/// [`Error`] if an address cannot be bound; the agent has taken no call then.
pub async fn run(
    settings: setting::Agent,
    log: Logger,
    ready: impl FnOnce(Ready) + Send,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), Error> {
    let mut registry = Registry::default();
    let telemetry = Telemetry::new(&mut registry);
    let runner = Runner::new(settings.runner);
    let core = Arc::new(Core::new(
        runner,
        telemetry,
        incarnation(),
        bounds(&settings),
    ));
    let key = Key::new(settings.key.as_bytes());
    let address = settings.listen;
    let listener = Listener::bind(address, key)
        .await
        .context(ListenSnafu { address })?;
    let listen = listener.address().context(ListenSnafu { address })?;
    let address = settings.metrics;
    let metrics = metric::serve(address, Arc::new(registry))
        .await
        .context(MetricsSnafu { address })?;

    let links = TaskTracker::new();
    let accepting = tokio::spawn(accept(core.clone(), listener, links.clone(), log.clone()));
    let sweeping = tokio::spawn(core.clone().sweep());
    info!(log, "serving"; "id" => &settings.id, "listen" => %listen, "runner" => %settings.runner);
    ready(Ready {
        listen,
        news: None,
        metrics,
    });

    shutdown.await;
    info!(log, "leaving"; "id" => &settings.id);
    core.leave().await;
    accepting.abort();
    sweeping.abort();
    links.close();
    links.wait().await;
    info!(log, "left"; "id" => &settings.id);
    Ok(())
}

async fn accept(core: Arc<Core>, listener: Listener, links: TaskTracker, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((sender, receiver)) => {
                links.spawn(link::serve(core.clone(), sender, receiver));
            }
            Err(wire::Error::Closed) => return,
            Err(error) => {
                core.telemetry.rejected.inc();
                debug!(log, "handshake failed"; "error" => %error);
            }
        }
    }
}

fn bounds(settings: &setting::Agent) -> Bounds {
    let (order, queue) = match settings.policy {
        Policy::Shipped => (Order::Slack, settings.queue as usize),
        Policy::Naive => (Order::Arrival, usize::MAX),
    };
    Bounds {
        service: settings.service.clone(),
        concurrency: settings.concurrency.max(1),
        queue,
        order,
    }
}

/// Milliseconds since 1970: grows with each restart without anything being kept.
fn incarnation() -> protocol::Incarnation {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| age.as_millis().try_into().unwrap_or(u64::MAX))
}
