//! Orders of stage pieces.

use relay::batch::{Cell, Order};
use relay::downstream::Source;
use std::time::Duration;
use tokio::time::Instant;

/// An order for pieces of the first stage, due in one second.
pub(crate) fn order(id: &str, pieces: u32) -> Order {
    let now = Instant::now();
    Order {
        id: id.into(),
        stage: 0,
        pieces,
        source: Source::Key("piece".into()),
        inputs: Vec::new(),
        result_bytes: 100,
        due: now + Duration::from_secs(1),
        expires_at: now + Duration::from_secs(4),
        rank: 1,
        domain: None,
        max_domain_wait: Duration::ZERO,
        content: 1,
        trial: false,
    }
}

/// The cell that executes these orders.
pub(crate) fn cell() -> Cell {
    Cell {
        service: "stage".into(),
        index: 0,
    }
}
