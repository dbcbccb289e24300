//! Runners that have ended and are not back.
//!
//! The platform's list names a runner for some seconds after its end. Until it learns better, a relay
//! would send it requests, each of which finds its connection refused; where few runners serve a
//! service, its requests run out of tries beside runners that live. So a runner at whose address
//! nothing listens gets no work until something does.

use crate::configuration::ServiceId;
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::quarantine::{RunnerInstance, Suspicion, instance};
use crate::runner::{Runner, RunnerId};
use crate::telemetry::millis;
use decide::Map;
use protocol::quarantine::Standing;
use setting::Policy;
use slog::info;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time between two looks whether a runner is back.
const LOOK: Duration = Duration::from_millis(250);
/// Time after which a runner that has not come back is taken to be lost for good.
const LOST: Duration = Duration::from_secs(10);
/// Longest wait for whether a runner has ended that has lost an answer.
const PROBE: Duration = Duration::from_millis(50);

/// What this process knows of such runners.
#[derive(Debug, Default)]
pub(crate) struct Outages {
    /// Runners that are being looked for.
    probed: BTreeSet<RunnerInstance>,
    /// Runners at whose addresses nothing listens, though they are listed.
    absent: Map<ServiceId, Vec<RunnerInstance>>,
    /// Ends of runners that no other one has made up for, the oldest first.
    ended: Map<ServiceId, VecDeque<(RunnerInstance, Instant)>>,
}

impl Outages {
    fn note_ended(&mut self, runner: &Runner, now: Instant) {
        let ended = self.ended.entry(runner.service.clone()).or_default();
        let instance = instance(runner);
        if ended.iter().all(|(known, _)| *known != instance) {
            ended.push_back((instance, now));
        }
    }

    /// Something listens at the runner's address again.
    fn note_back(&mut self, runner: &Runner) {
        if let Some(ended) = self.ended.get_mut(&runner.service) {
            let instance = instance(runner);
            ended.retain(|(known, _)| *known != instance);
        }
    }

    /// A runner has started, which makes up for one that has ended.
    pub(crate) fn note_started(&mut self, runner: &Runner) {
        if let Some(ended) = self.ended.get_mut(&runner.service) {
            ended.pop_front();
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

    /// Runners that have ended lately and are not back.
    fn down(&mut self, service: &ServiceId, now: Instant) -> usize {
        let Some(ended) = self.ended.get_mut(service) else {
            return 0;
        };
        ended.retain(|(_, at)| now < *at + LOST);
        ended.len()
    }
}

impl<D: Downstream> Relay<D> {
    /// Runners of a service that are listed although nothing listens at their addresses.
    pub(crate) fn absent(&self, service: &ServiceId) -> Vec<RunnerId> {
        if self.options.policy.absent == Policy::Naive {
            return Vec::new();
        }
        let outages = lock(&self.outages);
        let absent = outages.absent(service).iter();
        absent.map(|(id, _)| id.clone()).collect()
    }

    /// Whether nothing listens at a runner's address, as far as this process knows.
    pub(crate) fn is_absent(&self, runner: &Runner) -> bool {
        let outages = lock(&self.outages);
        outages.absent(&runner.service).contains(&instance(runner))
    }

    /// The runners of a service, as far as this process knows.
    pub(crate) fn standing(&self, service: &ServiceId) -> Standing {
        let listed = self.fleet(|fleet| fleet.of(service).len()).unwrap_or(0);
        let mut silent = self.silent(service);
        let mut outages = lock(&self.outages);
        let absent = outages.absent(service);
        silent.retain(|id| absent.iter().all(|(absent, _)| absent != id));
        let away = absent.len() + silent.len();
        Standing {
            up: listed.saturating_sub(away),
            down: outages.down(service, Instant::now()) + silent.len(),
        }
    }

    /// A runner has ended without a word, by the list or by what was found at its address.
    pub(crate) fn record_outage(&self, runner: &Runner) {
        lock(&self.outages).note_ended(runner, Instant::now());
    }
}

/// Looks whether a runner has ended that has just lost an answer or could not be reached; if so, it
/// gets no work until it is back.
pub(crate) async fn probe<D: Downstream>(relay: &Arc<Relay<D>>, runner: &Arc<Runner>) {
    let probed = instance(runner);
    if !lock(&relay.outages).probed.insert(probed.clone()) {
        return;
    }
    if !relay.downstream.has_ended(runner).await {
        lock(&relay.outages).probed.remove(&probed);
        return;
    }
    info!(relay.log, "runner absent"; "runner" => &*runner.id, "service" => &*runner.service,
        "address" => runner.address.to_string(), "runners_age_ms" => relay.runner_list_age().map(millis));
    lock(&relay.outages).set_absent(runner, true);
    relay.record_outage(runner);
    relay.record_exit(runner);
    let (relay, runner) = (relay.clone(), runner.clone());
    tokio::spawn(async move {
        let back = await_return(&relay, &runner).await;
        let mut outages = lock(&relay.outages);
        outages.set_absent(&runner, false);
        if back {
            outages.note_back(&runner);
        }
        outages.probed.remove(&probed);
        drop(outages);
        relay.restart_calls(&runner.service);
    });
}

/// The same, but waits for the outcome only for a moment: it takes a round trip, and goes on where a runner
/// that is silent has not answered by then.
pub(crate) async fn probe_briefly<D: Downstream>(relay: &Arc<Relay<D>>, runner: &Arc<Runner>) {
    let probing = {
        let (relay, runner) = (relay.clone(), runner.clone());
        tokio::spawn(async move { probe(&relay, &runner).await })
    };
    // Whether it has ended shows in what is known of the runner.
    let _ = timeout(PROBE, probing).await;
    if relay.is_absent(runner) {
        // Found by another loss there, maybe before this one was noted.
        relay.record_exit(runner);
    }
}

/// Looks whether runners have ended that another process names as having done so lately: each process
/// would else send a request to find out, and count one more runner as serving until then.
pub(crate) fn probe_named<D: Downstream>(relay: &Arc<Relay<D>>, suspicion: &Suspicion) {
    let recent = suspicion.crashes.iter().filter(|crash| crash.lost < LOST);
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

/// Waits until something listens at the runner's address, or the list says that it has gone; tells
/// which.
async fn await_return<D: Downstream>(relay: &Relay<D>, runner: &Runner) -> bool {
    loop {
        sleep(LOOK).await;
        if !relay.has_entry(runner) {
            return false;
        }
        if !relay.downstream.has_ended(runner).await {
            info!(relay.log, "runner back"; "runner" => &*runner.id, "service" => &*runner.service);
            return true;
        }
    }
}
