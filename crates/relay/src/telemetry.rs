//! Counters and histograms of a relay.

use metric::{Bound, Registry};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use std::time::Duration;

/// Workspaces with a label of their own; the rest share one. With 16 buckets and 32 classes a
/// scrape stays under 2 MB whatever callers send.
const WORKSPACES: usize = 64;
/// Routes with a label of their own.
const CLASSES: usize = 32;
/// Smallest latency bucket in seconds.
const BUCKET_FIRST: f64 = 0.001;
/// Ratio between neighbouring latency buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of latency buckets; the last ends at 33 s, beyond the longest usual deadline.
const BUCKETS: u16 = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Request {
    workspace: String,
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    status: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Attempt {
    outcome: &'static str,
}

/// Counters and histograms of a relay.
#[derive(Debug)]
pub struct Telemetry {
    workspaces: Bound,
    classes: Bound,
    latency: Family<Request, Histogram>,
    ended: Family<Ended, Counter>,
    attempts: Family<Attempt, Counter>,
    batches: Counter,
    pieces: Counter,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(BUCKET_FIRST, BUCKET_FACTOR, BUCKETS))
}

impl Telemetry {
    /// Metrics registered under the names that the operators' page explains.
    pub fn new(registry: &mut Registry) -> Self {
        let telemetry = Self {
            workspaces: Bound::new(WORKSPACES),
            classes: Bound::new(CLASSES),
            latency: Family::new_with_constructor(histogram),
            ended: Family::default(),
            attempts: Family::default(),
            batches: Counter::default(),
            pieces: Counter::default(),
        };
        registry.register(
            "relay_request_seconds",
            "Time from the arrival of a request to the beginning of its answer",
            telemetry.latency.clone(),
        );
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
            "relay_batches",
            "Calls to the runners of stage services",
            telemetry.batches.clone(),
        );
        registry.register(
            "relay_pieces",
            "Pieces in calls to the runners of stage services",
            telemetry.pieces.clone(),
        );
        telemetry
    }

    /// Counts a request whose answer begins after this time.
    pub fn answered(&self, workspace: &str, class: &str, status: u16, elapsed: Duration) {
        let labels = Request {
            workspace: self.workspaces.label(workspace).to_owned(),
            class: self.classes.label(class).to_owned(),
        };
        let latency = self.latency.get_or_create(&labels);
        latency.observe(elapsed.as_secs_f64());
        self.ended.get_or_create(&Ended { status }).inc();
    }

    /// Counts a call to a runner.
    pub fn attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Attempt { outcome }).inc();
    }

    /// Counts a call to the runner of a stage service.
    pub fn batch(&self, pieces: usize) {
        self.batches.inc();
        self.pieces.inc_by(pieces as u64);
    }
}
