//! Histograms of requests by workspace and class.

use crate::{Bound, Registry};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use std::time::Duration;

/// Smallest latency bucket in seconds.
const BUCKET_FIRST: f64 = 0.001;
/// Ratio between neighbouring latency buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of latency buckets; the last ends at 8 s, beyond which a request is late for any caller.
const BUCKETS: u16 = 14;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    workspace: String,
    class: String,
}

/// A histogram of latencies, in seconds.
#[must_use]
pub fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(BUCKET_FIRST, BUCKET_FACTOR, BUCKETS))
}

/// Latencies of requests, with bounded labels.
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
    workspaces: Bound,
    classes: Bound,
    family: Family<Labels, Histogram>,
}

impl Latency {
    /// Registers the histograms under a name; `workspaces` and `classes` have labels of their own
    /// at most, and the rest share one.
    pub fn new(
        registry: &mut Registry,
        name: &str,
        help: &str,
        workspaces: usize,
        classes: usize,
    ) -> Self {
        let family: Family<Labels, Histogram> = Family::new_with_constructor(histogram);
        registry.register(name, help, family.clone());
        Self {
            workspaces: Bound::new(workspaces),
            classes: Bound::new(classes),
            family,
        }
    }

    /// Takes in the latency of one request.
    pub fn observe(&self, workspace: &str, class: &str, elapsed: Duration) {
        let labels = Labels {
            workspace: self.workspaces.label(workspace).to_owned(),
            class: self.classes.label(class).to_owned(),
        };
        let histogram = self.family.get_or_create(&labels);
        histogram.observe(elapsed.as_secs_f64());
    }
}
