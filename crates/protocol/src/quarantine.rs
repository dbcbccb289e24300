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

mod availability;
mod exposure;
mod loss;
mod report;
mod silence;
mod suspect;

pub use availability::Availability;
pub use report::{Admission, Crash, Merge, Report, Silence};

use crate::id::ContentId;
use foldhash::fast::{FixedState, RandomState};
use loss::{Loss, Losses};
use silence::Silences;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hash};
use std::time::Duration;
use suspect::{Ends, MAX_CRASHES, Moment, Span, Suspect};

/// Runners that a request may end before it is held back.
pub const CRASH_THRESHOLD: u32 = 3;
/// Time between the moments at which one process after the other may try a request that is due. A
/// trial is known everywhere by then, unless processes are cut off from one another.
pub const TRIAL_STAGGER: Duration = Duration::from_millis(500);
/// Runners that must be silent under a request before all processes are told of it. One may be slow, or
/// have fallen silent by itself.
pub const ANNOUNCE_THRESHOLD: u32 = 2;
/// Time after which a suspect is forgotten that nobody asks for.
const SUSPECT_TTL: Duration = Duration::from_secs(3_600);
/// What is added to moments, which may lie before the start of the process.
const OFFSET: Duration = SUSPECT_TTL;
/// Lost answers, and suspects, that are remembered at most.
const CAPACITY: usize = 1_024;

/// What one process knows of poison requests. Times are counted from its start; `R` names one start
/// of a runner.
///
/// # Examples
///
/// ```
/// use protocol::quarantine::{Admission, Quarantine};
/// use std::time::Duration;
///
/// let mut quarantine = Quarantine::default();
/// for second in 1..=3 {
///     let now = Duration::from_secs(second);
///     let runner = format!("runner-{second}");
///     quarantine.answer_lost(7, runner.clone(), now, now);
///     quarantine.runner_exited(&runner, now);
/// }
/// let now = Duration::from_secs(4);
/// assert!(matches!(quarantine.admission(7, 0, now), Admission::Held(_)));
/// assert_eq!(quarantine.admission(8, 0, now), Admission::Free);
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine<R> {
    suspects: HashMap<ContentId, Suspect<R>, RandomState>,
    losses: Losses<R>,
    silences: Silences<R>,
    ends: Ends<R>,
    /// Requests that something speaks against.
    live: usize,
}

impl<R> Default for Quarantine<R> {
    fn default() -> Self {
        Self {
            suspects: HashMap::default(),
            losses: Losses::default(),
            silences: Silences::default(),
            ends: HashMap::default(),
            live: 0,
        }
    }
}

impl<R: Clone + Eq + Hash> Quarantine<R> {
    /// Whether nothing speaks against any request, so that none need be looked up.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.live == 0 && self.losses.is_empty() && self.silences.is_empty()
    }

    /// Whether runners have ended or been silent under any request.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        self.live > 0 || !self.silences.is_empty()
    }

    /// The answer to a request was lost that had been sent to a runner at a moment.
    pub fn answer_lost(&mut self, content: ContentId, runner: R, sent: Duration, now: Duration) {
        self.note_loss(content, runner, sent, now, false);
    }

    /// The same for a request that was sent there apart from all others, since runners had ended under it.
    pub fn isolated_answer_lost(
        &mut self,
        content: ContentId,
        runner: R,
        sent: Duration,
        now: Duration,
    ) {
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
        self.losses.note(Loss {
            content,
            runner,
            span,
            isolated,
            provisional: false,
        });
    }

    /// A runner has ended without a word. Gives what the others must be told.
    pub fn runner_exited(&mut self, runner: &R, now: Duration) -> Vec<Report<R>> {
        let at = now + OFFSET;
        self.silences.end_runner(runner);
        let there = self.losses.at_end(runner, at).into_iter();
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
        let is_exposed = self.take_silences(report, now);
        if report.crashes.is_empty() && report.cleared.is_none() && report.tried.is_none() {
            return match is_exposed {
                true => Merge::New {
                    was_held: self.is_held(report.content),
                    is_held: self.is_held(report.content),
                },
                false => Merge::Known,
            };
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
            new || is_exposed
        })
    }

    /// Takes in crashes that were kept without the names of their runners.
    pub fn restore(&mut self, content: ContentId, count: u32, now: Duration) -> Merge {
        self.change(content, now, |suspect, _, now| suspect.keep(count, now))
    }

    /// Crashes are kept no more since at least `ago`: the request was answered before.
    pub fn discard_restored(&mut self, content: ContentId, ago: Duration, now: Duration) -> Merge {
        if !self.is_suspect(content) {
            return Merge::Known;
        }
        self.change(content, now, |suspect, _, now| {
            let kept = suspect.kept.take().is_some();
            suspect.clear(now.saturating_sub(ago)) || kept
        })
    }

    /// A runner has answered something: answers that it lost before were not lost by its end.
    pub fn runner_answered(&mut self, runner: &R) {
        self.losses.forget_at(runner);
    }

    /// A runner has answered the request. Others must be told if anything spoke against it.
    pub fn answered(&mut self, content: ContentId, runner: &R, now: Duration) -> Merge {
        self.runner_answered(runner);
        self.runner_observed(runner, now);
        self.losses.forget_of(content);
        let exposure = self.exposure(content, now);
        self.silences.clear(content, now + OFFSET);
        if !self.is_suspect(content) && exposure < ANNOUNCE_THRESHOLD {
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
    pub fn admission(&self, content: ContentId, order: u32, now: Duration) -> Admission {
        let now = now + OFFSET;
        let suspect = self.suspects.get(&content);
        let held = suspect.filter(|suspect| suspect.is_held(&self.ends));
        let crashes = suspect.map_or(0, |suspect| suspect.count(&self.ends));
        let exposure = self.silences.count(content, now);
        if crashes + exposure < CRASH_THRESHOLD {
            return Admission::Free;
        }
        let due = held.map(|held| held.due(&self.ends) + TRIAL_STAGGER.saturating_mul(order));
        let resolved = self.silences.until(content, now);
        let due = due.max(resolved).unwrap_or_default();
        match (due.saturating_sub(now), held) {
            (Duration::ZERO, Some(_)) => Admission::Trial,
            (Duration::ZERO, None) => Admission::Free,
            (left, _) => Admission::Held(left),
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
    pub fn touch(&mut self, content: ContentId, now: Duration) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.used = now + OFFSET;
        }
    }

    /// What the others are told of a suspect.
    #[must_use]
    pub fn report(&self, content: ContentId, now: Duration) -> Option<Report<R>> {
        let is_known = self.suspects.contains_key(&content) || self.exposure(content, now) > 0;
        is_known.then(|| self.report_at(content, now + OFFSET))
    }

    fn report_at(&self, content: ContentId, now: Moment) -> Report<R> {
        let suspect = self.suspects.get(&content);
        let report = suspect.map(|suspect| suspect.report(content, &self.ends, now));
        Report {
            silences: self.silences.report(content, now),
            ..report.unwrap_or_else(|| Report::new(content))
        }
    }

    /// All that is known, for a process that knows nothing.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<Report<R>> {
        let suspects = self.suspects.keys().copied();
        let mut contents: Vec<ContentId> = suspects
            .chain(self.silences.contents(now + OFFSET))
            .collect();
        contents.sort_unstable();
        contents.dedup();
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
    pub fn held_count(&self) -> usize {
        let suspects = self.suspects.values();
        suspects
            .filter(|suspect| suspect.is_held(&self.ends))
            .count()
    }
}
