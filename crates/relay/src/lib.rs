//! Relay for requests whose bodies it does not parse: routes them to runners that have no agent, runs
//! their preliminary stages and passes responses and streams through.
//!
//! * [`configuration`]: the configuration in force; [`runner`]: the runners that accept new work
//! * [`request`]: requests, responses and refusals
//! * [`downstream`]: the interface to an adapter that calls runners
//! * [`drain`]: failure domains whose runners get no new work
//! * [`follow`]: follows the platform's tables of configuration and runners
//! * [`core`]: state that the modules share
//! * [`serve`]: one request from its arrival to its response
//! * `region`: restriction of requests to regions
//! * [`graph`]: the stages of one request; [`batch`]: the calls that carry their pieces
//! * [`flow`]: start credits for requests whose stages depend on one another
//! * [`limit`]: rate limits that runners ask for
//! * [`member`]: membership of the relay processes; [`peer`]: the protocol between them
//! * [`attempt`]: the attempts of one request; [`splice`]: streams that continue on another runner
//! * [`memory`]: memory budgets of request and response bodies
//! * [`event`]: boundaries of the events in a stream
//! * [`pause`]: detection of and recovery from pauses of the process
//! * [`warmup`]: request limits of runners that have just started
//! * `outage`: runners that have exited and not come back
//! * [`quarantine`]: quarantine of poison requests, which crash the runners that serve them
//! * [`telemetry`]: counters and histograms

pub mod attempt;
pub mod batch;
pub mod configuration;
pub mod core;
pub mod downstream;
pub mod drain;
pub mod event;
pub mod flow;
pub mod follow;
pub mod graph;
pub mod limit;
pub mod member;
pub mod memory;
mod notice;
mod outage;
pub mod pause;
pub mod peer;
mod prefill;
pub mod quarantine;
mod region;
pub mod request;
mod rest;
pub mod runner;
pub mod serve;
pub mod splice;
pub mod telemetry;
pub mod warmup;

pub use configuration::Configuration;
pub use core::{Options, Relay};
pub use downstream::Downstream;
pub use request::{Answer, Body, Request};
pub use runner::Runner;
