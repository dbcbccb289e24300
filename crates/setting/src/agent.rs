//! Settings of an agent.

use crate::shared::{Place, Platform, Policy};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Agent {
    /// Name of the VM in the platform's list.
    pub id: String,
    /// Where it runs.
    pub place: Place,
    /// Where entries connect; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where metrics are served; port 0 takes a free one.
    pub metrics: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// Shared key between entries and agents.
    pub key: String,
    /// Service that the runner beside it serves.
    pub service: String,
    /// Where the runner listens.
    pub runner: SocketAddr,
    /// Calls given to the runner at once at most.
    pub concurrency: u32,
    /// Calls that may wait for a slot.
    pub queue: u32,
    /// Which decisions are taken.
    #[serde(default)]
    pub policy: Policy,
}
