//! Timings and sizes of a stand-in.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Timings and sizes of a stand-in; each kind reads those that concern it.
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
    /// Operation that the answers of a pool or plain service name.
    pub name: String,
    /// Seed of all draws.
    pub seed: u64,
    /// Pool, plain: median time at work for one call, in milliseconds.
    pub service_ms: f64,
    /// Pool, plain, engine: spread of times, as the standard deviation of their logarithm.
    pub jitter: f64,
    /// Pool, plain: calls at work at once. Weight: downloads at once; more are refused.
    pub slots: usize,
    /// Engine: time of a step of the batch with one sequence, in milliseconds.
    pub step_ms: f64,
    /// Engine: growth of a step with each further sequence, as a share of `step_ms`.
    pub step_growth: f64,
    /// Engine: time for each prefix block that is not in the cache, in milliseconds.
    pub prefill_ms: f64,
    /// Engine: sequences in a step at most.
    pub batch: usize,
    /// Engine: prefix blocks in the cache at most.
    pub cache_blocks: usize,
    /// Engine: tokens of an answer whose input names no `max_tokens`.
    pub tokens: u32,
    /// Engine: whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Engine: models that are loaded at the start.
    pub models: Vec<String>,
    /// Engine: role at the start.
    pub role: String,
    /// Engine: time that it takes to load a model, in milliseconds.
    pub load_ms: f64,
    /// Engine: weight store from which an order to load a model reads it, if there is one.
    pub weights: Option<SocketAddr>,
    /// Engine: share of the cache events that are never published.
    pub event_loss: f64,
    /// VM, runners: age of the list of VMs, of load and of cache events, in milliseconds.
    pub lag_ms: f64,
    /// Table: transactions in a second; 0 for no limit.
    pub writes_per_second: f64,
    /// Table: reads in a second; 0 for no limit.
    pub reads_per_second: f64,
    /// Weight: bytes in a second over all downloads; 0 for no limit.
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
    /// Age of what the stand-in reports about itself.
    #[must_use]
    pub fn lag(&self) -> Duration {
        millis(self.lag_ms)
    }
}

/// A time in milliseconds as a duration; nothing below zero.
pub(crate) fn millis(time: f64) -> Duration {
    Duration::try_from_secs_f64(time.max(0.0) / 1_000.0).unwrap_or(Duration::MAX)
}
