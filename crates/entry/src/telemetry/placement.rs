//! Counters and gauges of orders to engines.

use crate::engine::Verb;
use crate::placement::order::Outcome;
use crate::target::Target;
use metric::Registry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use record::Service;
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    order: &'static str,
    outcome: &'static str,
}

/// Only models that are declared in a record get labels.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ModelLabels {
    service: String,
    model: String,
}

/// Counters and gauges of orders to engines.
#[derive(Debug, Default)]
pub struct Placement {
    held: Gauge,
    sent: Family<OrderLabels, Counter>,
    ended: Family<OutcomeLabels, Counter>,
    warm: Family<ModelLabels, Gauge>,
}

impl Placement {
    /// Creates the metrics and registers them under their documented names.
    pub fn new(registry: &mut Registry) -> Self {
        let own = Self::default();
        registry.register(
            "entry_placement_lease_held",
            "Whether this entry may give orders to engines",
            own.held.clone(),
        );
        registry.register(
            "entry_placement_orders_sent",
            "Orders sent to engines",
            own.sent.clone(),
        );
        registry.register(
            "entry_placement_orders",
            "Orders that are over, by outcome",
            own.ended.clone(),
        );
        registry.register(
            "entry_models_warm",
            "Engines that have a model loaded and take new work",
            own.warm.clone(),
        );
        own
    }

    /// Records whether the lease is held.
    pub fn set_held(&self, held: bool) {
        self.held.set(i64::from(held));
    }

    /// Counts an order that was sent.
    pub fn record_sent(&self, verb: Verb) {
        let order = name(verb);
        self.sent.get_or_create(&OrderLabels { order }).inc();
    }

    /// Counts an order that has ended.
    pub fn record_outcome(&self, verb: Verb, outcome: Outcome) {
        let (order, outcome) = (name(verb), outcome.name());
        self.ended
            .get_or_create(&OutcomeLabels { order, outcome })
            .inc();
    }

    /// Records how many engines have loaded each declared model.
    pub fn update_warm(&self, service: &Service, targets: &[Arc<Target>]) {
        for model in &service.models {
            let holds =
                |target: &&Arc<Target>| target.is_open() && target.engine.holds(&model.name);
            let count = targets.iter().filter(holds).count();
            let loaded = ModelLabels {
                service: service.name.clone(),
                model: model.name.clone(),
            };
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.warm.get_or_create(&loaded).set(count);
        }
    }
}

fn name(verb: Verb) -> &'static str {
    match verb {
        Verb::Load => "load",
        Verb::Unload => "unload",
    }
}
