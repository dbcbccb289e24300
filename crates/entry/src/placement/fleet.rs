//! One service's engines and their models, as input of the planner.

use crate::engine::EngineView;
use crate::service::models::MISS_BUSY_TIME;
use crate::target::Target;
use decide::place::{self, ModelName};
use decide::route::TargetId;
use protocol::FencingToken;
use record::{Map, RecordSet, Service};
use std::sync::Arc;
use std::time::Duration;

/// An engine that accepts new work.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Id of its VM.
    pub id: TargetId,
    /// Target that orders to it are sent to.
    pub target: Arc<Target>,
    /// Models that it holds; `None` if its last report is out of date or missing.
    pub view: Option<EngineView>,
}

/// Engines of one service that accept new work.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The engines, sorted by id.
    pub engines: Vec<Engine>,
}

impl Fleet {
    /// Collects the engines of these targets, with their reports under a fencing token.
    pub fn survey(targets: &[Arc<Target>], set: &RecordSet, fence: FencingToken) -> Self {
        let open = |target: &&Arc<Target>| target.is_open() && !set.is_drained(&target.vm.id);
        let mut engines: Vec<_> = targets
            .iter()
            .filter(open)
            .map(|target| Engine {
                id: target.vm.id.as_str().into(),
                view: target.engine.view(fence),
                target: target.clone(),
            })
            .collect();
        engines.sort_by(|one, other| one.id.cmp(&other.id));
        Self { engines }
    }

    /// Whether every engine has reported its models.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.engines.iter().all(|engine| engine.view.is_some())
    }

    /// Returns the engine with this id.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.id == *id)
    }

    /// Returns the number of engines other than `id` that have a model loaded.
    #[must_use]
    pub fn other_replicas(&self, id: &TargetId, model: &str) -> usize {
        let others = self.engines.iter().filter(|engine| engine.id != *id);
        others
            .filter_map(|engine| engine.view.as_ref())
            .filter(|view| view.warm.iter().any(|warm| warm == model))
            .count()
    }

    /// Returns the declared models with their demand.
    ///
    /// This entry knows the busy time of its own calls only. The load balancer spreads callers over
    /// all entries, so the other entries are assumed to have the same demand. A model that is
    /// loaded nowhere may be lacking at a single entry, so a model counts as lacking if any entry
    /// reports it.
    #[must_use]
    pub fn demand(
        &self,
        service: &Service,
        busy: &Map<String, Duration>,
        span: Duration,
        entries: usize,
    ) -> Vec<place::Model> {
        let seconds = span.as_secs_f64().max(f64::EPSILON);
        let of = |name: &str| {
            let busy = busy.get(name).copied().unwrap_or_default();
            let lacked = if self.lacks(name) {
                MISS_BUSY_TIME
            } else {
                Duration::ZERO
            };
            (busy.as_secs_f64() * entries as f64).max(lacked.as_secs_f64()) / seconds
        };
        let models = service.models.iter();
        models
            .map(|model| place::Model {
                name: ModelName::from(model.name.as_str()),
                min: model.min,
                max: model.max,
                demand: of(&model.name),
            })
            .collect()
    }

    /// Whether callers of any entry have lacked a model recently.
    fn lacks(&self, model: &str) -> bool {
        let views = self
            .engines
            .iter()
            .filter_map(|engine| engine.view.as_ref());
        let mut wanted = views.flat_map(|view| &view.wanted);
        wanted.any(|wanted| wanted == model)
    }
}
