//! Which models a service's engines hold, and the time that calls for them take.

use super::{Service, State};
use decide::route::TargetId;
use record::{Map, RecordSet};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time at work that a call refused for want of its model is counted as: enough to have the model
/// loaded once, too little to want a second replica.
pub const MISSED: Duration = Duration::from_millis(100);

/// Where a model stands in a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
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
    pub fn availability(&self, model: &str, set: &RecordSet) -> Availability {
        let state = self.lock();
        let mut open = state
            .targets
            .values()
            .filter(|target| target.is_open() && !set.is_drained(&target.vm.id));
        let (mut loading, mut pending) = (false, false);
        let warm = open.any(|target| {
            loading |= target.engine.is_loading(model);
            pending |= target.engine.is_pending();
            target.engine.holds(model)
        });
        match (warm, loading, pending) {
            (true, ..) => Availability::Warm,
            (_, true, _) => Availability::Loading,
            (_, _, true) => Availability::Pending,
            _ => Availability::Absent,
        }
    }

    /// Notes that a call was refused for want of its model.
    pub fn missed(&self, model: &str) {
        let mut state = self.lock();
        state.spend(model, MISSED);
        if !state.missed.contains(model) {
            state.missed.insert(model.to_owned());
        }
    }

    /// Models that calls were refused or kept waiting for since this was last asked.
    pub fn take_missed(&self) -> BTreeSet<String> {
        std::mem::take(&mut self.lock().missed)
    }

    /// Time that engines were at work for each model since this was last asked.
    pub fn take_busy(&self) -> Map<String, Duration> {
        std::mem::take(&mut self.lock().busy)
    }
}

impl State {
    /// Notes time at work for a model.
    pub(super) fn spend(&mut self, model: &str, busy: Duration) {
        match self.busy.get_mut(model) {
            Some(sum) => *sum += busy,
            None => drop(self.busy.insert(model.to_owned(), busy)),
        }
    }

    /// Targets that a call for this model may not go to.
    pub(super) fn without(&self, model: &str) -> impl Iterator<Item = TargetId> {
        let cold = self
            .targets
            .iter()
            .filter(move |(_, target)| !target.engine.holds(model));
        cold.map(|(id, _)| id.clone())
    }
}
