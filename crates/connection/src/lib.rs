//! A client's connection to a server: what is in progress on it, and a socket that closes without losing what
//! is on its way.

mod activity;
mod socket;

pub use activity::{Activity, RequestGuard};
pub use socket::Socket;
