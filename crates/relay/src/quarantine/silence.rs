//! Detection of runners that become unresponsive while they serve a request.

use super::{RunnerInstance, Suspicion, concerns_all, instance, key};
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use crate::member::Member;
use crate::request::ContentId;
use crate::runner::{Runner, RunnerId};
use crate::serve::content_name;
use crate::telemetry::millis;
use slog::info;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum of that time where the request has timed out or its client has disconnected.
const MIN_SILENCE: Duration = Duration::from_millis(100);

impl<D: Downstream> Relay<D> {
    /// Records that a runner has sent something, for whichever request.
    pub(crate) fn record_activity(&self, runner: &Runner, moment: Instant) {
        let at = self.at(moment);
        lock(&self.quarantine.known).runner_observed(&instance(runner), at);
    }

    /// Probes runners that seem unresponsive during a request. A runner may be slow for that request only,
    /// and may have served no other request of this process.
    pub(super) fn check_silent(self: &Arc<Self>, report: &Suspicion) {
        let silent = report.silences.iter();
        let listed = silent.filter_map(|silence| self.runner(&silence.runner.0));
        for runner in listed {
            let relay = self.clone();
            tokio::spawn(async move {
                let probed = Instant::now();
                if relay.downstream.responds(&runner).await {
                    info!(relay.log, "runner answered a probe"; "runner" => &*runner.id,
                        "after_ms" => millis(probed.elapsed()));
                    relay.record_activity(&runner, Instant::now());
                }
            });
        }
    }

    /// Records that a request is sent to a runner.
    pub(crate) fn record_sent(&self, content: ContentId, runner: &Runner) {
        lock(&self.quarantine.known).attempt_started(content, instance(runner));
    }

    /// Records that a request is no longer in progress at a runner.
    pub(crate) fn record_finished(&self, content: ContentId, runner: &Runner) {
        lock(&self.quarantine.known).attempt_ended(content, &instance(runner));
    }

    /// Records that a request has waited so long for a runner, since it was sent, that the runner counts as
    /// unresponsive if it has sent nothing at all in that time.
    ///
    /// The finding is announced to all processes once several runners are unresponsive. Before that it is
    /// sent to the one process that counts them, since each attempt of a client may reach a different
    /// process.
    pub(crate) fn record_overdue(
        self: &Arc<Self>,
        content: ContentId,
        runner: &Runner,
        sent: Instant,
    ) {
        if sent.elapsed() < MIN_SILENCE {
            return;
        }
        let (sent, now) = (self.at(sent), self.now());
        let report = {
            let mut known = lock(&self.quarantine.known);
            known.runner_unresponsive(content, &instance(runner), sent, now)
        };
        let Some(report) = report else { return };
        info!(self.log, "runner unresponsive during a request"; "runner" => &*runner.id,
            "content" => content_name(content), "silent" => report.silences.len(),
            "crashes" => report.count, "sent_ago_ms" => millis(now - sent));
        if concerns_all(&report) {
            self.check_silent(&report);
        }
        if self.must_announce(&report) {
            self.announce(&report);
            return;
        }
        let owner = self.peers.members(|members| members.owner(&key(content)));
        if owner.id != self.options.member.id {
            tokio::spawn(report_to_owner(self.clone(), owner, report));
        }
    }

    /// Runners of a service that are known to be unresponsive.
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

/// Reports an unresponsive runner to the process that counts them, or to all if that one cannot be reached.
async fn report_to_owner<D: Downstream>(relay: Arc<Relay<D>>, owner: Member, report: Suspicion) {
    if !relay.peers.send_suspicion(&relay, &owner, &report).await {
        info!(relay.log, "unresponsive runner announced: its owner cannot be reached";
            "content" => content_name(report.content), "owner" => &*owner.id);
        relay.announce(&report);
    }
}
