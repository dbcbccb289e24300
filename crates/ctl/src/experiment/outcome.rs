//! The figures of an experiment, as they are printed.

use super::deployment::Deployment;
use super::ground::{Ground, Prefix};
use crate::load::tally::{Counts, Quantiles, Second, Tally};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an experiment has come to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of all draws.
    pub seed: u64,
    /// One for each policy.
    pub arms: Vec<ArmOutcome>,
}

/// What one policy has come to over all deployments.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmOutcome {
    /// `naive` or `shipped`.
    pub name: String,
    /// What became of the requests.
    #[serde(flatten)]
    pub counts: Counts,
    /// Runs beyond the first of calls that may run at most once.
    pub doubled: u64,
    /// Runners' busy milliseconds for each request answered, by deployment and stage.
    pub cost_by_stage: BTreeMap<String, f64>,
    /// Executions that brought no answer, by deployment and stage.
    pub wasted_by_stage: BTreeMap<String, u64>,
    /// From the intended time to the whole answer.
    pub latency_ms: Quantiles,
    /// From the intended time to the first token.
    pub ttft_ms: Quantiles,
    /// Between tokens.
    pub itl_ms: Quantiles,
    /// By workspace.
    pub by_workspace: BTreeMap<String, Counts>,
    /// By pipeline.
    pub by_pipeline: BTreeMap<String, Counts>,
    /// By second since the start.
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

/// Longest backlogs that the engines of a deployment had.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Backlog {
    /// Of the engine with the longest.
    pub most: u32,
    /// Of the middle one.
    pub median: u32,
}

/// What one policy has come to in one deployment.
#[derive(Debug)]
pub struct Part {
    name: &'static str,
    tally: Tally,
    doubled: u64,
    cost: BTreeMap<String, f64>,
    wasted: BTreeMap<String, u64>,
    runs: BTreeMap<String, u64>,
    backlog: Backlog,
    prefix: Prefix,
}

impl Part {
    /// The figures of one deployment; `peaks` are the longest backlogs of its engines.
    #[must_use]
    pub fn new(deployment: &Deployment, tally: Tally, ground: &Ground, peaks: Vec<u32>) -> Self {
        let summary = tally.summary();
        let answered = |stage: &str| {
            let mut flows = deployment.flows.iter();
            let flow = flows.find(|flow| flow.operations.contains(&stage));
            let counts = flow.and_then(|flow| summary.by_pipeline.get(flow.pipeline));
            counts.copied().unwrap_or_default()
        };
        Self {
            name: deployment.name,
            doubled: ground.doubled(),
            cost: ground.cost(answered),
            wasted: ground.wasted(),
            runs: ground.runs().clone(),
            backlog: backlog(peaks),
            prefix: ground.prefix(),
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
    /// Puts the deployments' figures together.
    #[must_use]
    pub fn new(name: &str, parts: Vec<Part>) -> Self {
        let mut tally = Tally::default();
        let mut arm = Self {
            name: name.to_owned(),
            ..Self::default()
        };
        for part in parts {
            tally.merge(&part.tally);
            arm.take_in(part);
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

    /// Adds what the runners of one deployment say, under the deployment's name.
    fn take_in(&mut self, part: Part) {
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
