//! Poison requests: those that end each runner that begins to run them.
//!
//! A caller sends such a request again and again, each time under a new name and to any process, and
//! each attempt takes a runner down with all that it serves. So requests are known here by what they
//! ask for. A request that was running at a runner when that ended is a suspect, and one that has
//! ended several runners, one after the other, is held back. A runner may end for any other reason
//! under a request that many callers send; but then other runners answer that request, and the first
//! whole answer clears it. One that is held back is tried again after a while.
//!
//! All processes must come to believe the same, whichever way and order they learn of it. What they
//! tell one another of a request is therefore its whole state, and taking one in is a merge: crashes
//! add up by runner, the latest whole answer voids all crashes before it, and the latest trial counts.
//! Merging the same state again changes nothing.

mod suspect;

use crate::id::ContentId;
use foldhash::fast::{FixedState, RandomState};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, Hash};
use std::time::Duration;
use suspect::{Ends, MAX_CRASHES, Moment, Span, Suspect};

/// Runners that a request may end before it is held back.
pub const CRASHES: u32 = 3;
/// Time after the loss of an answer in which the end of its runner is put down to the request.
const LOSS_TTL: Duration = Duration::from_secs(5);
/// Time within which the answer to a request is lost that was sent to a runner which had ended.
const LOST_AT_ONCE: Duration = Duration::from_millis(250);
/// Time between the moments at which one process after the other may try a request that is due. A
/// trial is known everywhere by then, unless processes are cut off from one another.
pub const TRIAL_STEP: Duration = Duration::from_millis(500);
/// Time after which a suspect is forgotten that nobody asks for.
const SUSPECT_TTL: Duration = Duration::from_secs(3_600);
/// What is added to moments, which may lie before the start of the process.
const OFFSET: Duration = SUSPECT_TTL;
/// Lost answers, and suspects, that are remembered at most.
const CAPACITY: usize = 1_024;
/// A runner that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash<R> {
    /// The runner, as one start of it.
    pub runner: R,
    /// How long ago the request was sent there.
    pub sent: Duration,
    /// How long ago the answer was lost.
    pub lost: Duration,
    /// Whether the runner had nothing to do then but requests under which others had ended before.
    pub isolated: bool,
}

/// What one process knows of a suspect, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report<R> {
    /// What the request asks for.
    pub content: ContentId,
    /// Runners that it has ended.
    pub crashes: Vec<Crash<R>>,
    /// Crashes of it that count at the sender.
    pub count: u32,
    /// Times that it has been tried again, but for trials that ended no runner.
    pub trials: u32,
    /// How long ago it was tried last.
    pub tried: Option<Duration>,
    /// How long ago a runner answered it whole, if that has cleared it.
    pub cleared: Option<Duration>,
}

impl<R> Report<R> {
    /// Nothing but the name of a request.
    #[must_use]
    pub fn new(content: ContentId) -> Self {
        Self {
            content,
            crashes: Vec::new(),
            count: 0,
            trials: 0,
            tried: None,
            cleared: None,
        }
    }

    /// Whether the request is held back.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.count >= CRASHES
    }
}

/// Whether a request may be sent to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// Nothing speaks against it.
    Free,
    /// Not before this time has passed.
    Held(Duration),
    /// It has been held back for long enough, and this process may try it.
    Trial,
}

/// The runners of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Standing {
    /// Runners that serve.
    pub up: usize,
    /// Runners that have ended lately and are not back.
    pub down: usize,
}

impl Standing {
    /// Whether a request may be sent to one of the runners under which so many have ended.
    ///
    /// Under one of them runners also end by chance, and it goes on to any but the last one. From the
    /// second on, more than half are kept for the others. Where none that has ended may come back there
    /// is nothing to wait for.
    ///
    /// # Examples
    ///
    /// ```
    /// use protocol::quarantine::Standing;
    ///
    /// assert!(Standing { up: 2, down: 1 }.bears(1));
    /// assert!(!Standing { up: 1, down: 1 }.bears(1));
    /// assert!(Standing { up: 1, down: 1 }.bears(0));
    /// ```
    #[must_use]
    pub fn bears(self, crashes: u32) -> bool {
        let most_up = crashes == 1 || self.down < self.up;
        crashes == 0 || self.down == 0 || self.up > 1 && most_up
    }
}

/// What becomes of what another process tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// All of it was known.
    Known,
    /// Some of it is new, and the others should be told.
    New {
        /// Whether the request was held back before.
        was_held: bool,
        /// Whether it is held back now.
        is_held: bool,
    },
}

/// An answer that was lost.
#[derive(Clone, Debug)]
struct Loss<R> {
    content: ContentId,
    runner: R,
    span: Span,
    isolated: bool,
}

/// What one process knows of poison requests. Times are counted from its start; `R` names one start
/// of a runner.
///
/// # Examples
///
/// ```
/// use protocol::quarantine::{Pass, Quarantine};
/// use std::time::Duration;
///
/// let mut quarantine = Quarantine::default();
/// for second in 1..=3 {
///     let now = Duration::from_secs(second);
///     let runner = format!("runner-{second}");
///     quarantine.lost(7, runner.clone(), now, now);
///     quarantine.ended(&runner, now);
/// }
/// let now = Duration::from_secs(4);
/// assert!(matches!(quarantine.pass(7, 0, now), Pass::Held(_)));
/// assert_eq!(quarantine.pass(8, 0, now), Pass::Free);
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine<R> {
    suspects: HashMap<ContentId, Suspect<R>, RandomState>,
    losses: VecDeque<Loss<R>>,
    ends: Ends<R>,
    /// Requests that something speaks against.
    live: usize,
}

/// When a runner ended that lost these answers: the first of them, but for those lost before another request
/// was sent that it was at work on for a while.
fn end_of<R>(losses: &VecDeque<Loss<R>>) -> Option<Moment> {
    let worked = |loss: &&Loss<R>| loss.span.sent + LOST_AT_ONCE < loss.span.lost;
    let lived = losses
        .iter()
        .filter(worked)
        .map(|loss| loss.span.sent)
        .max();
    let lost = losses.iter().map(|loss| loss.span.lost);
    lost.filter(|lost| lived.is_none_or(|lived| *lost > lived))
        .min()
}

impl<R> Default for Quarantine<R> {
    fn default() -> Self {
        Self {
            suspects: HashMap::default(),
            losses: VecDeque::new(),
            ends: HashMap::default(),
            live: 0,
        }
    }
}

impl<R: Clone + Eq + Hash> Quarantine<R> {
    /// Whether nothing speaks against any request, so that none need be looked up.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.live == 0 && self.losses.is_empty()
    }

    /// Whether runners have ended under any request.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        self.live > 0
    }

    /// The answer to a request was lost that had been sent to a runner at a moment.
    pub fn lost(&mut self, content: ContentId, runner: R, sent: Duration, now: Duration) {
        self.note_loss(content, runner, sent, now, false);
    }

    /// The same for a request that was sent there apart from all others, since runners had ended under it.
    pub fn lost_isolated(&mut self, content: ContentId, runner: R, sent: Duration, now: Duration) {
        self.note_loss(content, runner, sent, now, true);
    }

    fn note_loss(
        &mut self,
        content: ContentId,
        runner: R,
        sent: Duration,
        now: Duration,
        isolated: bool,
    ) {
        let span = Span {
            sent: sent + OFFSET,
            lost: now + OFFSET,
        };
        self.losses
            .retain(|loss| loss.span.lost + LOSS_TTL >= span.lost);
        if self.losses.len() >= CAPACITY {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss {
            content,
            runner,
            span,
            isolated,
        });
    }

    /// A runner has ended without a word. Gives what the others must be told.
    pub fn ended(&mut self, runner: &R, now: Duration) -> Vec<Report<R>> {
        let at = now + OFFSET;
        let (under, losses): (VecDeque<Loss<R>>, _) = std::mem::take(&mut self.losses)
            .into_iter()
            .filter(|loss| loss.span.lost + LOSS_TTL >= at)
            .partition(|loss| loss.runner == *runner);
        self.losses = losses;
        let Some(end) = end_of(&under) else {
            return Vec::new();
        };
        // What was sent later met a runner that had ended already.
        let there = under.into_iter();
        let there = there.filter(|loss| loss.span.sent <= end && end <= loss.span.lost);
        let report = |loss: Loss<R>| {
            let crash = Crash {
                runner: loss.runner,
                sent: at - loss.span.sent,
                lost: at - loss.span.lost,
                isolated: loss.isolated,
            };
            let report = Report {
                crashes: vec![crash],
                ..Report::new(loss.content)
            };
            match self.merge(&report, now) {
                Merge::Known => None,
                Merge::New { .. } => self.report(loss.content, now),
            }
        };
        there.filter_map(report).collect()
    }

    /// Takes in what another process tells.
    pub fn merge(&mut self, report: &Report<R>, now: Duration) -> Merge {
        for crash in &report.crashes {
            let lost = (now + OFFSET).saturating_sub(crash.lost);
            let end = self.ends.entry(crash.runner.clone()).or_insert(lost);
            *end = lost.min(*end);
        }
        self.change(report.content, now, |suspect, _, now| {
            let at = |ago: Duration| now.saturating_sub(ago);
            let mut new = false;
            if let Some(ago) = report.cleared {
                new |= suspect.clear(at(ago));
            }
            for crash in &report.crashes {
                let span = Span {
                    sent: at(crash.sent),
                    lost: at(crash.lost),
                };
                new |= suspect.add(&crash.runner, span, crash.isolated);
            }
            if let Some(ago) = report.tried {
                new |= suspect.note_trial(report.trials, at(ago));
            }
            new
        })
    }

    /// Takes in crashes that were kept without the names of their runners.
    pub fn restore(&mut self, content: ContentId, count: u32, now: Duration) -> Merge {
        self.change(content, now, |suspect, _, now| suspect.keep(count, now))
    }

    /// Crashes are kept no more since at least `ago`: the request was answered before.
    pub fn lapse(&mut self, content: ContentId, ago: Duration, now: Duration) -> Merge {
        if !self.is_suspect(content) {
            return Merge::Known;
        }
        self.change(content, now, |suspect, _, now| {
            let kept = suspect.kept.take().is_some();
            suspect.clear(now.saturating_sub(ago)) || kept
        })
    }

    /// A runner has answered something: answers that it lost before were not lost by its end.
    pub fn lives(&mut self, runner: &R) {
        self.losses.retain(|loss| loss.runner != *runner);
    }

    /// A runner has answered the request. Others must be told if anything spoke against it.
    pub fn answered(&mut self, content: ContentId, runner: &R, now: Duration) -> Merge {
        self.lives(runner);
        self.losses.retain(|loss| loss.content != content);
        if !self.is_suspect(content) {
            return Merge::Known;
        }
        let report = Report {
            cleared: Some(Duration::ZERO),
            ..Report::new(content)
        };
        self.merge(&report, now)
    }

    /// Changes what is known of one request.
    fn change(
        &mut self,
        content: ContentId,
        now: Duration,
        change: impl FnOnce(&mut Suspect<R>, &Ends<R>, Moment) -> bool,
    ) -> Merge {
        let now = now + OFFSET;
        self.make_room(content);
        let suspect = self.suspects.entry(content);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        let was_held = suspect.is_held(&self.ends);
        let new = change(suspect, &self.ends, now);
        suspect.used = now;
        let is_held = suspect.is_held(&self.ends);
        self.recount();
        if new {
            return Merge::New { was_held, is_held };
        }
        Merge::Known
    }

    /// The end of one runner may change what counts against several requests.
    fn recount(&mut self) {
        if self.ends.len() > CAPACITY * MAX_CRASHES {
            let suspects = &self.suspects;
            let is_named = |runner: &R| {
                let mut crashes = suspects.values().flat_map(|suspect| &suspect.crashes);
                crashes.any(|crash| crash.runner == *runner)
            };
            self.ends.retain(|runner, _| is_named(runner));
        }
        let live = self.suspects.values();
        self.live = live
            .filter(|suspect| suspect.is_suspect(&self.ends))
            .count();
    }

    /// Forgets the suspect that was told of least lately, if there are too many.
    fn make_room(&mut self, content: ContentId) {
        if self.suspects.len() < CAPACITY || self.suspects.contains_key(&content) {
            return;
        }
        let order = |suspect: &Suspect<R>| (suspect.is_held(&self.ends), suspect.used);
        let oldest = self.suspects.iter().min_by_key(|(_, one)| order(one));
        if let Some(oldest) = oldest.map(|(content, _)| *content) {
            self.suspects.remove(&oldest);
        }
    }

    /// Whether a request may be sent to a runner now. `order` is the place of this process among those
    /// that may try it: the first one tries it as soon as it is due, each next one only if none before
    /// it has done so, as far as it knows.
    #[must_use]
    pub fn pass(&self, content: ContentId, order: u32, now: Duration) -> Pass {
        let held = self.suspects.get(&content);
        let Some(held) = held.filter(|suspect| suspect.is_held(&self.ends)) else {
            return Pass::Free;
        };
        let due = held.due(&self.ends) + TRIAL_STEP.saturating_mul(order);
        match due.saturating_sub(now + OFFSET) {
            Duration::ZERO => Pass::Trial,
            left => Pass::Held(left),
        }
    }

    /// A hash of what is known, the same at processes that know the same.
    #[must_use]
    pub fn digest(&self) -> u64
    where
        R: Hash,
    {
        let hasher = FixedState::default();
        let one = |(content, suspect): (&ContentId, &Suspect<R>)| {
            let crashes = suspect.crashes.iter();
            let crashes = crashes.map(|crash| hasher.hash_one((&crash.runner, crash.isolated)));
            let crashes = crashes.fold(0, u64::wrapping_add);
            let cleared = suspect.cleared.is_some();
            hasher.hash_one((content, crashes, suspect.trials, cleared))
        };
        let known = self.suspects.iter();
        // Those that were only asked about here are not known elsewhere.
        let known =
            known.filter(|(_, suspect)| suspect.cleared.is_some() || !suspect.crashes.is_empty());
        known.map(one).fold(0, u64::wrapping_add)
    }

    /// Whether anything speaks against a request.
    #[must_use]
    pub fn is_suspect(&self, content: ContentId) -> bool {
        let suspect = self.suspects.get(&content);
        suspect.is_some_and(|suspect| suspect.is_suspect(&self.ends))
    }

    /// Runners that have ended under a request, those that ended in one moment included.
    #[must_use]
    pub fn crashes(&self, content: ContentId) -> u32 {
        let suspect = self.suspects.get(&content);
        suspect.map_or(0, |suspect| suspect.all(&self.ends))
    }

    /// Whether a request is held back, so that its turn must be known.
    #[must_use]
    pub fn is_held(&self, content: ContentId) -> bool {
        let suspect = self.suspects.get(&content);
        suspect.is_some_and(|suspect| suspect.is_held(&self.ends))
    }

    /// A request that is due is sent to a runner. Unless that answers, the next trial comes later. Gives
    /// what the others must be told.
    pub fn begin_trial(&mut self, content: ContentId, now: Duration) -> Option<Report<R>> {
        self.change(content, now, |suspect, ends, now| {
            // One that ended no runner is made again, as if it had not been.
            let has_ended = suspect.last_crash(ends) >= suspect.tried;
            suspect.trials += u32::from(has_ended);
            suspect.tried = Some(now);
            true
        });
        self.report(content, now)
    }

    /// Somebody asked for a request that is held back.
    pub fn asked(&mut self, content: ContentId, now: Duration) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.used = now + OFFSET;
        }
    }

    /// What the others are told of a suspect.
    #[must_use]
    pub fn report(&self, content: ContentId, now: Duration) -> Option<Report<R>> {
        let suspect = self.suspects.get(&content)?;
        Some(suspect.report(content, &self.ends, now + OFFSET))
    }

    /// All that is known, for a process that knows nothing.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<Report<R>> {
        let mut contents: Vec<ContentId> = self.suspects.keys().copied().collect();
        contents.sort_unstable();
        let reports = contents.into_iter();
        reports
            .filter_map(|content| self.report(content, now))
            .collect()
    }

    /// Forgets suspects that nobody has asked for, and gives those that were held back.
    pub fn forget_old(&mut self, now: Duration) -> Vec<ContentId> {
        let now = now + OFFSET;
        let old = |suspect: &Suspect<R>| {
            suspect.used + SUSPECT_TTL < now && suspect.due(&self.ends) < now
        };
        let gone = self.suspects.iter().filter(|(_, suspect)| old(suspect));
        let gone: Vec<(ContentId, bool)> = gone
            .map(|(content, suspect)| (*content, suspect.is_held(&self.ends)))
            .collect();
        for (content, _) in &gone {
            self.suspects.remove(content);
        }
        self.recount();
        let held = gone.into_iter().filter(|(_, held)| *held);
        held.map(|(content, _)| content).collect()
    }

    /// Requests that are held back.
    #[must_use]
    pub fn held(&self) -> usize {
        let suspects = self.suspects.values();
        suspects
            .filter(|suspect| suspect.is_held(&self.ends))
            .count()
    }
}
