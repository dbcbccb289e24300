//! Whether a stage is tried again, and what its caller is told if not.

use super::Run;
use crate::answer::End;
use crate::core::Platform;
use crate::service::models::Availability;
use crate::wait::GivenUp;
use decide::retry::Failure;
use decide::wait::TargetAvailability;
use protocol::Attempt;
use protocol::call;
use rand::Rng;
use std::time::Duration;

/// Longest pause between attempts.
const PAUSE_MOST: Duration = Duration::from_millis(500);
/// How long an accepted request is offered to targets that all refuse it.
const PATIENCE: Duration = Duration::from_secs(60);
/// Lowest HTTP status that blames the runner rather than the input.
const SERVER_ERROR: u16 = 500;

impl<P: Platform> Run<'_, P> {
    /// Decides whether the stage is tried again, and waits before it is.
    pub(super) async fn again(&mut self) -> Result<(), End> {
        let end = self.machine.outcome().unwrap_or(call::Outcome::Unknown);
        let blameless = matches!(&self.failure, Some((status, _)) if *status < SERVER_ERROR);
        if !self.machine.may_start() || blameless {
            return Err(self.end());
        }
        let last = self.tries.len().saturating_sub(1);
        let attempt = Attempt::try_from(last).unwrap_or(Attempt::MAX);
        let failure = match self.machine.call(attempt).map(protocol::Call::state) {
            Some(call::State::Ended(call::Outcome::NotRun)) => Failure::NotRun,
            _ => Failure::Ran,
        };
        // Work that no runner has started is never given up for lack of a budget.
        if failure == Failure::NotRun {
            return self.rest().await;
        }
        let pause = {
            let rng = &mut rand::rng();
            self.service.retry(failure, attempt, rng)
        };
        match pause {
            Some(pause) => tokio::time::sleep(pause).await,
            None if end == call::Outcome::NotRun => return self.rest().await,
            None => return Err(self.end()),
        }
        Ok(())
    }

    /// Waits for a target that would take the stage; the pauses grow and differ.
    pub(super) async fn rest(&mut self) -> Result<(), End> {
        self.want_model();
        let refused = self.waiter.outlook() == TargetAvailability::Open;
        if refused && self.began.elapsed() > PATIENCE {
            return Err(self.end());
        }
        let most = self.pause.min(PAUSE_MOST);
        let pause = rand::rng().random_range(most / 2..=most);
        let rested = self.waiter.until(tokio::time::sleep(pause)).await;
        if rested == Err(GivenUp) {
            return Err(self.end());
        }
        self.pause = (self.pause * 2).min(PAUSE_MOST);
        self.tried.clear();
        Ok(())
    }

    /// Makes the stage's model wanted if no engine has it: nobody else asks for it on behalf of a
    /// request that is not refused.
    fn want_model(&self) {
        let set = self.core.config.current();
        if let Some(model) = &self.spec.model
            && self.service.availability(model, &set) == Availability::Absent
        {
            self.service.missed(model);
        }
    }

    /// What the caller is told when the stage is not tried again.
    pub(super) fn end(&self) -> End {
        let stage = &self.spec.name;
        match (self.machine.outcome(), &self.failure) {
            (Some(call::Outcome::Failed), Some((status, body))) => End::Failed {
                stage: stage.clone(),
                status: *status,
                body: body.clone(),
            },
            (Some(call::Outcome::NotRun) | None, _) if !self.ran => End::NotRun {
                detail: format!("stage {stage}: no target would take it"),
                retry_after: PAUSE_MOST,
            },
            (Some(call::Outcome::NotRun) | None, _) => End::Unknown {
                detail: format!("stage {stage}: no target would take it; earlier stages have run"),
            },
            _ => End::Unknown {
                detail: format!("stage {stage} may have run"),
            },
        }
    }
}
