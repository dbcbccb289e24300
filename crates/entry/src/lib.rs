//! The entry: takes callers' requests, runs them through their pipelines and keeps the records in
//! force.
//!
//! * [`run()`]: starts an entry and stops it gracefully
//! * [`core`]: what the parts of an entry share
//! * [`server`]: listener, TLS and routes
//! * [`caller`]: callers' interface; [`operator`]: operators' interface; [`problem`]: their errors
//! * [`job`], [`answer`] and [`answers`]: one accepted request, what its caller gets, and for how
//!   long it is kept
//! * [`execute`]: a job from admission to its end; [`stage`]: one stage with all its attempts
//! * [`wait`]: calls that no target has, and what ends their waits
//! * [`claim`], [`journal`] and [`stored_answer`]: idempotency keys, durable requests, the answers kept for
//!   them; [`writes`]: their rows, many in one transaction
//! * [`target`], [`service`], [`services`] and [`discovery`]: links to agents and who gets work
//! * [`engine`]: what a target's engine holds
//! * [`fields`]: what a later stage is given
//! * [`budgets`] and [`prefix`]: what the decisions are fed with
//! * [`peers`] and [`news`]: the other entries
//! * [`config`]: records in force, the change log and accepted changes
//! * [`placement`]: orders to engines, under a lease
//! * [`telemetry`]: counters and histograms

pub mod answer;
pub mod answers;
pub mod budgets;
pub mod caller;
pub mod claim;
pub mod config;
pub mod core;
pub mod discovery;
pub mod engine;
pub mod execute;
pub mod fields;
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
