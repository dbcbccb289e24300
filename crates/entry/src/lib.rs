//! The entry: accepts callers' requests, runs them through their pipelines and keeps the
//! configuration up to date.
//!
//! * [`run()`]: starts an entry and stops it gracefully
//! * [`core`]: shared state of an entry
//! * [`server`]: listener, TLS and routes
//! * [`caller`]: HTTP interface for callers; [`operator`]: HTTP interface for operators;
//!   [`body`]: bodies of their requests; [`problem`]: error responses
//! * [`job`], [`answer`] and [`answers`]: an accepted request, its answer, and the retention of
//!   answers
//! * [`execute`]: a job from admission to its end; [`stage`]: one stage with all its attempts
//! * [`wait`]: calls that wait for a target, and the limits of their waits
//! * [`claim`], [`journal`] and [`stored_answer`]: idempotency keys, durable requests and their
//!   stored answers; [`writes`]: batched writes of their rows
//! * [`target`], [`service`], [`services`] and [`discovery`]: links to agents, and scheduling of
//!   calls
//! * [`engine`]: state of a target's engine
//! * [`fields`]: input of later stages
//! * [`budgets`] and [`prefix`]: inputs of the scheduling decisions
//! * [`peers`] and [`news`]: communication with the other entries
//! * [`config`]: configuration in force, the change log and accepted changes
//! * [`placement`]: orders to engines, sent under a lease
//! * [`telemetry`]: counters and histograms

pub mod answer;
pub mod answers;
pub mod body;
pub mod budgets;
pub mod caller;
pub mod claim;
pub mod config;
pub mod core;
pub mod discovery;
pub mod engine;
pub mod execute;
pub mod fields;
mod in_progress;
pub mod job;
pub mod journal;
pub mod news;
pub mod operator;
pub mod peers;
pub mod placement;
pub mod prefix;
pub mod problem;
pub mod run;
pub mod server;
pub mod service;
pub mod services;
pub mod stage;
pub mod stored_answer;
pub mod target;
pub mod telemetry;
pub mod wait;
pub mod writes;

pub use core::Core;
pub use run::{Error, Ready, run};
