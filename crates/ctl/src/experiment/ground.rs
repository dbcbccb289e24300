//! What the runners say that they ran.

use super::system::System;
use crate::Error;
use crate::load::tally::Counts;
use serde::{Deserialize, Serialize};
use standin::log::{ExecutionStatus, Page};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Executions of a run, by service.
#[derive(Debug, Default)]
pub struct Ground {
    /// Runs of each input of calls that may run at most once.
    once: HashMap<(&'static str, String), u64>,
    /// Work for each stage since the counted part began, in microseconds.
    busy_us: BTreeMap<&'static str, u64>,
    /// Executions for each stage since then that brought no answer.
    wasted: BTreeMap<&'static str, u64>,
    /// Executions of each runner since then.
    runs: BTreeMap<String, u64>,
    prefix: Prefix,
    since_us: u64,
}

/// Prefix blocks of the calls that engines ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Prefix {
    /// All of them.
    pub blocks: usize,
    /// Those that were in the cache.
    pub hits: usize,
}

impl Ground {
    /// Counts the work of executions that start after `warm_up` from now.
    #[must_use]
    pub fn new(warm_up: Duration) -> Self {
        let since = SystemTime::now() + warm_up;
        let since = since.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            since_us: u64::try_from(since.as_micros()).unwrap_or(u64::MAX),
            ..Self::default()
        }
    }

    /// Takes in the log of one runner.
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

    /// Calls that ran more often than the once that they may.
    #[must_use]
    pub fn doubled(&self) -> u64 {
        self.once.values().map(|runs| runs - 1).sum()
    }

    /// Runners' busy milliseconds for each request answered, by stage.
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

    /// Executions that brought no answer, by stage.
    #[must_use]
    pub fn wasted(&self) -> BTreeMap<String, u64> {
        let wasted = self.wasted.iter();
        wasted
            .map(|(stage, runs)| ((*stage).to_owned(), *runs))
            .collect()
    }

    /// Prefix blocks and those that were in the caches.
    #[must_use]
    pub fn prefix(&self) -> Prefix {
        self.prefix
    }

    /// Executions of each runner.
    #[must_use]
    pub fn runs(&self) -> &BTreeMap<String, u64> {
        &self.runs
    }
}
