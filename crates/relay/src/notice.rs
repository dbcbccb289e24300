//! What runners say about themselves in their responses.
//!
//! The platform's list says the same, but later, and not at all while the table service is unavailable.

use crate::core::Relay;
use crate::downstream::{CallObserver, Downstream, Notice};
use crate::runner::Runner;
use slog::info;

/// Observer of calls to one runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunnerObserver<'a, D> {
    relay: &'a Relay<D>,
    runner: &'a Runner,
}

impl<D: Downstream> CallObserver for RunnerObserver<'_, D> {
    fn is_open(&self) -> bool {
        self.relay.is_open(self.runner)
    }

    fn observe(&self, notice: Notice) {
        if notice.leaving {
            self.relay.record_leaving(self.runner);
        }
        if let Some(rest) = notice.rest {
            self.relay.record_rest(self.runner, rest);
        }
    }
}

impl<D: Downstream> Relay<D> {
    /// The observer of calls to a runner.
    pub(crate) fn observer<'a>(&'a self, runner: &'a Runner) -> RunnerObserver<'a, D> {
        RunnerObserver {
            relay: self,
            runner,
        }
    }

    /// Records that a runner has said that it is shutting down. It gets no new work until it has started
    /// again.
    fn record_leaving(&self, runner: &Runner) {
        if self.mark_leaving(runner) {
            info!(self.log, "runner leaving according to its response"; "runner" => &*runner.id,
                "service" => &*runner.service);
        }
    }
}
