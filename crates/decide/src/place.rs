//! Which models are loaded where.
//!
//! State in, orders out: the holder of the placement lease calls [`plan`](Placement::plan) from
//! time to time and sends what it gives to the engines.

use crate::Map;
use crate::route::TargetId;
use std::time::Duration;

/// Name of a model.
pub type ModelName = std::sync::Arc<str>;

/// A model's declared bounds and its demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Replicas kept warm at least.
    pub min: u32,
    /// Replicas at most.
    pub max: u32,
    /// Busy seconds that its calls bring each second.
    pub demand: f64,
}

/// An engine and what it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Name of its VM.
    pub id: TargetId,
    /// Model that it serves, or is loading.
    pub model: Option<ModelName>,
    /// Whether the model is loaded.
    pub warm: bool,
    /// Whether it takes new work; one that does not gets no orders.
    pub live: bool,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub target: TargetId,
    /// Model that it is to serve in place of what it has.
    pub model: ModelName,
}

/// Utilisation of a replica, from 0 to 1, at which another is wanted.
const HIGH: f64 = 0.8;
/// Utilisation, from 0 to 1, that the rest must stay under for a replica to be given up.
const LOW: f64 = 0.6;
/// Time that a surplus must last before a replica is given up.
const PATIENCE: Duration = Duration::from_secs(30);

/// Decides which engine loads which model.
#[derive(Clone, Debug)]
pub struct Placement {
    loads: u32,
    every: Duration,
    surplus: Map<ModelName, Duration>,
    started: Vec<Duration>,
}

impl Placement {
    /// Placement that starts at most `loads` loads in each span of `every`, the rate that the
    /// weight store bears.
    #[must_use]
    pub fn new(loads: u32, every: Duration) -> Self {
        Self {
            loads,
            every,
            surplus: Map::default(),
            started: Vec::new(),
        }
    }

    /// The orders to send now. Never takes a model's last warm replica, nor goes below its
    /// minimum, and gives up a replica only after a lasting surplus.
    pub fn plan(&mut self, now: Duration, models: &[Model], engines: &[Engine]) -> Vec<Order> {
        self.started.retain(|then| now < *then + self.every);
        self.note_surplus(now, models, engines);
        let mut engines = engines.to_vec();
        let mut orders = Vec::new();
        while self.started.len() < self.loads as usize {
            let Some(order) = self.next(now, models, &engines) else {
                break;
            };
            apply(&mut engines, &order);
            self.started.push(now);
            orders.push(order);
        }
        orders
    }

    fn next(&self, now: Duration, models: &[Model], engines: &[Engine]) -> Option<Order> {
        let need = |model: &&Model| shortage(model, engines);
        let model = models
            .iter()
            .filter(|model| need(model) > 0.0)
            .max_by(|one, other| need(one).total_cmp(&need(other)))?;
        let target = free(engines).or_else(|| self.given_up(now, models, engines))?;
        Some(Order {
            target,
            model: model.name.clone(),
        })
    }

    /// An engine of a model that has had more than it needs for long enough.
    fn given_up(&self, now: Duration, models: &[Model], engines: &[Engine]) -> Option<TargetId> {
        let lasting = |model: &&Model| {
            let since = self.surplus.get(&model.name);
            since.is_some_and(|since| now.saturating_sub(*since) >= PATIENCE)
        };
        models
            .iter()
            .filter(lasting)
            .filter(|model| has_surplus(model, engines))
            .find_map(|model| {
                let mut holders = serving(model, engines);
                holders.next().map(|engine| engine.id.clone())
            })
    }

    fn note_surplus(&mut self, now: Duration, models: &[Model], engines: &[Engine]) {
        for model in models {
            if has_surplus(model, engines) {
                self.surplus.entry(model.name.clone()).or_insert(now);
            } else {
                self.surplus.remove(&model.name);
            }
        }
    }
}

fn serving<'a>(model: &'a Model, engines: &'a [Engine]) -> impl Iterator<Item = &'a Engine> {
    engines
        .iter()
        .filter(|engine| engine.live && engine.model.as_ref() == Some(&model.name))
}

/// Replicas that the model lacks, the ones below its minimum counting most.
fn shortage(model: &Model, engines: &[Engine]) -> f64 {
    let have = serving(model, engines).count() as f64;
    let (min, max) = (f64::from(model.min), f64::from(model.max));
    if have >= max {
        return 0.0;
    }
    if have < min {
        return MISSING_WEIGHT * (min - have);
    }
    let wanted = model.demand / HIGH;
    (wanted - have).max(0.0)
}

/// How much more a replica below the minimum counts than one wanted for demand.
const MISSING_WEIGHT: f64 = 1_000.0;

fn has_surplus(model: &Model, engines: &[Engine]) -> bool {
    let have = serving(model, engines).count();
    let warm = serving(model, engines).filter(|engine| engine.warm).count();
    let rest = have.saturating_sub(1);
    warm > 1 && rest as u32 >= model.min && rest > 0 && model.demand / rest as f64 <= LOW
}

fn free(engines: &[Engine]) -> Option<TargetId> {
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
