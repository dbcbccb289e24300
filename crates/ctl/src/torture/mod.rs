//! A deployment of real processes under faults, for the soak and the failure tests.
//!
//! * [`mod@bench`] and [`runner`]: daemons as processes, stand-ins in this one
//! * [`probe`]: calls to them, and waiting for what they show
//! * [`record`]: the records that the bench applies
//! * [`relay`]: a TCP connection that can be cut, frozen and delayed
//! * [`caller`] and [`stream`]: a caller that keeps asking until it has a final word
//! * [`command`]: the soak, from [`demand`], [`fault`]s on a [`schedule`] and
//!   [`operators`] of a seed
//! * [`world`]: what these share; [`tally`]: what came of it
//! * [`relays`]: the soak of relays before stand-ins of the users' platform

pub mod bench;
pub mod caller;
pub mod command;
pub mod demand;
pub mod fault;
pub mod operators;
pub mod probe;
pub mod record;
pub mod relay;
pub mod relays;
pub mod runner;
pub mod schedule;
pub mod stream;
pub mod tally;
pub mod world;

pub use command::Torture;
