//! Latency histograms of requests by workspace and class.

use crate::{LabelLimiter, Registry};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use std::time::Duration;

/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Ratio of the bounds of adjacent latency buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of latency buckets. The last one ends at 8 s, after which a request is late for any
/// caller.
const BUCKET_COUNT: u16 = 14;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    workspace: String,
    class: String,
}

/// Creates a histogram of latencies, in seconds.
#[must_use]
pub fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_SECONDS,
        BUCKET_FACTOR,
        BUCKET_COUNT,
    ))
}

/// Latencies of requests, with a limited number of labels.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let mut registry = metric::Registry::default();
/// let latency = metric::Latency::new(&mut registry, "request_seconds", "Time of a request", 256, 4);
/// latency.observe("coop", "fitter", Duration::from_millis(20));
/// ```
#[derive(Debug)]
pub struct Latency {
    workspace_limiter: LabelLimiter,
    class_limiter: LabelLimiter,
    family: Family<Labels, Histogram>,
}

impl Latency {
    /// Registers the histograms under a name. At most `max_workspaces` and `max_classes` values get
    /// their own label, and the rest share one.
    pub fn new(
        registry: &mut Registry,
        name: &str,
        help: &str,
        max_workspaces: usize,
        max_classes: usize,
    ) -> Self {
        let family: Family<Labels, Histogram> = Family::new_with_constructor(histogram);
        registry.register(name, help, family.clone());
        Self {
            workspace_limiter: LabelLimiter::new(max_workspaces),
            class_limiter: LabelLimiter::new(max_classes),
            family,
        }
    }

    /// Records the latency of one request.
    pub fn observe(&self, workspace: &str, class: &str, elapsed: Duration) {
        let labels = Labels {
            workspace: self.workspace_limiter.label(workspace).to_owned(),
            class: self.class_limiter.label(class).to_owned(),
        };
        let histogram = self.family.get_or_create(&labels);
        histogram.observe(elapsed.as_secs_f64());
    }
}
