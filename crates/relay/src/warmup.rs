//! Runners that have just started and accept only a few requests per second until they are warm.

use crate::configuration::{ServiceId, Warmup};
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::runner::{Fleet, Runner, RunnerId};
use crate::telemetry::millis;
use decide::Map;
use decide::bound::MAX_TIME;
use decide::warmup::{RateLimit, RateShare};
use setting::Policy;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Runners that are still cold.
#[derive(Debug, Default)]
pub(crate) struct Warmups {
    /// Moment at which each runner becomes warm.
    until: Map<RunnerId, Instant>,
    /// When this process last sent each runner a request.
    sent: Map<RunnerId, Instant>,
}

impl Warmups {
    /// Sets until when a runner is cold. A moment in the past means that it is warm.
    pub(crate) fn set(&mut self, id: &RunnerId, until: Instant) {
        let now = Instant::now();
        self.until.retain(|_, until| *until > now);
        let known = &self.until;
        self.sent.retain(|id, _| known.contains_key(id));
        if until > now {
            self.until.insert(id.clone(), until);
        } else {
            self.until.remove(id);
        }
    }

    fn is_cold(&self, id: &str, now: Instant) -> bool {
        self.until.get(id).is_some_and(|until| *until > now)
    }

    /// Whether the interval since this process's last request to the runner has passed, or since its
    /// start: an earlier start may have sent one just before.
    fn is_interval_over(&self, id: &str, interval: Duration, started: Instant) -> bool {
        let last = self.sent.get(id).unwrap_or(&started);
        last.elapsed() >= interval
    }
}

impl<D: Downstream> Relay<D> {
    /// Sets the remaining warm-up time of a runner from its entry, as of now.
    pub(crate) fn mark_cold_as_listed(&self, runner: &Runner) {
        self.mark_cold(runner, runner.cold, "entry");
    }

    fn mark_cold(&self, runner: &Runner, time: Duration, reason: &str) {
        let now = Instant::now();
        let was_cold = {
            let mut warmups = lock(&self.warmups);
            let was_cold = warmups.is_cold(&runner.id, now);
            warmups.set(&runner.id, now + time.min(MAX_TIME));
            was_cold
        };
        if !was_cold && !time.is_zero() {
            info!(self.log, "runner cold"; "runner" => &*runner.id, "service" => &*runner.service,
                "for_ms" => millis(time), "by" => reason);
        }
    }

    /// Marks a runner as cold when the drain of its failure domain ends.
    ///
    /// The runner may have been restarted during the drain, which its entry shows only after its next
    /// heartbeat. Until then all processes would prefer it, since it is idle.
    pub(crate) fn mark_cold_after_drain(&self, runner: &Runner) {
        let Some(warmup) = self.warmup(&runner.service) else {
            return;
        };
        self.mark_cold(runner, warmup.time.max(runner.cold), "end of a drain");
    }

    fn warmup(&self, service: &str) -> Option<Warmup> {
        self.configuration()?.services.get(service)?.warmup
    }

    /// Cold runners of a service that this process must not send to now, since they are assigned to other
    /// processes or it has sent them a request just before.
    ///
    /// The other cold runners compete with the warm ones. If cold runners were used only when none is warm,
    /// they would be idle beside a few overloaded ones while most of a service restarts.
    pub(crate) fn throttled(&self, service: &ServiceId) -> Vec<RunnerId> {
        let naive = self.options.policy.warmup == Policy::Naive;
        let Some(warmup) = self.warmup(service).filter(|_| !naive) else {
            return Vec::new();
        };
        let cold = self.cold(service);
        if cold.is_empty() {
            return cold;
        }
        // A process without current membership data must avoid all cold runners.
        let Some(share) = self.share(warmup.rate) else {
            return cold;
        };
        let warmups = lock(&self.warmups);
        let open = |id: &RunnerId| {
            let may_send = self.peers.members(|members| members.may_send(&share, id));
            may_send && warmups.is_interval_over(id, share.interval, self.started())
        };
        cold.into_iter().filter(|id| !open(id)).collect()
    }

    fn cold(&self, service: &ServiceId) -> Vec<RunnerId> {
        if lock(&self.warmups).until.is_empty() {
            return Vec::new();
        }
        let ids = |fleet: &Fleet| {
            let runners = fleet.of(service).iter();
            runners.map(|runner| runner.id.clone()).collect()
        };
        let mut ids: Vec<RunnerId> = self.fleet(ids).unwrap_or_default();
        let now = Instant::now();
        // The lock of the fleet is not held here. Where entries are applied, it is taken before that of the
        // warm-ups.
        let warmups = lock(&self.warmups);
        ids.retain(|id| warmups.is_cold(id, now));
        ids
    }

    /// This process's share of a cold runner's request rate; `None` if membership data is not current.
    fn share(&self, rate: f64) -> Option<RateShare> {
        self.check_for_pause();
        let limit = self.rate_limit(rate);
        let now = self.now();
        self.peers.members(|members| {
            let share = RateShare::new(&limit, members.count()?)?;
            members.roster.may_act(now).then_some(share)
        })
    }

    fn rate_limit(&self, rate: f64) -> RateLimit {
        let settings = self.options.warmup;
        let max_per_second = rate * settings.excess + settings.slack;
        RateLimit {
            rate,
            max_per_second: max_per_second as u32,
        }
    }

    /// Records that a request is about to be sent to a runner.
    pub(crate) fn record_send_time(&self, runner: &Arc<Runner>) {
        lock(&self.limits).record_send_time(&runner.id);
        let now = Instant::now();
        let mut warmups = lock(&self.warmups);
        if warmups.is_cold(&runner.id, now) {
            warmups.sent.insert(runner.id.clone(), now);
        }
    }
}
