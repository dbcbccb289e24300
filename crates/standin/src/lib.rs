//! Small stand-ins of what is outside the system, for tests, demonstrations and experiments.
//!
//! Each serves the contract of `docs/PLATFORM.md` on one address, together with a fault switch
//! (`/standin/faults`) and a log of what was really run (`/standin/log`).
//!
//! * [`answer`]: what the runners answer, so that a caller can check that an answer is its own
//! * [`fault`]: what can be made to go wrong
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
