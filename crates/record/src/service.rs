//! Pools of targets.

use serde::{Deserialize, Serialize};

/// Whether a service's engines refuse an order that carries an outdated fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The engines refuse outdated tokens.
    Checked,
    /// The engines execute every order; the agent checks the fencing token instead.
    #[default]
    Unchecked,
}

/// Kind of a service's runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Runner {
    /// A model engine with continuous batching and token streaming.
    Engine,
    /// An encoder, retriever or reranker.
    Pool,
    /// A plain service.
    Plain,
}

/// A pool of targets that execute the same work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name by which stages refer to it.
    pub name: String,
    /// Kind of runner.
    pub runner: Runner,
    /// Maximum number of concurrent calls to one runner.
    pub concurrency: u32,
    /// Whether its engines check fencing tokens.
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
        self.models.iter().any(|other| other.name == model)
    }
}

/// Replica bounds of a model on a service's engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Minimum number of replicas that are kept loaded.
    pub min: u32,
    /// Maximum number of replicas.
    pub max: u32,
}
