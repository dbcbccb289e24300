//! The entry: takes callers' requests, runs them through their pipelines and keeps the records in
//! force.
//!
//! * [`run()`]: starts an entry and stops it gracefully
//! * [`core`]: what the parts of an entry share
//! * [`server`]: listener, TLS and routes
//! * [`caller`]: callers' interface; [`operator`]: operators' interface; [`problem`]: their errors
//! * [`job`] and [`answer`]: one accepted request and what its caller gets
//! * [`execute`]: stages of a job; [`attempt`]: one attempt at one target
//! * [`claim`] and [`kept`]: idempotency keys and the answers kept for them
//! * [`target`], [`pool`] and [`discovery`]: links to agents and who may get work
//! * [`peers`]: the other entries
//! * [`config`]: records in force, the change log and accepted changes
//! * [`telemetry`]: counters and histograms

pub mod answer;
pub mod attempt;
pub mod caller;
pub mod claim;
pub mod config;
pub mod core;
pub mod discovery;
pub mod execute;
pub mod job;
pub mod kept;
pub mod operator;
pub mod peers;
pub mod pool;
pub mod problem;
pub mod run;
pub mod server;
pub mod target;
pub mod telemetry;

pub use core::Core;
pub use run::{Error, Ready, run};
