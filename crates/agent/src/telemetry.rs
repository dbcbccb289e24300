//! Counters, gauges and histograms of an agent.

use crate::answer::{End, Fault};
use metric::LabelLimiter;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;
use wire::Refusal;

/// Stages that get a label of their own.
const STAGES: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    end: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Stage {
    stage: String,
}

/// How a call that was sent to the runner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum Outcome {
    /// Whole answer.
    Done,
    /// The runner answered with an error.
    Fail,
    /// The answer was lost, cut short or another's.
    Break,
    /// The runner did not start it.
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
    refusals: Family<Reason, Counter>,
    ends: Family<Ended, Counter>,
    wait: Family<Stage, Histogram>,
    busy: Family<Stage, Histogram>,
    stages: LabelLimiter,
}

fn latency() -> Histogram {
    Histogram::new(exponential_buckets(0.000_25, 2.0, 18))
}

impl Telemetry {
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let own = Self {
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
            wait: Family::new_with_constructor(latency),
            busy: Family::new_with_constructor(latency),
            stages: LabelLimiter::new(STAGES),
        };
        own.register(registry.sub_registry_with_prefix("linnetdrift_agent"));
        own
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

    pub(crate) fn refused(&self, reason: Refusal) {
        let reason = match reason {
            Refusal::Full => "full",
            Refusal::Leaving => "leaving",
            Refusal::Revoked => "revoked",
            Refusal::Denied => "denied",
            Refusal::Unreachable => "unreachable",
            Refusal::Misdirected => "misdirected",
            Refusal::Forgotten => "forgotten",
        };
        self.refusals.get_or_create(&Reason { reason }).inc();
    }

    pub(crate) fn ended(&self, end: &Result<End, Fault>) {
        let end = match end {
            Ok(End::Whole { .. }) => Outcome::Done,
            Ok(End::Failed { .. }) => Outcome::Fail,
            Ok(End::NotRun { .. }) => Outcome::NotRun,
            Err(_) => Outcome::Break,
        };
        self.ends.get_or_create(&Ended { end }).inc();
        if end == Outcome::NotRun {
            self.refused(Refusal::Unreachable);
        }
    }

    pub(crate) fn waited(&self, stage: &str, time: Duration) {
        self.observe(&self.wait, stage, time);
    }

    pub(crate) fn busy(&self, stage: &str, time: Duration) {
        self.observe(&self.busy, stage, time);
    }

    fn observe(&self, family: &Family<Stage, Histogram>, stage: &str, time: Duration) {
        let stage = self.stages.label(stage).to_owned();
        family
            .get_or_create(&Stage { stage })
            .observe(time.as_secs_f64());
    }
}
