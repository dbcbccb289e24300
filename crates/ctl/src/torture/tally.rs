//! What came of a soak: counts, and the trail of everything that must not happen.

use crate::error::Outcome;
use crate::rig::caller::{ClientRequest, RequestRecord, ResponseOutcome};
use crate::rig::record::PRINT;
use crate::torture::demand::Trail;
use crate::torture::operators::Findings;
use crate::torture::world::World;
use foldhash::fast::RandomState;
use serde::Serialize;
use standin::log::Execution;
use std::collections::{BTreeMap, HashMap};

/// Time after which a leaving target must get no new work, in microseconds.
const LEAVING_US: u64 = 3_000_000;

/// Counts of one soak; the second half must all be 0.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests.
    pub sent: u64,
    /// Answered whole.
    pub answered: u64,
    /// Of these, after their deadline.
    pub late: u64,
    /// Told last that they did not run.
    pub not_run: u64,
    /// Told last that they may have run.
    pub unknown: u64,
    /// Told last that a runner failed.
    pub failed: u64,
    /// Connections broken on calls that may not be sent again.
    pub broken: u64,
    /// Changes that operators were told are accepted.
    pub accepted: u64,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Calls that may not be repeated and ran more than once.
    pub run_twice: u64,
    /// Requests without a final word although the caller kept asking.
    pub lost: u64,
    /// Answers of another request.
    pub crossed: u64,
    /// Answers that are not whole although they say so.
    pub truncated: u64,
    /// Requests told "not run" that ran.
    pub not_run_ran: u64,
    /// Calls started at leaving targets after three seconds.
    pub new_work_at_leaving: u64,
    /// Streams broken off by an entry that was not killed.
    pub streams_cut: u64,
    /// Accepted changes that were not in force after five seconds.
    pub not_in_force: u64,
    /// Accepted changes that were undone.
    pub reverted: u64,
}

/// Counts with the trails of what must not happen.
#[derive(Debug, Default)]
pub struct Tally {
    /// The counts.
    pub counts: Counts,
    /// One text for each violation.
    pub trails: Vec<String>,
}

/// Executions by their runner.
pub type Log = Vec<(String, Execution)>;

/// Adds up what callers were told and what ran.
pub fn add_up(trails: &[Trail], log: &Log, findings: &Findings, world: &World) -> Tally {
    let mut tally = Tally::default();
    let mut by_input: HashMap<&str, Vec<&(String, Execution)>, RandomState> = HashMap::default();
    for one in log {
        by_input
            .entry(one.1.input_hash.as_str())
            .or_default()
            .push(one);
    }
    for trail in trails {
        let hash = standin::answer::input_hash(&trail.ask.input());
        let runs = by_input.get(hash.as_str()).map_or(&[][..], Vec::as_slice);
        tally.judge(trail, runs, world);
    }
    for (vm, execution) in log {
        tally.leaving(vm, execution, world);
    }
    tally.counts.not_in_force = findings.not_in_force.len() as u64;
    tally.counts.reverted = findings.reverted.len() as u64;
    let found = findings
        .not_in_force
        .iter()
        .map(|text| format!("not in force: {text}"));
    let undone = findings
        .reverted
        .iter()
        .map(|text| format!("reverted: {text}"));
    tally.trails.extend(found.chain(undone));
    tally
}

impl Tally {
    /// Whether nothing happened that must not.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.trails.is_empty()
    }

    fn judge(&mut self, trail: &Trail, runs: &[&(String, Execution)], world: &World) {
        let ask = &trail.ask;
        if ask.pipeline == PRINT && runs.len() > 1 {
            self.counts.run_twice += 1;
            self.note("run twice", trail, runs);
        }
        let none = trail
            .words
            .iter()
            .all(|word| word.outcomes.iter().all(says_not_run));
        if none && !runs.is_empty() {
            self.counts.not_run_ran += 1;
            self.note("not run, but ran", trail, runs);
        }
        for word in &trail.words {
            self.count(ask, word, trail, runs);
            let cut = word.cut.iter().filter(|entry| !world.was_killed(**entry));
            let cut = cut.count() as u64;
            if cut > 0 {
                self.counts.streams_cut += cut;
                self.note("stream cut", trail, runs);
            }
        }
    }

    fn count(
        &mut self,
        ask: &ClientRequest,
        word: &RequestRecord,
        trail: &Trail,
        runs: &[&(String, Execution)],
    ) {
        let counts = &mut self.counts;
        counts.sent += 1;
        match word.last() {
            Some(ResponseOutcome::Whole { late, .. }) => {
                counts.answered += 1;
                counts.late += u64::from(*late);
            }
            Some(ResponseOutcome::Wrong(found)) => {
                let cut = ask.expected().starts_with(found.as_str());
                let (count, name) = match cut {
                    true => (&mut counts.truncated, "truncated"),
                    false => (&mut counts.crossed, "crossed"),
                };
                *count += 1;
                self.note(name, trail, runs);
            }
            Some(ResponseOutcome::Problem(problem)) => match problem.outcome {
                Some(Outcome::NotRun) => counts.not_run += 1,
                Some(Outcome::Unknown) => counts.unknown += 1,
                _ => counts.failed += 1,
            },
            Some(ResponseOutcome::Lost) if ask.key.is_none() && ask.pipeline == PRINT => {
                counts.broken += 1;
            }
            _ => {
                counts.lost += 1;
                self.note("lost", trail, runs);
            }
        }
    }

    fn leaving(&mut self, vm: &str, execution: &Execution, world: &World) {
        let started = execution.started_us;
        let mut leaving = world.leaving().into_iter();
        let late = leaving.any(|span| {
            let after = span.subject == vm && started > span.from + LEAVING_US;
            after && span.until.is_none_or(|until| started < until)
        });
        if late && !world.disturbed(vm, started - LEAVING_US, started) {
            self.counts.new_work_at_leaving += 1;
            self.trails
                .push(format!("new work at {vm}, which leaves: {execution:?}"));
        }
    }

    fn note(&mut self, what: &str, trail: &Trail, runs: &[&(String, Execution)]) {
        self.trails
            .push(format!("{what}: {trail:#?}\nexecutions: {runs:#?}"));
    }
}

fn says_not_run(told: &ResponseOutcome) -> bool {
    *told == ResponseOutcome::Unreachable || told.outcome() == Some(Outcome::NotRun)
}
