//! Settings of the daemon's roles: JSON with comments, checked as a whole.
//!
//! * [`entry`]: settings of an entry
//! * [`agent`]: settings of an agent
//! * [`shared`]: parts that both have

pub mod agent;
pub mod entry;
pub mod shared;

pub use agent::Agent;
pub use entry::Entry;
pub use shared::{Operator, Place, Platform, Policy, Tls};
