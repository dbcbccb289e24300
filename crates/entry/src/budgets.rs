//! Time budgets of pipeline stages.

use decide::Either;
use decide::budget::{Budget, FullBudget, Split, StageSchedule};
use foldhash::fast::RandomState;
use record::{Pipeline, Version};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

type Key = (String, Version);
type BudgetPolicy = Either<FullBudget, Split>;

/// Time budgets by pipeline and version.
#[derive(Debug)]
pub struct Budgets {
    policy: setting::Policy,
    by_pipeline: Mutex<HashMap<Key, BudgetPolicy, RandomState>>,
}

impl Budgets {
    /// Creates budgets without any measurements.
    #[must_use]
    pub fn new(policy: setting::Policy) -> Self {
        Self {
            policy,
            by_pipeline: Mutex::default(),
        }
    }

    /// Returns the schedule of a stage.
    pub fn schedule(
        &self,
        pipeline: &Pipeline,
        stage: usize,
        now: Duration,
        arrived: Duration,
        deadline: Duration,
    ) -> StageSchedule {
        self.with_budget(pipeline, |budget| {
            budget.schedule(stage, now, arrived, deadline)
        })
    }

    /// Records the stage durations of a completed request.
    pub fn record_durations(&self, pipeline: &Pipeline, stages: &[Duration]) {
        self.with_budget(pipeline, |budget| budget.finished(stages));
    }

    fn with_budget<T>(&self, pipeline: &Pipeline, work: impl FnOnce(&mut BudgetPolicy) -> T) -> T {
        let mut budgets = self
            .by_pipeline
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let key = (pipeline.name.clone(), pipeline.version);
        let budget = budgets.entry(key).or_insert_with(|| match self.policy {
            setting::Policy::Naive => Either::Naive(FullBudget),
            setting::Policy::Shipped => Either::Shipped(Split::new(pipeline.stages.len())),
        });
        work(budget)
    }
}
