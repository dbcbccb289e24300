//! The small process beside one runner: the last hop of every call.
//!
//! It holds offered calls, starts them within the runner's limit and only under a grant where one
//! is needed, checks that each answer is whole and the call's own, and keeps it for entries whose
//! link was lost. See [`protocol::gate`] for the rules and `docs/PLATFORM.md` for the runner's
//! side.

mod answer;
mod core;
mod event;
mod fence;
mod job;
mod link;
mod memory;
mod models;
mod output;
mod queue;
mod runner;
mod state;
mod telemetry;

use crate::core::Core;
use crate::fence::Guard;
use crate::models::Engine;
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
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;
use wire::pubsub::{Notification, Publisher};
use wire::{Key, Listener};

/// Orders that wait for their turn at the engine.
const ORDERS: usize = 64;

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
    /// The address for news could not be bound.
    #[snafu(display("cannot publish news on {address}: {source}"))]
    News {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: wire::pubsub::Error,
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
    let (orders, ordered) = mpsc::channel(ORDERS);
    let guard = Guard {
        table: platform(&settings),
        runner: runner.clone(),
        engine: Engine::default(),
    };
    let fence = guard.clone().serve(ordered);
    let bounds = bounds(&settings);
    let core = Core::new(runner, telemetry, incarnation(), bounds, orders, guard);
    let core = Arc::new(core);
    core.work.spawn(fence);
    let key = Key::new(settings.key.as_bytes());
    let publisher = publisher(&settings, &key)?;
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
    info!(log, "serving"; "listen" => %listen, "runner" => %settings.runner);
    ready(Ready {
        listen,
        news: publisher.as_ref().map(Publisher::address),
        metrics,
    });

    shutdown.await;
    info!(log, "leaving");
    if let Some(publisher) = &publisher {
        publish_leaving(publisher, &settings.id, core.incarnation);
    }
    core.leave().await;
    accepting.abort();
    sweeping.abort();
    links.close();
    links.wait().await;
    info!(log, "left");
    Ok(())
}

fn platform(settings: &setting::Agent) -> store::Client {
    let places = &settings.platform;
    store::Client::new(places.table, places.objects, places.vms)
}

fn publisher(settings: &setting::Agent, key: &Key) -> Result<Option<Publisher>, Error> {
    settings
        .news
        .map(|address| Publisher::bind(address, key.clone()).context(NewsSnafu { address }))
        .transpose()
}

/// Entries without a link yet hear of the leave by news; a loss costs them time until the list of
/// VMs says so.
fn publish_leaving(publisher: &Publisher, id: &str, incarnation: protocol::Incarnation) {
    let vm = id.to_owned();
    let _ = publisher.publish(Notification::Leaving { vm, incarnation });
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
