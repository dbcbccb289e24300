//! Calls that wait for a target, and the limits of their waits.

use crate::caller::format_id;
use crate::core::{Core, Platform};
use crate::job::Job;
use crate::service::Service;
use crate::service::models::ModelAvailability;
use decide::wait::{TargetAvailability, Wait, WaitDecision, WaitLimits};
use futures::FutureExt;
use protocol::RequestId;
use record::RecordSet;
use slog::info;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Maximum interval between checks of a waiting call.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Waits up to this length occur in any burst and are not logged.
const UNLOGGED_WAIT: Duration = Duration::from_secs(1);
/// Limits for a request of which nothing has run. It can still be refused as *not run*, and is
/// refused within a second of the time at which a new request would be.
const NOT_RUN_LIMITS: WaitLimits = WaitLimits {
    closed: Duration::from_millis(500),
    unknown: Duration::from_secs(6),
    total: Duration::from_secs(3_600),
};
/// Limits for a request of which stages have run, since no other request can continue it.
const PARTLY_RUN_LIMITS: WaitLimits = WaitLimits {
    closed: Duration::from_secs(300),
    unknown: Duration::from_secs(300),
    ..NOT_RUN_LIMITS
};

/// A call that waits for a target, a permit or a model.
pub struct Waiter<'a, P: Platform> {
    core: &'a Arc<Core<P>>,
    service: Arc<Service>,
    request: RequestId,
    stage: &'a record::Stage,
    wait: Wait,
    logged: bool,
}

/// The call was given up because no target took it within the limits of its wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp;

impl<'a, P: Platform> Waiter<'a, P> {
    /// Starts the wait of a stage; `may_have_run` says whether any part of the request may have
    /// run.
    pub fn new(core: &'a Arc<Core<P>>, job: &'a Job, position: usize, may_have_run: bool) -> Self {
        let stage = &job.pipeline.stages[position];
        let limits = if may_have_run {
            PARTLY_RUN_LIMITS
        } else {
            NOT_RUN_LIMITS
        };
        Self {
            core,
            service: core.services.get(&stage.service),
            request: job.id,
            stage,
            wait: Wait::new(limits, core.now()),
            logged: false,
        }
    }

    /// Waits for `work` unless the call is given up first.
    ///
    /// # Errors
    ///
    /// Returns [`GivenUp`]; the reason is logged.
    pub async fn until<T>(&mut self, work: impl Future<Output = T>) -> Result<T, GivenUp> {
        let mut work = std::pin::pin!(work);
        // Most calls get their permit immediately, so the target availability need not be checked.
        if let Some(done) = work.as_mut().now_or_never() {
            return Ok(done);
        }
        loop {
            let pause = self.check()?;
            tokio::select! {
                biased;
                done = &mut work => return Ok(done),
                () = sleep(pause) => {}
            }
        }
    }

    /// Records that a target took the call: later obstacles are timed from then on.
    pub fn record_target_found(&mut self) {
        self.wait.observe(TargetAvailability::Open, self.core.now());
    }

    /// Checks whether the call can still get a target. Returns the time until the next check.
    fn check(&mut self) -> Result<Duration, GivenUp> {
        let now = self.core.now();
        let target_availability = self.target_availability();
        let decision = self.wait.observe(target_availability, now);
        self.log(target_availability, decision);
        match decision {
            WaitDecision::Wait { until } => Ok(until.saturating_sub(now).min(MAX_CHECK_INTERVAL)),
            WaitDecision::GiveUp { .. } => Err(GivenUp),
        }
    }

    /// Returns whether the call can get a target in the current state.
    pub fn target_availability(&self) -> TargetAvailability {
        let set = self.core.config.current();
        target_availability(&self.service, self.stage.model.as_deref(), &set)
    }

    fn log(&mut self, target_availability: TargetAvailability, decision: WaitDecision) {
        let now = self.core.now();
        let is_short = target_availability == TargetAvailability::Open
            && self.wait.elapsed(now) < UNLOGGED_WAIT;
        let (message, until) = match decision {
            WaitDecision::Wait { .. } if self.logged || is_short => return,
            WaitDecision::Wait { until } => ("call is waiting", until),
            WaitDecision::GiveUp { .. } => ("call gave up waiting", now),
        };
        self.logged = true;
        let queue = self.service.queue();
        info!(self.core.log, "{}", message; "request" => format_id(self.request),
            "stage" => &self.stage.name, "service" => &self.stage.service, "model" => &self.stage.model,
            "outlook" => target_availability.name(), "revision" => self.core.config.revision(),
            "waiting" => queue.waiting, "in_flight" => queue.in_flight, "limit" => queue.limit,
            "waited_ms" => millis(self.wait.elapsed(now)),
            "bound_ms" => millis(self.wait.elapsed(until)));
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns whether a call of a service, optionally for a model, can get a target.
#[must_use]
pub fn target_availability(
    service: &Service,
    model: Option<&str>,
    set: &RecordSet,
) -> TargetAvailability {
    if !service.is_served(set) {
        return TargetAvailability::Closed;
    }
    let Some(model) = model else {
        return TargetAvailability::Open;
    };
    match service.model_availability(model, set) {
        ModelAvailability::Warm => TargetAvailability::Open,
        ModelAvailability::Loading => TargetAvailability::Loading,
        ModelAvailability::Pending => TargetAvailability::Unknown,
        ModelAvailability::Absent => TargetAvailability::Closed,
    }
}
