//! Messages between the system's own processes and the links that carry them.
//!
//! * [`frame`]: what entries and agents say to each other about calls
//! * [`link`]: an ordered link between one entry and one agent
//! * [`handshake`]: proof that both ends hold the shared key
//! * [`liveness`]: detection of a dead peer
//! * [`pubsub`]: lossy publish and subscribe between processes

pub mod frame;
pub mod handshake;
pub mod link;
pub mod liveness;
pub mod pubsub;

pub use frame::{Frame, Load, Models, Refusal, Work};
pub use link::{Error, Key, Listener, Receiver, Sender, connect};
