//! Checks of the responses to clients and the runs of runners for violations.

pub mod chain;
mod retries;
mod runner;

use crate::torture::relays::cluster::{Key, Keys};
use crate::torture::relays::demand::OTHER_BODIES;
use crate::torture::relays::stops::account::StopStats;
use crate::torture::state::{Interval, SoakState};
use foldhash::fast::RandomState;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Debug;
use std::iter::Sum;
use std::ops::Range;
use std::sync::PoisonError;
use stub::Micros;
use stub::caller::{RequestRecord, ResponseOutcome};
use stub::harm::{DEADLY_PART, SILENCER};
use stub::runner::{EVENTS, Log, Run, RunnerFailure, WORK, answer, event};

/// Time within which a change of the platform's tables is in force at every relay that has no fault and
/// reaches the tables throughout.
pub const PROPAGATION: Micros = 4_000_000;
/// Runners that a request may crash or make unresponsive before relays must recognize it, and those
/// that it may crash later.
const MAX_CRASHES: usize = 3;
/// Runners that a prompt part may crash before relays must recognize it. Each of its requests is new to
/// them, and those at the same runner are suspects as well.
const MAX_PART_CRASHES: usize = 5;
/// Time without faults after which the behavior of a relay is checked.
const SETTLE_TIME: Micros = 3_000_000;
/// Time after a request has made the third runner unresponsive from which on further ones count as late.
const UNRESPONSIVE_GRACE: Micros = 4_000_000;
/// Minimum ratio of the served shares of requests during and before a flood of connections.
const MIN_FLOOD_RATIO: f64 = 0.75;
/// Longest time for which a request that crashes no runners is quarantined, and the text that responses
/// to quarantined requests contain.
const MAX_QUARANTINE: Micros = 10_000_000;
const QUARANTINE_TEXT: &str = "held back";
/// Status codes that promise that a request has not run and never will.
pub const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Counts of the requests of one kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct AnswerStats {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered completely and correctly.
    pub answered: u64,
    /// Requests rejected as quarantined.
    pub held: u64,
}

impl AnswerStats {
    /// Share of the requests that were answered.
    #[must_use]
    pub fn answered_share(self) -> f64 {
        self.answered as f64 / self.sent.max(1) as f64
    }
}

impl Sum for AnswerStats {
    fn sum<I: Iterator<Item = Self>>(shares: I) -> Self {
        shares.fold(Self::default(), |all, share| Self {
            sent: all.sent + share.sent,
            answered: all.answered + share.answered,
            held: all.held + share.held,
        })
    }
}

/// Counts of a request that crashes runners or makes them unresponsive.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct HarmfulRequestStats {
    /// Attempts sent.
    pub sent: u64,
    /// Attempts whose response says that they have not run.
    pub not_run: u64,
    /// Requests rejected as quarantined.
    pub held: u64,
    /// Runners that it crashed or made unresponsive.
    pub falls: u64,
    /// Runners of these after those by which the relays must recognize it.
    pub beyond: u64,
    /// Runners of these that failed some seconds later.
    pub late: u64,
}

/// Counts of one soak.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered completely and correctly.
    pub answered: u64,
    /// Requests whose response says that they have not run.
    pub not_run: u64,
    /// Requests whose response says that they may have run or that they failed.
    pub unsure: u64,
    /// Streams that were cut.
    pub broken: u64,
    /// Connections that ended without a response or could not be established.
    pub closed: u64,
    /// Requests sent beside a request that crashes runners.
    pub beside: u64,
    /// Requests sent beside one that crashes runners and answered completely and correctly.
    pub beside_answered: u64,
    /// Requests sent beside those that crash the runners of stages or make runners unresponsive, by kind.
    pub others: BTreeMap<String, AnswerStats>,
    /// Requests that crash runners or make them unresponsive, by body or prompt part.
    pub harm: BTreeMap<String, HarmfulRequestStats>,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Pieces of the stages, in a soak of a chain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub chain: Option<chain::ChainStats>,
    /// What became of the requests, in a soak with stops.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stops: Option<StopStats>,
    /// Violations by kind.
    pub violations: BTreeMap<String, u64>,
}

/// Counts and the violations found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The counts.
    pub counts: Counts,
    /// A description of each violation.
    pub violations: Vec<String>,
}

impl Verdict {
    /// Records a violation.
    pub fn record_violation(&mut self, what: &str, found: &impl Debug) {
        let count = self.counts.violations.entry(what.to_owned()).or_default();
        *count += 1;
        self.violations.push(format!("{what}: {found:?}"));
    }

    /// Whether there are no violations.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Whether a response is correct as far as it goes, and complete if it must be.
#[must_use]
pub fn is_good(record: &RequestRecord, must_be_whole: bool) -> bool {
    let expected = expected(record);
    match &record.outcome {
        ResponseOutcome::Whole {
            status: 200,
            proven: true,
            text,
            ..
        } => *text == expected,
        ResponseOutcome::Broken { status: 200, text } => {
            !must_be_whole && record.request.kind.streams() && expected.starts_with(text.as_str())
        }
        _ => false,
    }
}

fn expected(record: &RequestRecord) -> String {
    let id = &record.request.id;
    if record.request.kind.streams() {
        return (1..=EVENTS).map(|number| event(id, number)).collect();
    }
    answer(id)
}

fn is_not_run(record: &RequestRecord) -> bool {
    matches!(record.outcome, ResponseOutcome::Whole { status, .. } if NOT_RUN.contains(&status))
}

fn is_quarantined(record: &RequestRecord) -> bool {
    matches!(&record.outcome, ResponseOutcome::Whole { text, .. } if text.contains(QUARANTINE_TEXT))
}

/// Counts the failures of runners that one request or prompt part caused, which are given in order of time.
/// Failures after those by which it must be recognized count as `beyond` or `late` only if the relay that got the request had no fault.
fn count_failures(
    failures: &[(&RunnerFailure, &RequestRecord)],
    state: &SoakState,
) -> HarmfulRequestStats {
    let mut stats = HarmfulRequestStats {
        falls: failures.len() as u64,
        ..HarmfulRequestStats::default()
    };
    let is_part = failures
        .first()
        .is_some_and(|(_, record)| record.request.harm() == Some(DEADLY_PART));
    let max_crashes = if is_part {
        MAX_PART_CRASHES
    } else {
        MAX_CRASHES
    };
    let Some((last, _)) = failures.get(max_crashes - 1) else {
        return stats;
    };
    for (failure, record) in failures.iter().skip(max_crashes) {
        let window_start = failure.started.saturating_sub(SETTLE_TIME);
        let disturbed = state.may_have_missed_updates(record.entry, window_start, failure.started);
        let is_silent = record.request.harm() == Some(SILENCER);
        let grace = if is_silent {
            UNRESPONSIVE_GRACE
        } else {
            SETTLE_TIME
        };
        let is_late = failure.started > last.started + grace;
        stats.beyond += u64::from(!disturbed);
        stats.late += u64::from(!disturbed && is_late);
    }
    stats
}

fn by_id(records: &[RequestRecord]) -> HashMap<&str, &RequestRecord, RandomState> {
    let named = records
        .iter()
        .map(|record| (record.request.id.as_str(), record));
    named.collect()
}

/// Runs of each request.
type Runs<'a> = HashMap<&'a str, Vec<&'a Run>, RandomState>;

/// Checks all records and runs.
#[must_use]
pub fn check(records: &[RequestRecord], log: &Log, keys: &Keys, state: &SoakState) -> Verdict {
    let (runs, failures) = (log.runs(), log.failures());
    let mut by_id = Runs::default();
    for run in &runs {
        by_id.entry(run.id.as_str()).or_default().push(run);
    }
    let mut verdict = Verdict::default();
    for run in runs.iter().filter(|run| run.foreign_input.is_some()) {
        verdict.record_violation("results of another request", run);
    }
    let keys = keys.lock().unwrap_or_else(PoisonError::into_inner);
    for record in records {
        let runs = by_id
            .get(record.request.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        verdict.check_request(record, runs, state);
        verdict.check_key(record, &keys, state);
    }
    verdict.check_leaving(records, &by_id, state);
    verdict.check_harmful_requests(records, &failures, state);
    verdict.check_others(records, &runs, &failures);
    verdict.check_rate_limits(records, &runs, state);
    verdict.check_leaving_notices(records, &runs, state);
    verdict.check_rests(records, log, state);
    verdict.check_retry_bound(records, &by_id);
    verdict
}

impl Verdict {
    fn check_request(&mut self, record: &RequestRecord, runs: &[&Run], state: &SoakState) {
        self.counts.sent += 1;
        let found = (record, runs);
        if !record.request.kind.repeatable() && runs.len() > 1 {
            self.record_violation("run twice", &found);
        }
        match &record.outcome {
            ResponseOutcome::Whole { status: 200, .. } => {
                self.counts.answered += 1;
                if !is_good(record, true) {
                    self.record_violation("wrong answer", &found);
                }
            }
            ResponseOutcome::Whole {
                status,
                has_retry_after,
                ..
            } if NOT_RUN.contains(status) => {
                self.counts.not_run += 1;
                if !runs.is_empty() {
                    self.record_violation("not run, but ran", &found);
                }
                if !has_retry_after {
                    self.record_violation("no word of when to come back", &found);
                }
            }
            ResponseOutcome::Whole { .. } => self.counts.unsure += 1,
            ResponseOutcome::Broken { .. } => {
                self.counts.broken += 1;
                if !is_good(record, false) && !state.was_killed(record.entry) {
                    self.record_violation("wrong beginning", &found);
                }
            }
            ResponseOutcome::Closed => {
                self.counts.closed += 1;
                if !runs.is_empty() && !state.was_killed(record.entry) {
                    self.record_violation("answer cut off", &found);
                }
            }
            ResponseOutcome::Unreachable => self.counts.closed += 1,
            ResponseOutcome::Silent => {
                if !state.had_fault_at(record.entry, record.sent, record.done) {
                    self.record_violation("no answer", &found);
                }
            }
        }
    }

    /// Checks that a request that has crashed three runners or made them unresponsive reaches few more of
    /// them, whichever relay its client sends it to.
    fn check_harmful_requests(
        &mut self,
        records: &[RequestRecord],
        failures: &[RunnerFailure],
        state: &SoakState,
    ) {
        let by_id = by_id(records);
        let causes: BTreeSet<&str> = records
            .iter()
            .filter_map(|record| record.request.harm())
            .collect();
        for cause in causes {
            let is_cause = |record: &&RequestRecord| record.request.harm() == Some(cause);
            let mut found: Vec<(&RunnerFailure, &RequestRecord)> = failures
                .iter()
                .filter_map(|failure| Some((failure, *by_id.get(failure.id.as_str())?)))
                .filter(|(_, record)| is_cause(record))
                .collect();
            found.sort_by_key(|(failure, _)| failure.started);
            let mut stats = count_failures(&found, state);
            for record in records.iter().filter(is_cause) {
                stats.sent += 1;
                stats.not_run += u64::from(is_not_run(record));
                stats.held += u64::from(is_quarantined(record));
            }
            self.counts.harm.insert(cause.to_owned(), stats);
            let counted = if cause == SILENCER {
                stats.beyond
            } else {
                stats.late
            };
            if counted > MAX_CRASHES as u64 {
                let runners: Vec<&str> = found.iter().map(|one| one.0.runner.as_str()).collect();
                let what = "a request that ends or silences runners sent on";
                self.record_violation(what, &(cause, counted, runners));
            }
        }
    }

    /// Checks that requests that crash no runners are quarantined for a short time at most, even if they
    /// were running on a runner that another request crashed.
    fn check_others(&mut self, records: &[RequestRecord], runs: &[Run], crashes: &[RunnerFailure]) {
        let mut ended: HashMap<&str, Vec<Micros>, RandomState> = HashMap::default();
        let by_id = by_id(records);
        for crash in crashes {
            let beside = crash.concurrent.iter();
            for record in beside.filter_map(|id| by_id.get(id.as_str())) {
                ended
                    .entry(record.request.body)
                    .or_default()
                    .push(crash.started);
            }
        }
        for run in runs {
            let Some(record) = by_id.get(run.id.as_str()) else {
                continue;
            };
            let under = crashes.iter().filter(|crash| {
                let fell = crash.started + WORK.as_micros() as Micros;
                crash.runner == run.runner && run.started <= fell && crash.started < record.done
            });
            let times = under.map(|crash| crash.started);
            ended.entry(record.request.body).or_default().extend(times);
        }
        let others = records
            .iter()
            .filter(|record| OTHER_BODIES.contains(&record.request.body));
        for record in others {
            let kind = format!("{:?}", record.request.kind);
            let share = self.counts.others.entry(kind).or_default();
            share.sent += 1;
            share.answered += u64::from(is_good(record, true));
            share.held += u64::from(is_quarantined(record));
        }
        if crashes.is_empty() {
            return;
        }
        for record in records
            .iter()
            .filter(|record| record.request.harm().is_none())
        {
            self.counts.beside += 1;
            self.counts.beside_answered += u64::from(is_good(record, true));
            let last = ended.get(record.request.body).into_iter().flatten();
            let last = last.filter(|at| **at < record.sent).max();
            let over = last.is_none_or(|last| last + MAX_QUARANTINE < record.sent);
            if over && is_quarantined(record) {
                self.record_violation("held back beside a request that ends runners", record);
            }
        }
    }

    /// Checks that requests which a relay has read are served about as often while most new connections go to
    /// one relay as before. Connections that are closed unread do not count.
    pub fn check_flood(&mut self, records: &[RequestRecord], from: Micros) {
        let is_read = |record: &&RequestRecord| {
            !matches!(
                record.outcome,
                ResponseOutcome::Closed | ResponseOutcome::Unreachable
            )
        };
        let served_share = |within: Range<Micros>| {
            let read = records.iter().filter(is_read);
            let read: Vec<_> = read
                .filter(|record| within.contains(&record.sent))
                .collect();
            let served = read.iter().filter(|record| is_good(record, true));
            served.count() as f64 / read.len().max(1) as f64
        };
        let (before, during) = (
            served_share(0..from),
            served_share(from + SETTLE_TIME..Micros::MAX),
        );
        if during < MIN_FLOOD_RATIO * before {
            self.record_violation("served less in a flood", &(before, during));
        }
    }

    /// Checks that keys in force are accepted and others rejected.
    fn check_key(&mut self, record: &RequestRecord, keys: &[Key], state: &SoakState) {
        let Some(key) = keys.iter().find(|key| key.text == record.request.key) else {
            return;
        };
        let ResponseOutcome::Whole { status, .. } = record.outcome else {
            return;
        };
        let is_undisturbed = |since: Micros| {
            let window_start = record.sent - PROPAGATION;
            since < window_start
                && !state.may_have_missed_updates(record.entry, window_start, record.sent)
        };
        if status == 401 && key.until.is_none() && is_undisturbed(key.from) {
            self.record_violation("key refused", record);
        }
        if status == 200 && key.until.is_some_and(is_undisturbed) {
            self.record_violation("key over, but served", record);
        }
        if status == 404 {
            self.record_violation("route refused", record);
        }
    }

    /// Checks that a relay without faults that knows that a runner is leaving gives it no new work.
    fn check_leaving(&mut self, records: &[RequestRecord], runs: &Runs<'_>, state: &SoakState) {
        let leaving = state.leaving_intervals();
        for record in records {
            let runs = runs.get(record.request.id.as_str()).into_iter().flatten();
            for run in runs {
                let late = |interval: &Interval| {
                    let over = interval.until.is_some_and(|until| run.started >= until);
                    let after = run.started > interval.from + PROPAGATION;
                    interval.subject == run.runner && after && !over
                };
                let window_start = run.started - PROPAGATION;
                let undisturbed =
                    !state.may_have_missed_updates(record.entry, window_start, run.started)
                        && !state.had_fault(&run.runner, window_start, run.started);
                if undisturbed && leaving.iter().any(late) {
                    self.record_violation("new work at a leaving runner", &(record, run));
                }
            }
        }
    }
}
