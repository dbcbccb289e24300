//! Stand-ins for the external services, for tests, demonstrations and experiments.
//!
//! Each stand-in serves the contract of `docs/PLATFORM.md` on one address, together with fault
//! injection (`/standin/faults`) and a log of the actual executions (`/standin/log`).
//!
//! * [`answer`]: responses of the runners, which let a client verify that a response is its own
//! * [`fault`]: faults that can be injected
//! * [`log`]: ground truth of executions

pub mod answer;
mod call;
mod engine;
pub mod fault;
mod kind;
mod lag;
pub mod log;
mod object;
mod options;
mod pool;
mod query;
mod rate;
mod reply;
mod runner;
mod server;
mod service;
mod slot;
mod table;
mod vm;
mod weight;

pub use fault::Faults;
pub use kind::{Kind, ParseKindError};
pub use options::Options;
pub use server::{Error, Server, start};
