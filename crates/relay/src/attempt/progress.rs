//! What a request's attempts have come to so far.

use crate::downstream::{Downstream, Failure, NotRun};
use crate::request::Refusal;
use crate::runner::RunnerId;
use crate::serve::Job;
use decide::retry::window::MAX_RETRY_TRANSIT;
use std::time::Duration;

/// Refusals after which a request is given up. Each refusal costs only a round trip.
const MAX_REFUSALS: u32 = 3;
/// Progress of a request over its attempts.
#[derive(Debug)]
pub struct Progress {
    /// Runners that the request was sent to.
    pub tried: Vec<RunnerId>,
    /// Number of runners that may have run the request.
    pub executions: u32,
    /// Number of calls that were sent.
    pub(super) sends: u32,
    /// Number of runners that refused the request in the current round.
    pub refusals: u32,
    /// Refusals after which no other runner is asked in the current round.
    pub(super) max_refusals: u32,
    /// Runners among those tried that refused the request in the current round.
    pub(super) refused_by: Vec<RunnerId>,
    /// Whether a call is in progress whose outcome is unknown.
    pub(super) is_calling: bool,
    /// Why the last runner gave no response.
    pub last_failure: Option<Failure>,
    /// Why the request was sent to no other runner, if it is quarantined.
    pub quarantined: Option<Refusal>,
    /// Quota time until which the retry that was charged to the budget last may be sent, unless it has
    /// been sent.
    pub(super) retry_expires_at: Option<Duration>,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            tried: Vec::new(),
            executions: 0,
            sends: 0,
            refusals: 0,
            max_refusals: MAX_REFUSALS,
            refused_by: Vec::new(),
            is_calling: false,
            last_failure: None,
            quarantined: None,
            retry_expires_at: None,
        }
    }
}

impl Progress {
    /// Whether the last runner refused the request because a result that it needs no longer exists.
    #[must_use]
    pub fn input_gone(&self) -> bool {
        let reason = NotRun::InputGone;
        self.last_failure == Some(Failure::NotRun { reason })
    }

    /// Notes that a call was dropped before its outcome was known: the runner may have run it.
    pub(crate) fn cancel_call(&mut self) {
        if std::mem::take(&mut self.is_calling) {
            self.executions += 1;
            self.retry_expires_at = None;
        }
    }

    /// Lets runners that have refused the request be asked again: a runner at capacity may have room later.
    pub(crate) fn begin_round(&mut self) {
        let refused_by = std::mem::take(&mut self.refused_by);
        self.tried.retain(|runner| !refused_by.contains(runner));
        self.refusals = 0;
        self.max_refusals = MAX_REFUSALS;
    }

    /// As [`Progress::begin_round`], but the first refusal ends the round.
    pub(crate) fn begin_single_round(&mut self) {
        self.begin_round();
        self.max_refusals = 0;
    }

    /// Lets the runner that lacked inputs be asked again, once they have been recomputed.
    pub(super) fn readmit_lacking_inputs(&mut self) {
        self.last_failure = None;
        if let Some(runner) = self.refused_by.pop() {
            self.tried.retain(|tried| *tried != runner);
        }
    }

    /// Whether a retry may be sent. The retry is charged to the budget once for each call that is
    /// sent.
    pub(super) fn try_retry<D: Downstream>(&mut self, job: &Job<D>) -> bool {
        let now = job.relay.quota_time();
        let granted = self
            .retry_expires_at
            .filter(|expires_at| now <= *expires_at);
        self.retry_expires_at = granted.or_else(|| {
            let granted = job.relay.try_retry(&job.service, &job.request.id);
            granted.then_some(now + MAX_RETRY_TRANSIT)
        });
        self.retry_expires_at.is_some()
    }
}
