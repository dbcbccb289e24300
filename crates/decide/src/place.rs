//! Assignment of models to engines.
//!
//! The holder of the placement lease calls [`plan`](Placement::plan) periodically and sends the
//! resulting orders to the engines.

use crate::Map;
use crate::route::TargetId;
use std::time::Duration;

/// Name of a model.
pub type ModelName = std::sync::Arc<str>;

/// A model's configured replica limits and its demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Minimum number of warm replicas.
    pub min: u32,
    /// Maximum number of replicas.
    pub max: u32,
    /// Engine time that its calls need, in seconds per second.
    pub demand: f64,
}

/// An engine and the model that it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Name of its VM.
    pub id: TargetId,
    /// Model that it serves or loads.
    pub model: Option<ModelName>,
    /// Whether the model is loaded.
    pub warm: bool,
    /// Whether it accepts new work. An engine that does not gets no orders.
    pub live: bool,
}

/// An order to an engine to load a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub target: TargetId,
    /// Model that replaces the one that the engine holds.
    pub model: ModelName,
}

/// Utilisation of the replicas, from 0 to 1, above which another one is needed.
const SCALE_UP_UTILIZATION: f64 = 0.8;
/// Utilisation, from 0 to 1, that the remaining replicas may not exceed when one is removed.
const SCALE_DOWN_UTILIZATION: f64 = 0.6;
/// Time that a surplus must last before a replica is removed.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(30);

/// Decides which engine loads which model.
#[derive(Clone, Debug)]
pub struct Placement {
    max_loads: u32,
    window: Duration,
    surplus_since: Map<ModelName, Duration>,
    load_starts: Vec<Duration>,
}

impl Placement {
    /// A placement that starts at most `max_loads` loads within any `window`, which is the rate that
    /// the weight store can serve.
    #[must_use]
    pub fn new(max_loads: u32, window: Duration) -> Self {
        Self {
            max_loads,
            window,
            surplus_since: Map::default(),
            load_starts: Vec::new(),
        }
    }

    /// Returns the orders to send now. Never removes a model's last warm replica nor goes below its
    /// minimum, and removes a replica only after a surplus has lasted for a while.
    pub fn plan(&mut self, now: Duration, models: &[Model], engines: &[Engine]) -> Vec<Order> {
        self.load_starts.retain(|then| now < *then + self.window);
        self.update_surplus(now, models, engines);
        let mut engines = engines.to_vec();
        let mut orders = Vec::new();
        while self.load_starts.len() < self.max_loads as usize {
            let Some(order) = self.next_order(now, models, &engines) else {
                break;
            };
            apply(&mut engines, &order);
            self.load_starts.push(now);
            orders.push(order);
        }
        orders
    }

    fn next_order(&self, now: Duration, models: &[Model], engines: &[Engine]) -> Option<Order> {
        let need = |model: &&Model| shortage(model, engines);
        let model = models
            .iter()
            .filter(|model| need(model) > 0.0)
            .max_by(|one, other| need(one).total_cmp(&need(other)))?;
        let target = unassigned(engines).or_else(|| self.reclaimable(now, models, engines))?;
        Some(Order {
            target,
            model: model.name.clone(),
        })
    }

    /// An engine of a model that has had a surplus of replicas for long enough.
    fn reclaimable(&self, now: Duration, models: &[Model], engines: &[Engine]) -> Option<TargetId> {
        let lasting = |model: &&Model| {
            let since = self.surplus_since.get(&model.name);
            since.is_some_and(|since| now.saturating_sub(*since) >= SCALE_DOWN_DELAY)
        };
        models
            .iter()
            .filter(lasting)
            .filter(|model| has_surplus(model, engines))
            .find_map(|model| {
                let mut holders = engines_of(model, engines);
                holders.next().map(|engine| engine.id.clone())
            })
    }

    fn update_surplus(&mut self, now: Duration, models: &[Model], engines: &[Engine]) {
        for model in models {
            if has_surplus(model, engines) {
                self.surplus_since.entry(model.name.clone()).or_insert(now);
            } else {
                self.surplus_since.remove(&model.name);
            }
        }
    }
}

fn engines_of<'a>(model: &'a Model, engines: &'a [Engine]) -> impl Iterator<Item = &'a Engine> {
    engines
        .iter()
        .filter(|engine| engine.live && engine.model.as_ref() == Some(&model.name))
}

/// Number of replicas that the model lacks, where those below its minimum have a higher weight.
fn shortage(model: &Model, engines: &[Engine]) -> f64 {
    let replicas = engines_of(model, engines).count() as f64;
    let (min, max) = (f64::from(model.min), f64::from(model.max));
    if replicas >= max {
        return 0.0;
    }
    if replicas < min {
        return BELOW_MINIMUM_WEIGHT * (min - replicas);
    }
    let wanted = model.demand / SCALE_UP_UTILIZATION;
    (wanted - replicas).max(0.0)
}

/// Weight of a replica below the minimum, relative to one needed for demand.
const BELOW_MINIMUM_WEIGHT: f64 = 1_000.0;

fn has_surplus(model: &Model, engines: &[Engine]) -> bool {
    let replicas = engines_of(model, engines).count();
    let warm = engines_of(model, engines)
        .filter(|engine| engine.warm)
        .count();
    let remaining = replicas.saturating_sub(1);
    warm > 1
        && remaining as u32 >= model.min
        && remaining > 0
        && model.demand / remaining as f64 <= SCALE_DOWN_UTILIZATION
}

fn unassigned(engines: &[Engine]) -> Option<TargetId> {
    engines
        .iter()
        .find(|engine| engine.live && engine.model.is_none())
        .map(|engine| engine.id.clone())
}

fn apply(engines: &mut [Engine], order: &Order) {
    let target = engines.iter_mut().find(|engine| engine.id == order.target);
    if let Some(engine) = target {
        engine.model = Some(order.model.clone());
        engine.warm = false;
    }
}
