//! The cells of stage services and the batchers that form their calls.

use super::{Relay, lock};
use crate::batch::{Batcher, Cell, CellList, CellRunners};
use crate::configuration::{BatchSettings, LAST_RANK, ServiceId};
use crate::downstream::Downstream;
use crate::request::ContentId;
use crate::runner::Runner;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

impl<D: Downstream> Relay<D> {
    /// The batcher that forms the calls of a cell in this process.
    pub fn batcher(&self, cell: &Cell) -> Arc<Batcher<D>> {
        if let Some(batcher) = lock(&self.batchers).get(cell) {
            return batcher.clone();
        }
        let batcher = Arc::new(Batcher::new(cell.clone()));
        batcher.refresh(self);
        lock(&self.batchers)
            .entry(cell.clone())
            .or_insert(batcher)
            .clone()
    }

    /// Chooses the cell that makes the pieces of a request. A cell in `domain` is preferred to any other cell
    /// whose expected wait is not shorter by more than `max_domain_wait`.
    pub fn cell(
        &self,
        service: &ServiceId,
        domain: Option<&str>,
        max_domain_wait: Duration,
    ) -> Cell {
        let cells = self.cells(service);
        let is_near = |cell: &CellRunners| domain.is_some_and(|wanted| cell.is_near(wanted));
        let cost = |candidate: &&CellRunners| {
            let is_distant = domain.is_some() && !is_near(candidate);
            let wait = if is_distant {
                max_domain_wait
            } else {
                Duration::ZERO
            };
            self.peers.expected_wait(self, &candidate.cell, LAST_RANK) + wait
        };
        // Two random cells are compared rather than all, since many processes with the same load reports
        // would all choose the same cell. One cell near the wanted domain is added if there is one.
        let sampled = (0..2).map(|_| &cells[self.random(|rng| rng.random_range(0..cells.len()))]);
        let offset = self.random(|rng| rng.random_range(0..cells.len()));
        let rotated = (0..cells.len()).map(|step| &cells[(offset + step) % cells.len()]);
        let wanted = rotated.filter(|candidate| is_near(candidate)).take(1);
        let chosen = sampled.chain(wanted).min_by_key(cost);
        chosen.map_or_else(|| Cell::first(service), |chosen| chosen.cell.clone())
    }

    /// The cell that makes the pieces of requests during which runners have exited. It is the same for each
    /// attempt, so that a single process sends them to one runner at a time.
    pub(crate) fn suspect_cell(&self, service: &ServiceId, content: ContentId) -> Cell {
        let cells = self.cells(service);
        let index = content as usize % cells.len().max(1);
        let chosen = cells.get(index);
        chosen.map_or_else(|| Cell::first(service), |chosen| chosen.cell.clone())
    }

    /// Starts waiting calls of a service after one of its runners has come back.
    pub(crate) fn restart_calls(self: &Arc<Self>, service: &ServiceId) {
        for batcher in self.batchers_of(service) {
            batcher.dispatch(self);
        }
    }

    /// The batchers that form calls to a service in this process.
    pub(crate) fn batchers_of(&self, service: &ServiceId) -> Vec<Arc<Batcher<D>>> {
        let batchers = lock(&self.batchers);
        let of_service = batchers.iter().filter(|(cell, _)| cell.service == *service);
        of_service.map(|(_, batcher)| batcher.clone()).collect()
    }

    /// The batcher that forms calls to a runner, if there is one in this process.
    pub(crate) fn batcher_of(&self, runner: &Runner) -> Option<Arc<Batcher<D>>> {
        let cell = self.cell_at(&runner.address)?;
        lock(&self.batchers).get(&cell).cloned()
    }

    /// The cells of a service. They are cached until its runners change, since at a thousand runners sorting
    /// them for each piece dominated all other work.
    pub fn cells(&self, service: &ServiceId) -> Arc<CellList> {
        // The lock is held throughout: a list that is read before a change and cached after it would
        // contain a runner that has left.
        let mut cells = lock(&self.cells);
        let form = || {
            let runners = self.fleet(|fleet| fleet.of(service).to_vec());
            Arc::new(CellList::new(Cell::all(
                service,
                &runners.unwrap_or_default(),
            )))
        };
        cells.entry(service.clone()).or_insert_with(form).clone()
    }

    /// The cell of the runner that listens on an address, if it accepts new work.
    #[must_use]
    pub(crate) fn cell_at(&self, address: &SocketAddr) -> Option<Cell> {
        let service = self.fleet(|fleet| Some(fleet.at(address)?.service.clone()))??;
        self.cells(&service).at(address).cloned()
    }

    /// The batch settings of a service in the configuration in force, if its runners take pieces.
    #[must_use]
    pub fn batches(&self, service: &str) -> Option<BatchSettings> {
        self.configuration()?.batches(service)
    }
}
