//! Metrics and logs that every role shares.
//!
//! * [`label`]: keeps the number of label values bounded
//! * [`latency`]: histograms of requests by workspace and class
//! * [`serve()`]: the `/metrics` endpoint
//! * [`log`]: the structured logger

pub mod label;
pub mod latency;
pub mod log;
pub mod serve;

pub use label::Bound;
pub use latency::Latency;
pub use prometheus_client::registry::Registry;
pub use serve::{Error, serve};
