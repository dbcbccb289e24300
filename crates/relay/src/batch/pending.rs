//! Orders of a cell whose pieces are not all made.

use super::{Order, Outcome};
use crate::downstream::{Handle, Item};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An order whose pieces are not all made.
#[derive(Debug)]
pub(super) struct PendingOrder {
    pub(super) order: Order,
    pub(super) unsent: Vec<u32>,
    pub(super) made: Vec<Option<Handle>>,
    pub(super) since: Instant,
    /// Most suspects in a call that carries its pieces, if it becomes one.
    pub(super) max_suspects: usize,
    pub(super) reply: oneshot::Sender<Outcome>,
}

impl PendingOrder {
    /// One of the pieces, as its runner is told of it.
    pub(super) fn item(&self, piece: u32, now: Instant) -> Item {
        Item {
            id: self.order.id.clone(),
            stage: self.order.stage,
            piece,
            remaining: self.order.expires_at.saturating_duration_since(now),
            source: self.order.source.clone(),
        }
    }
}
