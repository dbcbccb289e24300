//! Plans the orders: loads, as decided by [`decide::place`], and the unloads that complete a swap.
//!
//! An engine that is to serve another model loads it first and then unloads the previous one, so a
//! failed load takes no model away. Unloads are derived anew from what the engines hold in each
//! round, so another holder can complete a swap that this one began.

use crate::engine::{EngineView, Order, Verb};
use crate::placement::fleet::{Engine, Fleet};
use crate::placement::rate::Rate;
use crate::target::Target;
use decide::place::{self, Model, ModelName, Placement};
use decide::route::TargetId;
use protocol::FencingToken;
use record::Map;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time that a new holder waits for engines that have not reported their models.
const SURVEY_TIMEOUT: Duration = Duration::from_secs(5);
/// Weight of the previous demand in the exponentially smoothed demand.
const DEMAND_SMOOTHING: f64 = 0.8;

/// Plans of all services under one lease.
#[derive(Debug)]
pub struct Planner {
    fence: Option<FencingToken>,
    fence_since: Instant,
    rate: Rate,
    /// Service for which the last load was ordered.
    last_loaded: Option<String>,
    services: Map<String, ServicePlan>,
}

/// Plan of one service.
#[derive(Debug)]
struct ServicePlan {
    placement: Placement,
    demand: Map<ModelName, f64>,
    /// Model that each engine was last ordered to load.
    assigned: Map<TargetId, ModelName>,
}

/// An order and its target.
pub type PlannedOrder = (Arc<Target>, Order);

impl Planner {
    /// Creates a planner that does not hold the lease.
    #[must_use]
    pub fn new(settings: &setting::Placement) -> Self {
        let span = Duration::from_millis(settings.every_ms);
        Self {
            fence: None,
            fence_since: Instant::now(),
            rate: Rate::new(settings.loads, span),
            last_loaded: None,
            services: Map::default(),
        }
    }

    /// Sets the fencing token that is held. A new token invalidates all plans, since other holders
    /// may have sent orders in between.
    pub fn set_fence(&mut self, held: Option<FencingToken>) {
        if self.fence == held {
            return;
        }
        self.fence = held;
        self.fence_since = Instant::now();
        self.services.clear();
        if held.is_some_and(|fence| fence > 1) {
            self.rate.exhaust(self.fence_since);
        }
    }

    /// Rotates services into their planning order: the one with the last load goes last. Otherwise,
    /// the first one by name could use up the whole load rate of the weight store.
    pub fn rotate(&self, services: &mut [String]) {
        let last_loaded = self.last_loaded.as_ref();
        let position = services.iter().position(|name| Some(name) == last_loaded);
        services.rotate_left(position.map_or(0, |position| position + 1));
    }

    /// Returns the orders to send to one service's engines now.
    pub fn plan(&mut self, service: &str, models: &[Model], fleet: &Fleet) -> Vec<PlannedOrder> {
        if !fleet.is_known() && self.fence_since.elapsed() < SURVEY_TIMEOUT {
            return Vec::new();
        }
        let plan = self
            .services
            .entry(service.to_owned())
            .or_insert_with(ServicePlan::new);
        let models = plan.smooth(models);
        let mut orders = plan.unloads(&models, fleet);
        let loads = plan.loads(self.fence_since.elapsed(), &models, fleet);
        for (engine, order) in loads {
            let now = Instant::now();
            if !is_busy(engine) && self.rate.try_start(now) {
                let assigned = ModelName::from(order.model.as_str());
                plan.assigned.insert(engine.id.clone(), assigned);
                self.last_loaded = Some(service.to_owned());
                orders.push((engine.target.clone(), order));
            }
        }
        orders
    }
}

impl ServicePlan {
    /// The load rate is limited across all services by the planner, so the placement of one service
    /// is not limited.
    fn new() -> Self {
        Self {
            placement: Placement::new(u32::MAX, Duration::ZERO),
            demand: Map::default(),
            assigned: Map::default(),
        }
    }

    /// Returns the models with smoothed demand, which follows bursts within a few rounds but does
    /// not react to a single call.
    fn smooth(&mut self, models: &[Model]) -> Vec<Model> {
        let mut models = models.to_vec();
        for model in &mut models {
            let before = self.demand.entry(model.name.clone()).or_default();
            *before = *before * DEMAND_SMOOTHING + model.demand * (1.0 - DEMAND_SMOOTHING);
            model.demand = *before;
        }
        models
    }

    fn loads<'a>(
        &mut self,
        now: Duration,
        models: &[Model],
        fleet: &'a Fleet,
    ) -> Vec<(&'a Engine, Order)> {
        let describe = |engine: &Engine| self.engine(engine, models, fleet);
        let engines: Vec<_> = fleet.engines.iter().map(describe).collect();
        let orders = self.placement.plan(now, models, &engines);
        let load = |order: place::Order| {
            let engine = fleet.get(&order.target)?;
            let verb = Verb::Load;
            let model = order.model.to_string();
            Some((engine, Order { verb, model }))
        };
        orders.into_iter().filter_map(load).collect()
    }

    fn engine(&self, engine: &Engine, models: &[Model], fleet: &Fleet) -> place::Engine {
        let view = engine.view.as_ref();
        let loading = view.and_then(|view| loading(view, models));
        place::Engine {
            id: engine.id.clone(),
            warm: loading.is_none(),
            model: loading.or_else(|| self.served_model(engine, models, fleet)),
            live: view.is_some(),
        }
    }

    /// Returns the model that an engine serves, among the declared ones that it has loaded: the one
    /// it was last ordered to load, or else the one with the fewest other replicas.
    fn served_model(&self, engine: &Engine, models: &[Model], fleet: &Fleet) -> Option<ModelName> {
        let view = engine.view.as_ref()?;
        let has = |name: &ModelName| view.warm.iter().any(|warm| **warm == **name);
        let assigned = self.assigned.get(&engine.id).filter(|name| has(name));
        let held = models
            .iter()
            .map(|model| &model.name)
            .filter(|name| has(name));
        let rarest = held.min_by_key(|name| (fleet.other_replicas(&engine.id, name), *name));
        assigned.or(rarest).cloned()
    }

    /// Returns the orders to unload models from engines that serve another one. A declared model is
    /// unloaded only while enough other engines have reported it as loaded.
    fn unloads(&self, models: &[Model], fleet: &Fleet) -> Vec<PlannedOrder> {
        let mut fleet = fleet.clone();
        let mut orders = Vec::new();
        for index in 0..fleet.engines.len() {
            let engine = &fleet.engines[index];
            let Some(model) = self.surplus_model(engine, models, &fleet) else {
                continue;
            };
            let verb = Verb::Unload;
            orders.push((
                engine.target.clone(),
                Order {
                    verb,
                    model: model.clone(),
                },
            ));
            // The next engine must not count on the replica that is being unloaded here.
            if let Some(view) = &mut fleet.engines[index].view {
                view.warm.retain(|warm| *warm != model);
            }
        }
        orders
    }

    fn surplus_model(&self, engine: &Engine, models: &[Model], fleet: &Fleet) -> Option<String> {
        let view = engine.view.as_ref()?;
        if view.busy || view.loading.is_some() {
            return None;
        }
        let served_model = self.served_model(engine, models, fleet)?;
        let mut others = view.warm.iter().filter(|name| ***name != *served_model);
        let can_unload = |name: &&String| {
            let declared = models.iter().find(|model| *model.name == ***name);
            declared.is_none_or(|model| {
                let rest = fleet.other_replicas(&engine.id, name);
                rest >= model.min.max(1) as usize
            })
        };
        others.find(can_unload).cloned()
    }
}

/// Returns the declared model that an engine is loading.
fn loading(view: &EngineView, models: &[Model]) -> Option<ModelName> {
    let loading = view.loading.as_deref()?;
    let declared = models.iter().find(|model| *model.name == *loading);
    declared.map(|model| model.name.clone())
}

/// Whether an engine must not receive an order now.
fn is_busy(engine: &Engine) -> bool {
    let view = engine.view.as_ref();
    view.is_none_or(|view| view.busy || view.loading.is_some())
}
