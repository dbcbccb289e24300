//! Latest start times and priorities of stages, derived from the request's deadline.

use crate::either::{Either, either};
use hdrhistogram::Histogram;
use std::time::Duration;

/// Latest start and priority of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageSchedule {
    /// Latest time, since the process started, at which the stage can start such that the request
    /// still meets its deadline.
    pub latest_start: Duration,
    /// Priority at the runner, from 0 to 255; higher values go first.
    pub priority: u8,
}

impl StageSchedule {
    /// Time that the stage can still wait, as of `now`.
    #[must_use]
    pub fn slack(&self, now: Duration) -> Duration {
        self.latest_start.saturating_sub(now)
    }
}

/// Divides a request's time budget among the stages of its pipeline.
pub trait Budget {
    /// The schedule of stage number `stage` for a request that arrived at `arrived` and is due at
    /// `deadline`, both since the process started.
    fn schedule(
        &self,
        stage: usize,
        now: Duration,
        arrived: Duration,
        deadline: Duration,
    ) -> StageSchedule;
    /// Records a completed request: for each stage, the time from sending it to its complete
    /// response, without waits in this process's queues.
    fn finished(&mut self, stages: &[Duration]);
}

/// The baseline: each stage has the full time, and all have the same priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullBudget;

/// Priority of a call of normal urgency.
pub const DEFAULT_PRIORITY: u8 = 128;

impl Budget for FullBudget {
    fn schedule(
        &self,
        _stage: usize,
        _now: Duration,
        _arrived: Duration,
        deadline: Duration,
    ) -> StageSchedule {
        StageSchedule {
            latest_start: deadline,
            priority: DEFAULT_PRIORITY,
        }
    }

    fn finished(&mut self, _stages: &[Duration]) {}
}

/// Quantile of a stage's remaining time that is reserved before the deadline.
const QUANTILE: f64 = 0.9;
/// Requests after which the window of remaining times is reset. A long window would include, for
/// many seconds, how fast requests were before half of the runners were lost.
const WINDOW: u64 = 200;
/// Requests after which the quantile is recomputed.
const REFRESH_INTERVAL: u64 = 10;
/// Requests in a window before its quantile replaces that of the previous window.
const MIN_WINDOW_REQUESTS: u64 = 50;
/// Longest remaining time that the histogram distinguishes, in microseconds.
const MAX_RECORDED_US: u64 = 600_000_000;
/// Priority of a call that can no longer meet its deadline, so that it yields to others.
const LATE_PRIORITY: u8 = 16;
/// Priority of a call that has its full time left.
const INITIAL_PRIORITY: u8 = 64;

/// Splits the time budget by each stage's measured distribution of remaining times.
///
/// # Examples
///
/// ```
/// use decide::budget::{Budget, Split};
/// use std::time::Duration;
///
/// let mut split = Split::new(2);
/// for _ in 0..20 {
///     split.finished(&[Duration::from_millis(10), Duration::from_millis(90)]);
/// }
/// let second = Duration::from_secs(1);
/// let first = split.schedule(0, Duration::ZERO, Duration::ZERO, second);
/// let last = split.schedule(1, Duration::ZERO, Duration::ZERO, second);
/// assert!(first.latest_start < last.latest_start);
/// ```
#[derive(Clone, Debug)]
pub struct Split {
    stages: Vec<RemainingTime>,
}

impl Split {
    /// A split without measurements for a pipeline with this many stages.
    #[must_use]
    pub fn new(stages: usize) -> Self {
        Self {
            stages: (0..stages).map(|_| RemainingTime::default()).collect(),
        }
    }

    /// 90th percentile of the time from the start of a stage to the end of the request; zero before
    /// it has been measured.
    #[must_use]
    pub fn remaining(&self, stage: usize) -> Duration {
        self.stages
            .get(stage)
            .map_or(Duration::ZERO, RemainingTime::get)
    }
}

impl Budget for Split {
    fn schedule(
        &self,
        stage: usize,
        now: Duration,
        arrived: Duration,
        deadline: Duration,
    ) -> StageSchedule {
        let latest_start = deadline.saturating_sub(self.remaining(stage));
        let slack = latest_start.saturating_sub(now);
        let total = deadline.saturating_sub(arrived);
        StageSchedule {
            latest_start,
            priority: priority(slack, total),
        }
    }

    fn finished(&mut self, stages: &[Duration]) {
        let mut remaining = Duration::ZERO;
        let measured = self.stages.iter_mut().zip(stages);
        for (stage, time) in measured.rev() {
            remaining += *time;
            stage.add(remaining);
        }
    }
}

/// Rises from [`INITIAL_PRIORITY`] to 255 as the slack decreases; [`LATE_PRIORITY`] without slack.
fn priority(slack: Duration, total: Duration) -> u8 {
    if slack.is_zero() {
        return LATE_PRIORITY;
    }
    let fraction_left = (slack.as_secs_f64() / total.as_secs_f64()).min(1.0);
    let span = f64::from(u8::MAX - INITIAL_PRIORITY);
    u8::MAX - (fraction_left * span) as u8
}

/// Remaining times of one stage: the window being filled, and the quantile in use.
#[derive(Clone, Debug)]
struct RemainingTime {
    window: Histogram<u64>,
    current: Duration,
    first_window: bool,
}

impl Default for RemainingTime {
    fn default() -> Self {
        Self {
            window: Histogram::new_with_max(MAX_RECORDED_US, 2).expect("bounds are valid"),
            current: Duration::ZERO,
            first_window: true,
        }
    }
}

impl RemainingTime {
    fn add(&mut self, remaining: Duration) {
        let micros = u64::try_from(remaining.as_micros()).unwrap_or(MAX_RECORDED_US);
        self.window.saturating_record(micros);
        let has_enough = self.first_window || self.window.len() >= MIN_WINDOW_REQUESTS;
        if has_enough && self.window.len() % REFRESH_INTERVAL == 0 {
            let micros = self.window.value_at_quantile(QUANTILE);
            self.current = Duration::from_micros(micros);
        }
        if self.window.len() >= WINDOW {
            self.first_window = false;
            self.window.reset();
        }
    }

    fn get(&self) -> Duration {
        self.current
    }
}

impl<N: Budget, S: Budget> Budget for Either<N, S> {
    fn schedule(
        &self,
        stage: usize,
        now: Duration,
        arrived: Duration,
        deadline: Duration,
    ) -> StageSchedule {
        either!(self, inner => inner.schedule(stage, now, arrived, deadline))
    }

    fn finished(&mut self, stages: &[Duration]) {
        either!(self, inner => inner.finished(stages));
    }
}
