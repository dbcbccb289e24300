//! Which models a service's engines hold, and the time that calls for them take.

use super::{Service, State};
use decide::route::TargetId;
use record::{Map, Set};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time at work that a call refused for want of its model is counted as: enough to have the model
/// loaded once, too little to want a second replica.
pub const MISS_BUSY_TIME: Duration = Duration::from_millis(100);

/// Where a model stands in a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelAvailability {
    /// An engine that takes new work has it.
    Warm,
    /// An engine loads it.
    Loading,
    /// An engine is soon to say for the first time what it holds.
    Pending,
    /// No engine has it or loads it.
    Absent,
}

impl Service {
    /// Where a model stands.
    pub fn model_availability(&self, model: &str, set: &Set) -> ModelAvailability {
        let state = self.lock();
        let mut open = state
            .targets
            .values()
            .filter(|target| target.is_open() && !set.drained(&target.vm.id));
        let (mut loading, mut pending) = (false, false);
        let warm = open.any(|target| {
            loading |= target.engine.is_loading(model);
            pending |= target.engine.is_pending();
            target.engine.holds(model)
        });
        match (warm, loading, pending) {
            (true, ..) => ModelAvailability::Warm,
            (_, true, _) => ModelAvailability::Loading,
            (_, _, true) => ModelAvailability::Pending,
            _ => ModelAvailability::Absent,
        }
    }

    /// Notes that a call was refused for want of its model.
    pub fn record_miss(&self, model: &str) {
        let mut state = self.lock();
        state.add_busy_time(model, MISS_BUSY_TIME);
        if !state.missing_models.contains(model) {
            state.missing_models.insert(model.to_owned());
        }
    }

    /// Models that calls were refused or kept waiting for since this was last asked.
    pub fn take_missing_models(&self) -> BTreeSet<String> {
        std::mem::take(&mut self.lock().missing_models)
    }

    /// Time that engines were at work for each model since this was last asked.
    pub fn take_busy(&self) -> Map<String, Duration> {
        std::mem::take(&mut self.lock().busy)
    }
}

impl State {
    /// Notes time at work for a model.
    pub(super) fn add_busy_time(&mut self, model: &str, busy: Duration) {
        match self.busy.get_mut(model) {
            Some(sum) => *sum += busy,
            None => drop(self.busy.insert(model.to_owned(), busy)),
        }
    }

    /// Targets that a call for this model may not go to.
    pub(super) fn targets_lacking(&self, model: &str) -> impl Iterator<Item = TargetId> {
        let cold = self
            .targets
            .iter()
            .filter(move |(_, target)| !target.engine.holds(model));
        cold.map(|(id, _)| id.clone())
    }
}
