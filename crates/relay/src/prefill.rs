//! The speed at which model runners read prompts, learnt from their responses.

use crate::configuration::ServiceId;
use crate::core::{Relay, lock};
use crate::downstream::Downstream;
use decide::Map;
use decide::route::prefill::{FirstEvent, PrefillEstimator, PrefillSpeed};
use setting::Policy;
use slog::info;

/// Factor by which an estimate has to change to be logged.
const LOGGED_CHANGE: f64 = 1.25;

/// Estimates by service.
#[derive(Debug, Default)]
pub(crate) struct Prefills(Map<ServiceId, ServicePrefill>);

#[derive(Debug, Default)]
struct ServicePrefill {
    estimator: PrefillEstimator,
    /// The speed that was logged last.
    logged: PrefillSpeed,
}

impl<D: Downstream> Relay<D> {
    /// Speed at which the runners of a service read prompts, when they have no other calls.
    #[must_use]
    pub fn prefill_speed(&self, service: &ServiceId) -> PrefillSpeed {
        let prefills = lock(&self.prefills);
        let prefill = prefills.0.get(service);
        prefill.map_or_else(PrefillSpeed::default, |prefill| prefill.estimator.speed())
    }

    /// Learns from a response of a service's runner that has begun.
    pub(crate) fn record_prefill(&self, service: &ServiceId, event: &FirstEvent) {
        if self.options.policy.prefill == Policy::Naive {
            return;
        }
        let (speed, is_logged) = {
            let mut prefills = lock(&self.prefills);
            let prefill = prefills.0.entry(service.clone()).or_default();
            prefill.estimator.record(self.now(), event);
            let speed = prefill.estimator.speed();
            let is_logged = speed.differs(&prefill.logged, LOGGED_CHANGE);
            if is_logged {
                prefill.logged = speed;
            }
            (speed, is_logged)
        };
        self.telemetry.prefill(service, speed.per_token);
        if is_logged {
            info!(self.log, "prefill speed changed"; "service" => &**service,
                "us_per_token" => format!("{:.1}", speed.per_token * 1e6),
                "base_ms" => format!("{:.1}", speed.base * 1e3));
        }
    }
}
