//! Metrics of a relay.

use metric::{Latency, Registry};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use store::era::Era;

/// Maximum number of workspaces with their own label; the rest share one. With 14 buckets and 32 classes, a
/// scrape stays under 2 MB whatever clients send.
const MAX_WORKSPACE_LABELS: usize = 64;
/// Maximum number of routes with their own label.
const MAX_CLASS_LABELS: usize = 32;
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabels {
    status: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CutLabels {
    phase: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CreditLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CellLabels {
    cell: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TableAnswerLabels {
    from: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CopyLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Counters and histograms of a relay.
#[derive(Debug)]
pub struct Telemetry {
    latency: Latency,
    ended: Family<StatusLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    batches: Counter,
    pieces: Counter,
    tables: Family<TableAnswerLabels, Counter>,
    copies: Family<CopyLabels, Counter>,
    drained: Gauge,
    credits: Family<CreditLabels, Counter>,
    credits_waiting: Family<CellLabels, Gauge>,
    credit_wait: Histogram,
    chain_estimate_error: Histogram,
    held: Gauge,
    shed: Counter,
    cut_off: Family<CutLabels, Counter>,
    era: Gauge,
    prefill: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    malformed_loads: Family<ServiceLabels, Counter>,
}

impl Telemetry {
    /// Creates the metrics and registers them under the names that the operator documentation explains.
    pub fn new(registry: &mut Registry) -> Self {
        let telemetry = Self {
            latency: Latency::new(
                registry,
                "relay_request_seconds",
                "Time from the arrival of a request to the beginning of its answer",
                MAX_WORKSPACE_LABELS,
                MAX_CLASS_LABELS,
            ),
            ended: Family::default(),
            attempts: Family::default(),
            retries: Family::default(),
            batches: Counter::default(),
            pieces: Counter::default(),
            tables: Family::default(),
            copies: Family::default(),
            drained: Gauge::default(),
            credits: Family::default(),
            credits_waiting: Family::default(),
            credit_wait: metric::latency::histogram(),
            chain_estimate_error: metric::latency::histogram(),
            held: Gauge::default(),
            shed: Counter::default(),
            cut_off: Family::default(),
            era: Gauge::default(),
            prefill: Family::default(),
            malformed_loads: Family::default(),
        };
        registry.register(
            "relay_requests",
            "Requests that were answered, by status",
            telemetry.ended.clone(),
        );
        registry.register(
            "relay_attempts",
            "Calls to runners, by outcome",
            telemetry.attempts.clone(),
        );
        registry.register(
            "relay_retries",
            "Decisions on retries, by whether the bound on retries allowed them",
            telemetry.retries.clone(),
        );
        registry.register(
            "relay_batches",
            "Calls to the runners of stage services",
            telemetry.batches.clone(),
        );
        registry.register(
            "relay_pieces",
            "Pieces in calls to the runners of stage services",
            telemetry.pieces.clone(),
        );
        registry.register(
            "relay_table_answers",
            "Answers to questions for what is new in the platform's tables, by who gave them",
            telemetry.tables.clone(),
        );
        registry.register(
            "relay_configuration_copies",
            "Whole configurations that peers have sent, by whether they were needed",
            telemetry.copies.clone(),
        );
        registry.register(
            "relay_drained_domains",
            "Failure domains whose runners get no new work",
            telemetry.drained.clone(),
        );
        registry.register(
            "relay_poison_requests",
            "Requests that are held back since runners ended under them",
            telemetry.held.clone(),
        );
        registry.register(
            "relay_flow_verdicts",
            "Requests for start credits, by outcome",
            telemetry.credits.clone(),
        );
        registry.register(
            "relay_flow_waiting",
            "Requests that wait for a start credit, by cell of the gate",
            telemetry.credits_waiting.clone(),
        );
        registry.register(
            "relay_flow_wait_seconds",
            "Time from asking for a start credit to the decision",
            telemetry.credit_wait.clone(),
        );
        registry.register(
            "relay_flow_estimate_error_seconds",
            "Difference of the time that the stages of a request took from the expected time",
            telemetry.chain_estimate_error.clone(),
        );
        registry.register(
            "relay_connections_shed",
            "Connections that were closed unread since the process was behind",
            telemetry.shed.clone(),
        );
        registry.register(
            "relay_responses_cut_off",
            "Requests whose connection ended without a complete response, by how far they had got",
            telemetry.cut_off.clone(),
        );
        registry.register(
            "relay_store_era",
            "Times that the table service has come back from an older copy, as far as it was seen",
            telemetry.era.clone(),
        );
        registry.register(
            "relay_prefill_microseconds_per_token",
            "Time that the runners of a service take to read a token of a prompt, as learnt, by service",
            telemetry.prefill.clone(),
        );
        registry.register(
            "relay_malformed_loads",
            "Responses of runners whose load could not be decoded, by service",
            telemetry.malformed_loads.clone(),
        );
        telemetry
    }

    /// Sets the era of the table service.
    pub fn era(&self, era: Era) {
        self.era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Sets the learnt time in seconds that a service's runners take to read a token.
    pub(crate) fn prefill(&self, service: &str, seconds_per_token: f64) {
        let service = service.to_owned();
        let gauge = self.prefill.get_or_create(&ServiceLabels { service });
        gauge.set(seconds_per_token * 1e6);
    }

    /// Counts a response whose load could not be decoded.
    pub(crate) fn malformed_load(&self, service: &str) {
        let service = service.to_owned();
        let labels = ServiceLabels { service };
        self.malformed_loads.get_or_create(&labels).inc();
    }

    /// Counts a decision on a start credit.
    pub(crate) fn credit(&self, outcome: &'static str) {
        self.credits.get_or_create(&CreditLabels { outcome }).inc();
    }

    /// Sets the number of requests that wait at the gate of a cell.
    pub(crate) fn credits_waiting(&self, cell: &str, waiting: usize) {
        let cell = cell.to_owned();
        let gauge = self.credits_waiting.get_or_create(&CellLabels { cell });
        gauge.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    }

    /// Records how long a request waited for a decision on its start credit.
    pub(crate) fn credit_wait(&self, waited: Duration) {
        self.credit_wait.observe(waited.as_secs_f64());
    }

    /// Records by how much the time of a request's stages differed from the expected one.
    pub(crate) fn chain_estimate_error(&self, error: Duration) {
        self.chain_estimate_error.observe(error.as_secs_f64());
    }

    /// Sets the number of quarantined requests.
    pub fn held(&self, requests: usize) {
        self.held.set(i64::try_from(requests).unwrap_or(i64::MAX));
    }

    /// Sets the number of drained failure domains.
    pub fn drained(&self, domains: usize) {
        self.drained.set(i64::try_from(domains).unwrap_or(i64::MAX));
    }

    /// Counts a request, and the time until its response began.
    pub fn answered(&self, workspace: &str, class: &str, status: u16, elapsed: Duration) {
        self.latency.observe(workspace, class, elapsed);
        self.ended.get_or_create(&StatusLabels { status }).inc();
    }

    /// Counts a call to a runner.
    pub fn attempt(&self, outcome: &'static str) {
        self.attempts
            .get_or_create(&AttemptLabels { outcome })
            .inc();
    }

    /// Counts a decision on a retry.
    pub(crate) fn retry(&self, granted: bool) {
        let outcome = if granted { "granted" } else { "refused" };
        self.retries.get_or_create(&RetryLabels { outcome }).inc();
    }

    /// Counts an answer about table changes from a peer or from the table service itself.
    pub fn table_answer(&self, by_peer: bool) {
        let from = if by_peer { "peer" } else { "table" };
        self.tables.get_or_create(&TableAnswerLabels { from }).inc();
    }

    /// Counts a complete configuration received from a peer.
    pub(crate) fn configuration_copy(&self, adopted: bool) {
        let outcome = if adopted { "adopted" } else { "known" };
        self.copies.get_or_create(&CopyLabels { outcome }).inc();
    }

    /// Counts a connection that was closed unread.
    pub fn connection_shed(&self) {
        self.shed.inc();
    }

    /// Counts a request whose connection ended without a complete response.
    pub fn response_cut_off(&self, phase: &'static str) {
        self.cut_off.get_or_create(&CutLabels { phase }).inc();
    }

    /// Counts a call to the runner of a stage service.
    pub fn batch(&self, pieces: usize) {
        self.batches.inc();
        self.pieces.inc_by(pieces as u64);
    }
}

/// Duration in whole milliseconds, for the log.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
