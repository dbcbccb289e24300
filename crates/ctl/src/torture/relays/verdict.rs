//! What must not have happened, from what callers were told and what runners ran.

use crate::torture::relays::cluster::{Key, Keys};
use crate::torture::relays::demand::OTHER_BODIES;
use crate::torture::world::{Span, World};
use foldhash::fast::RandomState;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Debug;
use std::iter::Sum;
use std::net::SocketAddr;
use std::sync::PoisonError;
use stub::Micros;
use stub::caller::{RequestRecord, ResponseOutcome};
use stub::harm::{SILENCER, is_harmful};
use stub::runner::{EVENTS, Log, Run, RunnerFailure, WORK, answer, event};

/// Time within which a change of the platform's tables is in force at every relay that is sound and
/// reaches them all that time.
pub const PROPAGATION: Micros = 4_000_000;
/// Runners that a request may end or silence before it must be known for it, and those that it may end later.
const POISONED: usize = 3;
/// Time for which a relay must have been sound for what it does to be judged.
const STABLE: Micros = 3_000_000;
/// Time after the third runner that a request has silenced from which on the others are late.
const SILENT_GRACE: Micros = 4_000_000;
/// Time over which a runner's limit is judged, what it allows beyond the limit, and the time after
/// which a relay keeps to what a runner has told it.
const LIMITED: Micros = 4_000_000;
const EXCESS: f64 = 1.5;
const BESIDES: f64 = 5.0;
const TOLD: Micros = 500_000;
/// Longest time for which a request that ends no runners is held back, and how that is told.
const HELD: Micros = 10_000_000;
const HELD_BACK: &str = "held back";
/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Requests of a kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Share {
    /// Sent.
    pub sent: u64,
    /// Answered whole and right.
    pub answered: u64,
    /// Told that they are held back.
    pub held: u64,
}

impl Share {
    /// Part of them that was answered.
    #[must_use]
    pub fn part(self) -> f64 {
        self.answered as f64 / self.sent.max(1) as f64
    }
}

impl Sum for Share {
    fn sum<I: Iterator<Item = Self>>(shares: I) -> Self {
        shares.fold(Self::default(), |all, share| Self {
            sent: all.sent + share.sent,
            answered: all.answered + share.answered,
            held: all.held + share.held,
        })
    }
}

/// A request that ends or silences runners.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Harm {
    /// Attempts.
    pub sent: u64,
    /// Told that they have not run, and of these that they are held back.
    pub not_run: u64,
    /// Told that they are held back.
    pub held: u64,
    /// Runners that it ended or silenced.
    pub falls: u64,
    /// Those after the first three.
    pub beyond: u64,
    /// Those some seconds after the third.
    pub late: u64,
}

/// Counts of one soak.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests.
    pub sent: u64,
    /// Answered whole and right.
    pub answered: u64,
    /// Told that they have not run.
    pub not_run: u64,
    /// Told that they may have run, or that they failed.
    pub unsure: u64,
    /// Streams that broke off.
    pub broken: u64,
    /// Connections that ended without an answer, or did not come about.
    pub closed: u64,
    /// Sent beside a request that ends runners, and answered whole and right of these.
    pub beside: u64,
    /// Of those, answered whole and right.
    pub beside_answered: u64,
    /// Sent beside those that end the runners of stages or silence runners, by kind.
    pub others: BTreeMap<String, Share>,
    /// Requests that end or silence runners, by body.
    pub harm: BTreeMap<String, Harm>,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Violations by kind.
    pub violations: BTreeMap<String, u64>,
}

/// Counts, and a text for each violation.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The counts.
    pub counts: Counts,
    /// What happened.
    pub trails: Vec<String>,
}

impl Verdict {
    /// Notes a violation.
    pub fn note(&mut self, what: &str, found: &impl Debug) {
        let count = self.counts.violations.entry(what.to_owned()).or_default();
        *count += 1;
        self.trails.push(format!("{what}: {found:?}"));
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.trails.is_empty()
    }
}

/// Whether a word is a right answer as far as it goes, and whole if it must be.
#[must_use]
pub fn is_good(word: &RequestRecord, must_be_whole: bool) -> bool {
    let expected = expected(word);
    match &word.outcome {
        ResponseOutcome::Whole {
            status: 200,
            proven: true,
            text,
            ..
        } => *text == expected,
        ResponseOutcome::Broken { status: 200, text } => {
            !must_be_whole && word.request.kind.streams() && expected.starts_with(text.as_str())
        }
        _ => false,
    }
}

fn expected(word: &RequestRecord) -> String {
    let id = &word.request.id;
    if word.request.kind.streams() {
        return (1..=EVENTS).map(|number| event(id, number)).collect();
    }
    answer(id)
}

fn is_not_run(word: &RequestRecord) -> bool {
    matches!(word.outcome, ResponseOutcome::Whole { status, .. } if NOT_RUN.contains(&status))
}

fn is_held_back(word: &RequestRecord) -> bool {
    matches!(&word.outcome, ResponseOutcome::Whole { text, .. } if text.contains(HELD_BACK))
}

/// Counts the runners that one request ended or silenced, in their order; those beyond the first three
/// only where the relay that was asked was sound.
fn count_falls(falls: &[(&RunnerFailure, &RequestRecord)], world: &World) -> Harm {
    let mut harm = Harm {
        falls: falls.len() as u64,
        ..Harm::default()
    };
    let Some((third, _)) = falls.get(POISONED - 1) else {
        return harm;
    };
    for (fall, word) in falls.iter().skip(POISONED) {
        let calm_from = fall.started.saturating_sub(STABLE);
        let disturbed = world.unheard(word.entry, calm_from, fall.started);
        let is_silent = word.request.body == SILENCER;
        let grace = if is_silent { SILENT_GRACE } else { STABLE };
        let is_late = fall.started > third.started + grace;
        harm.beyond += u64::from(!disturbed);
        harm.late += u64::from(!disturbed && is_late);
    }
    harm
}

fn by_id(words: &[RequestRecord]) -> HashMap<&str, &RequestRecord, RandomState> {
    let named = words.iter().map(|word| (word.request.id.as_str(), word));
    named.collect()
}

/// Runs of each request.
type Runs<'a> = HashMap<&'a str, Vec<&'a Run>, RandomState>;

/// Judges all words and runs.
#[must_use]
pub fn judge(words: &[RequestRecord], log: &Log, keys: &Keys, world: &World) -> Verdict {
    let (runs, falls) = (log.runs(), log.failures());
    let mut by_id = Runs::default();
    for run in &runs {
        by_id.entry(run.id.as_str()).or_default().push(run);
    }
    let mut verdict = Verdict::default();
    for run in runs.iter().filter(|run| run.foreign_input.is_some()) {
        verdict.note("results of another request", run);
    }
    let keys = keys.lock().unwrap_or_else(PoisonError::into_inner);
    for word in words {
        let runs = by_id
            .get(word.request.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        verdict.judge(word, runs, world);
        verdict.judge_key(word, &keys, world);
    }
    verdict.judge_leaving(words, &by_id, world);
    verdict.judge_harm(words, &falls, world);
    verdict.judge_beside(words, &runs, &falls);
    verdict.judge_limits(words, &runs, world);
    verdict
}

impl Verdict {
    fn judge(&mut self, word: &RequestRecord, runs: &[&Run], world: &World) {
        self.counts.sent += 1;
        let found = (word, runs);
        if !word.request.kind.repeatable() && runs.len() > 1 {
            self.note("run twice", &found);
        }
        match &word.outcome {
            ResponseOutcome::Whole { status: 200, .. } => {
                self.counts.answered += 1;
                if !is_good(word, true) {
                    self.note("wrong answer", &found);
                }
            }
            ResponseOutcome::Whole {
                status,
                has_retry_after,
                ..
            } if NOT_RUN.contains(status) => {
                self.counts.not_run += 1;
                if !runs.is_empty() {
                    self.note("not run, but ran", &found);
                }
                if !has_retry_after {
                    self.note("no word of when to come back", &found);
                }
            }
            ResponseOutcome::Whole { .. } => self.counts.unsure += 1,
            ResponseOutcome::Broken { .. } => {
                self.counts.broken += 1;
                if !is_good(word, false) && !world.was_killed(word.entry) {
                    self.note("wrong beginning", &found);
                }
            }
            ResponseOutcome::Closed => {
                self.counts.closed += 1;
                if !runs.is_empty() && !world.was_killed(word.entry) {
                    self.note("answer cut off", &found);
                }
            }
            ResponseOutcome::Unreachable => self.counts.closed += 1,
            ResponseOutcome::Silent => {
                if !world.disturbed_at(word.entry, word.sent, word.done) {
                    self.note("no answer", &found);
                }
            }
        }
    }

    /// A request that has ended or silenced three runners reaches few more of them, whoever its caller
    /// asks.
    fn judge_harm(&mut self, words: &[RequestRecord], falls: &[RunnerFailure], world: &World) {
        let by_id = by_id(words);
        let bodies = words.iter().map(|word| word.request.body);
        let bodies: BTreeSet<&str> = bodies.filter(|body| is_harmful(body)).collect();
        for body in bodies {
            let mut found: Vec<(&RunnerFailure, &RequestRecord)> = falls
                .iter()
                .filter_map(|fall| Some((fall, *by_id.get(fall.id.as_str())?)))
                .filter(|(_, word)| word.request.body == body)
                .collect();
            found.sort_by_key(|(fall, _)| fall.started);
            let mut harm = count_falls(&found, world);
            for word in words.iter().filter(|word| word.request.body == body) {
                harm.sent += 1;
                harm.not_run += u64::from(is_not_run(word));
                harm.held += u64::from(is_held_back(word));
            }
            self.counts.harm.insert(body.to_owned(), harm);
            let judged = if body == SILENCER {
                harm.beyond
            } else {
                harm.late
            };
            if judged > POISONED as u64 {
                let runners: Vec<&str> = found.iter().map(|one| one.0.runner.as_str()).collect();
                let what = "a request that ends or silences runners sent on";
                self.note(what, &(body, judged, runners));
            }
        }
    }

    /// Requests that end no runners are held back for a short while at most, though they were running
    /// where another one ended the runner.
    fn judge_beside(&mut self, words: &[RequestRecord], runs: &[Run], crashes: &[RunnerFailure]) {
        let mut ended: HashMap<&str, Vec<Micros>, RandomState> = HashMap::default();
        let by_id = by_id(words);
        for crash in crashes {
            let beside = crash.concurrent.iter();
            for word in beside.filter_map(|id| by_id.get(id.as_str())) {
                ended
                    .entry(word.request.body)
                    .or_default()
                    .push(crash.started);
            }
        }
        for run in runs {
            let Some(word) = by_id.get(run.id.as_str()) else {
                continue;
            };
            let under = crashes.iter().filter(|crash| {
                let fell = crash.started + WORK.as_micros() as Micros;
                crash.runner == run.runner && run.started <= fell && crash.started < word.done
            });
            let moments = under.map(|crash| crash.started);
            ended.entry(word.request.body).or_default().extend(moments);
        }
        let others = words
            .iter()
            .filter(|word| OTHER_BODIES.contains(&word.request.body));
        for word in others {
            let kind = format!("{:?}", word.request.kind);
            let share = self.counts.others.entry(kind).or_default();
            share.sent += 1;
            share.answered += u64::from(is_good(word, true));
            share.held += u64::from(is_held_back(word));
        }
        if crashes.is_empty() {
            return;
        }
        for word in words.iter().filter(|word| !is_harmful(word.request.body)) {
            self.counts.beside += 1;
            self.counts.beside_answered += u64::from(is_good(word, true));
            let last = ended.get(word.request.body).into_iter().flatten();
            let last = last.filter(|at| **at < word.sent).max();
            let over = last.is_none_or(|last| last + HELD < word.sent);
            if over && is_held_back(word) {
                self.note("held back beside a request that ends runners", word);
            }
        }
    }

    /// All relays together keep to the limit that a runner has named in answers that they passed on.
    fn judge_limits(&mut self, words: &[RequestRecord], runs: &[Run], world: &World) {
        let by_id = by_id(words);
        let mut told: HashMap<(&str, SocketAddr), Micros, RandomState> = HashMap::default();
        let limited = || runs.iter().filter(|run| run.limit.is_some());
        for run in limited() {
            if let Some(word) = by_id.get(run.id.as_str())
                && matches!(word.outcome, ResponseOutcome::Whole { proven: true, .. })
            {
                let first = told
                    .entry((run.runner.as_str(), word.entry))
                    .or_insert(word.done);
                *first = word.done.min(*first);
            }
        }
        let mut arrivals: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
        for run in limited() {
            let Some(word) = by_id.get(run.id.as_str()) else {
                continue;
            };
            let knows = told.get(&(run.runner.as_str(), word.entry));
            let calm = !world.disturbed_at(word.entry, run.started - LIMITED - STABLE, run.started);
            if calm && knows.is_some_and(|told| told + TOLD < run.started) {
                arrivals.entry(&run.runner).or_default().push(run.started);
            }
        }
        for (runner, mut arrivals) in arrivals {
            arrivals.sort_unstable();
            let rate = limited()
                .filter(|run| run.runner == runner)
                .find_map(|run| run.limit);
            let allowed = EXCESS * f64::from(rate.unwrap_or(0)) * 4.0 + BESIDES;
            let in_span = |from: &Micros| {
                let span = *from..from + LIMITED;
                arrivals.iter().filter(|at| span.contains(at)).count()
            };
            let most = arrivals.iter().map(in_span).max().unwrap_or(0);
            if most as f64 > allowed {
                self.note("limit of a runner exceeded", &(runner, most, allowed));
            }
        }
    }

    /// Keys that are in force must open, and those that are not must not.
    fn judge_key(&mut self, word: &RequestRecord, keys: &[Key], world: &World) {
        let Some(key) = keys.iter().find(|key| key.text == word.request.key) else {
            return;
        };
        let ResponseOutcome::Whole { status, .. } = word.outcome else {
            return;
        };
        let sound = |since: Micros| {
            let calm_from = word.sent - PROPAGATION;
            since < calm_from && !world.unheard(word.entry, calm_from, word.sent)
        };
        if status == 401 && key.until.is_none() && sound(key.from) {
            self.note("key refused", word);
        }
        if status == 200 && key.until.is_some_and(sound) {
            self.note("key over, but served", word);
        }
        if status == 404 {
            self.note("route refused", word);
        }
    }

    /// A relay that is sound and hears of it gives a leaving runner nothing new.
    fn judge_leaving(&mut self, words: &[RequestRecord], runs: &Runs<'_>, world: &World) {
        let leaving = world.leaving();
        for word in words {
            let runs = runs.get(word.request.id.as_str()).into_iter().flatten();
            for run in runs {
                let late = |span: &Span| {
                    let over = span.until.is_some_and(|until| run.started >= until);
                    let after = run.started > span.from + PROPAGATION;
                    span.subject == run.runner && after && !over
                };
                let calm_from = run.started - PROPAGATION;
                let calm = !world.unheard(word.entry, calm_from, run.started)
                    && !world.hit(&run.runner, calm_from, run.started);
                if calm && leaving.iter().any(late) {
                    self.note("new work at a leaving runner", &(word, run));
                }
            }
        }
    }
}
