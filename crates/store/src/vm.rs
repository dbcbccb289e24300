//! The platform's VM list, which lags behind the actual state of the VMs.

use crate::table::Error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry, which serves clients.
    Entry,
    /// A target with its agent.
    Target,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub id: String,
    /// Incarnation of the process on it; increases with each restart.
    pub incarnation: u64,
    /// Role of the VM.
    pub role: Role,
    /// Service that the target serves; empty for an entry.
    #[serde(default)]
    pub service: String,
    /// Region.
    #[serde(default)]
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Address at which the entry serves clients, or the agent accepts links.
    pub address: SocketAddr,
    /// Address on which the process publishes notifications, if it does.
    #[serde(default)]
    pub news: Option<SocketAddr>,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// The VM list.
pub trait Vms: Clone + Send + Sync + 'static {
    /// All VMs that are currently listed.
    ///
    /// # Errors
    ///
    /// Any but [`Error::Conflict`].
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, Error>> + Send;
}
