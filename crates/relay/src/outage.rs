//! Runners that have exited and not come back.
//!
//! The platform lists a runner for some seconds after its exit. A relay that relied on the list alone would
//! keep sending it requests, whose connections are refused; in a service of few runners, requests would use
//! up their attempts although other runners are available. So a runner gets no work while nothing listens
//! at its address.

use crate::configuration::ServiceId;
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::quarantine::{RunnerInstance, Suspicion, instance};
use crate::runner::{Runner, RunnerId};
use crate::telemetry::millis;
use decide::Map;
use protocol::quarantine::Availability;
use setting::Policy;
use slog::info;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep, timeout};

/// Interval at which an absent runner is probed.
const RETURN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a runner that has not come back no longer counts as restarting.
const RESTART_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the outcome of a probe after a lost response.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Runners that this process knows to have exited.
#[derive(Debug, Default)]
pub(crate) struct Outages {
    /// Runners that are being probed.
    probed: BTreeSet<RunnerInstance>,
    /// Listed runners at whose addresses nothing listens.
    absent: Map<ServiceId, Vec<RunnerInstance>>,
    /// Exits that no start of a runner has made up for, oldest first.
    exits: Map<ServiceId, VecDeque<(RunnerInstance, Instant)>>,
}

impl Outages {
    fn add_exit(&mut self, runner: &Runner, now: Instant) {
        let exits = self.exits.entry(runner.service.clone()).or_default();
        let instance = instance(runner);
        if exits.iter().all(|(known, _)| *known != instance) {
            exits.push_back((instance, now));
        }
    }

    /// Removes the exit of a runner at whose address something listens again.
    fn remove_exit(&mut self, runner: &Runner) {
        if let Some(exits) = self.exits.get_mut(&runner.service) {
            let instance = instance(runner);
            exits.retain(|(known, _)| *known != instance);
        }
    }

    /// Records the start of a runner, which makes up for the oldest exit.
    pub(crate) fn record_start(&mut self, runner: &Runner) {
        if let Some(exits) = self.exits.get_mut(&runner.service) {
            exits.pop_front();
        }
        if let Some(absent) = self.absent.get_mut(&runner.service) {
            absent.retain(|(id, _)| *id != runner.id);
        }
    }

    fn set_absent(&mut self, runner: &Runner, absent: bool) {
        let known = self.absent.entry(runner.service.clone()).or_default();
        let instance = instance(runner);
        known.retain(|known| *known != instance);
        if absent {
            known.push(instance);
        }
    }

    fn absent(&self, service: &ServiceId) -> &[RunnerInstance] {
        self.absent.get(service).map_or(&[], Vec::as_slice)
    }

    /// Number of runners that have exited recently and not come back.
    fn down(&mut self, service: &ServiceId, now: Instant) -> usize {
        let Some(exits) = self.exits.get_mut(service) else {
            return 0;
        };
        exits.retain(|(_, at)| now < *at + RESTART_TIMEOUT);
        exits.len()
    }
}

impl<D: Downstream> Relay<D> {
    /// Listed runners of a service at whose addresses nothing listens.
    pub(crate) fn absent(&self, service: &ServiceId) -> Vec<RunnerId> {
        if self.options.policy.absent == Policy::Naive {
            return Vec::new();
        }
        let outages = lock(&self.outages);
        let absent = outages.absent(service).iter();
        absent.map(|(id, _)| id.clone()).collect()
    }

    /// Whether nothing is known to listen at a runner's address.
    pub(crate) fn is_absent(&self, runner: &Runner) -> bool {
        let outages = lock(&self.outages);
        outages.absent(&runner.service).contains(&instance(runner))
    }

    /// How many runners of a service are up and down, as far as this process knows.
    pub(crate) fn availability(&self, service: &ServiceId) -> Availability {
        let listed = self.fleet(|fleet| fleet.of(service).len()).unwrap_or(0);
        let mut silent = self.silent(service);
        let mut outages = lock(&self.outages);
        let absent = outages.absent(service);
        silent.retain(|id| absent.iter().all(|(absent, _)| absent != id));
        let unavailable = absent.len() + silent.len();
        Availability {
            up: listed.saturating_sub(unavailable),
            down: outages.down(service, Instant::now()) + silent.len(),
        }
    }

    /// Records that a runner has exited without announcing it, according to the list or to a probe.
    pub(crate) fn record_outage(&self, runner: &Runner) {
        lock(&self.outages).add_exit(runner, Instant::now());
    }
}

/// A runner that is being probed, or watched until it is back. Dropping it ends both, also by a panic or with the
/// request that probes: the next lost response then leads to a new probe.
#[derive(Debug)]
struct ProbedRunner<D: Downstream> {
    relay: Arc<Relay<D>>,
    runner: Arc<Runner>,
    is_absent: bool,
}

impl<D: Downstream> ProbedRunner<D> {
    /// Returns `None` if the runner is being probed already.
    fn new(relay: &Arc<Relay<D>>, runner: &Arc<Runner>) -> Option<Self> {
        let is_new = lock(&relay.outages).probed.insert(instance(runner));
        is_new.then(|| Self {
            relay: relay.clone(),
            runner: runner.clone(),
            is_absent: false,
        })
    }

    fn mark_absent(&mut self) {
        lock(&self.relay.outages).set_absent(&self.runner, true);
        self.is_absent = true;
    }
}

impl<D: Downstream> Drop for ProbedRunner<D> {
    fn drop(&mut self) {
        let mut outages = lock(&self.relay.outages);
        outages.probed.remove(&instance(&self.runner));
        if !self.is_absent {
            return;
        }
        outages.set_absent(&self.runner, false);
        drop(outages);
        // In a task of its own, since a second panic during unwinding would abort the process. Without a
        // runtime the process has ended.
        if let Ok(runtime) = Handle::try_current() {
            let (relay, service) = (self.relay.clone(), self.runner.service.clone());
            runtime.spawn(async move { relay.restart_calls(&service) });
        }
    }
}

/// Probes a runner that has lost a response or could not be reached. If it has exited, it gets no work
/// until it is back.
pub(crate) async fn probe<D: Downstream>(relay: &Arc<Relay<D>>, runner: &Arc<Runner>) {
    let Some(mut probed) = ProbedRunner::new(relay, runner) else {
        return;
    };
    if !relay.downstream.has_exited(runner).await {
        return;
    }
    info!(relay.log, "runner absent"; "runner" => &*runner.id, "service" => &*runner.service,
        "address" => runner.address.to_string(), "runners_age_ms" => relay.runner_list_age().map(millis));
    probed.mark_absent();
    relay.record_outage(runner);
    relay.record_exit(runner);
    tokio::spawn(async move {
        let (relay, runner) = (&probed.relay, &probed.runner);
        if await_return(relay, runner).await {
            lock(&relay.outages).remove_exit(runner);
        }
        drop(probed);
    });
}

/// Runs [`probe`] but waits at most [`PROBE_TIMEOUT`] for its outcome, which takes a round trip. If the
/// runner does not answer in that time, the probe continues in the background.
pub(crate) async fn probe_briefly<D: Downstream>(relay: &Arc<Relay<D>>, runner: &Arc<Runner>) {
    let probing = {
        let (relay, runner) = (relay.clone(), runner.clone());
        tokio::spawn(async move { probe(&relay, &runner).await })
    };
    // The outcome is read from the recorded state below.
    let _ = timeout(PROBE_TIMEOUT, probing).await;
    if relay.is_absent(runner) {
        // Another lost response may have led to the finding, possibly before this one was recorded.
        relay.record_exit(runner);
    }
}

/// Probes runners that another process reports to have exited recently. Otherwise each process would count
/// them as up until one of its own requests fails there.
pub(crate) fn probe_reported<D: Downstream>(relay: &Arc<Relay<D>>, suspicion: &Suspicion) {
    let recent = suspicion
        .crashes
        .iter()
        .filter(|crash| crash.lost < RESTART_TIMEOUT);
    for crash in recent {
        let (id, started) = &crash.runner;
        let listed = relay.runner(id);
        let Some(runner) = listed.filter(|runner| runner.started == *started) else {
            continue;
        };
        let relay = relay.clone();
        tokio::spawn(async move { probe(&relay, &runner).await });
    }
}

/// Waits until something listens at a runner's address again (`true`), or the runner is no longer listed as
/// it was (`false`).
async fn await_return<D: Downstream>(relay: &Relay<D>, runner: &Runner) -> bool {
    loop {
        sleep(RETURN_POLL_INTERVAL).await;
        if !relay.has_entry(runner) {
            return false;
        }
        if !relay.downstream.has_exited(runner).await {
            info!(relay.log, "runner available again"; "runner" => &*runner.id, "service" => &*runner.service);
            return true;
        }
    }
}
