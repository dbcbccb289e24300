//! Customers and their shares.

use serde::{Deserialize, Serialize};

/// A customer of the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name that callers send in their requests.
    pub name: String,
    /// Share of each pool relative to other workspaces.
    pub share: u32,
}
