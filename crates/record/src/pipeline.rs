//! Versions of pipelines.

use crate::Version;
use serde::{Deserialize, Serialize};

/// One version of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pipeline {
    /// Name that callers use.
    pub name: String,
    /// Version that callers use.
    pub version: Version,
    /// Default end-to-end deadline in milliseconds, for callers that set none.
    pub deadline_ms: u64,
    /// Stages in order of execution.
    pub stages: Vec<Stage>,
    /// Whether requests are journalled before they are accepted (schema 2).
    #[serde(default)]
    pub durable: bool,
    /// Weight of attainment against cost, from 0 to 1 (schema 2).
    #[serde(default = "default_attainment")]
    pub attainment: f64,
}

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    /// Name within the pipeline.
    pub name: String,
    /// Service that executes it.
    pub service: String,
    /// Whether it may run more than once for one request.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Whether its answer is streamed; only the last stage may be.
    #[serde(default)]
    pub stream: bool,
    /// Model that executes it on the service's engines; `None` allows any engine (schema 2).
    #[serde(default)]
    pub model: Option<String>,
}

fn default_attainment() -> f64 {
    0.5
}

fn default_repeatable() -> bool {
    true
}
