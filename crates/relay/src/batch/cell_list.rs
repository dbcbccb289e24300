//! All cells of a service, and in which of them a runner is.

use super::{Cell, CellRunners};
use decide::Map;
use std::net::SocketAddr;
use std::ops::Deref;

/// The cells of a service.
#[derive(Debug)]
pub struct CellList {
    cells: Vec<CellRunners>,
    by_address: Map<SocketAddr, usize>,
}

impl CellList {
    /// Indexes these cells by the addresses of their runners.
    #[must_use]
    pub fn new(cells: Vec<CellRunners>) -> Self {
        let runners = cells.iter().enumerate();
        let runners = runners.flat_map(|(at, cell)| cell.runners.iter().map(move |one| (one, at)));
        let by_address = runners.map(|(runner, at)| (runner.address, at)).collect();
        Self { cells, by_address }
    }

    /// The cell of the runner that listens on an address.
    #[must_use]
    pub fn at(&self, address: &SocketAddr) -> Option<&Cell> {
        Some(&self.cells[*self.by_address.get(address)?].cell)
    }
}

impl Deref for CellList {
    type Target = [CellRunners];

    fn deref(&self) -> &[CellRunners] {
        &self.cells
    }
}
