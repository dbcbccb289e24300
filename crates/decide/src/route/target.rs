//! What is known of one target.

use super::{Block, CallLoad};
use crate::retry::eject::Health;
use crate::smooth::{Ewma, decay};
use std::sync::Arc;
use std::time::Duration;

/// Name of a target's VM.
pub type TargetId = Arc<str>;

/// Weight of one answer in a target's smoothed service time.
const SERVICE_WEIGHT: f64 = 0.2;
/// Weight of one answer in the share of believed prefix blocks that were hit.
const CREDIT_WEIGHT: f64 = 0.1;
/// Age at which half of a load report is replaced by the mean of the pool. Entries that all trusted
/// the same old report would all send to the same target.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);
/// Age at which half of a target's service time is replaced by that of the pool. A straggler that
/// has recovered gets no calls by which it could show it, so old evidence must fade.
const SERVICE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Load that a target's agent told on an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Calls at the runner.
    pub running: u32,
    /// Calls that the runner is given at once at most; zero if not known.
    pub limit: u32,
}

/// A whole answer, as the router learns from it.
#[derive(Clone, Copy, Debug)]
pub struct ResponseStats<'a> {
    /// Time the runner was busy with the call.
    pub busy: Duration,
    /// Time from sending the call to its whole answer.
    pub elapsed: Duration,
    /// Hashes of the call's prefix blocks, longest last.
    pub prefix: &'a [Block],
    /// How many of these blocks the runner found in its cache.
    pub hits: u32,
}

/// One target of a service.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of its VM.
    pub id: TargetId,
    /// Failure domain that it runs in.
    pub domain: Arc<str>,
    pub(super) in_flight: u32,
    pub(super) reading: f64,
    /// Calls of other processes, as they last told.
    pub(super) peer_load: CallLoad,
    pub(super) limit: u32,
    pub(super) others: f64,
    pub(super) reported: Option<Duration>,
    pub(super) leaving: bool,
    pub(super) health: Health,
    service: Option<f64>,
    answered: Duration,
    credit: Ewma,
    pub(super) predicted: Prediction,
}

/// Means over a pool that stand in for what is not, or no longer, known of one target.
#[derive(Clone, Copy, Debug)]
pub struct PoolMeans {
    /// Service time in seconds.
    pub service: f64,
    /// Calls of other senders.
    pub others: f64,
    /// Trust in load reports, from 0 to 1.
    pub trust: f64,
}

impl Target {
    /// A target that nothing is known of yet and whose runner takes `limit` calls at once.
    pub fn new(id: impl Into<TargetId>, domain: impl Into<Arc<str>>, limit: u32) -> Self {
        Self {
            id: id.into(),
            domain: domain.into(),
            in_flight: 0,
            reading: 0.0,
            peer_load: CallLoad::default(),
            limit: limit.max(1),
            others: 0.0,
            reported: None,
            leaving: false,
            health: Health::default(),
            service: None,
            answered: Duration::ZERO,
            credit: Ewma::new(CREDIT_WEIGHT),
            predicted: Prediction::default(),
        }
    }

    /// Calls that this process has sent to it and that are not over.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Calls that this process has there.
    #[must_use]
    pub fn call_load(&self) -> CallLoad {
        CallLoad {
            calls: self.in_flight,
            reading: self.reading,
        }
    }

    /// Whether it takes no new work because it is about to go.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Whether it gets no new work because it failed too often.
    #[must_use]
    pub fn ejected(&self) -> bool {
        self.health.ejected()
    }

    /// Expected calls at the target: the own ones exactly, those of other senders by the last
    /// report and, as that gets older, by the mean of the pool.
    #[must_use]
    pub fn load(&self, now: Duration, means: PoolMeans) -> f64 {
        let fresh = self.reported.map_or(0.0, |then| {
            decay(now.saturating_sub(then), REPORT_HALF_LIFE)
        });
        let trust = means.trust * fresh;
        let others = trust * self.others + (1.0 - trust) * means.others;
        f64::from(self.in_flight) + others
    }

    /// Expected time in seconds from sending one call to its answer if it need not wait.
    #[must_use]
    pub fn service(&self, now: Duration, means: PoolMeans) -> f64 {
        let Some(own) = self.service else {
            return means.service;
        };
        let trust = decay(now.saturating_sub(self.answered), SERVICE_HALF_LIFE);
        means.service * significant((trust * own + (1.0 - trust) * means.service) / means.service)
    }

    /// Expected time in seconds until one more call would be answered, queueing included.
    #[must_use]
    pub fn finish(&self, now: Duration, means: PoolMeans) -> f64 {
        let load = self.load(now, means);
        let limit = f64::from(self.limit);
        let crowding = load.min(limit) / limit * CROWDING;
        self.service(now, means) * (1.0 + self.wait(load) + crowding)
    }

    /// Expected wait of one more call at this load, as a multiple of the service time.
    fn wait(&self, load: f64) -> f64 {
        let limit = f64::from(self.limit);
        (load + 1.0 - limit).max(0.0) / limit
    }

    /// Expected waits of one more call by the last report, and by the mean of the pool.
    pub(super) fn predict(&self, means: PoolMeans) -> Prediction {
        let own = f64::from(self.in_flight);
        Prediction {
            by_report: self.wait(own + self.others),
            by_mean: self.wait(own + means.others),
        }
    }

    /// Takes the time from sending to answer, less the wait that was expected. The runner's own busy
    /// time would mislead: an engine divides its steps among the calls in its batch, so that the
    /// busiest one would look fastest.
    ///
    /// Starts from the faded value, not from the last one: the first good answer of a recovered
    /// straggler would renew the trust in its bad past otherwise, and keep calls away from it for
    /// as many answers as that takes to wear off.
    pub(super) fn learn_service(
        &mut self,
        now: Duration,
        elapsed: Duration,
        means: PoolMeans,
    ) -> f64 {
        let service = elapsed.as_secs_f64() / (1.0 + self.predicted.by_report);
        let faded = self.service(now, means);
        self.service = Some(faded + SERVICE_WEIGHT * (service - faded));
        self.answered = now;
        service
    }

    /// Share of the prefix blocks believed in the target's cache that were found there of late.
    #[must_use]
    pub fn credit(&self) -> f64 {
        self.credit.get().unwrap_or(1.0)
    }

    /// A cache too small for its traffic evicts what is believed held, and the events that say so
    /// come late or never; without this correction calls would go on to queue for blocks that are
    /// gone.
    pub(super) fn learn_hits(&mut self, believed: usize, hits: u32) {
        if believed > 0 {
            let share = f64::from(hits) / believed as f64;
            self.credit.add(share.min(1.0));
        }
    }

    pub(super) fn learn_load(&mut self, now: Duration, report: LoadReport) {
        let total = f64::from(report.queued) + f64::from(report.running);
        self.others = (total - f64::from(self.in_flight)).max(0.0);
        self.reported = Some(now);
        if report.limit > 0 {
            self.limit = report.limit;
        }
    }
}

/// Counts a deviation from the mean of the pool, given as a ratio, only beyond what chance brings.
///
/// Calls differ, so that some target always looks faster by luck; without this all entries would
/// crowd there.
fn significant(ratio: f64) -> f64 {
    if ratio > CHANCE {
        ratio / CHANCE
    } else if ratio * CHANCE < 1.0 {
        ratio * CHANCE
    } else {
        1.0
    }
}

/// Ratio of a target's service time to that of the pool, or the inverse, that calls of different
/// lengths bring about by chance.
const CHANCE: f64 = 2.0;

/// Waits that two ways of guessing at a target's load predict, as multiples of the service time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Prediction {
    pub(super) by_report: f64,
    pub(super) by_mean: f64,
}

/// How much slower than an idle one a runner is expected to be that has all its slots in use, as a
/// share of the service time; it spreads calls while no runner queues.
const CROWDING: f64 = 0.25;
