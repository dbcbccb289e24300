//! View of one request that has crashed runners.

use super::{CRASH_THRESHOLD, Crash, Report};
use crate::id::ContentId;
use foldhash::fast::RandomState;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Minimum time between two crashes for both to count. Many runners may exit at once, such as a
/// whole failure domain, and all may have had the same popular request.
const MIN_SPACING: Duration = Duration::from_millis(250);
/// Duration of the first hold, and the factor by which each failed trial extends it.
/// If few runners serve popular requests, a request that crashes all of them makes the other
/// requests suspects. Those must be admitted again soon, while an actual poison request must crash
/// few more runners.
const INITIAL_HOLD: Duration = Duration::from_secs(5);
const HOLD_GROWTH: u32 = 4;
/// Maximum number of failed trials that extend the hold.
const MAX_GROWTHS: u32 = 5;
/// Time after which a trial is repeated that has neither been answered nor crashed a runner.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Tolerance for times that other processes report: they are reported as ages, and the message
/// takes a while to arrive.
pub(super) const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);
/// Tolerance between reports of the same attempt that arrive by way of different processes.
const SPAN_TOLERANCE: Duration = Duration::from_millis(20);
/// Maximum number of remembered crashes of a suspect.
pub(super) const MAX_CRASHES: usize = 16;

/// A time, measured from an origin before the start of the process.
pub(super) type Moment = Duration;

/// When a request was sent to a runner that exited under it, and when its response was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Span {
    pub(super) sent: Moment,
    pub(super) lost: Moment,
}

/// A runner that a request may have crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CrashRecord<R> {
    pub(super) runner: R,
    pub(super) span: Span,
    /// Whether the runner had no other work than requests under which runners had crashed before.
    pub(super) isolated: bool,
    /// Whether the request was sent as a trial, which only goes to runners that are up. Such a crash
    /// counts even if another response was lost at the runner before.
    pub(super) is_trial: bool,
    /// Whether the runner was silent before it exited, at an unknown time.
    pub(super) is_silence: bool,
}

/// Crashes whose runners are unknown: how many count, and when they became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Restored {
    count: u32,
    at: Moment,
}

/// Exit times of runners, taken from the first response that was lost there.
pub(super) type ExitTimes<R> = HashMap<R, Moment, RandomState>;

/// What is known of the last trial of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trial {
    /// Another process made or granted it.
    Remote,
    /// This process made or granted it.
    Local,
    /// This process made or granted it, and it reached no runner.
    NotRun,
}

#[derive(Clone, Debug)]
pub(super) struct Suspect<R> {
    /// Runners that the request may have crashed, in the order of their exits.
    pub(super) crashes: Vec<CrashRecord<R>>,
    pub(super) restored: Option<Restored>,
    pub(super) trials: u32,
    pub(super) tried: Option<Moment>,
    pub(super) last_trial: Trial,
    pub(super) cleared: Option<Moment>,
    /// When the request was last requested or reported.
    pub(super) used: Moment,
}

impl<R: Clone + Eq + Hash> Suspect<R> {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            crashes: Vec::new(),
            restored: None,
            trials: 0,
            tried: None,
            last_trial: Trial::Remote,
            cleared: None,
            used: now,
        }
    }

    /// Whether an event at a given time is void because the request was answered later.
    fn is_void(&self, at: Moment) -> bool {
        self.cleared
            .is_some_and(|cleared| at <= cleared + CLOCK_TOLERANCE)
    }

    /// Whether an attempt that this process sent at a given time was its last trial.
    pub(super) fn is_own_trial(&self, sent: Moment) -> bool {
        self.last_trial == Trial::Local && self.tried.is_some_and(|tried| tried <= sent)
    }

    /// Merges a crash with its times; returns whether it is new.
    pub(super) fn add(&mut self, crash: &Crash<R>, span: Span) -> bool {
        if self.is_void(span.lost) {
            return false;
        }
        let mut crashes = self.crashes.iter_mut();
        if let Some(known) = crashes.find(|known| known.runner == crash.runner) {
            // Reported times become later with each process that passes them on. An earlier attempt
            // may be the one that crashed the runner.
            let is_earlier = span.sent + SPAN_TOLERANCE < known.span.sent;
            let shows_more = crash.isolated && !known.isolated || crash.is_trial && !known.is_trial;
            known.span.sent = span.sent.min(known.span.sent);
            known.span.lost = span.lost.min(known.span.lost);
            known.isolated |= crash.isolated;
            known.is_trial |= crash.is_trial;
            known.is_silence &= crash.is_silence;
            return is_earlier || shows_more;
        }
        let record = CrashRecord {
            runner: crash.runner.clone(),
            span,
            isolated: crash.isolated,
            is_trial: crash.is_trial,
            is_silence: crash.is_silence,
        };
        let earlier = |known: &CrashRecord<R>| known.span.lost <= span.lost;
        let place = self.crashes.partition_point(earlier);
        self.crashes.insert(place, record);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Merges crashes whose runners are unknown; returns whether more crashes count now.
    pub(super) fn restore(&mut self, count: u32, at: Moment) -> bool {
        if self.is_void(at)
            || self
                .restored
                .is_some_and(|restored| restored.count >= count)
        {
            return false;
        }
        self.restored = Some(Restored { count, at });
        true
    }

    /// Merges a trial; returns whether it is new.
    pub(super) fn record_trial(&mut self, trials: u32, at: Moment) -> bool {
        let is_later = self.tried.is_none_or(|tried| at > tried + CLOCK_TOLERANCE);
        if self.is_void(at) || !is_later && trials <= self.trials {
            return false;
        }
        self.trials = self.trials.max(trials);
        self.last_trial = Trial::Remote;
        self.tried = Some(self.tried.map_or(at, |tried| tried.max(at)));
        true
    }

    /// Merges a complete response; returns whether it is news: the first one, or one that voids something.
    pub(super) fn clear(&mut self, at: Moment) -> bool {
        if self.is_void(at) {
            return false;
        }
        let is_first = self.cleared.is_none();
        self.cleared = Some(at);
        let void = |moment: Moment| moment <= at + CLOCK_TOLERANCE;
        let before = (self.crashes.len(), self.restored, self.tried);
        self.crashes.retain(|crash| !void(crash.span.lost));
        self.restored = self.restored.filter(|restored| !void(restored.at));
        if self.tried.is_none_or(void) {
            (self.trials, self.tried) = (0, None);
        }
        is_first || before != (self.crashes.len(), self.restored, self.tried)
    }

    /// Crashes that count: those where the request had been sent before the runner exited.
    fn counted(&self, exits: &ExitTimes<R>) -> impl DoubleEndedIterator<Item = &CrashRecord<R>> {
        let was_there = |crash: &&CrashRecord<R>| {
            let exit = exits.get(&crash.runner);
            crash.is_trial || exit.is_none_or(|exit| crash.span.sent <= *exit)
        };
        self.crashes.iter().filter(was_there)
    }

    /// The crashes that count, excluding those right after another one. If the runner had only
    /// suspects to work on, one of them caused the crash, so it counts however soon it follows.
    fn distinct(&self, exits: &ExitTimes<R>) -> impl Iterator<Item = &CrashRecord<R>> {
        let mut last: Option<Moment> = None;
        self.counted(exits).filter(move |crash| {
            let lost = crash.span.lost;
            let is_distinct = crash.isolated || last.is_none_or(|last| last + MIN_SPACING <= lost);
            if is_distinct {
                last = Some(lost);
            }
            is_distinct
        })
    }

    /// Number of crashes that count, excluding those right after another one.
    pub(super) fn count(&self, exits: &ExitTimes<R>) -> u32 {
        self.at_least_restored(self.distinct(exits).count())
    }

    /// Number of crashes that count, including those right after another one.
    pub(super) fn all(&self, exits: &ExitTimes<R>) -> u32 {
        self.at_least_restored(self.counted(exits).count())
    }

    fn at_least_restored(&self, count: usize) -> u32 {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.restored
            .map_or(count, |restored| restored.count.max(count))
    }

    /// Number of distinct crashes under attempts that were sent after the threshold was reached.
    fn failed_trials(&self, exits: &ExitTimes<R>) -> usize {
        let third = self.counted(exits).nth(CRASH_THRESHOLD as usize - 1);
        let third = third.map(|crash| crash.span.lost);
        let restored = self.restored.map(|restored| restored.at);
        let Some(threshold) = third.into_iter().chain(restored).min() else {
            return 0;
        };
        let distinct = self.distinct(exits);
        distinct.filter(|crash| crash.span.sent > threshold).count()
    }

    /// Whether the request is sent only as a trial: it has crashed so many runners, whether or not
    /// they crashed right after one another.
    pub(super) fn is_held(&self, exits: &ExitTimes<R>) -> bool {
        self.all(exits) >= CRASH_THRESHOLD
    }

    /// Whether the crashes may be a coincidence, so that a trial is due at once: too few of them are
    /// distinct, and no trial has failed yet.
    pub(super) fn is_unconfirmed(&self, exits: &ExitTimes<R>) -> bool {
        self.count(exits) < CRASH_THRESHOLD && self.failed_trials(exits) == 0
    }

    /// Whether the crashes that reached the threshold were not all distinct.
    fn has_coincided(&self, exits: &ExitTimes<R>) -> bool {
        let threshold = CRASH_THRESHOLD as usize;
        let third = self.counted(exits).nth(threshold - 1);
        third.is_some_and(|third| {
            let distinct = self.distinct(exits);
            distinct
                .take_while(|crash| crash.span.lost <= third.span.lost)
                .count()
                < threshold
        })
    }

    /// Whether any crash counts against the request.
    pub(super) fn is_suspect(&self, exits: &ExitTimes<R>) -> bool {
        self.count(exits) > 0
    }

    /// When a trial of the request is due.
    pub(super) fn due(&self, exits: &ExitTimes<R>) -> Moment {
        let restored = self.restored.map(|restored| restored.at);
        let last = self.last_crash(exits).max(restored).unwrap_or_default();
        let hold = match self.failed_trials(exits) {
            // A crash of the trial is distinct from those before it.
            0 if self.is_unconfirmed(exits) => MIN_SPACING,
            1 if self.has_coincided(exits) => INITIAL_HOLD,
            failed => {
                let growths = u32::try_from(failed).unwrap_or(MAX_GROWTHS);
                INITIAL_HOLD * HOLD_GROWTH.pow(growths.min(MAX_GROWTHS))
            }
        };
        match self.tried {
            // The trial has crashed no runner so far; any other outcome shows nothing.
            Some(tried) if tried > last && self.last_trial != Trial::NotRun => {
                tried + TRIAL_TIMEOUT
            }
            _ => last + hold,
        }
    }

    pub(super) fn last_crash(&self, exits: &ExitTimes<R>) -> Option<Moment> {
        self.counted(exits).next_back().map(|crash| crash.span.lost)
    }

    pub(super) fn report(
        &self,
        content: ContentId,
        exits: &ExitTimes<R>,
        now: Moment,
    ) -> Report<R> {
        let ago = |at: Moment| now.saturating_sub(at);
        let crash = |crash: &CrashRecord<R>| Crash {
            runner: crash.runner.clone(),
            sent: ago(crash.span.sent),
            lost: ago(crash.span.lost),
            isolated: crash.isolated,
            is_trial: crash.is_trial,
            is_silence: crash.is_silence,
        };
        Report {
            content,
            crashes: self.crashes.iter().map(crash).collect(),
            count: self.all(exits),
            trials: self.trials,
            tried: self.tried.map(ago),
            cleared: self.cleared.map(ago),
            silences: Vec::new(),
        }
    }
}
