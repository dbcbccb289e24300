//! Settings of the daemon's roles: JSON with comments, validated as a whole.
//!
//! * [`entry`]: settings of an entry
//! * [`agent`]: settings of an agent
//! * [`relay`]: settings of a relay
//! * [`check`]: the validator that settings share with records
//! * [`shared`]: parts that several roles have in common

pub mod agent;
pub mod check;
pub mod entry;
pub mod relay;
pub mod shared;

pub use agent::Agent;
pub use check::{Finding, Findings};
pub use entry::{Entry, Placement};
pub use relay::Relay;
pub use shared::{Operator, Place, Platform, Policy, Tls};
