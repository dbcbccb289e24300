//! The results of an experiment, as they are printed.

use super::deployment::Deployment;
use super::execution::{ExecutionStats, Prefix};
use crate::load::tally::{Counts, Quantiles, Second, Tally};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The results of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Results of each policy.
    pub arms: Vec<ArmOutcome>,
}

/// The results of one policy, over all deployments.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmOutcome {
    /// `naive` or `shipped`.
    pub name: String,
    /// Numbers of requests by outcome.
    #[serde(flatten)]
    pub counts: Counts,
    /// Executions beyond the first of calls that may run at most once.
    pub doubled: u64,
    /// Busy time of the runners per answered request in milliseconds, by deployment and stage.
    pub cost_by_stage: BTreeMap<String, f64>,
    /// Executions without an answer, by deployment and stage.
    pub wasted_by_stage: BTreeMap<String, u64>,
    /// From the scheduled time to the complete answer.
    pub latency_ms: Quantiles,
    /// From the scheduled time to the first token.
    pub ttft_ms: Quantiles,
    /// Between two tokens.
    pub itl_ms: Quantiles,
    /// Counts by workspace.
    pub by_workspace: BTreeMap<String, Counts>,
    /// Counts by pipeline.
    pub by_pipeline: BTreeMap<String, Counts>,
    /// Counts by second since the start.
    #[serde(default)]
    pub by_second: Vec<Second>,
    /// Longest backlogs of the engines, by deployment.
    pub engine_backlog: BTreeMap<String, Backlog>,
    /// Prefix blocks of the engines' calls, by deployment.
    #[serde(default)]
    pub prefix: BTreeMap<String, Prefix>,
    /// Executions of each runner.
    pub runs: BTreeMap<String, u64>,
}

/// Longest backlogs of the engines of a deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Backlog {
    /// Maximum over the engines.
    pub most: u32,
    /// Median over the engines.
    pub median: u32,
}

/// The results of one policy in one deployment.
#[derive(Debug)]
pub struct DeploymentOutcome {
    name: &'static str,
    tally: Tally,
    doubled: u64,
    cost: BTreeMap<String, f64>,
    wasted: BTreeMap<String, u64>,
    runs: BTreeMap<String, u64>,
    backlog: Backlog,
    prefix: Prefix,
}

impl DeploymentOutcome {
    /// Creates the results of one deployment; `peaks` are the longest backlogs of its engines.
    #[must_use]
    pub fn new(
        deployment: &Deployment,
        tally: Tally,
        executions: &ExecutionStats,
        peaks: Vec<u32>,
    ) -> Self {
        let summary = tally.summary();
        let answered = |stage: &str| {
            let mut flows = deployment.flows.iter();
            let flow = flows.find(|flow| flow.operations.contains(&stage));
            let counts = flow.and_then(|flow| summary.by_pipeline.get(flow.pipeline));
            counts.copied().unwrap_or_default()
        };
        Self {
            name: deployment.name,
            doubled: executions.doubled(),
            cost: executions.cost(answered),
            wasted: executions.wasted(),
            runs: executions.runs().clone(),
            backlog: backlog(peaks),
            prefix: executions.prefix(),
            tally,
        }
    }
}

fn backlog(mut peaks: Vec<u32>) -> Backlog {
    peaks.sort_unstable();
    Backlog {
        most: peaks.last().copied().unwrap_or_default(),
        median: peaks.get(peaks.len() / 2).copied().unwrap_or_default(),
    }
}

impl ArmOutcome {
    /// Combines the results of the deployments.
    #[must_use]
    pub fn new(name: &str, parts: Vec<DeploymentOutcome>) -> Self {
        let mut tally = Tally::default();
        let mut arm = Self {
            name: name.to_owned(),
            ..Self::default()
        };
        for part in parts {
            tally.merge(&part.tally);
            arm.add_deployment(part);
        }
        let summary = tally.summary();
        Self {
            counts: summary.counts,
            latency_ms: summary.latency_ms,
            ttft_ms: summary.ttft_ms,
            itl_ms: summary.itl_ms,
            by_workspace: summary.by_workspace,
            by_pipeline: summary.by_pipeline,
            by_second: summary.by_second,
            ..arm
        }
    }

    /// Adds the figures from the runners of one deployment, under the deployment's name.
    fn add_deployment(&mut self, part: DeploymentOutcome) {
        let path = |key: String| format!("{}/{key}", part.name);
        let cost = part.cost.into_iter().map(|(key, cost)| (path(key), cost));
        let wasted = part.wasted.into_iter().map(|(key, runs)| (path(key), runs));
        let runs = part.runs.into_iter().map(|(key, runs)| (path(key), runs));
        self.doubled += part.doubled;
        self.cost_by_stage.extend(cost);
        self.wasted_by_stage.extend(wasted);
        self.runs.extend(runs);
        self.prefix.insert(part.name.to_owned(), part.prefix);
        self.engine_backlog
            .insert(part.name.to_owned(), part.backlog);
    }
}
