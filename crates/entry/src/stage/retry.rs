//! Whether a stage is tried again, and what its caller is told if not.

use super::Run;
use crate::answer::End;
use crate::core::Platform;
use crate::service::models::Availability;
use decide::retry::Failure;
use protocol::Attempt;
use protocol::call;
use rand::Rng;
use std::time::Duration;

/// Longest pause between attempts.
const PAUSE_MOST: Duration = Duration::from_millis(500);
/// How long an accepted request waits for a target that would take its next stage.
const PATIENCE: Duration = Duration::from_secs(60);
/// Lowest HTTP status that blames the runner rather than the input.
const SERVER_ERROR: u16 = 500;

impl<P: Platform> Run<'_, P> {
    /// Decides whether the stage is tried again, and waits before it is.
    pub(super) async fn again(&mut self) -> Result<(), End> {
        let end = self.machine.end().unwrap_or(call::End::Unknown);
        let blameless = matches!(&self.failure, Some((status, _)) if *status < SERVER_ERROR);
        if !self.machine.may_start() || blameless {
            return Err(self.end());
        }
        let last = self.tries.len().saturating_sub(1);
        let attempt = Attempt::try_from(last).unwrap_or(Attempt::MAX);
        let failure = match self.machine.call(attempt).map(protocol::Call::state) {
            Some(call::State::Ended(call::End::NotRun)) => Failure::NotRun,
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
            None if end == call::End::NotRun => return self.rest().await,
            None => return Err(self.end()),
        }
        Ok(())
    }

    /// Waits for a target that would take the stage; the pauses grow and differ.
    pub(super) async fn rest(&mut self) -> Result<(), End> {
        let awaits = self.awaits_model();
        if self.began.elapsed() > PATIENCE && !awaits {
            return Err(self.end());
        }
        let most = self.pause.min(PAUSE_MOST);
        let pause = rand::rng().random_range(most / 2..=most);
        tokio::time::sleep(pause).await;
        self.pause = (self.pause * 2).min(PAUSE_MOST);
        self.tried.clear();
        Ok(())
    }

    /// Whether the stage waits for a model that operators still want loaded. A load may take far
    /// longer than any other wait, and the accepted request is to come late rather than never.
    pub(super) fn awaits_model(&self) -> bool {
        let set = self.core.config.current();
        let Some(model) = &self.spec.model else {
            return false;
        };
        let availability = self.service.availability(model, &set);
        if availability == Availability::Absent {
            // Nobody else asks for the model on behalf of a request that is not refused.
            self.service.missed(model);
        }
        let service = set.service(&self.spec.service);
        service.is_some_and(|service| service.declares(model)) && availability != Availability::Warm
    }

    /// What the caller is told when the stage is not tried again.
    pub(super) fn end(&self) -> End {
        let stage = &self.spec.name;
        match (self.machine.end(), &self.failure) {
            (Some(call::End::Failed), Some((status, body))) => End::Failed {
                stage: stage.clone(),
                status: *status,
                body: body.clone(),
            },
            (Some(call::End::NotRun) | None, _) if !self.ran => End::NotRun {
                detail: format!("stage {stage}: no target would take it"),
                retry_after: PAUSE_MOST,
            },
            (Some(call::End::NotRun) | None, _) => End::Unknown {
                detail: format!("stage {stage}: no target would take it; earlier stages have run"),
            },
            _ => End::Unknown {
                detail: format!("stage {stage} may have run"),
            },
        }
    }
}
