//! Poison requests: those that end each runner that begins to run them.
//!
//! A caller sends such a request again and again, each time under a new name and to any process, and
//! each attempt takes a runner down with all that it serves. So requests are known here by what they
//! ask for. A request that was running at a runner when that ended is a suspect, and one that has
//! ended several runners, one after the other, is held back. A runner may end for any other reason
//! under a request that many callers send; but then other runners answer that request, and the first
//! whole answer clears it. One that is held back is tried again after a while, by one process.

use crate::id::ContentId;
use foldhash::fast::RandomState;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Runners that a request may end before it is held back.
pub const CRASHES: u32 = 3;
/// Time between two crashes that are counted, at least. Many runners may end in one moment, a whole
/// failure domain for instance, and each had the same popular request.
const APART: Duration = Duration::from_millis(250);
/// Time after the loss of an answer in which the end of its runner is put down to the request.
const WITNESS: Duration = Duration::from_secs(5);
/// How long a request is held back at first, and by what factor that grows with each trial. Where few
/// runners serve popular requests, one that ends them all makes suspects of the others; they must be
/// back soon, and what deserves it must end few runners more.
const HOLD: Duration = Duration::from_secs(5);
const GROWTH: u32 = 4;
/// Trials that make it longer.
const GROWTHS: u32 = 5;
/// How long a caller is told to wait where another process makes the trial.
const TRIAL: Duration = Duration::from_secs(5);
/// Time after which a suspect is forgotten that nobody asks for.
const LIFE: Duration = Duration::from_secs(3_600);
/// What is added to moments of crashes, which may lie before the start of the process.
const BEFORE: Duration = LIFE;
/// Lost answers, and suspects, that are remembered at most.
const MOST: usize = 1_024;
/// Crashes that are remembered of one suspect.
const REMEMBERED: usize = 16;

/// A runner that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash<R> {
    /// The runner, as one start of it.
    pub runner: R,
    /// How long ago the answer was lost.
    pub ago: Duration,
}

/// What one process tells the others of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report<R> {
    /// What the request asks for.
    pub content: ContentId,
    /// Runners that it has ended.
    pub crashes: Vec<Crash<R>>,
    /// Crashes that count.
    pub count: u32,
}

impl<R> Report<R> {
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
    /// It has been held back for long enough, and this process is the one that tries it.
    Trial,
}

#[derive(Clone, Debug)]
struct Suspect<R> {
    /// Runners that it has ended, with the moments of those that count.
    crashes: VecDeque<(R, Option<Duration>)>,
    count: u32,
    /// Times that it has been tried again.
    trials: u32,
    /// When it is due for a trial.
    until: Duration,
    /// When it was last heard of.
    heard: Duration,
}

impl<R: Clone + PartialEq> Suspect<R> {
    fn new(now: Duration) -> Self {
        Self {
            crashes: VecDeque::new(),
            count: 0,
            trials: 0,
            until: now,
            heard: now,
        }
    }

    /// Takes in a crash; tells whether it was not known.
    fn add(&mut self, runner: R, at: Duration) -> bool {
        if self.crashes.iter().any(|(known, _)| *known == runner) {
            return false;
        }
        let mut counted = self.crashes.iter().filter_map(|(_, at)| *at);
        let counts = counted.all(|other| other.abs_diff(at) >= APART);
        self.crashes.push_back((runner, counts.then_some(at)));
        if self.crashes.len() > REMEMBERED {
            self.crashes.pop_front();
        }
        self.count += u32::from(counts);
        true
    }

    fn is_held(&self) -> bool {
        self.count >= CRASHES
    }

    fn hold(&self) -> Duration {
        HOLD * GROWTH.pow(self.trials.min(GROWTHS))
    }
}

/// When a crash was, from [`BEFORE`] the start of the process on.
fn moment<R>(crash: &Crash<R>, now: Duration) -> Duration {
    (now + BEFORE).saturating_sub(crash.ago)
}

/// An answer that was lost.
#[derive(Clone, Debug)]
struct Loss<R> {
    content: ContentId,
    runner: R,
    at: Duration,
}

/// What one process knows of poison requests. Moments are counted from its start; `R` names one start
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
///     quarantine.lost(7, runner.clone(), now);
///     quarantine.ended(&runner, now);
/// }
/// let now = Duration::from_secs(4);
/// assert!(matches!(quarantine.pass(7, true, now), Pass::Held(_)));
/// assert_eq!(quarantine.pass(8, true, now), Pass::Free);
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine<R> {
    suspects: HashMap<ContentId, Suspect<R>, RandomState>,
    losses: VecDeque<Loss<R>>,
    /// When requests were cleared. What others have told before, and comes late, counts no more.
    cleared: HashMap<ContentId, Duration, RandomState>,
}

impl<R> Default for Quarantine<R> {
    fn default() -> Self {
        Self {
            suspects: HashMap::default(),
            losses: VecDeque::new(),
            cleared: HashMap::default(),
        }
    }
}

impl<R: Clone + PartialEq> Quarantine<R> {
    /// Whether no request is a suspect, so that none need be looked up.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.suspects.is_empty() && self.losses.is_empty()
    }

    /// The answer to a request was lost while a runner ran it.
    pub fn lost(&mut self, content: ContentId, runner: R, now: Duration) {
        self.losses.retain(|loss| loss.at + WITNESS >= now);
        if self.losses.len() >= MOST {
            self.losses.pop_front();
        }
        let at = now;
        self.losses.push_back(Loss {
            content,
            runner,
            at,
        });
    }

    /// A runner has ended without a word. Gives what the others must be told.
    pub fn ended(&mut self, runner: &R, now: Duration) -> Vec<Report<R>> {
        let (under, losses) = std::mem::take(&mut self.losses)
            .into_iter()
            .filter(|loss| loss.at + WITNESS >= now)
            .partition(|loss: &Loss<R>| loss.runner == *runner);
        self.losses = losses;
        let under: VecDeque<Loss<R>> = under;
        let report = |loss: Loss<R>| {
            let crash = Crash {
                runner: loss.runner,
                ago: now - loss.at,
            };
            let report = Report {
                content: loss.content,
                crashes: vec![crash],
                count: 0,
            };
            self.hear(&report, now)
                .then(|| self.report(loss.content, now))
                .flatten()
        };
        under.into_iter().filter_map(report).collect()
    }

    /// Takes in what another process tells, or what was kept; tells whether any of it is new.
    pub fn hear(&mut self, report: &Report<R>, now: Duration) -> bool {
        let cleared = self.cleared.get(&report.content).copied();
        let stale = cleared.is_some_and(|at| now < at + LIFE);
        let fresh = |crash: &&Crash<R>| {
            !stale || cleared.is_some_and(|cleared| moment(crash, now) > cleared + BEFORE)
        };
        let crashes: Vec<&Crash<R>> = report.crashes.iter().filter(fresh).collect();
        let count = if stale { 0 } else { report.count };
        if crashes.is_empty() && count == 0 {
            return false;
        }
        self.make_room(report.content);
        let suspect = self.suspects.entry(report.content);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        let before = suspect.count;
        let mut news = false;
        for crash in crashes {
            news |= suspect.add(crash.runner.clone(), moment(crash, now));
        }
        suspect.count = suspect.count.max(count);
        suspect.heard = now;
        if suspect.count > before && suspect.is_held() {
            suspect.until = suspect.until.max(now + suspect.hold());
        }
        news || suspect.count > before
    }

    /// Forgets the suspect that was heard of least lately, if there are too many.
    fn make_room(&mut self, content: ContentId) {
        if self.suspects.len() < MOST || self.suspects.contains_key(&content) {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(_, one)| one.heard);
        if let Some(oldest) = oldest.map(|(content, _)| *content) {
            self.suspects.remove(&oldest);
        }
    }

    /// A runner has answered the request, or another process says so. Gives whether it was held back,
    /// if it was a suspect.
    pub fn clear(&mut self, content: ContentId, now: Duration) -> Option<bool> {
        self.losses.retain(|loss| loss.content != content);
        let suspect = self.suspects.remove(&content)?;
        self.cleared.retain(|_, at| now < *at + LIFE);
        if self.cleared.len() < MOST {
            self.cleared.insert(content, now);
        }
        Some(suspect.is_held())
    }

    /// Whether a request may be sent to a runner now, by a process that tries requests that are due, or
    /// by one that leaves that to another.
    #[must_use]
    pub fn pass(&self, content: ContentId, tries: bool, now: Duration) -> Pass {
        let held = self.suspects.get(&content);
        let held = held.filter(|suspect| suspect.is_held());
        match held.map(|suspect| suspect.until.saturating_sub(now)) {
            None => Pass::Free,
            Some(Duration::ZERO) if tries => Pass::Trial,
            Some(Duration::ZERO) => Pass::Held(TRIAL),
            Some(left) => Pass::Held(left),
        }
    }

    /// A request that is due is sent to a runner. Unless that answers, the next trial comes later.
    pub fn begin_trial(&mut self, content: ContentId, now: Duration) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.trials += 1;
            suspect.until = now + suspect.hold();
            suspect.heard = now;
        }
    }

    /// Somebody asked for a request that is held back.
    pub fn asked(&mut self, content: ContentId, now: Duration) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.heard = now;
        }
    }

    /// What the others are told of a suspect.
    #[must_use]
    pub fn report(&self, content: ContentId, now: Duration) -> Option<Report<R>> {
        let suspect = self.suspects.get(&content)?;
        let crash = |(runner, at): &(R, Option<Duration>)| {
            let ago = (now + BEFORE).saturating_sub((*at)?);
            let runner = runner.clone();
            Some(Crash { runner, ago })
        };
        Some(Report {
            content,
            crashes: suspect.crashes.iter().filter_map(crash).collect(),
            count: suspect.count,
        })
    }

    /// All suspects, for a process that knows nothing.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<Report<R>> {
        let contents = self.suspects.keys();
        contents
            .filter_map(|content| self.report(*content, now))
            .collect()
    }

    /// Forgets suspects that nobody has asked for, and gives those that were held back.
    pub fn forget_old(&mut self, now: Duration) -> Vec<ContentId> {
        let old = |suspect: &Suspect<R>| suspect.heard + LIFE < now && suspect.until < now;
        let mut held = Vec::new();
        self.suspects.retain(|content, suspect| {
            let old = old(suspect);
            if old && suspect.is_held() {
                held.push(*content);
            }
            !old
        });
        held
    }

    /// Requests that are held back.
    #[must_use]
    pub fn held(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_held()).count()
    }
}
