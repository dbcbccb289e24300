//! Soaks: deployments of real processes under faults from a seed.
//!
//! * [`command`]: the soak, from [`demand`], [`fault`]s on a [`schedule`] and
//!   [`operators`] of a seed
//! * [`world`]: what these share; [`tally`]: what came of it
//! * [`relays`]: the soak of relays before stand-ins of the users' platform

pub mod command;
pub mod demand;
pub mod fault;
pub mod operators;
pub mod relays;
pub mod schedule;
pub mod tally;
pub mod world;

pub use command::Torture;
