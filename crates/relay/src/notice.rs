//! What runners say about themselves in their responses.
//!
//! The platform's list says the same, but later, and not at all while the table service is unavailable.

use crate::core::Relay;
use crate::downstream::{CallObserver, Downstream, Notice};
use crate::runner::Runner;
use slog::info;
use std::time::Duration;

/// Observer of calls that are no work, which runners that accept no more work get as well.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadObserver<'a, D> {
    relay: &'a Relay<D>,
    runner: &'a Runner,
}

impl<D: Downstream> CallObserver for LoadObserver<'_, D> {
    fn is_open(&self) -> bool {
        true
    }

    fn observe(&self, notice: Notice) {
        self.relay.record_load(self.runner, &notice);
    }
}

/// Observer of a call whose response says nothing of interest about its runner, which has left the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unobserved;

impl CallObserver for Unobserved {
    fn is_open(&self) -> bool {
        true
    }

    fn observe(&self, _notice: Notice) {}
}

/// Observer of calls to one runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunnerObserver<'a, D> {
    relay: &'a Relay<D>,
    runner: &'a Runner,
    /// Quota time after which nothing is sent.
    expires_at: Option<Duration>,
}

impl<D> RunnerObserver<'_, D> {
    /// Observer of a call that is withdrawn if it has not been sent by this quota time.
    pub(crate) fn expiring_at(self, expires_at: Option<Duration>) -> Self {
        Self { expires_at, ..self }
    }
}

impl<D: Downstream> CallObserver for RunnerObserver<'_, D> {
    fn is_open(&self) -> bool {
        let is_expired = |expires_at: Duration| expires_at < self.relay.quota_time();
        !self.expires_at.is_some_and(is_expired) && self.relay.is_open(self.runner)
    }

    fn observe(&self, notice: Notice) {
        if notice.leaving {
            self.relay.record_leaving(self.runner);
        }
        if let Some(rest) = notice.rest {
            self.relay.record_rest(self.runner, rest);
        }
        self.relay.record_load(self.runner, &notice);
    }
}

impl<D: Downstream> Relay<D> {
    /// The observer of calls to a runner.
    pub(crate) fn observer<'a>(&'a self, runner: &'a Runner) -> RunnerObserver<'a, D> {
        RunnerObserver {
            relay: self,
            runner,
            expires_at: None,
        }
    }

    /// The observer of calls to a runner that are no work.
    pub(crate) fn load_observer<'a>(&'a self, runner: &'a Runner) -> LoadObserver<'a, D> {
        LoadObserver {
            relay: self,
            runner,
        }
    }

    /// Records the load that a runner reports, where this process forms the runner's calls.
    fn record_load(&self, runner: &Runner, notice: &Notice) {
        if notice.is_load_malformed {
            self.telemetry.malformed_load(&runner.service);
        }
        let Some(slowness) = notice.load.and_then(|load| load.slowness) else {
            return;
        };
        if let Some(batcher) = self.batcher_of(runner) {
            batcher.record_slowness(runner, slowness);
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
