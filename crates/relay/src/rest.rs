//! Runners that have turned this process away and asked for rest.
//!
//! Unlike a rate limit, a rest concerns only the process that was asked for it, so nothing is announced.

use crate::configuration::ServiceId;
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::quarantine::{RunnerInstance, instance};
use crate::runner::{Runner, RunnerId};
use crate::telemetry::millis;
use decide::Map;
use slog::info;
use std::time::Duration;
use tokio::time::Instant;

/// Runners that rest, and until when.
#[derive(Debug, Default)]
pub(crate) struct Rests(Map<RunnerInstance, Instant>);

impl Rests {
    fn record(&mut self, runner: RunnerInstance, until: Instant) {
        let now = Instant::now();
        self.0.retain(|_, until| *until > now);
        let known = self.0.entry(runner).or_insert(until);
        *known = until.max(*known);
    }

    fn until(&self, runner: &RunnerInstance) -> Option<Instant> {
        let until = self.0.get(runner).copied();
        until.filter(|until| *until > Instant::now())
    }
}

impl<D: Downstream> Relay<D> {
    /// Records that a runner wants nothing from this process for a time.
    pub(crate) fn record_rest(&self, runner: &Runner, rest: Duration) {
        let Some(until) = Instant::now().checked_add(rest) else {
            return;
        };
        info!(self.log, "runner asks for rest"; "runner" => &*runner.id,
            "service" => &*runner.service, "rest_ms" => millis(rest));
        lock(&self.rests).record(instance(runner), until);
    }

    /// Until when a runner rests, if it does.
    pub(crate) fn rest_end(&self, runner: &Runner) -> Option<Instant> {
        lock(&self.rests).until(&instance(runner))
    }

    /// Runners of a service that rest.
    pub(crate) fn resting(&self, service: &ServiceId) -> Vec<RunnerId> {
        let ends = self.rest_ends(service).into_iter();
        let resting = ends.filter(|(_, end)| end.is_some());
        resting.map(|(id, _)| id).collect()
    }

    /// Time until the first runner of a service has rested, if all of them rest.
    pub(crate) fn remaining_rest(&self, service: &ServiceId) -> Option<Duration> {
        let ends = self.rest_ends(service);
        let ends: Option<Vec<Instant>> = ends.into_iter().map(|(_, end)| end).collect();
        let first = ends?.into_iter().min()?;
        Some(first.saturating_duration_since(Instant::now()))
    }

    /// The runners of a service with the ends of their rests; none if no runner rests.
    fn rest_ends(&self, service: &ServiceId) -> Vec<(RunnerId, Option<Instant>)> {
        if lock(&self.rests).0.is_empty() {
            return Vec::new();
        }
        let runners = self.fleet(|fleet| fleet.of(service).to_vec());
        let runners = runners.unwrap_or_default().into_iter();
        runners
            .map(|runner| (runner.id.clone(), self.rest_end(&runner)))
            .collect()
    }
}
