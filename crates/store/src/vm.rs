//! The platform's list of VMs; it lags behind what the VMs themselves know.

use crate::table::Error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A process that serves callers.
    Entry,
    /// A target with an agent beside it.
    Target,
}

/// One VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub id: String,
    /// Life of the process on it; grows with each restart.
    pub incarnation: u64,
    /// What runs there.
    pub role: Role,
    /// Service that the target serves; empty for an entry.
    #[serde(default)]
    pub service: String,
    /// Region.
    #[serde(default)]
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Where the entry serves callers, or where the agent takes links.
    pub address: SocketAddr,
    /// Where the process publishes news, if it does.
    #[serde(default)]
    pub news: Option<SocketAddr>,
    /// Whether the platform is about to take the VM away.
    #[serde(default)]
    pub leaving: bool,
}

/// The list of VMs.
pub trait Vms: Clone + Send + Sync + 'static {
    /// All VMs that the platform lists now.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Conflict`].
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, Error>> + Send;
}
