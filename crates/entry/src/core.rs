//! What the parts of an entry share.

use crate::claim::Claims;
use crate::config::Config;
use crate::job::Jobs;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::telemetry::Telemetry;
use crate::{execute, job::Job};
use platform::{Objects, Table, Vms};
use slog::Logger;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio_util::task::TaskTracker;

/// Everything that an entry needs of the platform.
pub trait Platform: Table + Objects + Vms {}

impl<T: Table + Objects + Vms> Platform for T {}

/// State of one entry.
#[derive(Debug)]
pub struct Core<P: Platform> {
    /// Settings it was started with.
    pub settings: setting::Entry,
    /// The platform's services.
    pub platform: P,
    /// Records in force.
    pub config: Config<P>,
    /// Claims on idempotency keys.
    pub claims: Claims<P>,
    /// Targets and the links to their agents.
    pub pool: Pool,
    /// The other entries.
    pub peers: Peers,
    /// Requests that run and answers that are kept.
    pub jobs: Jobs,
    /// Counters and histograms.
    pub telemetry: Telemetry,
    /// Lines for changes of state.
    pub log: Logger,
    /// Work that a planned stop waits for.
    pub tasks: TaskTracker,
    draining: AtomicBool,
}

impl<P: Platform> Core<P> {
    /// An entry that has not yet read anything.
    pub fn new(settings: setting::Entry, platform: P, telemetry: Telemetry, log: Logger) -> Self {
        Self {
            config: Config::new(platform.clone(), log.clone()),
            claims: Claims::start(platform.clone()),
            settings,
            platform,
            pool: Pool::default(),
            peers: Peers::default(),
            jobs: Jobs::default(),
            telemetry,
            log,
            tasks: TaskTracker::new(),
            draining: AtomicBool::new(false),
        }
    }

    /// Whether a planned stop has begun, so that new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells the peers that a change was accepted, so that they need not wait for their next poll.
    pub fn announce(&self, revision: protocol::Revision) {
        let _ = revision;
    }

    /// Runs a job apart from the connection that brought it: a caller that goes away and comes
    /// back finds its answer.
    pub fn spawn(self: &Arc<Self>, job: Arc<Job>) {
        let core = self.clone();
        core.jobs.insert(job.clone());
        self.tasks.spawn(async move {
            execute::run(&core, &job).await;
            core.jobs.keep(&job);
        });
    }
}
