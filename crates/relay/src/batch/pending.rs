//! Orders of a cell that are not complete.

use super::{Order, Outcome};
use crate::downstream::{Handle, Item};
use crate::runner::Runner;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An order whose pieces are not all done.
#[derive(Debug)]
pub(super) struct PendingOrder {
    pub(super) order: Order,
    pub(super) unsent: Vec<u32>,
    /// The results and the runners that store them.
    pub(super) results: Vec<Option<(Arc<Runner>, Handle)>>,
    pub(super) arrived_at: Instant,
    /// Maximum number of suspect orders in a call that carries its pieces, if the order becomes
    /// suspect.
    pub(super) max_suspects: usize,
    pub(super) reply: oneshot::Sender<Outcome>,
}

impl PendingOrder {
    /// One of the pieces, in the form that is sent to its runner.
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
