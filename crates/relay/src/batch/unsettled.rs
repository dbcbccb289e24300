//! Calls whose outcome has not been recorded.

use super::Batcher;
use super::batch_call::BatchCall;
use crate::core::{Relay, lock};
use crate::downstream::{Downstream, Failure};
use slog::error;
use std::sync::Arc;
use tokio::runtime::Handle;
use tokio::time::Instant;

/// A call whose outcome has not been recorded. If its task ends before that, the call counts as lost: its slot
/// is free again, and its pieces are sent to another runner.
#[derive(Debug)]
pub(super) struct UnsettledCall<D: Downstream> {
    batcher: Arc<Batcher<D>>,
    relay: Arc<Relay<D>>,
    batch_call: Arc<BatchCall>,
    started_at: Instant,
    is_settled: bool,
}

impl<D: Downstream> UnsettledCall<D> {
    pub(super) fn new(
        batcher: Arc<Batcher<D>>,
        relay: Arc<Relay<D>>,
        batch_call: Arc<BatchCall>,
        started_at: Instant,
    ) -> Self {
        Self {
            batcher,
            relay,
            batch_call,
            started_at,
            is_settled: false,
        }
    }

    /// Records that the outcome of the call has been recorded.
    pub(super) fn settled(mut self) {
        self.is_settled = true;
    }
}

impl<D: Downstream> Drop for UnsettledCall<D> {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        // In a task of its own, since a second panic during unwinding would abort the process. Without a
        // runtime the process has ended.
        if let Ok(runtime) = Handle::try_current() {
            let (batcher, relay) = (self.batcher.clone(), self.relay.clone());
            let (batch_call, started_at) = (self.batch_call.clone(), self.started_at);
            runtime.spawn(async move { batcher.lose(&relay, &batch_call, started_at) });
        }
    }
}

impl<D: Downstream> Batcher<D> {
    /// Records a call whose task has ended without an outcome.
    fn lose(self: &Arc<Self>, relay: &Arc<Relay<D>>, batch_call: &BatchCall, started_at: Instant) {
        error!(relay.log, "stage call ended without an outcome"; "service" => &*self.cell.service,
            "runner" => &*batch_call.runner.id, "requests" => self.requests(batch_call));
        let reason = "the task of the call ended".to_owned();
        let result = Err(Failure::Lost { reason });
        let elapsed = started_at.elapsed();
        // Without a response, no order is complete.
        let _ = lock(&self.state).finish(relay, &self.cell.service, batch_call, result, elapsed);
        self.dispatch(relay);
    }
}
