//! Whether a stage is tried again, and what its caller is told if not.

use super::StageRun;
use crate::answer::RequestOutcome;
use crate::core::Platform;
use crate::service::models::ModelAvailability;
use crate::wait::GivenUp;
use decide::retry::Failure;
use decide::wait::TargetAvailability;
use protocol::Attempt;
use protocol::call;
use rand::Rng;
use std::time::Duration;

/// Longest pause between attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// How long an accepted request is offered to targets that all refuse it.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Lowest HTTP status that blames the runner rather than the input.
const SERVER_ERROR: u16 = 500;

impl<P: Platform> StageRun<'_, P> {
    /// Decides whether the stage is tried again, and waits before it is.
    pub(super) async fn retry(&mut self) -> Result<(), RequestOutcome> {
        let end = self.machine.outcome().unwrap_or(call::Outcome::Unknown);
        let blameless = matches!(&self.failure, Some((status, _)) if *status < SERVER_ERROR);
        if !self.machine.may_start() || blameless {
            return Err(self.end());
        }
        let last = self.attempts.len().saturating_sub(1);
        let attempt = Attempt::try_from(last).unwrap_or(Attempt::MAX);
        let failure = match self.machine.call(attempt).map(protocol::Call::state) {
            Some(call::State::Ended(call::Outcome::NotRun)) => Failure::NotRun,
            _ => Failure::Ran,
        };
        // Work that no runner has started is never given up for lack of a budget.
        if failure == Failure::NotRun {
            return self.back_off().await;
        }
        let backoff = {
            let rng = &mut rand::rng();
            self.service.retry(failure, attempt, rng)
        };
        match backoff {
            Some(backoff) => tokio::time::sleep(backoff).await,
            None if end == call::Outcome::NotRun => return self.back_off().await,
            None => return Err(self.end()),
        }
        Ok(())
    }

    /// Waits for a target that would take the stage; the pauses grow and differ.
    pub(super) async fn back_off(&mut self) -> Result<(), RequestOutcome> {
        self.request_model();
        let refused = self.waiter.target_availability() == TargetAvailability::Open;
        if refused && self.started.elapsed() > REFUSAL_TIMEOUT {
            return Err(self.end());
        }
        let most = self.backoff.min(MAX_BACKOFF);
        let backoff = rand::rng().random_range(most / 2..=most);
        let rested = self.waiter.until(tokio::time::sleep(backoff)).await;
        if rested == Err(GivenUp) {
            return Err(self.end());
        }
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.tried.clear();
        Ok(())
    }

    /// Makes the stage's model wanted if no engine has it: nobody else asks for it on behalf of a
    /// request that is not refused.
    fn request_model(&self) {
        let set = self.core.config.current();
        if let Some(model) = &self.spec.model
            && self.service.model_availability(model, &set) == ModelAvailability::Absent
        {
            self.service.record_miss(model);
        }
    }

    /// What the caller is told when the stage is not tried again.
    pub(super) fn end(&self) -> RequestOutcome {
        let stage = &self.spec.name;
        match (self.machine.outcome(), &self.failure) {
            (Some(call::Outcome::Failed), Some((status, body))) => RequestOutcome::Failed {
                stage: stage.clone(),
                status: *status,
                body: body.clone(),
            },
            (Some(call::Outcome::NotRun) | None, _) if !self.has_run => RequestOutcome::NotRun {
                detail: format!("stage {stage}: no target would take it"),
                retry_after: MAX_BACKOFF,
            },
            (Some(call::Outcome::NotRun) | None, _) => RequestOutcome::Unknown {
                detail: format!("stage {stage}: no target would take it; earlier stages have run"),
            },
            _ => RequestOutcome::Unknown {
                detail: format!("stage {stage} may have run"),
            },
        }
    }
}
