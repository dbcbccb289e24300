//! Checks of a soak of a chain of stages: responses, pieces and result storage.

use super::{AnswerStats, Verdict, by_id, is_good};
use crate::torture::relays::chain::StorageCheck;
use crate::torture::state::SoakState;
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};
use stub::caller::ResponseOutcome::{Closed, Unreachable};
use stub::caller::{Kind, RequestRecord};
use stub::config::{CHAIN, STAGE};
use stub::runner::{Log, PieceStats, ResultEnd, StageResult};

/// Counts of the pieces of a soak.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ChainStats {
    /// Requests by kind.
    pub requests: BTreeMap<String, AnswerStats>,
    /// Pieces by service.
    pub pieces: BTreeMap<&'static str, PieceStats>,
    /// Connections that relays without faults closed without reading a request.
    pub closed_unread: u64,
    /// Results during whose retention time no relay and no runner had crashed, stopped or been frozen.
    pub undisturbed: u64,
    /// Results of these that expired without being released.
    pub undisturbed_expired: u64,
    /// Share of these results.
    pub undisturbed_expired_share: f64,
    /// Time from the end of the last request and fault until all result storage was free, in milliseconds.
    pub free_after_ms: u64,
}

impl Verdict {
    /// Checks responses, pieces and result storage, and counts pieces.
    pub fn check_chain(
        &mut self,
        records: &[RequestRecord],
        log: &Log,
        (waited, occupied): &StorageCheck,
        state: &SoakState,
    ) {
        let results = log.results();
        let closed_unread = self.check_closed(records, &results, state);
        self.check_pieces(records, &results);
        if !occupied.is_empty() {
            self.record_violation("result storage still occupied", occupied);
        }
        let mut stats = ChainStats {
            pieces: log.piece_stats(),
            closed_unread,
            free_after_ms: waited.as_millis() as u64,
            ..ChainStats::default()
        };
        for record in records {
            let kind = format!("{:?}", record.request.kind);
            let kind = stats.requests.entry(kind).or_default();
            kind.sent += 1;
            kind.answered += u64::from(is_good(record, true));
        }
        for result in &results {
            if !state.had_any_fault(result.started, result.expires_at) {
                let is_expired = matches!(result.end, Some((_, ResultEnd::Expired)));
                stats.undisturbed += 1;
                stats.undisturbed_expired += u64::from(is_expired);
            }
        }
        stats.undisturbed_expired_share =
            stats.undisturbed_expired as f64 / stats.undisturbed.max(1) as f64;
        self.counts.chain = Some(stats);
    }

    /// Checks that a relay without faults responds to each request that it has read. Returns the number of
    /// connections that it closed otherwise: a process that cannot keep up closes new connections unread.
    fn check_closed(
        &mut self,
        records: &[RequestRecord],
        results: &[StageResult],
        state: &SoakState,
    ) -> u64 {
        let started: HashSet<&str> = results.iter().map(|result| result.id.as_str()).collect();
        let is_settled = |record: &&RequestRecord| {
            !matches!(record.outcome, Closed | Unreachable)
                || state.was_killed(record.entry)
                || state.had_fault_at(record.entry, record.sent, record.done)
        };
        let mut unread = 0;
        for record in records.iter().filter(|record| !is_settled(record)) {
            let is_read = started.contains(record.request.id.as_str());
            if is_read || record.outcome == Unreachable {
                self.record_violation("connection closed without a response", record);
            } else {
                unread += 1;
            }
        }
        unread
    }

    /// Checks that each piece is one of a request that was sent, and was run by a runner of its stage.
    fn check_pieces(&mut self, records: &[RequestRecord], results: &[StageResult]) {
        let by_id = by_id(records);
        for result in results {
            let record = by_id.get(result.id.as_str());
            if !record.is_some_and(|record| has_piece(record.request.kind, result)) {
                self.record_violation("piece of no request", result);
            }
        }
    }
}

fn has_piece(kind: Kind, result: &StageResult) -> bool {
    let stage = usize::try_from(result.stage).unwrap_or(usize::MAX);
    let count = kind.pieces().get(stage);
    let service = match kind {
        Kind::Staged => Some(STAGE),
        _ => CHAIN.get(stage).copied(),
    };
    count.is_some_and(|count| result.piece < *count) && service == Some(result.service)
}
