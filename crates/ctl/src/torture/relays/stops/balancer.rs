//! The platform's choice of relays for new connections.

use rand::Rng;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stub::caller::is_ready;
use stub::{Micros, now};
use tokio::time::sleep;

/// Time between two readiness probes of a process.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Negative answers after which a process gets no new connections.
const MAX_MISSES: u32 = 2;

/// A process of a relay.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Name of the relay.
    pub id: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// When it was asked to stop, if it was.
    pub stopped: Option<Micros>,
    /// When it was seen to have exited, if it has.
    pub exited: Option<Micros>,
    /// Whether a probe has been answered positively.
    is_known: bool,
    /// Negative answers since the last positive one.
    misses: u32,
}

/// All processes so far, probed as the platform does.
#[derive(Debug, Default)]
pub struct Balancer(Mutex<Vec<Instance>>);

impl Balancer {
    /// Adds a process, and probes it until it has exited.
    pub fn add(self: &Arc<Self>, id: &str, listen: SocketAddr, ready: SocketAddr) {
        self.lock().push(Instance {
            id: id.to_owned(),
            listen,
            stopped: None,
            exited: None,
            is_known: false,
            misses: 0,
        });
        let balancer = self.clone();
        tokio::spawn(async move {
            loop {
                let is_ready = is_ready(ready).await;
                if balancer.record_probe(listen, is_ready) {
                    return;
                }
                sleep(PROBE_INTERVAL).await;
            }
        });
    }

    /// Records the answer to a probe. Returns whether the process needs no more probes.
    fn record_probe(&self, listen: SocketAddr, is_ready: bool) -> bool {
        self.with(listen, |instance| {
            instance.is_known |= is_ready;
            instance.misses = if is_ready { 0 } else { instance.misses + 1 };
            instance.exited.is_some() && instance.misses >= MAX_MISSES
        })
        .unwrap_or(true)
    }

    /// Notes that a process is asked to stop.
    pub fn record_stop(&self, listen: SocketAddr) {
        self.with(listen, |instance| instance.stopped = Some(now()));
    }

    /// Notes that a process has exited.
    pub fn record_exit(&self, listen: SocketAddr) {
        self.with(listen, |instance| instance.exited = Some(now()));
    }

    /// A random process among those that get new connections.
    pub fn choose(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let instances = self.lock();
        let open = instances
            .iter()
            .filter(|instance| instance.is_known && instance.misses < MAX_MISSES)
            .map(|instance| instance.listen);
        open.collect::<Vec<_>>().choose(rng).copied()
    }

    /// The process at an address.
    #[must_use]
    pub fn instance(&self, listen: SocketAddr) -> Option<Instance> {
        self.with(listen, |instance| instance.clone())
    }

    /// All processes so far.
    #[must_use]
    pub fn instances(&self) -> Vec<Instance> {
        self.lock().clone()
    }

    /// Applies a function to the latest process at an address.
    fn with<T>(&self, listen: SocketAddr, apply: impl FnOnce(&mut Instance) -> T) -> Option<T> {
        let mut instances = self.lock();
        let mut latest = instances.iter_mut().rev();
        latest.find(|instance| instance.listen == listen).map(apply)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Instance>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
