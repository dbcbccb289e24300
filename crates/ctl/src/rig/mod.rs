//! A deployment in small for failure tests and soaks: daemons as processes, stand-ins in this one.
//!
//! * [`mod@bench`] and [`runner`]: the deployment; [`record`]: the records that it applies
//! * [`probe`]: calls to its processes, and waiting for what they show
//! * [`proxy`]: a TCP connection that can be cut, frozen and delayed
//! * [`caller`] and [`stream`]: a caller that keeps asking until it has a final word

pub mod bench;
pub mod caller;
pub mod probe;
pub mod proxy;
pub mod record;
pub mod runner;
pub mod stream;
