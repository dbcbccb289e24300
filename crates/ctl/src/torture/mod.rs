//! Soaks: deployments of real processes under faults from a seed.
//!
//! * [`command`]: the soak, from [`demand`], [`fault`]s on a [`schedule`] and
//!   [`operators`] of a seed
//! * [`world`]: what these share; [`tally`]: what came of it
//! * [`engines`]: the soak of entries before engines that come and go
//! * [`relays`]: the soak of relays before stand-ins of the users' platform

pub mod command;
pub mod demand;
pub mod engines;
pub mod fault;
pub mod operators;
pub mod relays;
pub mod schedule;
pub mod tally;
pub mod world;

pub use command::Torture;
