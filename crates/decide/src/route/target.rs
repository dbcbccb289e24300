//! The state of one target.

use super::{Block, CallLoad};
use crate::retry::eject::Health;
use crate::smooth::{Ewma, decay};
use std::sync::Arc;
use std::time::Duration;

/// Name of a target's VM.
pub type TargetId = Arc<str>;

/// Weight of one response in a target's smoothed service time.
const SERVICE_WEIGHT: f64 = 0.2;
/// Weight of one response in the smoothed cache hit rate.
const HIT_RATE_WEIGHT: f64 = 0.1;
/// Age at which a load report is blended half and half with the mean of the pool. Entry processes
/// that all trusted the same old report would all send to the same target.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);
/// Age at which a target's service time is blended half and half with that of the pool. A recovered
/// straggler gets no calls that would show its recovery, so old measurements must decay.
const SERVICE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Load reported by a target's agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of calls that wait for a slot.
    pub queued: u32,
    /// Number of calls at the runner.
    pub running: u32,
    /// Maximum number of concurrent calls at the runner; zero if unknown.
    pub limit: u32,
}

/// Measurements of a complete response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseStats<'a> {
    /// Time that the runner was busy with the call.
    pub busy: Duration,
    /// Time from sending the call to its complete response.
    pub elapsed: Duration,
    /// Hashes of the call's prefix blocks, longest prefix last.
    pub prefix: &'a [Block],
    /// Number of these blocks that the runner found in its cache.
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
    /// Load of other processes' calls, from their last report.
    pub(super) peer_load: CallLoad,
    pub(super) limit: u32,
    pub(super) other_calls: f64,
    pub(super) reported: Option<Duration>,
    pub(super) leaving: bool,
    pub(super) health: Health,
    service_time: Option<f64>,
    answered: Duration,
    hit_rate: Ewma,
    pub(super) predicted: Prediction,
}

/// Means over a pool, used in place of missing or outdated data of a target.
#[derive(Clone, Copy, Debug)]
pub struct PoolMeans {
    /// Service time in seconds.
    pub service_time: f64,
    /// Number of calls of other senders at one target.
    pub other_calls: f64,
    /// Weight of load reports, from 0 to 1.
    pub trust: f64,
}

impl Target {
    /// A target without measurements whose runner takes up to `limit` concurrent calls.
    pub fn new(id: impl Into<TargetId>, domain: impl Into<Arc<str>>, limit: u32) -> Self {
        Self {
            id: id.into(),
            domain: domain.into(),
            in_flight: 0,
            reading: 0.0,
            peer_load: CallLoad::default(),
            limit: limit.max(1),
            other_calls: 0.0,
            reported: None,
            leaving: false,
            health: Health::default(),
            service_time: None,
            answered: Duration::ZERO,
            hit_rate: Ewma::new(HIT_RATE_WEIGHT),
            predicted: Prediction::default(),
        }
    }

    /// Number of unfinished calls that this process has sent to the target.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Load of this process's calls on the target.
    #[must_use]
    pub fn call_load(&self) -> CallLoad {
        CallLoad {
            calls: self.in_flight,
            reading: self.reading,
        }
    }

    /// Whether the target accepts no new work because it is about to leave.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the target gets no new work because it failed too often.
    #[must_use]
    pub fn ejected(&self) -> bool {
        self.health.ejected()
    }

    /// Expected number of calls at the target. The calls of this process are known; those of other
    /// senders come from the last report and, as it gets older, from the mean of the pool.
    #[must_use]
    pub fn expected_calls(&self, now: Duration, means: PoolMeans) -> f64 {
        let fresh = self.reported.map_or(0.0, |then| {
            decay(now.saturating_sub(then), REPORT_HALF_LIFE)
        });
        let trust = means.trust * fresh;
        let other_calls = trust * self.other_calls + (1.0 - trust) * means.other_calls;
        f64::from(self.in_flight) + other_calls
    }

    /// Expected time in seconds from sending a call to its response without queueing.
    #[must_use]
    pub fn service_time(&self, now: Duration, means: PoolMeans) -> f64 {
        let Some(own) = self.service_time else {
            return means.service_time;
        };
        let trust = decay(now.saturating_sub(self.answered), SERVICE_HALF_LIFE);
        means.service_time
            * beyond_chance((trust * own + (1.0 - trust) * means.service_time) / means.service_time)
    }

    /// Expected time in seconds until one more call would be answered, including queueing.
    #[must_use]
    pub fn expected_finish(&self, now: Duration, means: PoolMeans) -> f64 {
        let expected_calls = self.expected_calls(now, means);
        let limit = f64::from(self.limit);
        let slowdown = expected_calls.min(limit) / limit * FULL_SLOTS_SLOWDOWN;
        self.service_time(now, means) * (1.0 + self.expected_wait(expected_calls) + slowdown)
    }

    /// Expected wait of one more call at this number of calls, as a multiple of the service time.
    fn expected_wait(&self, expected_calls: f64) -> f64 {
        let limit = f64::from(self.limit);
        (expected_calls + 1.0 - limit).max(0.0) / limit
    }

    /// Expected waits of one more call, from the last report and from the mean of the pool.
    pub(super) fn predict(&self, means: PoolMeans) -> Prediction {
        let own = f64::from(self.in_flight);
        Prediction {
            by_report: self.expected_wait(own + self.other_calls),
            by_mean: self.expected_wait(own + means.other_calls),
        }
    }

    /// Updates the service time from the time between call and response, less the expected wait. The
    /// runner's own busy time would mislead: an engine divides its steps among the calls in its batch,
    /// so the busiest engine would look fastest.
    ///
    /// The update starts from the decayed value, not from the last one. Otherwise the first good
    /// response of a recovered straggler would restore full confidence in its bad past, and keep
    /// calls away until enough further responses have outweighed it.
    pub(super) fn update_service_time(
        &mut self,
        now: Duration,
        elapsed: Duration,
        means: PoolMeans,
    ) -> f64 {
        let service_time = elapsed.as_secs_f64() / (1.0 + self.predicted.by_report);
        let decayed = self.service_time(now, means);
        self.service_time = Some(decayed + SERVICE_WEIGHT * (service_time - decayed));
        self.answered = now;
        service_time
    }

    /// Recent fraction of the prefix blocks assumed to be cached that were actually found there.
    #[must_use]
    pub fn hit_rate(&self) -> f64 {
        self.hit_rate.get().unwrap_or(1.0)
    }

    /// Updates the hit rate. A cache that is too small for its traffic evicts blocks that are assumed
    /// to be cached, and the events that report it arrive late or never; without this correction,
    /// calls would keep queueing for blocks that are gone.
    pub(super) fn update_hit_rate(&mut self, believed: usize, hits: u32) {
        if believed > 0 {
            let share = f64::from(hits) / believed as f64;
            self.hit_rate.add(share.min(1.0));
        }
    }

    pub(super) fn update_load(&mut self, now: Duration, report: LoadReport) {
        let total = f64::from(report.queued) + f64::from(report.running);
        self.other_calls = (total - f64::from(self.in_flight)).max(0.0);
        self.reported = Some(now);
        if report.limit > 0 {
            self.limit = report.limit;
        }
    }
}

/// Reduces a deviation from the mean of the pool, given as a ratio, by the part that chance explains.
///
/// Calls differ in length, so some target always looks faster by chance; without this, all entry
/// processes would send to it.
fn beyond_chance(ratio: f64) -> f64 {
    if ratio > CHANCE_RATIO {
        ratio / CHANCE_RATIO
    } else if ratio * CHANCE_RATIO < 1.0 {
        ratio * CHANCE_RATIO
    } else {
        1.0
    }
}

/// Ratio of a target's service time to that of the pool, or its inverse, up to which a deviation is
/// attributed to the different lengths of calls.
const CHANCE_RATIO: f64 = 2.0;

/// Waits predicted from two estimates of a target's load, as multiples of the service time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Prediction {
    pub(super) by_report: f64,
    pub(super) by_mean: f64,
}

/// Expected slowdown of a runner with all slots in use compared to an idle one, as a fraction of the
/// service time. It spreads calls while no runner has a queue.
const FULL_SLOTS_SLOWDOWN: f64 = 0.25;
