//! The executions that the runners have logged.

use super::system::System;
use crate::Error;
use crate::load::tally::Counts;
use serde::{Deserialize, Serialize};
use standin::log::{ExecutionStatus, Page};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Statistics of the executions of a run.
#[derive(Debug, Default)]
pub struct ExecutionStats {
    /// Executions of each input of the calls that may run at most once, by stage and hash of the input.
    once: HashMap<(&'static str, String), u64>,
    /// Busy time of each stage since the end of the warm-up, in microseconds.
    busy_us: BTreeMap<&'static str, u64>,
    /// Executions without an answer since the end of the warm-up, by stage.
    wasted: BTreeMap<&'static str, u64>,
    /// Executions of each runner since the end of the warm-up.
    runs: BTreeMap<String, u64>,
    prefix: Prefix,
    since_us: u64,
}

/// Prefix blocks of the calls that engines executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Prefix {
    /// All prefix blocks.
    pub blocks: usize,
    /// Prefix blocks that were in the cache.
    pub hits: usize,
}

impl ExecutionStats {
    /// Creates statistics that count the work of executions started at least `warm_up` from now.
    #[must_use]
    pub fn new(warm_up: Duration) -> Self {
        let since = SystemTime::now() + warm_up;
        let since = since.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            since_us: u64::try_from(since.as_micros()).unwrap_or(u64::MAX),
            ..Self::default()
        }
    }

    /// Adds the log of one runner.
    ///
    /// # Errors
    ///
    /// [`Error`] if the runner cannot be reached.
    pub async fn collect(&mut self, system: &System, number: usize) -> Result<(), Error> {
        let runner = &system.runners()[number];
        let page: Page = system.get(runner.address, "/standin/log").await?;
        let stage = runner.service.stage;
        for execution in page.executions {
            if runner.service.once() {
                let key = (stage, execution.input_hash);
                *self.once.entry(key).or_default() += 1;
            }
            if execution.started_us >= self.since_us {
                *self.busy_us.entry(stage).or_default() += execution.busy_us;
                *self.runs.entry(runner.id.clone()).or_default() += 1;
                self.prefix.blocks += execution.prefix_blocks;
                self.prefix.hits += execution.prefix_hits;
                let wasted = execution.ended != ExecutionStatus::Answered;
                *self.wasted.entry(stage).or_default() += u64::from(wasted);
            }
        }
        Ok(())
    }

    /// Returns the number of executions beyond the first of calls that may run at most once.
    #[must_use]
    pub fn doubled(&self) -> u64 {
        self.once.values().map(|runs| runs - 1).sum()
    }

    /// Returns the busy time of the runners per answered request in milliseconds, by stage.
    #[must_use]
    pub fn cost(&self, answered: impl Fn(&str) -> Counts) -> BTreeMap<String, f64> {
        let cost = self.busy_us.iter().map(|(stage, busy_us)| {
            let counts = answered(stage);
            let answered = (counts.on_time + counts.late).max(1);
            (
                (*stage).to_owned(),
                *busy_us as f64 / 1_000.0 / answered as f64,
            )
        });
        cost.collect()
    }

    /// Returns the executions without an answer, by stage.
    #[must_use]
    pub fn wasted(&self) -> BTreeMap<String, u64> {
        let wasted = self.wasted.iter();
        wasted
            .map(|(stage, runs)| ((*stage).to_owned(), *runs))
            .collect()
    }

    /// Returns the numbers of prefix blocks and of cache hits.
    #[must_use]
    pub fn prefix(&self) -> Prefix {
        self.prefix
    }

    /// Returns the executions of each runner.
    #[must_use]
    pub fn runs(&self) -> &BTreeMap<String, u64> {
        &self.runs
    }
}
