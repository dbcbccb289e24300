//! Messages between the system's own processes and the links that carry them.
//!
//! * [`frame`]: messages between entries and agents
//! * [`link`]: an ordered link between one entry and one agent
//! * [`handshake`]: mutual authentication by a shared key
//! * [`liveness`]: detection of a dead peer
//! * [`pubsub`]: lossy publish-subscribe between processes

pub mod frame;
pub mod handshake;
pub mod link;
pub mod liveness;
pub mod pubsub;

pub use frame::{Frame, Load, Models, Refusal, Work};
pub use link::{Error, Key, Listener, Receiver, Sender, connect};
