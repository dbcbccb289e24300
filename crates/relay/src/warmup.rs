//! Runners that have just started and bear few requests a second until they are warm.

use crate::configuration::{ServiceId, Warmup};
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::runner::{Fleet, Runner, RunnerId};
use crate::telemetry::millis;
use decide::Map;
use decide::warmup::{Bound, Share};
use setting::Policy;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What is known of runners that are cold.
#[derive(Debug, Default)]
pub(crate) struct Warmups {
    /// Until when each is.
    until: Map<RunnerId, Instant>,
    /// When this process last sent each a request.
    sent: Map<RunnerId, Instant>,
}

impl Warmups {
    /// Takes in until when a runner is cold. A moment that has passed means that it is warm.
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

    /// Whether this process's gap between two requests to the runner is over.
    fn has_gap(&self, id: &str, share: &Share, now: Instant) -> bool {
        let sent = self.sent.get(id);
        sent.is_none_or(|sent| now.saturating_duration_since(*sent) >= share.gap)
    }
}

impl<D: Downstream> Relay<D> {
    /// Takes in how long a runner stays cold, as of now.
    pub(crate) fn mark_cold_as_listed(&self, runner: &Runner) {
        self.mark_cold(runner, runner.cold, "its entry");
    }

    fn mark_cold(&self, runner: &Runner, time: Duration, reason: &str) {
        let now = Instant::now();
        let before = {
            let mut warmups = lock(&self.warmups);
            let before = warmups.is_cold(&runner.id, now);
            warmups.set(&runner.id, now + time);
            before
        };
        if !before && !time.is_zero() {
            info!(self.log, "runner cold"; "runner" => &*runner.id, "service" => &*runner.service,
                "for_ms" => millis(time), "by" => reason);
        }
    }

    /// A runner of a drained failure domain gets work again.
    ///
    /// Its entry is from before; the runners may have been started anew since, and tell so only with
    /// their next heartbeat. Meanwhile all processes would send to them, as they have nothing to do.
    pub(crate) fn mark_cold_after_drain(&self, runner: &Runner) {
        let Some(warmup) = self.warmup(&runner.service) else {
            return;
        };
        self.mark_cold(runner, warmup.time.max(runner.cold), "the end of a drain");
    }

    fn warmup(&self, service: &str) -> Option<Warmup> {
        self.configuration()?.services.get(service)?.warmup
    }

    /// Runners of a service that this process must not send to now: cold ones that others send to, or
    /// that it has sent to just before.
    ///
    /// Those that are open compete with warm ones. Left alone as long as there is a warm one, they
    /// would stand idle beside a few that are overrun when most of a service starts anew.
    pub(crate) fn throttled(&self, service: &ServiceId) -> Vec<RunnerId> {
        let naive = self.options.policy.warmup == Policy::Naive;
        let Some(warmup) = self.warmup(service).filter(|_| !naive) else {
            return Vec::new();
        };
        let cold = self.cold(service);
        if cold.is_empty() {
            return cold;
        }
        // One that cannot know who else sends leaves them all alone.
        let Some(share) = self.share(warmup.rate) else {
            return cold;
        };
        let now = Instant::now();
        let warmups = lock(&self.warmups);
        let open = |id: &RunnerId| {
            let place = self.peers.members(|members| members.has_place(&share, id));
            place && warmups.has_gap(id, &share, now)
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
        // Not while the fleet is locked: it is locked first where entries are taken in.
        let warmups = lock(&self.warmups);
        ids.retain(|id| warmups.is_cold(id, now));
        ids
    }

    /// This process's part of what a cold runner bears; none if it cannot know who else sends.
    fn share(&self, rate: f64) -> Option<Share> {
        self.check_for_pause();
        let bound = self.bound(rate);
        let now = self.now();
        self.peers.members(|members| {
            let share = Share::new(&bound, members.count()?)?;
            members.roster.acts(now).then_some(share)
        })
    }

    fn bound(&self, rate: f64) -> Bound {
        let in_a_second = self.options.warmup;
        let most = rate * in_a_second.excess + in_a_second.slack;
        Bound {
            rate,
            most: most as u32,
        }
    }

    /// A runner is about to be sent a request.
    pub(crate) fn record_send_time(&self, runner: &Arc<Runner>) {
        lock(&self.limits).record_send_time(&runner.id);
        let now = Instant::now();
        let mut warmups = lock(&self.warmups);
        if warmups.is_cold(&runner.id, now) {
            warmups.sent.insert(runner.id.clone(), now);
        }
    }
}
