//! What is known of one request that has ended runners.

use super::{CRASH_THRESHOLD, Crash, Report};
use crate::id::ContentId;
use foldhash::fast::RandomState;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Least time between two crashes that are counted. Many runners may end in one moment, a whole
/// failure domain for instance, and each had the same popular request.
const MIN_SPACING: Duration = Duration::from_millis(250);
/// How long a request is held back at first, and by what factor that grows with each trial that ends a
/// runner. Where few
/// runners serve popular requests, one that ends them all makes suspects of the others; they must be
/// back soon, and what deserves it must end few runners more.
const HOLD: Duration = Duration::from_secs(5);
const HOLD_GROWTH: u32 = 4;
/// Trials that make it longer.
const MAX_GROWTHS: u32 = 5;
/// Time after which a trial that has neither been answered nor ended a runner is made again.
const OUTCOME: Duration = Duration::from_secs(3);
/// Accuracy of moments that other processes tell: they are told as ages, and are on their way for a
/// while.
pub(super) const TOLERANCE: Duration = Duration::from_secs(1);
/// Difference between two moments of one attempt that are told by way of different processes.
const ACCURACY: Duration = Duration::from_millis(20);
/// Crashes that are remembered of one suspect.
pub(super) const MAX_CRASHES: usize = 16;

/// A moment, counted from some time before the start of the process.
pub(super) type Moment = Duration;

/// When a request was sent to a runner that ended under it, and when its answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Span {
    pub(super) sent: Moment,
    pub(super) lost: Moment,
}

/// A runner that a request may have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ended<R> {
    pub(super) runner: R,
    pub(super) span: Span,
    /// Whether the runner had nothing to do but requests under which others had ended before.
    pub(super) isolated: bool,
}

/// Crashes whose runners are not known: how many count, and when that was learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Kept {
    count: u32,
    at: Moment,
}

/// When runners ended, by the first answer that was lost there.
pub(super) type Ends<R> = HashMap<R, Moment, RandomState>;

#[derive(Clone, Debug)]
pub(super) struct Suspect<R> {
    /// Runners that it may have ended, in the order of their ends.
    pub(super) crashes: Vec<Ended<R>>,
    pub(super) kept: Option<Kept>,
    pub(super) trials: u32,
    pub(super) tried: Option<Moment>,
    pub(super) cleared: Option<Moment>,
    /// When it was last asked for or told of.
    pub(super) used: Moment,
}

impl<R: Clone + Eq + Hash> Suspect<R> {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            crashes: Vec::new(),
            kept: None,
            trials: 0,
            tried: None,
            cleared: None,
            used: now,
        }
    }

    /// Whether what happened at a moment counts for nothing, since the request was answered later.
    fn is_void(&self, at: Moment) -> bool {
        self.cleared
            .is_some_and(|cleared| at <= cleared + TOLERANCE)
    }

    /// Takes in a crash; tells whether it was not known.
    pub(super) fn add(&mut self, runner: &R, span: Span, isolated: bool) -> bool {
        if self.is_void(span.lost) {
            return false;
        }
        let mut crashes = self.crashes.iter_mut();
        if let Some(known) = crashes.find(|known| known.runner == *runner) {
            // What is told on its way through many processes gets later with each. An earlier attempt may
            // be the one that ended the runner.
            let is_earlier = span.sent + ACCURACY < known.span.sent;
            let is_new = is_earlier || isolated && !known.isolated;
            known.span.sent = span.sent.min(known.span.sent);
            known.span.lost = span.lost.min(known.span.lost);
            known.isolated |= isolated;
            return is_new;
        }
        let ended = Ended {
            runner: runner.clone(),
            span,
            isolated,
        };
        let earlier = |known: &Ended<R>| known.span.lost <= span.lost;
        let place = self.crashes.partition_point(earlier);
        self.crashes.insert(place, ended);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Takes in crashes whose runners are not known; tells whether more count now.
    pub(super) fn keep(&mut self, count: u32, at: Moment) -> bool {
        if self.is_void(at) || self.kept.is_some_and(|kept| kept.count >= count) {
            return false;
        }
        self.kept = Some(Kept { count, at });
        true
    }

    /// Takes in a trial; tells whether it was not known.
    pub(super) fn note_trial(&mut self, trials: u32, at: Moment) -> bool {
        let is_later = self.tried.is_none_or(|tried| at > tried + TOLERANCE);
        if self.is_void(at) || !is_later && trials <= self.trials {
            return false;
        }
        self.trials = self.trials.max(trials);
        self.tried = Some(self.tried.map_or(at, |tried| tried.max(at)));
        true
    }

    /// Takes in a whole answer; tells whether it was not known.
    pub(super) fn clear(&mut self, at: Moment) -> bool {
        if self.is_void(at) {
            return false;
        }
        self.cleared = Some(at);
        let void = |moment: Moment| moment <= at + TOLERANCE;
        self.crashes.retain(|crash| !void(crash.span.lost));
        self.kept = self.kept.filter(|kept| !void(kept.at));
        if self.tried.is_none_or(void) {
            (self.trials, self.tried) = (0, None);
        }
        true
    }

    /// The crashes that count: those under which the request had been sent before the runner ended.
    fn counted(&self, ends: &Ends<R>) -> impl DoubleEndedIterator<Item = &Ended<R>> {
        let was_there = |crash: &&Ended<R>| {
            let end = ends.get(&crash.runner);
            end.is_none_or(|end| crash.span.sent <= *end)
        };
        self.crashes.iter().filter(was_there)
    }

    /// Crashes that count, but for those right after another one. What ended a runner that had only
    /// suspects to work on was one of them, however soon.
    pub(super) fn count(&self, ends: &Ends<R>) -> u32 {
        let mut last: Option<Moment> = None;
        let mut count = 0;
        for crash in self.counted(ends) {
            let lost = crash.span.lost;
            if crash.isolated || last.is_none_or(|last| last + MIN_SPACING <= lost) {
                last = Some(lost);
                count += 1;
            }
        }
        self.kept.map_or(count, |kept| kept.count.max(count))
    }

    /// Crashes that count, also those right after another one.
    pub(super) fn all(&self, ends: &Ends<R>) -> u32 {
        let all = u32::try_from(self.counted(ends).count()).unwrap_or(u32::MAX);
        self.kept.map_or(all, |kept| kept.count.max(all))
    }

    pub(super) fn is_held(&self, ends: &Ends<R>) -> bool {
        self.count(ends) >= CRASH_THRESHOLD
    }

    /// Whether anything speaks against the request.
    pub(super) fn is_suspect(&self, ends: &Ends<R>) -> bool {
        self.count(ends) > 0
    }

    /// When it is due for a trial.
    pub(super) fn due(&self, ends: &Ends<R>) -> Moment {
        let kept = self.kept.map(|kept| kept.at);
        let last = self.last_crash(ends).max(kept).unwrap_or_default();
        let hold = HOLD * HOLD_GROWTH.pow(self.trials.min(MAX_GROWTHS));
        match self.tried {
            // The trial has ended no runner so far; what became of it else says nothing.
            Some(tried) if tried > last => tried + OUTCOME,
            _ => last + hold,
        }
    }

    pub(super) fn last_crash(&self, ends: &Ends<R>) -> Option<Moment> {
        self.counted(ends).next_back().map(|crash| crash.span.lost)
    }

    pub(super) fn report(&self, content: ContentId, ends: &Ends<R>, now: Moment) -> Report<R> {
        let ago = |at: Moment| now.saturating_sub(at);
        let crash = |crash: &Ended<R>| Crash {
            runner: crash.runner.clone(),
            sent: ago(crash.span.sent),
            lost: ago(crash.span.lost),
            isolated: crash.isolated,
        };
        Report {
            content,
            crashes: self.crashes.iter().map(crash).collect(),
            count: self.count(ends),
            trials: self.trials,
            tried: self.tried.map(ago),
            cleared: self.cleared.map(ago),
            silences: Vec::new(),
        }
    }
}
