//! Runners from which nothing has come since a request was sent there.
//!
//! A runner that falls silent is known to have ended only once the platform says so, seconds later. Until
//! then a request that silences each of its runners would reach many. What is bounded here is its
//! exposure: the number of runners that hold it unanswered and have given no sign of life since. Any answer
//! of such a runner, to any request, ends its silence.

use super::Silence;
use super::suspect::{Moment, TOLERANCE};
use crate::id::ContentId;
use foldhash::fast::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

/// Time for which a silence counts: the platform names a runner no more by then that has ended.
const TTL: Duration = Duration::from_secs(5);
/// Time after the first request that a silent runner holds in which another one that was sent there may
/// have silenced it. What came later met a silent runner.
const MET_SILENT: Duration = Duration::from_millis(250);
/// Time after the last sign of life of a runner in which it counts as alive.
const LIVELY: Duration = Duration::from_millis(250);
/// Silences that are remembered, and a quarter of the signs of life.
const CAPACITY: usize = 1_024;

/// A request that a runner holds unanswered.
///
/// One that is over is remembered for a while: other processes may still tell of it.
#[derive(Clone, Debug)]
struct Held<R> {
    content: ContentId,
    runner: R,
    sent: Moment,
    noted: Moment,
    is_over: bool,
}

impl<R> Held<R> {
    fn counts(&self, now: Moment) -> bool {
        !self.is_over && self.noted + TTL >= now
    }
}

/// What one process knows of silent runners.
#[derive(Clone, Debug)]
pub(super) struct Silences<R> {
    held: VecDeque<Held<R>>,
    /// When the first request was sent that each silent runner holds unanswered.
    since: HashMap<R, Moment, RandomState>,
    /// When something last came from each runner.
    signs: HashMap<R, Moment, RandomState>,
    /// Runners at which each request is in progress.
    open: HashMap<ContentId, Vec<R>, RandomState>,
}

impl<R> Default for Silences<R> {
    fn default() -> Self {
        Self {
            held: VecDeque::new(),
            since: HashMap::default(),
            signs: HashMap::default(),
            open: HashMap::default(),
        }
    }
}

impl<R: Clone + Eq + Hash> Silences<R> {
    /// Whether no runner is silent, as far as is known.
    pub(super) fn is_empty(&self) -> bool {
        self.held.iter().all(|held| held.is_over)
    }

    /// Something has come from a runner, which ends its silence.
    pub(super) fn observe(&mut self, runner: &R, at: Moment) {
        if let Some(sign) = self.signs.get_mut(runner) {
            *sign = at.max(*sign);
        } else {
            if self.signs.len() >= CAPACITY * 4 {
                self.signs.retain(|_, sign| *sign + TTL > at);
            }
            self.signs.insert(runner.clone(), at);
        }
        self.end_where(|held| held.runner == *runner && held.sent < at);
        if self.since.get(runner).is_some_and(|since| *since < at) {
            self.since.remove(runner);
        }
    }

    fn end_where(&mut self, is_over: impl Fn(&Held<R>) -> bool) {
        for held in &mut self.held {
            held.is_over |= is_over(held);
        }
    }

    /// Whether nothing has come from a runner since a moment.
    pub(super) fn is_silent(&self, runner: &R, since: Moment) -> bool {
        self.signs.get(runner).is_none_or(|sign| *sign <= since)
    }

    /// Takes in that a runner has been silent since a request was sent there; tells whether it was not known.
    pub(super) fn note(
        &mut self,
        content: ContentId,
        runner: &R,
        sent: Moment,
        noted: Moment,
        now: Moment,
    ) -> bool {
        self.expire(now);
        let is_same = |held: &Held<R>| {
            let is_later = sent > held.sent + TOLERANCE;
            held.content == content && held.runner == *runner && !is_later
        };
        let is_known = self.held.iter().any(is_same);
        if noted + TTL < now || is_known || !self.is_silent(runner, sent) {
            return false;
        }
        let since = self.since.entry(runner.clone()).or_insert(sent);
        *since = sent.min(*since);
        if self.held.len() >= CAPACITY {
            self.held.pop_front();
        }
        self.held.push_back(Held {
            content,
            runner: runner.clone(),
            sent,
            noted,
            is_over: false,
        });
        true
    }

    fn expire(&mut self, now: Moment) {
        self.held.retain(|held| held.noted + TTL * 2 >= now);
        let held = &self.held;
        let is_held = |runner: &R| held.iter().any(|held| held.runner == *runner);
        self.since.retain(|runner, _| is_held(runner));
    }

    /// The request has been answered: none of these runners was silenced by it.
    pub(super) fn clear(&mut self, content: ContentId, at: Moment) {
        self.end_where(|held| held.content == content && held.sent <= at);
    }

    /// The runner has ended, which counts by itself.
    pub(super) fn end_runner(&mut self, runner: &R) {
        self.end_where(|held| held.runner == *runner);
    }

    /// Silences that count for a request now.
    fn of(&self, content: ContentId, now: Moment) -> impl Iterator<Item = &Held<R>> {
        let held = self.held.iter();
        held.filter(move |held| {
            held.content == content && held.counts(now) && self.is_suspect(held)
        })
    }

    /// Whether a request may have silenced the runner that holds it.
    fn is_suspect(&self, held: &Held<R>) -> bool {
        let since = self.since.get(&held.runner);
        since.is_none_or(|since| held.sent <= *since + MET_SILENT)
    }

    /// Runners that hold a request unanswered.
    pub(super) fn count(&self, content: ContentId, now: Moment) -> u32 {
        u32::try_from(self.of(content, now).count()).unwrap_or(u32::MAX)
    }

    /// The request is sent to a runner.
    pub(super) fn begin(&mut self, content: ContentId, runner: R) {
        self.open.entry(content).or_default().push(runner);
    }

    /// It is in progress there no more.
    pub(super) fn end(&mut self, content: ContentId, runner: &R) {
        let Some(runners) = self.open.get_mut(&content) else {
            return;
        };
        if let Some(position) = runners.iter().position(|one| one == runner) {
            runners.swap_remove(position);
        }
        if runners.is_empty() {
            self.open.remove(&content);
        }
    }

    /// Runners at which the request is in progress and that may have fallen silent, but for those that are
    /// known to have.
    pub(super) fn open(&self, content: ContentId, now: Moment) -> u32 {
        let since = now.saturating_sub(LIVELY);
        let is_known = |runner: &R| self.of(content, now).any(|held| held.runner == *runner);
        let open = self.open.get(&content).into_iter().flatten();
        let open = open.filter(|runner| self.is_silent(runner, since) && !is_known(runner));
        u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    /// When the first of them counts no more.
    pub(super) fn until(&self, content: ContentId, now: Moment) -> Option<Moment> {
        self.of(content, now).map(|held| held.noted + TTL).min()
    }

    /// All silent runners, some more than once.
    pub(super) fn runners(&self, now: Moment) -> impl Iterator<Item = &R> {
        let held = self.held.iter().filter(move |held| held.counts(now));
        held.map(|held| &held.runner)
    }

    /// Requests that silent runners hold.
    pub(super) fn contents(&self, now: Moment) -> impl Iterator<Item = ContentId> + '_ {
        let held = self.held.iter().filter(move |held| held.counts(now));
        held.map(|held| held.content)
    }

    pub(super) fn report(&self, content: ContentId, now: Moment) -> Vec<Silence<R>> {
        let silence = |held: &Held<R>| Silence {
            runner: held.runner.clone(),
            sent: now.saturating_sub(held.sent),
            noted: now.saturating_sub(held.noted),
        };
        self.of(content, now).map(silence).collect()
    }
}
