//! Counters and histograms of an entry.

pub mod placement;

use crate::answer::RequestOutcome;
use crate::job::Job;
use metric::{LabelLimiter, Latency, Registry, latency};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use std::time::Duration;

/// Maximum number of workspaces with their own label; the others share one. With 14 buckets, 4
/// classes and 256 workspaces, a scrape stays near 1 MB regardless of what callers send.
const MAX_WORKSPACES: usize = 256;
/// Maximum number of classes with their own label.
const MAX_CLASSES: usize = 4;
/// Maximum number of stages with their own label.
const MAX_STAGES: usize = 128;
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    stage: String,
    outcome: &'static str,
}

/// Counters and histograms of an entry.
#[derive(Debug)]
pub struct Telemetry {
    stages: LabelLimiter,
    latency: Latency,
    ended: Family<RequestLabels, Counter>,
    attempts: Family<AttemptLabels, Histogram>,
    refused: Counter,
    hedges: Counter,
    dropped: Counter,
    /// Metrics of orders to engines.
    pub placement: placement::Placement,
}

impl Telemetry {
    /// Creates the metrics and registers them under their documented names.
    pub fn new(registry: &mut Registry) -> Self {
        let telemetry = Self {
            stages: LabelLimiter::new(MAX_STAGES),
            latency: Latency::new(
                registry,
                "entry_request_seconds",
                "Time from acceptance to the end of a request",
                MAX_WORKSPACES,
                MAX_CLASSES,
            ),
            ended: Family::default(),
            attempts: Family::new_with_constructor(latency::histogram),
            refused: Counter::default(),
            hedges: Counter::default(),
            dropped: Counter::default(),
            placement: placement::Placement::new(registry),
        };
        registry.register(
            "entry_requests",
            "Requests that ended, by outcome",
            telemetry.ended.clone(),
        );
        registry.register(
            "entry_attempt_seconds",
            "Time of one attempt of a stage, by outcome",
            telemetry.attempts.clone(),
        );
        registry.register(
            "entry_refused",
            "Requests refused before they were accepted",
            telemetry.refused.clone(),
        );
        registry.register(
            "entry_hedges",
            "Second copies of calls sent while the first was under way",
            telemetry.hedges.clone(),
        );
        registry.register(
            "entry_dropped_messages",
            "Messages that were duplicates or belonged to no current attempt",
            telemetry.dropped.clone(),
        );
        telemetry
    }

    /// Counts a request that was refused before it was accepted.
    pub fn record_refusal(&self) {
        self.refused.inc();
    }

    /// Counts a request that has ended.
    pub fn record_request(&self, job: &Job, outcome: &RequestOutcome) {
        let outcome = match outcome {
            RequestOutcome::Complete { late: false } => "on_time",
            RequestOutcome::Complete { late: true } => "late",
            RequestOutcome::NotRun { .. } => "not_run",
            RequestOutcome::Unknown { .. } => "unknown",
            RequestOutcome::Elsewhere { .. } => "repeated",
            RequestOutcome::Mismatch => "mismatch",
            RequestOutcome::Failed { .. } => "failed",
        };
        self.ended.get_or_create(&RequestLabels { outcome }).inc();
        let taken = job.accepted.elapsed();
        self.latency.observe(&job.workspace, &job.class, taken);
    }

    /// Records an attempt that has ended.
    pub fn record_attempt(&self, stage: &str, outcome: &'static str, taken: Duration) {
        let stage = self.stages.label(stage).to_owned();
        self.attempts
            .get_or_create(&AttemptLabels { stage, outcome })
            .observe(taken.as_secs_f64());
    }

    /// Counts a hedged call.
    pub fn record_hedge(&self) {
        self.hedges.inc();
    }

    /// Counts a message that was a duplicate or belonged to no current attempt.
    pub fn record_dropped_message(&self) {
        self.dropped.inc();
    }
}
