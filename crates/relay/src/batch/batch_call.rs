//! A call of a cell that is about to be sent.

use crate::configuration::BatchSettings;
use crate::downstream::{Handle, Item};
use crate::request::ContentId;
use crate::runner::Runner;
use decide::batch::GroupId;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A call that takes so many times its expected time is given up: its runner is dark or much
/// slower than the others, and its pieces are better made elsewhere.
const TIMEOUT_FACTOR: f64 = 2.5;
/// Time for the way there and back, and for delays of this process, besides.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(300);

/// A call on its way.
#[derive(Debug)]
pub(super) struct BatchCall {
    pub(super) runner: Arc<Runner>,
    pub(super) portions: Vec<(GroupId, Vec<u32>)>,
    pub(super) items: Vec<Item>,
    /// What the requests ask for whose pieces it carries, each once.
    pub(super) contents: Vec<ContentId>,
    /// Whether it carries nothing but pieces under which runners have ended.
    pub(super) isolated: bool,
    pub(super) released: Vec<Handle>,
    /// Whether the results must be given back before there is room for the call's.
    pub(super) release_first: bool,
    pub(super) slowness: f64,
    pub(super) expected: Duration,
    /// When it is expected to end.
    pub(super) until: Instant,
    pub(super) batches: BatchSettings,
    /// Bytes of its results, and what was believed to be free for them.
    pub(super) needed_bytes: u64,
    pub(super) room: u64,
}

impl BatchCall {
    pub(super) fn timeout(&self) -> Duration {
        self.expected.mul_f64(TIMEOUT_FACTOR) + TIMEOUT_MARGIN
    }
}
