//! Trials of requests under which runners have crashed, one at a time.

use super::suspect::Trial;
use super::{Admission, Merge, Quarantine, Report};
use crate::id::ContentId;
use std::hash::Hash;
use std::time::Duration;

impl<R: Clone + Eq + Hash> Quarantine<R> {
    /// Grants a trial of a request if one is due, and returns the report to send to other processes.
    /// The trial is recorded, so that the next one is due only once its outcome is known or overdue.
    pub fn grant_trial(
        &mut self,
        content: ContentId,
        order: u32,
        now: Duration,
    ) -> Option<Report<R>> {
        match self.admission(content, order, now) {
            Admission::Turn | Admission::Trial => self.begin_trial(content, now),
            Admission::Free | Admission::Deferred(_) | Admission::Held(_) => None,
        }
    }

    /// Merges the report of a trial that another process has granted to this one.
    pub fn trial_granted(&mut self, report: &Report<R>, now: Duration) -> Merge {
        let merged = self.merge(report, now);
        if let Some(suspect) = self.suspects.get_mut(&report.content) {
            suspect.last_trial = Trial::Local;
        }
        merged
    }

    /// Whether the last trial was granted to this process and has reached no runner.
    #[must_use]
    pub fn is_trial_unused(&self, content: ContentId) -> bool {
        let suspect = self.suspects.get(&content);
        suspect.is_some_and(|suspect| suspect.last_trial == Trial::NotRun)
    }

    /// Records that a due request is sent to a runner as a trial; unless the runner answers, the
    /// next trial comes later. Returns the report to send to other processes.
    pub fn begin_trial(&mut self, content: ContentId, now: Duration) -> Option<Report<R>> {
        self.change(content, now, |suspect, exits, now| {
            // A trial that crashed no runner does not count when it is made again.
            let has_crashed = suspect.last_crash(exits) >= suspect.tried;
            suspect.trials += u32::from(has_crashed);
            suspect.tried = Some(now);
            suspect.last_trial = Trial::Local;
            true
        });
        self.report(content, now)
    }

    /// Records that an attempt of this process has reached no runner. If it was a trial, the process
    /// may make another one at once.
    pub fn attempt_not_run(&mut self, content: ContentId) {
        let suspect = self.suspects.get_mut(&content);
        if let Some(suspect) = suspect.filter(|suspect| suspect.last_trial == Trial::Local) {
            suspect.last_trial = Trial::NotRun;
        }
    }
}
