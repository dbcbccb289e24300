//! What became of each request of a soak with stops.

use super::balancer::Balancer;
use super::trace::Trace;
use crate::torture::relays::cluster::GRACE_S;
use crate::torture::relays::verdict::{NOT_RUN, Verdict};
use foldhash::fast::RandomState;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::{Debug, Formatter};
use stub::Micros;
use stub::caller::{RequestRecord, ResponseOutcome};
use stub::runner::{Log, Pace, Run, answer};

/// Share of the grace period from which on a runner that still works excuses a loss.
const LATE_SHARE: f64 = 5.0 / 6.0;
/// Time after the request to stop until which requests may be sent for that excuse to hold.
const LATE_SENT: Micros = 3_000_000;
/// Tolerance of the comparison of a response's end with the client's deadline.
const DEADLINE_TOLERANCE: Micros = 50_000;
/// Time after a request was sent until which its connection may end without an answer if no runner has it: it may
/// have crossed the closing of its connection.
const UNREAD_SLACK: Micros = 200_000;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It was answered completely and correctly.
    Whole,
    /// It was refused, with the promise that it has not run.
    Refused,
    /// It was refused with that promise although a runner has it.
    FalselyRefused,
    /// It was answered with a failure.
    Failed,
    /// Events of its response are missing, repeated or out of order.
    Wrong,
    /// The client stopped waiting.
    Left,
    /// It ended at its deadline.
    Late,
    /// Its connection ended at the end of the grace period, while its runner was still at work.
    Unfinished,
    /// The connection ended soon after the request was sent, and before it was passed on.
    Unread,
    /// The connection ended without a complete response after the request was passed on, or later than it may end
    /// otherwise.
    Lost(Moment),
}

/// When a lost request was sent and ended, compared with the request to its relay to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// It ended before.
    Serving,
    /// It was sent before and ended after.
    InProgress,
    /// It was sent after, but early enough for the excuse that its runner was still at work.
    Stopping,
    /// It was sent later.
    Closing,
}

/// Counts of a soak with stops.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StopStats {
    /// Requests by what became of them.
    pub fates: BTreeMap<String, u64>,
    /// Lost requests by cause.
    pub losses: BTreeMap<String, u64>,
    /// Connections that a relay had closed before their first request.
    pub closed_unused: u64,
}

/// A request that was lost or answered wrongly, with the lines of the logs that concern it.
struct Found<'a> {
    fate: &'a Fate,
    record: &'a RequestRecord,
    trace: &'a Trace,
}

impl Debug for Found<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let RequestRecord {
            request,
            entry,
            sent,
            done,
            outcome,
        } = self.record;
        let outcome = match outcome {
            ResponseOutcome::Broken { status, text } => {
                format!("{status}, cut off after {} bytes", text.len())
            }
            other => format!("{other:?}"),
        };
        write!(
            formatter,
            "{:?} {} ({:?}) at {entry}, sent {sent}, done {done}: {outcome}",
            self.fate, request.id, request.kind
        )?;
        let lines = self.trace.lines(&request.id);
        lines
            .iter()
            .try_for_each(|line| write!(formatter, "\n  {line}"))
    }
}

/// Records of the stand-ins, by which requests are judged.
#[derive(Debug)]
pub struct Account<'a> {
    /// Pace of the runners.
    pub pace: Pace,
    /// Processes of the relays.
    pub balancer: &'a Balancer,
    /// Log of the runners.
    pub log: &'a Log,
}

impl Account<'_> {
    /// What became of each request, by id.
    #[must_use]
    pub fn settle(&self, records: &[RequestRecord]) -> BTreeMap<String, Fate> {
        let runs = self.log.runs();
        let mut by_id: HashMap<&str, Vec<&Run>, RandomState> = HashMap::default();
        for run in &runs {
            by_id.entry(&run.id).or_default().push(run);
        }
        let results = self.log.results();
        let with_pieces: HashSet<&str> = results.iter().map(|result| result.id.as_str()).collect();
        let fates = records.iter().map(|record| {
            let id = record.request.id.as_str();
            let runs = by_id.get(id).map_or(&[][..], Vec::as_slice);
            let fate = self.fate(record, runs, with_pieces.contains(id));
            (id.to_owned(), fate)
        });
        fates.collect()
    }

    fn fate(&self, record: &RequestRecord, runs: &[&Run], has_pieces: bool) -> Fate {
        let expected = self.expected(record);
        match &record.outcome {
            ResponseOutcome::Whole {
                status: 200, text, ..
            } if *text == expected => Fate::Whole,
            ResponseOutcome::Whole { status: 200, .. } => Fate::Wrong,
            ResponseOutcome::Whole { status, .. } if NOT_RUN.contains(status) => {
                if runs.is_empty() {
                    Fate::Refused
                } else {
                    Fate::FalselyRefused
                }
            }
            ResponseOutcome::Whole { .. } => Fate::Failed,
            ResponseOutcome::Broken { text, .. } if !expected.starts_with(text) => Fate::Wrong,
            ResponseOutcome::Silent => Fate::Left,
            ResponseOutcome::Unreachable => Fate::Unread,
            ResponseOutcome::Broken { .. } | ResponseOutcome::Closed => {
                let is_soon = record.done <= record.sent + UNREAD_SLACK;
                if runs.is_empty() && !has_pieces && is_soon {
                    return Fate::Unread;
                }
                self.cut_off(record, runs)
            }
        }
    }

    /// What became of a request whose connection has ended although it was passed on or had time to be read.
    fn cut_off(&self, record: &RequestRecord, runs: &[&Run]) -> Fate {
        let timeout = record.request.timeout.as_micros() as Micros;
        if record.done + DEADLINE_TOLERANCE >= record.sent + timeout {
            return Fate::Late;
        }
        let stopped = self.balancer.instance(record.entry);
        let Some(stopped) = stopped.and_then(|instance| instance.stopped) else {
            return Fate::Lost(Moment::Serving);
        };
        let grace = GRACE_S * 1e6;
        let late = stopped + (grace * LATE_SHARE) as Micros..stopped + grace as Micros;
        let is_late = |run: &&Run| {
            let end = run.end.map(|end| end.at);
            run.started < late.end && end.is_none_or(|end| end >= late.start)
        };
        let moment = match record.sent {
            _ if record.done < stopped => Moment::Serving,
            sent if sent < stopped => Moment::InProgress,
            sent if sent <= stopped + LATE_SENT => Moment::Stopping,
            _ => Moment::Closing,
        };
        let is_early = matches!(moment, Moment::InProgress | Moment::Stopping);
        if is_early && record.done >= late.start && runs.iter().any(is_late) {
            return Fate::Unfinished;
        }
        Fate::Lost(moment)
    }

    fn expected(&self, record: &RequestRecord) -> String {
        let id = &record.request.id;
        if record.request.kind.streams() {
            self.pace.stream(id)
        } else {
            answer(id)
        }
    }
}

impl Verdict {
    /// Counts what became of the requests, and checks that none was lost and that no response is wrong.
    pub fn check_stops(
        &mut self,
        records: &[RequestRecord],
        fates: &BTreeMap<String, Fate>,
        trace: &Trace,
    ) {
        let mut stats = StopStats::default();
        for record in records {
            let Some(fate) = fates.get(&record.request.id) else {
                continue;
            };
            self.counts.sent += 1;
            self.counts.answered += u64::from(*fate == Fate::Whole);
            self.counts.not_run += u64::from(*fate == Fate::Refused);
            *stats.fates.entry(format!("{fate:?}")).or_default() += 1;
            let what = match fate {
                Fate::Lost(moment) => {
                    let cause = trace.cause(&record.request.id);
                    let kind = format!("{moment:?}, {:?}: {cause}", record.request.kind);
                    *stats.losses.entry(kind).or_default() += 1;
                    "request lost"
                }
                Fate::Wrong => "events wrong",
                Fate::FalselyRefused => "not run, but ran",
                _ => continue,
            };
            self.record_violation(
                what,
                &Found {
                    fate,
                    record,
                    trace,
                },
            );
        }
        self.counts.stops = Some(stats);
    }
}
