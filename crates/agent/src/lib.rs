//! Sidecar process of one runner, which is the last hop of every call.
//!
//! The agent queues offered calls and starts them within the runner's concurrency limit; a call
//! that needs a grant starts only once it has one. It checks that each answer is complete and
//! belongs to the call, and keeps the answer for entries whose link was lost. See
//! [`protocol::gate`] for the rules and `docs/PLATFORM.md` for the interface of the runner.

mod answer;
mod core;
mod event;
mod fence;
mod history;
mod job;
mod link;
mod models;
mod output;
mod queue;
mod runner;
mod state;
mod telemetry;

use crate::core::Core;
use crate::fence::FencedEngine;
use crate::models::EngineState;
use crate::queue::QueueOrder;
use crate::runner::Runner;
use crate::state::Config;
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

/// Maximum number of orders that wait for the engine.
const ORDER_QUEUE_CAPACITY: usize = 64;

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
    /// The address for published notifications could not be bound.
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

/// Addresses of a running agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// Address to which entries connect.
    pub listen: SocketAddr,
    /// Address at which the agent publishes notifications, if it does.
    pub news: Option<SocketAddr>,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
}

/// Serves entries until `shutdown` completes, then finishes all running calls and returns.
///
/// `ready` is called once the agent serves.
///
/// # Errors
///
/// Returns an [`Error`] if an address cannot be bound; the agent has accepted no call then.
pub async fn run(
    settings: setting::Agent,
    log: Logger,
    ready: impl FnOnce(Ready) + Send,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), Error> {
    let mut registry = Registry::default();
    let telemetry = Telemetry::new(&mut registry);
    let runner = Runner::new(settings.runner);
    let (orders, order_receiver) = mpsc::channel(ORDER_QUEUE_CAPACITY);
    let engine = FencedEngine {
        table: store_client(&settings),
        runner: runner.clone(),
        state: EngineState::default(),
    };
    let order_task = engine.clone().serve(order_receiver);
    let config = config(&settings);
    let core = Core::new(runner, telemetry, incarnation(), config, orders, engine);
    let core = Arc::new(core);
    core.work.spawn(order_task);
    let key = Key::new(settings.key.as_bytes());
    let publisher = bind_publisher(&settings, &key)?;
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
    let evicting = tokio::spawn(core.clone().evict_periodically());
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
    core.shut_down().await;
    accepting.abort();
    evicting.abort();
    links.close();
    links.wait().await;
    info!(log, "left");
    Ok(())
}

fn store_client(settings: &setting::Agent) -> store::Client {
    let addresses = &settings.platform;
    store::Client::new(addresses.table, addresses.objects, addresses.vms)
}

fn bind_publisher(settings: &setting::Agent, key: &Key) -> Result<Option<Publisher>, Error> {
    settings
        .news
        .map(|address| Publisher::bind(address, key.clone()).context(NewsSnafu { address }))
        .transpose()
}

/// Notifies entries that have no link yet of the shutdown. If this message is lost, they learn of
/// it later from the list of VMs.
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

fn config(settings: &setting::Agent) -> Config {
    let (order, max_queued) = match settings.policy {
        Policy::Shipped => (QueueOrder::Slack, settings.queue as usize),
        Policy::Naive => (QueueOrder::Fifo, usize::MAX),
    };
    Config {
        service: settings.service.clone(),
        concurrency: settings.concurrency.max(1),
        max_queued,
        order,
    }
}

/// Milliseconds since 1970, which increase with each restart without stored state.
fn incarnation() -> protocol::Incarnation {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| age.as_millis().try_into().unwrap_or(u64::MAX))
}
