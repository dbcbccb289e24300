//! Releases of results at the runners of a cell.

use super::{Batcher, ReleaseKind};
use crate::core::{Relay, lock};
use crate::downstream::{CallObserver, Downstream, Handle};
use crate::runner::Runner;
use slog::{Logger, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which results that are no longer needed are collected before their runners are notified.
pub(crate) const RELEASE_DELAY: Duration = Duration::from_millis(25);

impl<D: Downstream> Batcher<D> {
    /// Releases results.
    ///
    /// Some results may have been computed for another process that owned the cell before. They
    /// occupy room here as well, but their size is unknown.
    ///
    /// Returns those at runners that are not in the cell.
    pub fn release(
        self: &Arc<Self>,
        relay: &Arc<Relay<D>>,
        handles: &[Handle],
        kind: ReleaseKind,
    ) -> Vec<Handle> {
        let mut absent = Vec::new();
        let mut state = lock(&self.state);
        let keep = relay.batches(&self.cell.service);
        let expires_at = Instant::now() + keep.map_or(Duration::ZERO, |batches| batches.keep);
        for handle in handles {
            if let Some(address) = relay.downstream.holder(handle) {
                let is_present = match kind {
                    ReleaseKind::Fetched => state.fetched(address, handle),
                    ReleaseKind::Over => state.release(address, handle, expires_at),
                };
                if !is_present {
                    absent.push(handle.clone());
                }
            }
        }
        let awaits_room = keep.is_some_and(|batches| state.awaits_room(batches));
        drop(state);
        if kind == ReleaseKind::Over {
            self.schedule_release(relay);
        }
        if awaits_room {
            self.dispatch(relay);
        }
        absent
    }

    /// Schedules the task that drops released results, if there are any.
    pub(super) fn schedule_release(self: &Arc<Self>, relay: &Arc<Relay<D>>) {
        let mut state = lock(&self.state);
        if state.has_released() && state.schedule_release() {
            tokio::spawn(self.clone().release_pending(relay.clone()));
        }
    }

    /// Drops results that are no longer needed, without waiting for the next call.
    ///
    /// If this process is killed, no other process knows which results are still stored at the
    /// runners, and they occupy room until they expire. A runner that was notified only with its next
    /// call would be filled mostly with such results.
    async fn release_pending(self: Arc<Self>, relay: Arc<Relay<D>>) {
        tokio::time::sleep(RELEASE_DELAY).await;
        let released = lock(&self.state).take_released(&relay);
        for (runner, results) in released {
            tokio::spawn(release(relay.clone(), runner, results));
        }
    }
}

/// Tells a runner to drop results.
pub(crate) async fn release<D: Downstream>(
    relay: Arc<Relay<D>>,
    runner: Arc<Runner>,
    results: Vec<Handle>,
) {
    let observer = relay.load_observer(&runner);
    notify_runner(&relay.downstream, &relay.log, &runner, results, &observer).await;
}

pub(super) async fn notify_runner<D: Downstream>(
    downstream: &D,
    log: &Logger,
    runner: &Runner,
    results: Vec<Handle>,
    observer: &impl CallObserver,
) {
    let count = results.len();
    if count == 0 {
        return;
    }
    if let Err(error) = downstream.release(runner, results, observer).await {
        warn!(log, "failed to release results; they will expire";
            "runner" => &*runner.id, "results" => count, "error" => %error);
    }
}
