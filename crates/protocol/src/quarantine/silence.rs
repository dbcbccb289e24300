//! Runners that have sent nothing since a request was sent there.
//!
//! If a runner becomes unresponsive, the platform reports its exit only seconds later. Until then,
//! a request that makes each of its runners unresponsive would reach many of them. This module
//! bounds its exposure: the number of runners that have not answered it and have given no sign of
//! life since. Any response of such a runner, to any request, ends its silence.

use super::suspect::{CLOCK_TOLERANCE, Moment};
use super::{SILENCE_TIMEOUT, Silence};
use crate::id::ContentId;
use foldhash::fast::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

/// Time for which a silence counts; by then, the platform no longer lists a runner that has exited.
const TTL: Duration = Duration::from_secs(5);
/// A request sent to an unresponsive runner within this time after the first unanswered one may
/// have caused the silence. Later requests reached a runner that was already unresponsive.
const CAUSE_WINDOW: Duration = Duration::from_millis(250);
/// Time within which all processes get the report of an unresponsive runner, at usual load.
const REPORT_TIME: Duration = Duration::from_millis(250);
/// Time after its last sign of life for which a runner counts as alive.
const RECENTLY_ACTIVE: Duration = Duration::from_millis(250);
/// Maximum number of remembered silences, and a quarter of that of signs of life.
const CAPACITY: usize = 1_024;

/// A request that a runner has not answered.
///
/// Cleared ones are remembered for a while, since other processes may still report them.
#[derive(Clone, Debug)]
struct Unanswered<R> {
    content: ContentId,
    runner: R,
    sent: Moment,
    noted: Moment,
    is_cleared: bool,
}

impl<R> Unanswered<R> {
    fn counts(&self, now: Moment) -> bool {
        !self.is_cleared && self.noted + TTL >= now
    }
}

/// One process's view of unresponsive runners.
#[derive(Clone, Debug)]
pub(super) struct Silences<R> {
    unanswered: VecDeque<Unanswered<R>>,
    /// When the first unanswered request of each unresponsive runner was sent.
    since: HashMap<R, Moment, RandomState>,
    /// Time of the last sign of life of each runner.
    last_activity: HashMap<R, Moment, RandomState>,
    /// Runners at which each request is in progress.
    in_progress: HashMap<ContentId, Vec<R>, RandomState>,
}

impl<R> Default for Silences<R> {
    fn default() -> Self {
        Self {
            unanswered: VecDeque::new(),
            since: HashMap::default(),
            last_activity: HashMap::default(),
            in_progress: HashMap::default(),
        }
    }
}

impl<R: Clone + Eq + Hash> Silences<R> {
    /// Whether no runner is known to be unresponsive.
    pub(super) fn is_empty(&self) -> bool {
        self.unanswered.iter().all(|entry| entry.is_cleared)
    }

    /// Records a sign of life from a runner, which ends its silence.
    pub(super) fn observe(&mut self, runner: &R, at: Moment) {
        if let Some(last) = self.last_activity.get_mut(runner) {
            *last = at.max(*last);
        } else {
            if self.last_activity.len() >= CAPACITY * 4 {
                self.last_activity.retain(|_, last| *last + TTL > at);
            }
            self.last_activity.insert(runner.clone(), at);
        }
        self.clear_where(|entry| entry.runner == *runner && entry.sent < at);
        if self.since.get(runner).is_some_and(|since| *since < at) {
            self.since.remove(runner);
        }
    }

    fn clear_where(&mut self, is_cleared: impl Fn(&Unanswered<R>) -> bool) {
        for entry in &mut self.unanswered {
            entry.is_cleared |= is_cleared(entry);
        }
    }

    /// Whether a runner has given no sign of life after a given time.
    pub(super) fn is_silent(&self, runner: &R, since: Moment) -> bool {
        self.last_activity
            .get(runner)
            .is_none_or(|last| *last <= since)
    }

    /// Records that a runner has been unresponsive since a request was sent there; returns whether
    /// that is new.
    pub(super) fn record(
        &mut self,
        content: ContentId,
        runner: &R,
        sent: Moment,
        noted: Moment,
        now: Moment,
    ) -> bool {
        self.expire(now);
        let is_same = |entry: &Unanswered<R>| {
            let is_later = sent > entry.sent + CLOCK_TOLERANCE;
            entry.content == content && entry.runner == *runner && !is_later
        };
        let is_known = self.unanswered.iter().any(is_same);
        if noted + TTL < now || is_known || !self.is_silent(runner, sent) {
            return false;
        }
        let since = self.since.entry(runner.clone()).or_insert(sent);
        *since = sent.min(*since);
        if self.unanswered.len() >= CAPACITY {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(Unanswered {
            content,
            runner: runner.clone(),
            sent,
            noted,
            is_cleared: false,
        });
        true
    }

    fn expire(&mut self, now: Moment) {
        self.unanswered.retain(|entry| entry.noted + TTL * 2 >= now);
        let unanswered = &self.unanswered;
        let is_referenced = |runner: &R| unanswered.iter().any(|entry| entry.runner == *runner);
        self.since.retain(|runner, _| is_referenced(runner));
    }

    /// Clears a request that has been answered: it did not make these runners unresponsive.
    pub(super) fn clear(&mut self, content: ContentId, at: Moment) {
        self.clear_where(|entry| entry.content == content && entry.sent <= at);
    }

    /// Clears a runner that has exited during the request, since its exit is counted separately.
    pub(super) fn crash_known(&mut self, content: ContentId, runner: &R) {
        self.clear_where(|entry| entry.content == content && entry.runner == *runner);
    }

    /// Silences that currently count for a request.
    fn of(&self, content: ContentId, now: Moment) -> impl Iterator<Item = &Unanswered<R>> {
        let unanswered = self.unanswered.iter();
        unanswered.filter(move |entry| {
            entry.content == content && entry.counts(now) && self.is_suspect(entry)
        })
    }

    /// Whether a request may have made the runner unresponsive.
    fn is_suspect(&self, entry: &Unanswered<R>) -> bool {
        let since = self.since.get(&entry.runner);
        since.is_none_or(|since| entry.sent <= *since + CAUSE_WINDOW)
    }

    /// Number of runners that have not answered a request.
    pub(super) fn count(&self, content: ContentId, now: Moment) -> u32 {
        u32::try_from(self.of(content, now).count()).unwrap_or(u32::MAX)
    }

    /// Records that the request is sent to a runner.
    pub(super) fn attempt_started(&mut self, content: ContentId, runner: R) {
        self.in_progress.entry(content).or_default().push(runner);
    }

    /// Records that the request is no longer in progress at a runner.
    pub(super) fn attempt_ended(&mut self, content: ContentId, runner: &R) {
        let Some(runners) = self.in_progress.get_mut(&content) else {
            return;
        };
        if let Some(position) = runners.iter().position(|one| one == runner) {
            runners.swap_remove(position);
        }
        if runners.is_empty() {
            self.in_progress.remove(&content);
        }
    }

    /// Number of runners at which the request is in progress.
    pub(super) fn attempts(&self, content: ContentId) -> usize {
        self.in_progress.get(&content).map_or(0, Vec::len)
    }

    /// Number of runners at which the request is in progress and that may have become unresponsive,
    /// excluding those that are known to be.
    pub(super) fn in_progress(&self, content: ContentId, now: Moment) -> u32 {
        let since = now.saturating_sub(RECENTLY_ACTIVE);
        let is_known = |runner: &R| self.of(content, now).any(|entry| entry.runner == *runner);
        let in_progress = self.in_progress.get(&content).into_iter().flatten();
        let in_progress =
            in_progress.filter(|runner| self.is_silent(runner, since) && !is_known(runner));
        u32::try_from(in_progress.count()).unwrap_or(u32::MAX)
    }

    /// When the first of the request's silences stops counting.
    pub(super) fn until(&self, content: ContentId, now: Moment) -> Option<Moment> {
        self.of(content, now).map(|entry| entry.noted + TTL).min()
    }

    /// When the attempts that were sent before the last silence became known have been answered, or
    /// their runners are known to be unresponsive as well.
    pub(super) fn settled(&self, content: ContentId, now: Moment) -> Option<Moment> {
        let last = self.of(content, now).map(|entry| entry.noted).max();
        last.map(|noted| noted + SILENCE_TIMEOUT + REPORT_TIME)
    }

    /// All unresponsive runners; a runner may occur more than once.
    pub(super) fn runners(&self, now: Moment) -> impl Iterator<Item = &R> {
        let unanswered = self
            .unanswered
            .iter()
            .filter(move |entry| entry.counts(now));
        unanswered.map(|entry| &entry.runner)
    }

    /// Requests that unresponsive runners have not answered.
    pub(super) fn contents(&self, now: Moment) -> impl Iterator<Item = ContentId> + '_ {
        let unanswered = self
            .unanswered
            .iter()
            .filter(move |entry| entry.counts(now));
        unanswered.map(|entry| entry.content)
    }

    pub(super) fn report(&self, content: ContentId, now: Moment) -> Vec<Silence<R>> {
        let silence = |entry: &Unanswered<R>| Silence {
            runner: entry.runner.clone(),
            sent: now.saturating_sub(entry.sent),
            noted: now.saturating_sub(entry.noted),
        };
        self.of(content, now).map(silence).collect()
    }
}
