//! Soak tests: deployments of real processes under faults that are drawn from a seed.
//!
//! * [`command`]: the subcommand, which combines [`demand`], [`fault`]s on a [`schedule`] and
//!   concurrent [`operators`]
//! * [`state`]: state that these share; [`tally`]: counts and violations
//! * [`engines`]: the soak of entries whose engines are replaced, crash and return
//! * [`relays`]: the soak of relays against stand-ins of the users' platform

pub mod command;
pub mod demand;
pub mod engines;
pub mod fault;
pub mod operators;
pub mod relays;
pub mod schedule;
pub mod state;
pub mod tally;

pub use command::Torture;
