//! Metrics of an agent: counters, gauges and histograms.

use crate::answer::{AnswerError, RunOutcome};
use metric::LabelLimiter;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;
use wire::Refusal;

/// Maximum number of stages that get a label of their own.
const MAX_STAGE_LABELS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    end: OutcomeLabel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    stage: String,
}

/// How a call that was sent to the runner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum OutcomeLabel {
    /// The answer was complete.
    Done,
    /// The runner answered with an error.
    Fail,
    /// The answer was lost, incomplete, or belonged to another call.
    Break,
    /// The runner did not start the call.
    NotRun,
}

/// Metrics of an agent.
#[derive(Debug)]
pub(crate) struct Telemetry {
    pub(crate) offers: Counter,
    pub(crate) starts: Counter,
    pub(crate) duplicates: Counter,
    pub(crate) strays: Counter,
    pub(crate) recalls: Counter,
    pub(crate) rejected: Counter,
    pub(crate) queued: Gauge,
    pub(crate) running: Gauge,
    pub(crate) links: Gauge,
    refusals: Family<RefusalLabels, Counter>,
    ends: Family<OutcomeLabels, Counter>,
    wait: Family<StageLabels, Histogram>,
    busy: Family<StageLabels, Histogram>,
    stages: LabelLimiter,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_25, 2.0, 18))
}

impl Telemetry {
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let telemetry = Self {
            offers: Counter::default(),
            starts: Counter::default(),
            duplicates: Counter::default(),
            strays: Counter::default(),
            recalls: Counter::default(),
            rejected: Counter::default(),
            queued: Gauge::default(),
            running: Gauge::default(),
            links: Gauge::default(),
            refusals: Family::default(),
            ends: Family::default(),
            wait: Family::new_with_constructor(latency_histogram),
            busy: Family::new_with_constructor(latency_histogram),
            stages: LabelLimiter::new(MAX_STAGE_LABELS),
        };
        telemetry.register(registry.sub_registry_with_prefix("linnetdrift_agent"));
        telemetry
    }

    fn register(&self, registry: &mut Registry) {
        let counters = [
            ("offers", "Calls offered by entries", &self.offers),
            (
                "starts",
                "Calls taken by the runner's connection",
                &self.starts,
            ),
            (
                "duplicates",
                "Repeated frames or events dropped",
                &self.duplicates,
            ),
            (
                "strays",
                "Frames or events of no known call dropped",
                &self.strays,
            ),
            ("recalls", "Answers asked for again", &self.recalls),
            (
                "rejected",
                "Connections whose handshake failed",
                &self.rejected,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            ("queued", "Calls that wait for a slot", &self.queued),
            ("running", "Slots of the runner in use", &self.running),
            ("links", "Links to entries", &self.links),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register("refusals", "Calls refused", self.refusals.clone());
        registry.register("ends", "Ends of calls", self.ends.clone());
        let wait = self.wait.clone();
        registry.register_with_unit("queue_wait", "Wait for a slot", Unit::Seconds, wait);
        let busy = self.busy.clone();
        registry.register_with_unit("runner_time", "Time at the runner", Unit::Seconds, busy);
    }

    pub(crate) fn count_refusal(&self, reason: Refusal) {
        let reason = match reason {
            Refusal::Full => "full",
            Refusal::Leaving => "leaving",
            Refusal::Revoked => "revoked",
            Refusal::Denied => "denied",
            Refusal::Unreachable => "unreachable",
            Refusal::Misdirected => "misdirected",
            Refusal::Forgotten => "forgotten",
        };
        self.refusals.get_or_create(&RefusalLabels { reason }).inc();
    }

    pub(crate) fn count_outcome(&self, end: &Result<RunOutcome, AnswerError>) {
        let end = match end {
            Ok(RunOutcome::Complete { .. }) => OutcomeLabel::Done,
            Ok(RunOutcome::Failed { .. }) => OutcomeLabel::Fail,
            Ok(RunOutcome::NotRun { .. }) => OutcomeLabel::NotRun,
            Err(_) => OutcomeLabel::Break,
        };
        self.ends.get_or_create(&OutcomeLabels { end }).inc();
        if end == OutcomeLabel::NotRun {
            self.count_refusal(Refusal::Unreachable);
        }
    }

    pub(crate) fn observe_wait(&self, stage: &str, time: Duration) {
        self.observe(&self.wait, stage, time);
    }

    pub(crate) fn observe_runner_time(&self, stage: &str, time: Duration) {
        self.observe(&self.busy, stage, time);
    }

    fn observe(&self, family: &Family<StageLabels, Histogram>, stage: &str, time: Duration) {
        let stage = self.stages.label(stage).to_owned();
        family
            .get_or_create(&StageLabels { stage })
            .observe(time.as_secs_f64());
    }
}
