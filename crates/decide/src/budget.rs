//! By when a stage must start so that the request meets its deadline.

use crate::either::{Either, either};
use hdrhistogram::Histogram;
use std::time::Duration;

/// When a stage should start, and how urgent that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageSchedule {
    /// Latest moment, since the process started, at which the stage may start and the request
    /// still meet its deadline.
    pub latest_start: Duration,
    /// Priority at the runner, 0 to 255; higher goes first.
    pub priority: u8,
}

impl StageSchedule {
    /// Time from `now` that the stage may still wait.
    #[must_use]
    pub fn slack(&self, now: Duration) -> Duration {
        self.latest_start.saturating_sub(now)
    }
}

/// Divides a request's time among the stages of its pipeline.
pub trait Budget {
    /// The slot of stage number `stage` for a request that came at `arrived` and is due at
    /// `deadline`, both since the process started.
    fn schedule(
        &self,
        stage: usize,
        now: Duration,
        arrived: Duration,
        deadline: Duration,
    ) -> StageSchedule;
    /// Takes in a whole request: for each stage the time from its sending to its whole answer,
    /// without waits in this process's queues.
    fn finished(&mut self, stages: &[Duration]);
}

/// The baseline: each stage has the whole time, and all are equally urgent.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullBudget;

/// Priority of a call that is neither urgent nor late.
pub const PLAIN: u8 = 128;

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
            priority: PLAIN,
        }
    }

    fn finished(&mut self, _stages: &[Duration]) {}
}

/// Quantile of a stage's remaining time that its budget leaves room for.
const QUANTILE: f64 = 0.9;
/// Requests after which the window of remaining times starts anew. A long one remembers for many
/// seconds how fast things were before half of the runners were lost.
const WINDOW: u64 = 200;
/// Requests after which the quantile is worked out anew.
const REFRESH: u64 = 10;
/// Requests of a window before it replaces the one before.
const MIN_REQUESTS: u64 = 50;
/// Longest remaining time told apart from longer ones, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// Priority of a call that can no longer make its deadline: it yields.
const LATE: u8 = 16;
/// Priority of a call with all its time before it.
const EARLY: u8 = 64;

/// Splits the time by each stage's measured remaining-time distribution.
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
    stages: Vec<Remaining>,
}

impl Split {
    /// A split for a pipeline with this many stages that has measured nothing yet.
    #[must_use]
    pub fn new(stages: usize) -> Self {
        Self {
            stages: (0..stages).map(|_| Remaining::default()).collect(),
        }
    }

    /// Time from the start of a stage to the end of the request that nine of ten requests stay
    /// within; zero before it has been measured.
    #[must_use]
    pub fn remaining(&self, stage: usize) -> Duration {
        self.stages
            .get(stage)
            .map_or(Duration::ZERO, Remaining::get)
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
        let whole = deadline.saturating_sub(arrived);
        StageSchedule {
            latest_start,
            priority: priority(slack, whole),
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

/// Rises from [`EARLY`] to 255 as the slack runs out, and falls to [`LATE`] once it has.
fn priority(slack: Duration, whole: Duration) -> u8 {
    if slack.is_zero() {
        return LATE;
    }
    let left = (slack.as_secs_f64() / whole.as_secs_f64()).min(1.0);
    let span = f64::from(u8::MAX - EARLY);
    u8::MAX - (left * span) as u8
}

/// Remaining times of one stage: a window that fills up, and the quantile that is used.
#[derive(Clone, Debug)]
struct Remaining {
    window: Histogram<u64>,
    current: Duration,
    first: bool,
}

impl Default for Remaining {
    fn default() -> Self {
        Self {
            window: Histogram::new_with_max(LONGEST_US, 2).expect("bounds are valid"),
            current: Duration::ZERO,
            first: true,
        }
    }
}

impl Remaining {
    fn add(&mut self, remaining: Duration) {
        let micros = u64::try_from(remaining.as_micros()).unwrap_or(LONGEST_US);
        self.window.saturating_record(micros);
        let enough = self.first || self.window.len() >= MIN_REQUESTS;
        if enough && self.window.len() % REFRESH == 0 {
            let micros = self.window.value_at_quantile(QUANTILE);
            self.current = Duration::from_micros(micros);
        }
        if self.window.len() >= WINDOW {
            self.first = false;
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
