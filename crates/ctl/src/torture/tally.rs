//! Result of a soak: counts, and a description of each violation.

use crate::error::Outcome;
use crate::rig::caller::{ClientRequest, RequestRecord, ResponseOutcome};
use crate::rig::record::PRINT;
use crate::torture::demand::RequestTrace;
use crate::torture::operators::Violations;
use crate::torture::state::SoakState;
use foldhash::fast::RandomState;
use serde::Serialize;
use standin::log::Execution;
use std::collections::{BTreeMap, HashMap};

/// Time after which a leaving target must get no new work, in microseconds.
const LEAVING_LIMIT_US: u64 = 3_000_000;

/// Counts of one soak; those from `run_twice` on must be 0.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests.
    pub sent: u64,
    /// Answered completely.
    pub answered: u64,
    /// Answered completely after their deadline.
    pub late: u64,
    /// Requests whose last response says that they did not run.
    pub not_run: u64,
    /// Requests whose last response says that they may have run.
    pub unknown: u64,
    /// Requests whose last response says that a runner failed.
    pub failed: u64,
    /// Broken connections of calls that must not be sent again.
    pub broken: u64,
    /// Changes that were reported to operators as accepted.
    pub accepted: u64,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Calls that must not be repeated and ran more than once.
    pub run_twice: u64,
    /// Requests without a final response although the caller retried.
    pub lost: u64,
    /// Responses that belong to another request.
    pub crossed: u64,
    /// Responses that claim to be complete but are truncated.
    pub truncated: u64,
    /// Requests that ran although they were reported to their callers as not run.
    pub not_run_ran: u64,
    /// Calls that started at a target more than three seconds after it began to leave.
    pub new_work_at_leaving: u64,
    /// Streams that were cut although the entry had not been killed.
    pub streams_cut: u64,
    /// Accepted changes that were not in force after five seconds.
    pub not_in_force: u64,
    /// Accepted changes that were undone.
    pub reverted: u64,
}

/// Counts and the violations found.
#[derive(Debug, Default)]
pub struct Tally {
    /// The counts.
    pub counts: Counts,
    /// A description of each violation.
    pub violations: Vec<String>,
}

/// Executions, each with the name of its runner.
pub type Log = Vec<(String, Execution)>;

/// Compares the responses to callers with the executions, and counts both.
pub fn summarize(
    traces: &[RequestTrace],
    log: &Log,
    changes: &Violations,
    state: &SoakState,
) -> Tally {
    let mut tally = Tally::default();
    let mut by_input: HashMap<&str, Vec<&(String, Execution)>, RandomState> = HashMap::default();
    for one in log {
        by_input
            .entry(one.1.input_hash.as_str())
            .or_default()
            .push(one);
    }
    for trace in traces {
        let hash = standin::answer::input_hash(&trace.request.input());
        let runs = by_input.get(hash.as_str()).map_or(&[][..], Vec::as_slice);
        tally.check_request(trace, runs, state);
    }
    for (vm, execution) in log {
        tally.check_leaving(vm, execution, state);
    }
    tally.counts.not_in_force = changes.not_in_force.len() as u64;
    tally.counts.reverted = changes.reverted.len() as u64;
    let not_in_force = changes
        .not_in_force
        .iter()
        .map(|text| format!("not in force: {text}"));
    let reverted = changes
        .reverted
        .iter()
        .map(|text| format!("reverted: {text}"));
    tally.violations.extend(not_in_force.chain(reverted));
    tally
}

impl Tally {
    /// Whether there are no violations.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    fn check_request(
        &mut self,
        trace: &RequestTrace,
        runs: &[&(String, Execution)],
        state: &SoakState,
    ) {
        let request = &trace.request;
        if request.pipeline == PRINT && runs.len() > 1 {
            self.counts.run_twice += 1;
            self.record_violation("run twice", trace, runs);
        }
        let none = trace
            .records
            .iter()
            .all(|record| record.outcomes.iter().all(says_not_run));
        if none && !runs.is_empty() {
            self.counts.not_run_ran += 1;
            self.record_violation("not run, but ran", trace, runs);
        }
        for record in &trace.records {
            self.count_response(request, record, trace, runs);
            let cut = record.cut.iter().filter(|entry| !state.was_killed(**entry));
            let cut = cut.count() as u64;
            if cut > 0 {
                self.counts.streams_cut += cut;
                self.record_violation("stream cut", trace, runs);
            }
        }
    }

    fn count_response(
        &mut self,
        request: &ClientRequest,
        record: &RequestRecord,
        trace: &RequestTrace,
        runs: &[&(String, Execution)],
    ) {
        let counts = &mut self.counts;
        counts.sent += 1;
        match record.last() {
            Some(ResponseOutcome::Whole { late, .. }) => {
                counts.answered += 1;
                counts.late += u64::from(*late);
            }
            Some(ResponseOutcome::Wrong(found)) => {
                let cut = request.expected().starts_with(found.as_str());
                let (count, name) = match cut {
                    true => (&mut counts.truncated, "truncated"),
                    false => (&mut counts.crossed, "crossed"),
                };
                *count += 1;
                self.record_violation(name, trace, runs);
            }
            Some(ResponseOutcome::Problem(problem)) => match problem.outcome {
                Some(Outcome::NotRun) => counts.not_run += 1,
                Some(Outcome::Unknown) => counts.unknown += 1,
                _ => counts.failed += 1,
            },
            Some(ResponseOutcome::Lost) if request.key.is_none() && request.pipeline == PRINT => {
                counts.broken += 1;
            }
            _ => {
                counts.lost += 1;
                self.record_violation("lost", trace, runs);
            }
        }
    }

    fn check_leaving(&mut self, vm: &str, execution: &Execution, state: &SoakState) {
        let started = execution.started_us;
        let mut leaving = state.leaving_intervals().into_iter();
        let late = leaving.any(|interval| {
            let after = interval.subject == vm && started > interval.from + LEAVING_LIMIT_US;
            after && interval.until.is_none_or(|until| started < until)
        });
        if late && !state.had_relevant_fault(vm, started - LEAVING_LIMIT_US, started) {
            self.counts.new_work_at_leaving += 1;
            self.violations
                .push(format!("new work at {vm}, which is leaving: {execution:?}"));
        }
    }

    fn record_violation(
        &mut self,
        what: &str,
        trace: &RequestTrace,
        runs: &[&(String, Execution)],
    ) {
        self.violations
            .push(format!("{what}: {trace:#?}\nexecutions: {runs:#?}"));
    }
}

fn says_not_run(outcome: &ResponseOutcome) -> bool {
    *outcome == ResponseOutcome::Unreachable || outcome.outcome() == Some(Outcome::NotRun)
}
