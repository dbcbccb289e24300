//! Messages between the system's own processes and the links that carry them.
//!
//! * [`frame`]: what entries and agents say to each other about calls
//! * [`link`]: an ordered link between one entry and one agent

pub mod frame;
pub mod link;

pub use frame::{Frame, Load, Refusal, Work};
pub use link::{Error, Key, Listener, Receiver, Sender, connect};
