//! Settings of an agent.

use crate::check::{self, Field, Findings, Shape};
use crate::shared::{self, Place, Platform, Policy};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Allowed number of concurrent calls to a runner.
const CONCURRENCY: Shape = Shape::Integer {
    min: 1,
    max: 65_536,
};
/// Allowed number of queued calls.
const QUEUE: Shape = Shape::Integer {
    min: 0,
    max: 1_000_000,
};

const FIELDS: &[Field] = &[
    Field::required("id", Shape::Name),
    Field::required("place", shared::PLACE),
    Field::required("listen", Shape::Listen),
    Field::required("metrics", Shape::Listen),
    Field::required("platform", shared::PLATFORM),
    Field::required("key", Shape::Text),
    Field::required("service", Shape::Name),
    Field::required("runner", Shape::Address),
    Field::required("concurrency", CONCURRENCY),
    Field::required("queue", QUEUE),
    Field::optional("policy", shared::POLICY),
    Field::optional("news", Shape::Listen).nullable(),
];

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Agent {
    /// Name of the VM in the platform's list.
    pub id: String,
    /// Region and failure domain of the VM.
    pub place: Place,
    /// Address that entries connect to; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Address of the metrics endpoint; port 0 picks a free one.
    pub metrics: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Shared key between entries and agents.
    pub key: String,
    /// Service that the agent's runner serves.
    pub service: String,
    /// Address of the runner.
    pub runner: SocketAddr,
    /// Maximum number of concurrent calls to the runner.
    pub concurrency: u32,
    /// Maximum number of calls that wait for a slot.
    pub queue: u32,
    /// Choice between the shipped and the baseline algorithms.
    #[serde(default)]
    pub policy: Policy,
    /// Address on which notifications are published to other processes; port 0 picks a free one,
    /// `None` disables publishing.
    #[serde(default)]
    pub news: Option<SocketAddr>,
}

/// Parses and validates the settings of an agent.
///
/// # Errors
///
/// All findings in the file, each with its path and position.
///
/// # Examples
///
/// ```
/// let findings = setting::agent::parse("{\"runner\": 9}", "agent.jsonc").unwrap_err();
/// assert!(findings.to_string().contains("agent.jsonc:1:2: runner: expected an address"));
/// ```
pub fn parse(text: &str, origin: &str) -> Result<Agent, Findings> {
    check::read(text, origin, &Shape::Object(FIELDS)).map(|(agent, _)| agent)
}
