//! Shared state of an entry.

use crate::answer::Answer;
use crate::answers::Answers;
use crate::budgets::Budgets;
use crate::claim::Claims;
use crate::config::Config;
use crate::execute;
use crate::job::Job;
use crate::journal::Journal;
use crate::news::Exchange;
use crate::peers::Peers;
use crate::placement::lease::Lease;
use crate::prefix;
use crate::server::REST_TIME;
use crate::service::Demand;
use crate::services::Services;
use crate::telemetry::Telemetry;
use crate::writes::Writes;
use decide::budget::StageSchedule;
use record::service::Runner;
use slog::Logger;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use store::{Objects, Table, Vms};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The platform services that an entry needs.
pub trait Platform: Table + Objects + Vms {}

impl<T: Table + Objects + Vms> Platform for T {}

/// State of one entry.
#[derive(Debug)]
pub struct Core<P: Platform> {
    /// Settings that the entry was started with.
    pub settings: setting::Entry,
    /// The platform's services.
    pub platform: P,
    /// Configuration in force.
    pub config: Config<P>,
    /// Claims on idempotency keys.
    pub claims: Claims<P>,
    /// Unique name of this incarnation of the entry.
    pub incarnation: String,
    /// Durable requests, which survive the failure of their entry.
    pub journal: Journal,
    /// Services, their targets and the links to their agents.
    pub services: Services,
    /// Time budgets of the pipelines' stages.
    pub budgets: Budgets,
    /// The other entries.
    pub peers: Peers,
    /// Notifications to and from the other entries, if the settings contain an address for them.
    pub exchange: OnceLock<Exchange>,
    /// Answers of requests that are running or have ended recently.
    pub answers: Answers,
    /// Lease on the right to send orders to engines.
    pub lease: Lease,
    /// Counters and histograms.
    pub telemetry: Telemetry,
    /// Logger for state changes.
    pub log: Logger,
    /// Requests that have not ended; a planned stop waits for them without a time limit.
    pub requests: TaskTracker,
    /// All work for requests, including what is written after they have ended; a planned stop waits
    /// for it for a limited time.
    pub tasks: TaskTracker,
    started: Instant,
    draining: CancellationToken,
}

impl<P: Platform> Core<P> {
    /// Creates an entry that has not yet read its configuration.
    pub fn new(
        settings: setting::Entry,
        platform: P,
        peers: Peers,
        telemetry: Telemetry,
        log: Logger,
    ) -> Self {
        let started = Instant::now();
        let writes = Writes::start(platform.clone());
        Self {
            config: Config::new(platform.clone(), log.clone()),
            claims: Claims::new(platform.clone(), writes.clone()),
            incarnation: format!("{}/{:032x}", settings.id, rand::random::<u128>()),
            journal: Journal::new(writes, Duration::from_millis(settings.journal_beat_ms)),
            services: Services::new(&settings, started),
            budgets: Budgets::new(settings.policy),
            lease: Lease::new(Duration::from_millis(settings.placement.lease_ms)),
            settings,
            platform,
            peers,
            exchange: OnceLock::new(),
            answers: Answers::default(),
            telemetry,
            log,
            requests: TaskTracker::new(),
            tasks: TaskTracker::new(),
            started,
            draining: CancellationToken::new(),
        }
    }

    /// Whether a planned stop has begun, so that new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.is_cancelled()
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        self.draining.cancel();
    }

    /// Waits until the rest of a request that arrived before a planned stop is no longer awaited.
    pub async fn rest_overdue(&self) {
        self.draining.cancelled().await;
        sleep(REST_TIME).await;
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns when a stage of a job should start, and its priority.
    pub fn schedule(&self, job: &Job, position: usize) -> StageSchedule {
        let since = |moment: Instant| moment.saturating_duration_since(self.started);
        let now = since(Instant::now());
        let (arrived, deadline) = (since(job.accepted), since(job.deadline));
        self.budgets
            .schedule(&job.pipeline, position, now, arrived, deadline)
    }

    /// Returns the demand of a stage of a job with this input, for the scheduling decisions.
    pub fn demand(
        &self,
        job: &Job,
        position: usize,
        schedule: &StageSchedule,
        input: &[u8],
    ) -> Demand {
        let workspace = job.set.workspace(&job.workspace);
        let stage = &job.pipeline.stages[position];
        let service = job.set.service(&stage.service);
        let cached = service.is_some_and(|service| service.runner == Runner::Engine);
        Demand {
            workspace: job.workspace.as_str().into(),
            share: workspace.map_or(1, |workspace| workspace.share),
            latest_start: schedule.latest_start,
            prefix: if cached {
                prefix::blocks(input)
            } else {
                Vec::new()
            },
            model: stage.model.clone(),
        }
    }

    /// Notifies the peers of an accepted change, so that they need not wait for their next poll.
    pub fn announce(&self, revision: protocol::Revision) {
        if let Some(exchange) = self.exchange.get() {
            exchange.announce(revision, &self.log);
        }
    }

    /// Runs a job independently of the caller's connection: a caller that disconnects and comes
    /// back finds its answer.
    pub fn spawn(self: &Arc<Self>, job: Arc<Job>) {
        let core = self.clone();
        let answer = job.answer.clone();
        self.track(answer, async move { execute::run(&core, &job).await });
    }

    /// Runs `work`, which finishes an answer, and makes a planned stop wait for it.
    pub fn track(
        self: &Arc<Self>,
        answer: Arc<Answer>,
        work: impl Future<Output = ()> + Send + 'static,
    ) {
        self.answers.insert(answer.clone());
        let ended = answer.clone();
        self.requests.spawn(async move {
            ended.ended().await;
        });
        let core = self.clone();
        self.tasks.spawn(async move {
            work.await;
            core.answers.mark_ended(&answer);
        });
    }
}
