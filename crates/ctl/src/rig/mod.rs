//! A small deployment for failure and soak tests: daemons run as processes, stand-ins in this process.
//!
//! * [`mod@bench`] and [`runner`]: the deployment; [`record`]: the records that it applies
//! * [`probe`]: calls to its processes, and waits for conditions on their state
//! * [`proxy`]: a TCP connection that can be cut, frozen and delayed
//! * [`caller`] and [`stream`]: a client that retries until the outcome is final

pub mod bench;
pub mod caller;
pub mod probe;
pub mod proxy;
pub mod record;
pub mod runner;
pub mod stream;
