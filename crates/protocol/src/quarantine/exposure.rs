//! What a request may do to runners that is not known yet.

use super::loss::Loss;
use super::suspect::Span;
use super::{CRASH_THRESHOLD, OFFSET, Quarantine, Report};
use crate::id::ContentId;
use std::hash::Hash;
use std::time::Duration;

impl<R: Clone + Eq + Hash> Quarantine<R> {
    /// Something has come from a runner, whatever for.
    pub fn runner_observed(&mut self, runner: &R, now: Duration) {
        self.silences.observe(runner, now + OFFSET);
        self.losses.observe(runner);
    }

    /// A request has waited for a runner for so long that it is taken for silent if nothing has come from
    /// it for anybody since the request was sent. Gives what the others must be told.
    pub fn runner_unresponsive(
        &mut self,
        content: ContentId,
        runner: &R,
        sent: Duration,
        now: Duration,
    ) -> Option<Report<R>> {
        if !self.silences.is_silent(runner, sent + OFFSET) {
            return None;
        }
        // Should it turn out to have ended, the request was there.
        let span = Span {
            sent: sent + OFFSET,
            lost: now + OFFSET,
        };
        self.losses.note(Loss {
            content,
            runner: runner.clone(),
            span,
            isolated: false,
            provisional: true,
        });
        let (sent, now) = (sent + OFFSET, now + OFFSET);
        let new = self.silences.note(content, runner, sent, now, now);
        new.then(|| self.report_at(content, now))
    }

    /// Runners that hold a request unanswered, and from which nothing has come since.
    #[must_use]
    pub fn exposure(&self, content: ContentId, now: Duration) -> u32 {
        self.silences.count(content, now + OFFSET)
    }

    /// Runners that have ended under a request, and those that may have.
    #[must_use]
    pub fn risk(&self, content: ContentId, now: Duration) -> u32 {
        self.crashes(content) + self.exposure(content, now)
    }

    /// A request is sent to a runner; [`Quarantine::attempt_ended`] follows.
    pub fn attempt_started(&mut self, content: ContentId, runner: R) {
        self.silences.begin(content, runner);
    }

    /// A request is in progress at a runner no more.
    pub fn attempt_ended(&mut self, content: ContentId, runner: &R) {
        self.silences.end(content, runner);
    }

    /// Whether a request may be sent to one more runner beside those at which it is in progress: one that
    /// nothing speaks against, or of which few runners are at risk.
    #[must_use]
    pub fn may_spread(&self, content: ContentId, now: Duration) -> bool {
        let risk = self.risk(content, now);
        let open = || self.silences.open(content, now + OFFSET);
        risk == 0 || risk >= CRASH_THRESHOLD || risk + open() < CRASH_THRESHOLD
    }

    /// Runners that are silent, some more than once.
    pub fn silent_runners(&self, now: Duration) -> impl Iterator<Item = &R> {
        self.silences.runners(now + OFFSET)
    }

    /// Takes in which runners are silent; tells whether some were not known to be.
    pub(super) fn take_silences(&mut self, report: &Report<R>, now: Duration) -> bool {
        let now = now + OFFSET;
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
            if cleared.is_some_and(|cleared| sent <= cleared) {
                continue;
            }
            new |= self
                .silences
                .note(report.content, &silence.runner, sent, noted, now);
        }
        new
    }
}
