//! Quarantine of poison requests, which crash each runner that starts to run them.
//!
//! A client sends such a request again and again, each time with a new identity and to any process,
//! and each attempt takes down a runner and everything that it serves. So requests are identified
//! here by their content. A request that was in progress at a runner when the runner exited is a
//! suspect, and one that has crashed several runners is quarantined (held). A runner may also exit
//! for any other reason during a request that many clients send; but then other runners answer that
//! request, and the first complete response clears it. A quarantined request is tried again after a
//! hold, by one process at a time.
//!
//! Many runners may exit at once, such as those of a failure domain, under a request that is not the
//! cause. If the crashes of a request coincided, it is therefore tried again at once, but like any
//! other trial by one process at a time. A bound that began only with distinct crashes would let the
//! request crash any number of runners before.
//!
//! A runner that becomes unresponsive counts from the time at which that is noticed until its exit is
//! known. Attempts that were sent in the meantime may be at unresponsive runners as well. From the
//! second such runner on, the next attempt therefore waits until those in progress have shown
//! something, and attempts are granted one at a time, as after crashes.
//!
//! All processes must reach the same view, whichever way and in whichever order they get the
//! reports. A report therefore contains the whole state of a request, and processing one is a
//! merge: crashes are united by runner, the latest complete response voids all crashes before it,
//! and the latest trial counts. Merging the same state again changes nothing.

mod answers;
mod availability;
mod exposure;
mod loss;
mod report;
mod silence;
mod suspect;
mod trial;

pub use answers::RecentAnswers;
pub use availability::Availability;
pub use report::{Admission, Crash, Merge, Report, Silence};

use crate::id::ContentId;
use foldhash::fast::{FixedState, RandomState};
use loss::{Loss, Losses};
use silence::Silences;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hash};
use std::time::Duration;
use suspect::{ExitTimes, MAX_CRASHES, Moment, Span, Suspect};

/// Number of runners that a request may crash before it is quarantined.
pub const CRASH_THRESHOLD: u32 = 3;
/// Number of crashes and unresponsive runners from which on attempts of a request are made one at a
/// time. After a single one, which is often a coincidence, they are not delayed.
const TURN_THRESHOLD: u32 = 2;
/// Delay of a trial for each place in the order of trials.
pub const TRIAL_STAGGER: Duration = Duration::from_millis(500);
/// Time that a request waits for a runner before the runner counts as unresponsive, provided that it
/// has sent nothing for any other request either.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of runners that must be unresponsive under a request before all processes are notified of
/// it. A single one may be slow, or unresponsive for another reason.
pub const ANNOUNCE_THRESHOLD: u32 = 2;
/// Time after which a suspect that nobody requests is forgotten.
const SUSPECT_TTL: Duration = Duration::from_secs(3_600);
/// Offset added to times, since they may precede the start of the process.
const EPOCH_OFFSET: Duration = SUSPECT_TTL;
/// Maximum number of remembered lost responses, and of remembered suspects.
const CAPACITY: usize = 1_024;

/// One process's view of poison requests. Times are measured from its start; `R` identifies one
/// start of a runner.
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
    exits: ExitTimes<R>,
    answers: RecentAnswers,
    /// Number of requests that are suspects.
    suspect_count: usize,
}

impl<R> Default for Quarantine<R> {
    fn default() -> Self {
        Self {
            suspects: HashMap::default(),
            losses: Losses::default(),
            silences: Silences::default(),
            exits: HashMap::default(),
            answers: RecentAnswers::default(),
            suspect_count: 0,
        }
    }
}

impl<R: Clone + Eq + Hash> Quarantine<R> {
    /// Whether no request is under suspicion, so that none needs to be looked up.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.suspect_count == 0 && self.losses.is_empty() && self.silences.is_empty()
    }

    /// Whether any runner has exited or been unresponsive under a request.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        self.suspect_count > 0 || !self.silences.is_empty()
    }

    /// Records that the response to a request was lost that had been sent to a runner at `sent`.
    pub fn answer_lost(&mut self, content: ContentId, runner: R, sent: Duration, now: Duration) {
        self.record_loss(content, runner, sent, now, false);
    }

    /// Records the same for a request that was sent to the runner in isolation from other requests,
    /// because runners had crashed under it before.
    pub fn isolated_answer_lost(
        &mut self,
        content: ContentId,
        runner: R,
        sent: Duration,
        now: Duration,
    ) {
        self.record_loss(content, runner, sent, now, true);
    }

    fn record_loss(
        &mut self,
        content: ContentId,
        runner: R,
        sent: Duration,
        now: Duration,
        isolated: bool,
    ) {
        let span = Span {
            sent: sent + EPOCH_OFFSET,
            lost: now + EPOCH_OFFSET,
        };
        let suspect = self.suspects.get(&content);
        self.losses.record(Loss {
            content,
            runner,
            span,
            isolated,
            is_trial: suspect.is_some_and(|suspect| suspect.is_own_trial(span.sent)),
            provisional: false,
        });
    }

    /// Records that a runner has exited without notice; returns the reports to send to other
    /// processes.
    pub fn runner_exited(&mut self, runner: &R, now: Duration) -> Vec<Report<R>> {
        let at = now + EPOCH_OFFSET;
        let explained = self.losses.take_for_exit(runner, at).into_iter();
        let report = |loss: Loss<R>| {
            let crash = Crash {
                runner: loss.runner,
                sent: at - loss.span.sent,
                lost: at - loss.span.lost,
                isolated: loss.isolated,
                is_trial: loss.is_trial,
                is_silence: loss.provisional,
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
        explained.filter_map(report).collect()
    }

    /// Merges a report of another process.
    pub fn merge(&mut self, report: &Report<R>, now: Duration) -> Merge {
        let losses = report.crashes.iter().filter(|crash| !crash.is_silence);
        for crash in losses {
            let lost = (now + EPOCH_OFFSET).saturating_sub(crash.lost);
            let exit = self.exits.entry(crash.runner.clone()).or_insert(lost);
            *exit = lost.min(*exit);
        }
        let has_new_silences = self.merge_silences(report, now);
        for crash in &report.crashes {
            self.silences.crash_known(report.content, &crash.runner);
        }
        if report.crashes.is_empty() && report.cleared.is_none() && report.tried.is_none() {
            return match has_new_silences {
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
                new |= suspect.add(crash, span);
            }
            if let Some(ago) = report.tried {
                new |= suspect.record_trial(report.trials, at(ago));
            }
            new || has_new_silences
        })
    }

    /// Records stored crashes whose runners are unknown, unless as many are known.
    pub fn restore(&mut self, content: ContentId, count: u32, now: Duration) -> Merge {
        self.change(content, now, |suspect, exits, now| {
            suspect.count(exits) < count && suspect.restore(count, now)
        })
    }

    /// Records that the stored crashes were deleted at least `ago` ago, since the request was
    /// answered before.
    pub fn discard_restored(&mut self, content: ContentId, ago: Duration, now: Duration) -> Merge {
        if !self.is_suspect(content) {
            return Merge::Known;
        }
        self.change(content, now, |suspect, _, now| {
            let restored = suspect.restored.take().is_some();
            suspect.clear(now.saturating_sub(ago)) || restored
        })
    }

    /// Records that a runner has answered any request, so that the responses it lost before were
    /// not lost because it exited.
    pub fn runner_answered(&mut self, runner: &R) {
        self.losses.forget_runner(runner);
    }

    /// Records that a runner has answered the request. If the request was a suspect, the other
    /// processes must be notified.
    pub fn answered(&mut self, content: ContentId, runner: &R, now: Duration) -> Merge {
        self.runner_answered(runner);
        self.runner_observed(runner, now);
        self.losses.forget_content(content);
        let exposure = self.exposure(content, now);
        self.silences.clear(content, now + EPOCH_OFFSET);
        if !self.is_suspect(content) && exposure < ANNOUNCE_THRESHOLD {
            return Merge::Known;
        }
        let report = Report {
            cleared: Some(Duration::ZERO),
            ..Report::new(content)
        };
        self.merge(&report, now)
    }

    /// Changes the view of one request.
    fn change(
        &mut self,
        content: ContentId,
        now: Duration,
        change: impl FnOnce(&mut Suspect<R>, &ExitTimes<R>, Moment) -> bool,
    ) -> Merge {
        let now = now + EPOCH_OFFSET;
        self.make_room(content);
        let suspect = self.suspects.entry(content);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        let was_held = suspect.is_held(&self.exits);
        let new = change(suspect, &self.exits, now);
        suspect.used = now;
        let is_held = suspect.is_held(&self.exits);
        self.recount();
        if new {
            return Merge::New { was_held, is_held };
        }
        Merge::Known
    }

    /// Counts the suspects again: the exit of one runner may change the counts of several requests.
    fn recount(&mut self) {
        if self.exits.len() > CAPACITY * MAX_CRASHES {
            let suspects = &self.suspects;
            let is_named = |runner: &R| {
                let mut crashes = suspects.values().flat_map(|suspect| &suspect.crashes);
                crashes.any(|crash| crash.runner == *runner)
            };
            self.exits.retain(|runner, _| is_named(runner));
        }
        let suspects = self.suspects.values();
        self.suspect_count = suspects
            .filter(|suspect| suspect.is_suspect(&self.exits))
            .count();
    }

    /// Evicts the suspect whose last report or request is the oldest, if there are too many;
    /// quarantined ones last.
    fn make_room(&mut self, content: ContentId) {
        if self.suspects.len() < CAPACITY || self.suspects.contains_key(&content) {
            return;
        }
        let order = |suspect: &Suspect<R>| (suspect.is_held(&self.exits), suspect.used);
        let oldest = self.suspects.iter().min_by_key(|(_, one)| order(one));
        if let Some(oldest) = oldest.map(|(content, _)| *content) {
            self.suspects.remove(&oldest);
        }
    }

    /// Whether a request may be sent to a runner now. A trial must be granted by the process that
    /// grants the trials of the request. `order` delays trials: those that show less come later.
    #[must_use]
    pub fn admission(&self, content: ContentId, order: u32, now: Duration) -> Admission {
        let now = now + EPOCH_OFFSET;
        let suspect = self.suspects.get(&content);
        let exposure = self.silences.count(content, now);
        let risk = self.crashes(content) + exposure;
        if risk < TURN_THRESHOLD {
            return Admission::Free;
        }
        let due =
            suspect.map(|suspect| suspect.due(&self.exits) + TRIAL_STAGGER.saturating_mul(order));
        // An attempt that is in progress at any process may be at an unresponsive runner, too.
        let resolved = match risk < CRASH_THRESHOLD {
            true => self.silences.settled(content, now),
            false => self.silences.until(content, now),
        };
        let remaining = due.max(resolved).unwrap_or_default().saturating_sub(now);
        let may_coincide = suspect.is_none_or(|suspect| suspect.is_unconfirmed(&self.exits));
        let is_unconfirmed =
            may_coincide && self.distinct_crashes(content) + exposure < CRASH_THRESHOLD;
        match remaining {
            Duration::ZERO if is_unconfirmed => Admission::Turn,
            Duration::ZERO => Admission::Trial,
            remaining if is_unconfirmed => Admission::Deferred(remaining),
            remaining => Admission::Held(remaining),
        }
    }

    /// Hash of the view, equal for processes with equal views.
    #[must_use]
    pub fn digest(&self) -> u64
    where
        R: Hash,
    {
        let hasher = FixedState::default();
        let one = |(content, suspect): (&ContentId, &Suspect<R>)| {
            let crashes = suspect.crashes.iter();
            let crashes = crashes
                .map(|crash| hasher.hash_one((&crash.runner, crash.isolated, crash.is_trial)));
            let crashes = crashes.fold(0, u64::wrapping_add);
            let cleared = suspect.cleared.is_some();
            hasher.hash_one((content, crashes, suspect.trials, cleared))
        };
        let known = self.suspects.iter();
        // Requests that were only asked for at this process are unknown to the others.
        let known =
            known.filter(|(_, suspect)| suspect.cleared.is_some() || !suspect.crashes.is_empty());
        known.map(one).fold(0, u64::wrapping_add)
    }

    /// Whether a request is a suspect.
    #[must_use]
    pub fn is_suspect(&self, content: ContentId) -> bool {
        let suspect = self.suspects.get(&content);
        suspect.is_some_and(|suspect| suspect.is_suspect(&self.exits))
    }

    /// Number of runners that have crashed under a request, including those that exited
    /// simultaneously.
    #[must_use]
    pub fn crashes(&self, content: ContentId) -> u32 {
        let suspect = self.suspects.get(&content);
        suspect.map_or(0, |suspect| suspect.all(&self.exits))
    }

    /// Number of crashes that count towards the quarantine of a request: those right after another
    /// one count only if the request was isolated.
    #[must_use]
    pub fn distinct_crashes(&self, content: ContentId) -> u32 {
        let suspect = self.suspects.get(&content);
        suspect.map_or(0, |suspect| suspect.count(&self.exits))
    }

    /// Whether a request is quarantined, so that its admission must be checked.
    #[must_use]
    pub fn is_held(&self, content: ContentId) -> bool {
        let suspect = self.suspects.get(&content);
        suspect.is_some_and(|suspect| suspect.is_held(&self.exits))
    }

    /// Records that a quarantined request was requested.
    pub fn touch(&mut self, content: ContentId, now: Duration) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.used = now + EPOCH_OFFSET;
        }
    }

    /// Report about a suspect for other processes.
    #[must_use]
    pub fn report(&self, content: ContentId, now: Duration) -> Option<Report<R>> {
        let is_known = self.suspects.contains_key(&content) || self.exposure(content, now) > 0;
        is_known.then(|| self.report_at(content, now + EPOCH_OFFSET))
    }

    fn report_at(&self, content: ContentId, now: Moment) -> Report<R> {
        let suspect = self.suspects.get(&content);
        let report = suspect.map(|suspect| suspect.report(content, &self.exits, now));
        Report {
            silences: self.silences.report(content, now),
            ..report.unwrap_or_else(|| Report::new(content))
        }
    }

    /// Reports about all requests, for a process that knows nothing.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<Report<R>> {
        let suspects = self.suspects.keys().copied();
        let mut contents: Vec<ContentId> = suspects
            .chain(self.silences.contents(now + EPOCH_OFFSET))
            .collect();
        contents.sort_unstable();
        contents.dedup();
        let reports = contents.into_iter();
        reports
            .filter_map(|content| self.report(content, now))
            .collect()
    }

    /// Forgets suspects that nobody has requested, and returns those that were quarantined.
    pub fn forget_old(&mut self, now: Duration) -> Vec<ContentId> {
        let now = now + EPOCH_OFFSET;
        let old = |suspect: &Suspect<R>| {
            suspect.used + SUSPECT_TTL < now && suspect.due(&self.exits) < now
        };
        let gone = self.suspects.iter().filter(|(_, suspect)| old(suspect));
        let gone: Vec<(ContentId, bool)> = gone
            .map(|(content, suspect)| (*content, suspect.is_held(&self.exits)))
            .collect();
        for (content, _) in &gone {
            self.suspects.remove(content);
        }
        self.recount();
        let held = gone.into_iter().filter(|(_, held)| *held);
        held.map(|(content, _)| content).collect()
    }

    /// Number of quarantined requests.
    #[must_use]
    pub fn held_count(&self) -> usize {
        let suspects = self.suspects.values();
        suspects
            .filter(|suspect| suspect.is_held(&self.exits))
            .count()
    }
}
