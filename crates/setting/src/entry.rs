//! Settings of an entry.

use crate::shared::{Operator, Place, Platform, Policy, Tls};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM in the platform's list.
    pub id: String,
    /// Where it runs.
    pub place: Place,
    /// Where callers and operators connect; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where metrics are served; port 0 takes a free one.
    pub metrics: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// Shared key between entries and agents.
    pub key: String,
    /// Operators who may change records.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Certificate for callers and operators; plain HTTP without it.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Which decisions are taken.
    #[serde(default)]
    pub policy: Policy,
    /// How often the VM list is read, in milliseconds.
    #[serde(default = "default_vms_poll_ms")]
    pub vms_poll_ms: u64,
    /// How often the head of the change log is read, in milliseconds.
    #[serde(default = "default_head_poll_ms")]
    pub head_poll_ms: u64,
}

fn default_vms_poll_ms() -> u64 {
    1_000
}

fn default_head_poll_ms() -> u64 {
    1_000
}
