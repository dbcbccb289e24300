//! Pools of targets.

use serde::{Deserialize, Serialize};

/// Whether a service's engines refuse an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// They refuse old numbers.
    Checked,
    /// They carry out every order; the agent is the fence.
    #[default]
    Unchecked,
}

/// What kind of runner a service has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Runner {
    /// A model engine that batches continuously and streams tokens.
    Engine,
    /// An encoder, retriever or reranker.
    Pool,
    /// A plain service.
    Plain,
}

/// A pool of targets that serve the same work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name that stages use.
    pub name: String,
    /// Kind of runner.
    pub runner: Runner,
    /// Calls given to one runner at once at most.
    pub concurrency: u32,
    /// Whether its engines check fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Models that may be loaded, with their replica bounds (schema 2).
    #[serde(default)]
    pub models: Vec<Model>,
}

impl Service {
    /// Whether a model may be loaded on its engines.
    #[must_use]
    pub fn declares(&self, model: &str) -> bool {
        self.models.iter().any(|known| known.name == model)
    }
}

/// Replica bounds of a model on a service's engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Replicas kept warm at least.
    pub min: u32,
    /// Replicas at most.
    pub max: u32,
}
