//! Checks that relays keep to what runners say of themselves in their responses.

use super::{SETTLE_TIME, Verdict, by_id};
use crate::torture::state::SoakState;
use foldhash::fast::RandomState;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use stub::Micros;
use stub::caller::{RequestRecord, ResponseOutcome};
use stub::runner::{Log, Run};

/// Window over which a runner's limit is checked, the factor and the number of requests by which it may
/// be exceeded, and the time after which a relay must keep to a limit that a runner has announced to it.
const LIMIT_WINDOW: Micros = 4_000_000;
const LIMIT_TOLERANCE: f64 = 1.5;
const LIMIT_ALLOWANCE: f64 = 5.0;
const LIMIT_REPORT_DELAY: Micros = 500_000;
/// Time within which a relay must stop sending new requests to a runner that has said, in a response which the
/// relay has passed on, that it is shutting down.
const LEAVING_DELAY: Micros = 3_000_000;
/// Time after which a relay must keep to the rest that a runner has asked for, and the number of requests
/// that may still reach the runner then.
const REST_DELAY: Micros = 500_000;
const MAX_REQUESTS_DURING_REST: usize = 2;

impl Verdict {
    /// Checks that all relays together keep to the limit that a runner announced in responses that they
    /// passed on.
    pub(super) fn check_rate_limits(
        &mut self,
        records: &[RequestRecord],
        runs: &[Run],
        state: &SoakState,
    ) {
        let by_id = by_id(records);
        let mut first_reports: HashMap<(&str, SocketAddr), Micros, RandomState> =
            HashMap::default();
        let limited = || runs.iter().filter(|run| run.limit.is_some());
        for run in limited() {
            if let Some(record) = by_id.get(run.id.as_str())
                && matches!(record.outcome, ResponseOutcome::Whole { proven: true, .. })
            {
                let first = first_reports
                    .entry((run.runner.as_str(), record.entry))
                    .or_insert(record.done);
                *first = record.done.min(*first);
            }
        }
        let mut arrivals: BTreeMap<&str, Vec<Micros>> = BTreeMap::new();
        for run in limited() {
            let Some(record) = by_id.get(run.id.as_str()) else {
                continue;
            };
            let reported_at = first_reports.get(&(run.runner.as_str(), record.entry));
            let undisturbed = !state.had_fault_at(
                record.entry,
                run.started - LIMIT_WINDOW - SETTLE_TIME,
                run.started,
            );
            if undisturbed
                && reported_at.is_some_and(|reported| reported + LIMIT_REPORT_DELAY < run.started)
            {
                arrivals.entry(&run.runner).or_default().push(run.started);
            }
        }
        for (runner, mut arrivals) in arrivals {
            arrivals.sort_unstable();
            let rate = limited()
                .filter(|run| run.runner == runner)
                .find_map(|run| run.limit);
            let allowed = LIMIT_TOLERANCE * f64::from(rate.unwrap_or(0)) * 4.0 + LIMIT_ALLOWANCE;
            let in_span = |from: &Micros| {
                let interval = *from..from + LIMIT_WINDOW;
                arrivals.iter().filter(|at| interval.contains(at)).count()
            };
            let most = arrivals.iter().map(in_span).max().unwrap_or(0);
            if most as f64 > allowed {
                self.record_violation("limit of a runner exceeded", &(runner, most, allowed));
            }
        }
    }

    /// Checks that a relay which has passed on a response of a runner that is shutting down soon sends it no
    /// more requests.
    pub(super) fn check_leaving_notices(
        &mut self,
        records: &[RequestRecord],
        runs: &[Run],
        state: &SoakState,
    ) {
        let by_id = by_id(records);
        let mut noted: HashMap<(&str, SocketAddr), Micros, RandomState> = HashMap::default();
        let leaving = || runs.iter().filter(|run| run.leaving);
        for run in leaving() {
            if let Some(record) = by_id.get(run.id.as_str())
                && matches!(record.outcome, ResponseOutcome::Whole { proven: true, .. })
            {
                let first = noted.entry((run.runner.as_str(), record.entry));
                let first = first.or_insert(record.done);
                *first = record.done.min(*first);
            }
        }
        for run in leaving() {
            let Some(record) = by_id.get(run.id.as_str()) else {
                continue;
            };
            let Some(noted) = noted.get(&(run.runner.as_str(), record.entry)) else {
                continue;
            };
            let is_late = record.sent > noted + LEAVING_DELAY;
            if is_late && !state.had_fault_at(record.entry, *noted, run.started) {
                self.record_violation("new work at a runner that said it leaves", &(record, run));
            }
        }
    }

    /// Checks that a relay keeps to the rest that a runner has asked it for.
    pub(super) fn check_rests(&mut self, records: &[RequestRecord], log: &Log, state: &SoakState) {
        let by_id = by_id(records);
        let mut rejections: BTreeMap<(String, SocketAddr), Vec<(Micros, Micros)>> = BTreeMap::new();
        for rejection in log.rejections() {
            if let Some(record) = by_id.get(rejection.id.as_str()) {
                let rest = rejection.rest.as_micros() as Micros;
                let key = (rejection.runner, record.entry);
                rejections
                    .entry(key)
                    .or_default()
                    .push((rejection.at, rest));
            }
        }
        for ((runner, entry), rejections) in rejections {
            for (at, rest) in &rejections {
                let rest_time = at + REST_DELAY..at + rest;
                let again = rejections.iter().filter(|(at, _)| rest_time.contains(at));
                let count = again.count();
                if count > MAX_REQUESTS_DURING_REST && !state.had_fault_at(entry, *at, at + rest) {
                    let found = (&runner, entry, count);
                    self.record_violation("rest of a runner not kept", &found);
                }
            }
        }
    }
}
