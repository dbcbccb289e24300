//! Second attempts that a fleet of processes may send to one service, counted over a window.
//!
//! A runner that fails makes every caller try again at the same moment, and the repeats of many
//! processes add up at the runners that are left. The operator therefore bounds the repeats of the
//! whole fleet in any window: a share of the first attempts plus a fixed number. Each process keeps
//! to the share of the first attempts that it sent itself and to its part of the fixed number; the
//! parts add up to the bound without a word between the processes.

use std::collections::VecDeque;
use std::time::Duration;

/// Steps that a window is counted in. The oldest step is dropped as a whole, so that the count
/// covers up to one step more than the window, never less.
const STEPS: u32 = 20;

/// The bound that an operator has set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimit {
    /// Repeats for each first attempt.
    pub ratio: f64,
    /// Repeats besides, over the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    number: u64,
    firsts: u32,
    repeats: u32,
}

/// One process's repeats to one service.
///
/// # Examples
///
/// ```
/// use decide::retry::window::{RepeatLimit, Quota};
/// use std::time::Duration;
///
/// let bound = RepeatLimit { ratio: 0.5, slack: 4.0, window: Duration::from_secs(10) };
/// let mut quota = Quota::new(bound);
/// let now = Duration::from_secs(1);
/// quota.record_first_attempts(now, 2);
/// let granted = (0..9).filter(|_| quota.try_repeat(now, 4)).count();
/// assert_eq!(granted, 2);
/// ```
#[derive(Clone, Debug)]
pub struct Quota {
    bound: RepeatLimit,
    steps: VecDeque<Step>,
}

impl Quota {
    /// A quota under this bound.
    #[must_use]
    pub fn new(bound: RepeatLimit) -> Self {
        Self {
            bound,
            steps: VecDeque::new(),
        }
    }

    /// The operator has changed the bound. Repeats so far go on to count, for a whole window from
    /// now; first attempts so far do not, as the new bound may look back less far.
    pub fn set_limit(&mut self, now: Duration, bound: RepeatLimit) {
        if bound == self.bound {
            return;
        }
        let repeats = self.steps.iter().map(|step| step.repeats).sum();
        *self = Self::new(bound);
        self.step(now).repeats = repeats;
    }

    /// First attempts were sent.
    pub fn record_first_attempts(&mut self, now: Duration, count: u32) {
        self.step(now).firsts += count;
    }

    /// Whether a repeat may be sent now by one of `processes`; if so, it is counted.
    pub fn try_repeat(&mut self, now: Duration, processes: usize) -> bool {
        self.step(now);
        let firsts: u32 = self.steps.iter().map(|step| step.firsts).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let part = self.bound.slack / processes.max(1) as f64;
        let allowed = self.bound.ratio * f64::from(firsts) + part;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.step(now).repeats += 1;
        true
    }

    /// The step of this moment, with the steps that have left the window dropped.
    fn step(&mut self, now: Duration) -> &mut Step {
        let length = (self.bound.window / STEPS).as_nanos().max(1);
        let number = u64::try_from(now.as_nanos() / length).unwrap_or(u64::MAX);
        let oldest = number.saturating_sub(u64::from(STEPS));
        while self.steps.front().is_some_and(|step| step.number < oldest) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step {
                number,
                firsts: 0,
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
