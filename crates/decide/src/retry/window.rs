//! Second attempts that a fleet of processes may send to one service, counted over a window.
//!
//! A runner that fails makes every caller try again at the same moment, and the repeats of many
//! processes add up at the runners that are left. The operator therefore bounds the repeats of the
//! whole fleet in any window: a share of the first attempts plus a fixed number. Each process keeps
//! to the share of the first attempts that it sent itself and to its part of the fixed number; the
//! parts add up to the bound without a word between the processes.
//!
//! What the processes keep to adds up only if all count first attempts in the same windows: for any
//! window, half of those in it and half of those in the one before. A process that took the better of
//! the two for itself, or the window that ends with its own last repeat, would exceed the bound
//! together with others that took another one.

use std::collections::VecDeque;
use std::time::Duration;

/// Steps that a window is counted in. First attempts count only where the whole step lies in the
/// window, repeats also where a part of it does.
const STEPS: usize = 200;
/// Windows in which first attempts are counted, each for an equal part.
const WINDOWS: f64 = 2.0;
/// Longest time from when a client sends a request until it is here.
const ARRIVAL: Duration = Duration::from_millis(20);
/// Longest time from when a repeat is granted until it is at its runner.
const TRANSIT: Duration = Duration::from_millis(300);

/// Number of processes that leaves each without a part of the slack.
pub const NO_PART: usize = usize::MAX;

/// The bound that an operator has set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats for each first attempt.
    pub ratio: f64,
    /// Repeats besides, over the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Bound {
    /// Longest time between two grants of repeats that may be at their runners within one window.
    #[must_use]
    pub fn reach(&self) -> Duration {
        self.window + TRANSIT
    }

    /// The lesser of each term of two bounds over the same window.
    fn lesser(&self, other: &Self) -> Self {
        Self {
            ratio: self.ratio.min(other.ratio),
            slack: self.slack.min(other.slack),
            window: self.window,
        }
    }

    /// Whether another one over the same window allows as much whatever is sent, or as little.
    fn is_ordered(&self, other: &Self) -> bool {
        let lesser = self.lesser(other);
        lesser == *self || lesser == *other
    }

    fn step(&self) -> Duration {
        let steps = u32::try_from(STEPS).unwrap_or(u32::MAX);
        (self.window / steps).max(Duration::from_nanos(1))
    }

    /// Steps that hold this much time, wherever it begins in the first of them.
    fn steps(&self, time: Duration) -> usize {
        usize::try_from(time.as_nanos().div_ceil(self.step().as_nanos())).unwrap_or(usize::MAX)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    firsts: u32,
    repeats: u32,
}

/// One process's repeats to one service.
///
/// # Examples
///
/// ```
/// use decide::retry::window::{Bound, Quota};
/// use std::time::Duration;
///
/// let bound = Bound { ratio: 0.5, slack: 4.0, window: Duration::from_secs(10) };
/// let mut quota = Quota::new(bound);
/// let now = Duration::from_secs(1);
/// quota.first(now, 4);
/// let granted = (0..9).filter(|_| quota.repeat(now, 4)).count();
/// assert_eq!(granted, 2, "half of them in a window that they begin");
/// ```
#[derive(Clone, Debug)]
pub struct Quota {
    bound: Bound,
    /// A bound that is in force from a moment on.
    later: Option<(Duration, Bound)>,
    /// Number of the newest step.
    newest: u64,
    /// The newest first.
    steps: VecDeque<Step>,
}

impl Quota {
    /// A quota under this bound.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            later: None,
            newest: 0,
            steps: VecDeque::new(),
        }
    }

    /// The operator has changed the bound. Repeats so far go on to count.
    ///
    /// A window in which it changes allows what one of the two bounds does. Where neither allows more
    /// than the other whatever is sent, processes that go by one and by the other would exceed both;
    /// the lesser of each term holds until such windows are over.
    pub fn rebind(&mut self, now: Duration, bound: Bound) {
        let asked = self.later.map_or(self.bound, |(_, later)| later);
        if bound == asked {
            return;
        }
        if bound.window != self.bound.window {
            self.restart(now, bound);
        } else if self.bound.is_ordered(&bound) {
            self.later = None;
            self.bound = bound;
        } else {
            self.later = Some((now + self.bound.reach(), bound));
            self.bound = self.bound.lesser(&bound);
        }
    }

    /// Goes over to another window: repeats so far count for the whole of it from now, first attempts do
    /// not, as it may look back less far.
    fn restart(&mut self, now: Duration, bound: Bound) {
        let repeats = self.steps.iter().map(|step| step.repeats).sum();
        *self = Self::new(bound);
        self.turn(now);
        self.steps[0].repeats = repeats;
    }

    /// First attempts of requests that came at this moment, which may be a while ago.
    pub fn first(&mut self, arrived: Duration, count: u32) {
        let number = self.number(arrived);
        if self.steps.is_empty() || number > self.newest {
            self.turn(arrived);
        }
        let age = usize::try_from(self.newest - number).unwrap_or(usize::MAX);
        // One that came longer ago counts in no window.
        if let Some(step) = self.steps.get_mut(age) {
            step.firsts += count;
        }
    }

    /// Whether a repeat may be sent now by one of `processes`; if so, it is counted.
    pub fn repeat(&mut self, now: Duration, processes: usize) -> bool {
        self.turn(now);
        if let Some((_, bound)) = self.later.take_if(|(from, _)| *from <= now) {
            self.bound = bound;
        }
        let part = self.bound.slack / processes.max(1) as f64;
        if self.is_full(part) {
            return false;
        }
        self.steps[0].repeats += 1;
        true
    }

    /// Whether one more repeat would be too many in a window that it falls into.
    ///
    /// What is sent after now can only allow more, so that looking back is enough.
    fn is_full(&self, part: f64) -> bool {
        let before = self.before();
        let ratio = self.bound.ratio / WINDOWS;
        let firsts = self.steps.iter().map(|step| step.firsts);
        let mut counted: u32 = firsts.clone().take(before).sum();
        let mut firsts = firsts.skip(before);
        let mut repeats = 1;
        self.steps.iter().take(self.depth()).any(|step| {
            repeats += step.repeats;
            counted += firsts.next().unwrap_or(0);
            f64::from(repeats) > ratio * f64::from(counted) + part
        })
    }

    /// Steps in which repeats may have been granted that arrive in one window with one from now.
    fn depth(&self) -> usize {
        STEPS + 2 + self.bound.steps(TRANSIT)
    }

    /// Steps by which first attempts count longer than repeats.
    fn before(&self) -> usize {
        let lost = self.bound.steps(TRANSIT) + self.bound.steps(ARRIVAL) + 1;
        STEPS.saturating_sub(lost)
    }

    fn number(&self, at: Duration) -> u64 {
        let number = at.as_nanos() / self.bound.step().as_nanos();
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Begins the step of this moment, and drops those that count in no window any more.
    fn turn(&mut self, now: Duration) {
        let most = self.depth() + self.before();
        let number = self.number(now).max(self.newest);
        let passed = usize::try_from(number - self.newest).unwrap_or(usize::MAX);
        self.newest = number;
        for _ in 0..passed.min(most) {
            self.steps.push_front(Step::default());
        }
        self.steps.resize(most, Step::default());
    }
}

/// How many processes share the slack, as far as one of them knows. Moments count from its start.
///
/// What one that is gone has spent counts until its window is over, whoever takes its place. So a
/// process goes by the most that it has known of within a window, and one that has just started gets
/// no part: an earlier start under its name may have spent one, and others may not know it yet and take
/// larger parts.
///
/// # Examples
///
/// ```
/// use decide::retry::window::{Census, NO_PART};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut census = Census::default();
/// census.known(second);
/// census.counted(second, 5);
/// census.counted(second * 12, 4);
/// assert_eq!(census.sharers(second * 9, second * 10), NO_PART);
/// assert_eq!(census.sharers(second * 15, second * 10), 5);
/// assert_eq!(census.sharers(second * 22, second * 10), 4);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Census {
    /// Each with the moment from which on it held.
    counts: VecDeque<(Duration, usize)>,
    known: Option<Duration>,
    is_first: bool,
}

impl Census {
    /// That of a process before which none ran anywhere.
    #[must_use]
    pub fn first() -> Self {
        Self {
            is_first: true,
            ..Self::default()
        }
    }

    /// All that take parts know of this process from a moment on.
    pub fn known(&mut self, from: Duration) {
        self.known.get_or_insert(from);
    }

    /// So many processes are there now, this one included.
    pub fn counted(&mut self, now: Duration, processes: usize) {
        let last = self.counts.back();
        if last.is_none_or(|(_, count)| *count != processes) {
            self.counts.push_back((now, processes));
        }
    }

    /// By how many the slack is divided, where spending reaches so far back; [`NO_PART`] if this process
    /// has none of it.
    pub fn sharers(&mut self, now: Duration, reach: Duration) -> usize {
        let is_past = |moment: Duration| moment + reach <= now;
        let starts = |known| {
            if self.is_first {
                known <= now
            } else {
                is_past(known)
            }
        };
        if !self.known.is_some_and(starts) {
            return NO_PART;
        }
        while self.counts.get(1).is_some_and(|(next, _)| is_past(*next)) {
            self.counts.pop_front();
        }
        let counts = self.counts.iter().map(|(_, count)| *count);
        counts.max().unwrap_or(NO_PART)
    }
}
