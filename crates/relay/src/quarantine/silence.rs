//! Runners from which nothing comes while they hold a request.

use super::{RunnerInstance, Suspicion, instance, is_announced, key};
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::request::ContentId;
use crate::runner::{Runner, RunnerId};
use crate::serve::content_name;
use crate::telemetry::millis;
use slog::info;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a request waits for a runner until the runner is taken for silent, if nothing comes from
/// it for anybody.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// The same, at least, where the request's own time is over or its caller has left.
const SILENCE_LEAST: Duration = Duration::from_millis(100);

impl<D: Downstream> Relay<D> {
    /// Something has come from a runner, whatever for.
    pub(crate) fn record_activity(&self, runner: &Runner, moment: Instant) {
        let at = self.at(moment);
        lock(&self.quarantine.known).runner_observed(&instance(runner), at);
    }

    /// Asks runners that are taken for silent under one request whether they live: a runner may be slow for
    /// that request alone, and have had nothing else to do for this process.
    pub(super) fn check_silent(self: &Arc<Self>, report: &Suspicion) {
        let silent = report.silences.iter();
        let listed = silent.filter_map(|silence| self.runner(&silence.runner.0));
        for runner in listed {
            let relay = self.clone();
            tokio::spawn(async move {
                let asked = Instant::now();
                if relay.downstream.responds(&runner).await {
                    info!(relay.log, "runner not silent"; "runner" => &*runner.id,
                        "after_ms" => millis(asked.elapsed()));
                    relay.record_activity(&runner, Instant::now());
                }
            });
        }
    }

    /// A request is sent to a runner.
    pub(crate) fn record_sent(&self, content: ContentId, runner: &Runner) {
        lock(&self.quarantine.known).attempt_started(content, instance(runner));
    }

    /// A request is in progress at a runner no more.
    pub(crate) fn record_finished(&self, content: ContentId, runner: &Runner) {
        lock(&self.quarantine.known).attempt_ended(content, &instance(runner));
    }

    /// A request that was sent to a runner at a moment has waited for so long that the runner is silent if
    /// nothing has come from it for anybody since.
    ///
    /// Announced to all processes once several runners are silent; before that to the one that adds them
    /// up, since each attempt of a caller may reach another process.
    pub(crate) fn record_overdue(
        self: &Arc<Self>,
        content: ContentId,
        runner: &Runner,
        sent: Instant,
    ) {
        if sent.elapsed() < SILENCE_LEAST {
            return;
        }
        let (sent, now) = (self.at(sent), self.now());
        let report = {
            let mut known = lock(&self.quarantine.known);
            known.runner_unresponsive(content, &instance(runner), sent, now)
        };
        let Some(report) = report else { return };
        info!(self.log, "runner silent under a request"; "runner" => &*runner.id,
            "content" => content_name(content), "silent" => report.silences.len(),
            "crashes" => report.count, "sent_ago_ms" => millis(now - sent));
        if is_announced(&report) {
            self.announce(&report);
            self.check_silent(&report);
            return;
        }
        let home = self.peers.members(|members| members.owner(&key(content)));
        if home.id != self.options.member.id {
            let relay = self.clone();
            tokio::spawn(async move { relay.peers.send_suspicion(&relay, &home, report).await });
        }
    }

    /// Runners of a service from which nothing comes, as far as is known.
    pub(crate) fn silent(&self, service: &str) -> BTreeSet<RunnerId> {
        let known = lock(&self.quarantine.known);
        let silent = known.silent_runners(self.now());
        let listed = |(id, started): &&RunnerInstance| {
            let runner = self.runner(id);
            runner.is_some_and(|runner| *runner.service == *service && runner.started == *started)
        };
        silent.filter(listed).map(|(id, _)| id.clone()).collect()
    }
}
