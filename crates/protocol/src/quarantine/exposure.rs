//! Runners that a request may have affected, before it is known whether they have exited.

use super::loss::Loss;
use super::suspect::Span;
use super::{CRASH_THRESHOLD, EPOCH_OFFSET, Quarantine, Report};
use crate::id::ContentId;
use std::hash::Hash;
use std::time::Duration;

impl<R: Clone + Eq + Hash> Quarantine<R> {
    /// Records a sign of life from a runner, for whatever request.
    pub fn runner_observed(&mut self, runner: &R, now: Duration) {
        self.silences.observe(runner, now + EPOCH_OFFSET);
        self.losses.observe(runner);
    }

    /// Records that a request has been answered completely, so that attempts which were sent before are
    /// not what makes their runners unresponsive.
    pub fn request_answered(&mut self, content: ContentId, now: Duration) {
        self.answers.record(content, now);
    }

    /// Records that a request has waited at a runner for so long that the runner counts as
    /// unresponsive if it has sent nothing to anyone since `sent`. Returns the report to send to
    /// other processes.
    pub fn runner_unresponsive(
        &mut self,
        content: ContentId,
        runner: &R,
        sent: Duration,
        now: Duration,
    ) -> Option<Report<R>> {
        let is_silent = self.silences.is_silent(runner, sent + EPOCH_OFFSET);
        if !is_silent || self.answers.is_answered_since(content, sent) {
            return None;
        }
        // If the runner turns out to have exited, the request was in progress there.
        let span = Span {
            sent: sent + EPOCH_OFFSET,
            lost: now + EPOCH_OFFSET,
        };
        self.losses.record(Loss {
            content,
            runner: runner.clone(),
            span,
            isolated: false,
            is_trial: false,
            provisional: true,
        });
        let (sent, now) = (sent + EPOCH_OFFSET, now + EPOCH_OFFSET);
        let new = self.silences.record(content, runner, sent, now, now);
        new.then(|| self.report_at(content, now))
    }

    /// Number of runners that have not answered a request and have given no sign of life since.
    #[must_use]
    pub fn exposure(&self, content: ContentId, now: Duration) -> u32 {
        self.silences.count(content, now + EPOCH_OFFSET)
    }

    /// Number of runners that have crashed under a request, plus those that may have.
    #[must_use]
    pub fn risk(&self, content: ContentId, now: Duration) -> u32 {
        self.crashes(content) + self.exposure(content, now)
    }

    /// Records that a request is sent to a runner; [`Quarantine::attempt_ended`] must follow.
    pub fn attempt_started(&mut self, content: ContentId, runner: R) {
        self.silences.attempt_started(content, runner);
    }

    /// Records that a request is no longer in progress at a runner.
    pub fn attempt_ended(&mut self, content: ContentId, runner: &R) {
        self.silences.attempt_ended(content, runner);
    }

    /// Number of runners at which this process has the request in progress.
    #[must_use]
    pub fn attempts_in_progress(&self, content: ContentId) -> usize {
        self.silences.attempts(content)
    }

    /// Whether a request may be sent to one more runner in addition to those at which it is in
    /// progress: if it is not under suspicion, or puts few runners at risk.
    #[must_use]
    pub fn may_spread(&self, content: ContentId, now: Duration) -> bool {
        let risk = self.risk(content, now);
        let in_progress = || self.silences.in_progress(content, now + EPOCH_OFFSET);
        risk == 0 || risk >= CRASH_THRESHOLD || risk + in_progress() < CRASH_THRESHOLD
    }

    /// Whether a runner is known to have crashed under a request.
    fn has_crashed(&self, content: ContentId, runner: &R) -> bool {
        let suspect = self.suspects.get(&content);
        suspect.is_some_and(|suspect| {
            let mut crashes = suspect.crashes.iter();
            crashes.any(|crash| crash.runner == *runner)
        })
    }

    /// Unresponsive runners; a runner may occur more than once.
    pub fn silent_runners(&self, now: Duration) -> impl Iterator<Item = &R> {
        self.silences.runners(now + EPOCH_OFFSET)
    }

    /// Merges reported unresponsive runners; returns whether any of them is new.
    pub(super) fn merge_silences(&mut self, report: &Report<R>, now: Duration) -> bool {
        let now = now + EPOCH_OFFSET;
        let at = |ago: Duration| now.saturating_sub(ago);
        let known = self.suspects.get(&report.content);
        let known = known.and_then(|suspect| suspect.cleared);
        let cleared = report.cleared.map(at).max(known);
        if let Some(cleared) = cleared {
            self.silences.clear(report.content, cleared);
        }
        let mut new = false;
        for silence in &report.silences {
            let (sent, noted) = (at(silence.sent), at(silence.noted));
            let is_void = cleared.is_some_and(|cleared| sent <= cleared);
            if is_void || self.has_crashed(report.content, &silence.runner) {
                continue;
            }
            new |= self
                .silences
                .record(report.content, &silence.runner, sent, noted, now);
        }
        new
    }
}
