//! What a cell knows of results at runners that it does not have.

use super::runner_state::StoredResult;
use crate::downstream::Handle;
use crate::runner::{Runner, RunnerId};
use decide::Map;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Results at runners that are not in the cell: not yet, according to the list of this process, or no
/// longer.
#[derive(Debug, Default)]
pub(super) struct AbsentResults {
    stored: Map<SocketAddr, AtRunner>,
    released: Vec<(Arc<Runner>, Handle)>,
}

/// Results at the runner that listens on an address.
#[derive(Debug, Default)]
struct AtRunner {
    /// Name and start time of the runner, if they are known. A later start has lost the results.
    start: Option<(RunnerId, Option<u64>)>,
    results: Map<Handle, StoredResult>,
}

impl AbsentResults {
    /// Records a stored result, in case its runner joins the cell.
    pub(super) fn store(&mut self, address: SocketAddr, handle: Handle, stored: StoredResult) {
        let at_runner = self.stored.entry(address).or_default();
        at_runner.results.entry(handle).or_insert(stored);
    }

    /// Records a result that a known runner stores, in case the runner joins the cell again.
    pub(super) fn store_at(&mut self, runner: &Runner, handle: Handle, stored: StoredResult) {
        let start = Some((runner.id.clone(), runner.started));
        let at_runner = self.stored.entry(runner.address).or_default();
        if at_runner.start.is_some() && at_runner.start != start {
            at_runner.results.clear();
        }
        at_runner.start = start;
        at_runner.results.entry(handle).or_insert(stored);
    }

    /// Forgets a result that is released elsewhere.
    pub(super) fn forget(&mut self, address: SocketAddr, handle: &Handle) {
        if let Some(at_runner) = self.stored.get_mut(&address) {
            at_runner.results.remove(handle);
        }
    }

    /// Takes the results at a runner that joins the cell, without those of an earlier start.
    pub(super) fn take(&mut self, runner: &Runner) -> Map<Handle, StoredResult> {
        let at_runner = self.stored.remove(&runner.address).unwrap_or_default();
        let is_same_start = |(id, started)| id == runner.id && started == runner.started;
        if at_runner.start.is_none_or(is_same_start) {
            at_runner.results
        } else {
            Map::default()
        }
    }

    /// Forgets the results that have expired.
    pub(super) fn expire(&mut self, now: Instant) {
        self.stored.retain(|_, at_runner| {
            let results = &mut at_runner.results;
            results.retain(|_, stored| stored.expires_at > now);
            !results.is_empty()
        });
    }

    /// Records a released result that its runner still has to be told to drop.
    pub(super) fn release(&mut self, runner: Arc<Runner>, handle: Handle) {
        self.released.push((runner, handle));
    }

    /// Whether there are released results.
    pub(super) fn has_released(&self) -> bool {
        !self.released.is_empty()
    }

    /// Takes the released results, by runner.
    pub(super) fn take_released(&mut self) -> Vec<(Arc<Runner>, Vec<Handle>)> {
        let mut by_runner: Map<SocketAddr, (Arc<Runner>, Vec<Handle>)> = Map::default();
        for (runner, handle) in self.released.drain(..) {
            let entry = by_runner.entry(runner.address);
            entry.or_insert((runner, Vec::new())).1.push(handle);
        }
        by_runner.into_values().collect()
    }
}
