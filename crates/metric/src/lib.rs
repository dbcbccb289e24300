//! Metrics and logging for all roles.
//!
//! * [`label`]: limits the number of label values
//! * [`latency`]: latency histograms of requests by workspace and class
//! * [`serve()`]: the `/metrics` endpoint
//! * [`log`]: the structured logger
//! * [`mod@panic`]: panics, logged and counted

pub mod label;
pub mod latency;
pub mod log;
pub mod panic;
pub mod serve;

pub use label::LabelLimiter;
pub use latency::Latency;
pub use prometheus_client::registry::Registry;
pub use serve::{Error, serve};
