//! A call of a cell to one of its runners.

use crate::configuration::BatchSettings;
use crate::downstream::{Handle, Item};
use crate::request::ContentId;
use crate::runner::Runner;
use decide::batch::GroupId;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Factor on the expected time of a call after which the call is given up. Its runner is then
/// unreachable or much slower than the others, and the pieces are better processed elsewhere.
const TIMEOUT_FACTOR: f64 = 2.5;
/// Added to the timeout of a call for the round trip and for delays of this process.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(300);

/// A call to one runner.
#[derive(Debug)]
pub(super) struct BatchCall {
    pub(super) runner: Arc<Runner>,
    pub(super) portions: Vec<(GroupId, Vec<u32>)>,
    pub(super) items: Vec<Item>,
    /// Content ids of the requests whose pieces the call carries, without duplicates.
    pub(super) contents: Vec<ContentId>,
    /// Whether the call carries only pieces during which runners have exited.
    pub(super) isolated: bool,
    pub(super) released: Vec<Handle>,
    /// Whether results must be dropped before there is room for those of the call.
    pub(super) release_first: bool,
    pub(super) slowness: f64,
    pub(super) expected: Duration,
    /// When the call is expected to end.
    pub(super) expected_end: Instant,
    pub(super) batches: BatchSettings,
    /// Size of the call's results in bytes, and the room that was believed to be free for them.
    pub(super) needed_bytes: u64,
    pub(super) room: u64,
}

impl BatchCall {
    pub(super) fn timeout(&self) -> Duration {
        self.expected.mul_f64(TIMEOUT_FACTOR) + TIMEOUT_MARGIN
    }
}
