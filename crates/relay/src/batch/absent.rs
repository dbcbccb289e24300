//! What a cell knows of results at runners that it does not have.

use super::runner_state::StoredResult;
use crate::downstream::Handle;
use crate::runner::Runner;
use decide::Map;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Results at runners that are not in the cell: not yet, according to the list of this process, or no
/// longer.
#[derive(Debug, Default)]
pub(super) struct AbsentResults {
    stored: Map<SocketAddr, Map<Handle, StoredResult>>,
    released: Vec<(Arc<Runner>, Handle)>,
}

impl AbsentResults {
    /// Records a stored result, in case its runner joins the cell.
    pub(super) fn store(&mut self, address: SocketAddr, handle: Handle, stored: StoredResult) {
        let at_runner = self.stored.entry(address).or_default();
        at_runner.entry(handle).or_insert(stored);
    }

    /// Forgets a result that is released elsewhere.
    pub(super) fn forget(&mut self, address: SocketAddr, handle: &Handle) {
        if let Some(at_runner) = self.stored.get_mut(&address) {
            at_runner.remove(handle);
        }
    }

    /// Takes the results at a runner that joins the cell.
    pub(super) fn take(&mut self, address: SocketAddr) -> Map<Handle, StoredResult> {
        self.stored.remove(&address).unwrap_or_default()
    }

    /// Forgets the results that have expired.
    pub(super) fn expire(&mut self, now: Instant) {
        self.stored.retain(|_, at_runner| {
            at_runner.retain(|_, stored| stored.expires_at > now);
            !at_runner.is_empty()
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
