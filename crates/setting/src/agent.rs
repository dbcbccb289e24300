//! Settings of an agent.

use crate::check::{self, Field, Findings, Shape};
use crate::shared::{self, Place, Platform, Policy};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bounds of the calls that a runner is given at once.
const CONCURRENCY: Shape = Shape::Count {
    min: 1,
    max: 65_536,
};
/// Bounds of the calls that wait.
const QUEUE: Shape = Shape::Count {
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
    /// Where news is published to other processes; port 0 takes a free one, none publishes none.
    #[serde(default)]
    pub news: Option<SocketAddr>,
}

/// Reads the settings of an agent.
///
/// # Errors
///
/// Everything that is wrong with the file, each with its path and position.
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
