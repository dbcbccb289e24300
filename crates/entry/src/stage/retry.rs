//! Decides whether a stage is retried and how it ends otherwise.

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

/// Maximum backoff between attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Time after which an accepted request is given up if all targets keep refusing it.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Lowest HTTP status that indicates a fault of the runner rather than of the input.
const SERVER_ERROR: u16 = 500;

impl<P: Platform> StageRun<'_, P> {
    /// Decides whether the stage is retried, and waits for the backoff.
    pub(super) async fn retry(&mut self) -> Result<(), RequestOutcome> {
        let outcome = self.machine.outcome().unwrap_or(call::Outcome::Unknown);
        let blameless = matches!(&self.failure, Some((status, _)) if *status < SERVER_ERROR);
        if !self.machine.may_start() || blameless {
            return Err(self.outcome());
        }
        let last = self.attempts.len().saturating_sub(1);
        let attempt = Attempt::try_from(last).unwrap_or(Attempt::MAX);
        let failure = match self.machine.call(attempt).map(protocol::Call::state) {
            Some(call::State::Ended(call::Outcome::NotRun)) => Failure::NotRun,
            _ => Failure::Ran,
        };
        // A call that no runner has started is not subject to the retry budget.
        if failure == Failure::NotRun {
            return self.back_off().await;
        }
        let backoff = {
            let rng = &mut rand::rng();
            self.service.retry(failure, attempt, rng)
        };
        match backoff {
            Some(backoff) => tokio::time::sleep(backoff).await,
            None if outcome == call::Outcome::NotRun => return self.back_off().await,
            None => return Err(self.outcome()),
        }
        Ok(())
    }

    /// Waits with randomized exponential backoff before the stage is offered to the targets again.
    pub(super) async fn back_off(&mut self) -> Result<(), RequestOutcome> {
        self.request_model();
        let refused = self.waiter.target_availability() == TargetAvailability::Open;
        if refused && self.started.elapsed() > REFUSAL_TIMEOUT {
            return Err(self.outcome());
        }
        let most = self.backoff.min(MAX_BACKOFF);
        let backoff = rand::rng().random_range(most / 2..=most);
        let rested = self.waiter.until(tokio::time::sleep(backoff)).await;
        if rested == Err(GivenUp) {
            return Err(self.outcome());
        }
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.tried.clear();
        Ok(())
    }

    /// Requests the stage's model if no engine has it: no other code requests it for a request that
    /// has been accepted.
    fn request_model(&self) {
        let set = self.core.config.current();
        if let Some(model) = &self.spec.model
            && self.service.model_availability(model, &set) == ModelAvailability::Absent
        {
            self.service.record_miss(model);
        }
    }

    /// Returns the outcome of the request if the stage is not retried.
    pub(super) fn outcome(&self) -> RequestOutcome {
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
