//! Timings and sizes of a stand-in.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Timings and sizes of a stand-in; each kind uses only the options that apply to it.
///
/// # Examples
///
/// ```
/// let options: standin::Options = serde_json::from_str(r#"{"service_ms": 5, "slots": 2}"#).unwrap();
/// assert_eq!(options.slots, 2);
/// assert_eq!(options.name, "run");
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Pool, plain: name of the operation, which the responses contain.
    pub name: String,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Pool, plain: median execution time of a call, in milliseconds.
    pub service_ms: f64,
    /// Pool, plain, engine: standard deviation of the logarithm of the execution times.
    pub jitter: f64,
    /// Pool, plain: maximum number of concurrent calls. Weight: maximum number of concurrent
    /// downloads; further ones are refused.
    pub slots: usize,
    /// Engine: duration of a step of a batch with one sequence, in milliseconds.
    pub step_ms: f64,
    /// Engine: increase of the step duration per additional sequence, as a fraction of `step_ms`.
    pub step_growth: f64,
    /// Engine: prefill time per prefix block that is not in the cache, in milliseconds.
    pub prefill_ms: f64,
    /// Engine: maximum number of sequences in a batch.
    pub batch: usize,
    /// Engine: maximum number of prefix blocks in the cache.
    pub cache_blocks: usize,
    /// Engine: number of tokens in a response if the input has no `max_tokens`.
    pub tokens: u32,
    /// Engine: whether orders with a stale fencing token are refused.
    pub fencing: bool,
    /// Engine: models that are loaded at startup.
    pub models: Vec<String>,
    /// Engine: role at startup.
    pub role: String,
    /// Engine: time to load a model, in milliseconds.
    pub load_ms: f64,
    /// Engine: weight store from which models are loaded, if any.
    pub weights: Option<SocketAddr>,
    /// Engine: fraction of the cache events that are never published.
    pub event_loss: f64,
    /// VM, runners: delay with which the list of VMs, the load and the cache events become visible,
    /// in milliseconds.
    pub lag_ms: f64,
    /// Table: maximum number of transactions per second; 0 means no limit.
    pub writes_per_second: f64,
    /// Table: maximum number of reads per second; 0 means no limit.
    pub reads_per_second: f64,
    /// Weight: maximum number of bytes per second over all downloads; 0 means no limit.
    pub weight_bytes_per_second: f64,
    /// Weight: size of each model in bytes.
    pub weight_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "run".into(),
            seed: 1,
            service_ms: 0.0,
            jitter: 0.0,
            slots: 16,
            step_ms: 2.0,
            step_growth: 0.02,
            prefill_ms: 1.0,
            batch: 16,
            cache_blocks: 1024,
            tokens: 16,
            fencing: true,
            models: Vec::new(),
            role: "both".into(),
            load_ms: 0.0,
            weights: None,
            event_loss: 0.0,
            lag_ms: 0.0,
            writes_per_second: 400.0,
            reads_per_second: 2_000.0,
            weight_bytes_per_second: 0.0,
            weight_bytes: 1 << 20,
        }
    }
}

impl Options {
    /// Delay with which reported values become visible.
    #[must_use]
    pub fn lag(&self) -> Duration {
        millis(self.lag_ms)
    }
}

/// Converts milliseconds to a duration; negative values become zero.
pub(crate) fn millis(time: f64) -> Duration {
    Duration::try_from_secs_f64(time.max(0.0) / 1_000.0).unwrap_or(Duration::MAX)
}
