//! Rate limits that overloaded runners ask for in their responses.
//!
//! All relays together keep to a runner's limit: a few of them may send to it, each with a minimum interval
//! between two requests ([`decide::share`]). The others get no responses from it, which would show the end of
//! the limit, so relays notify one another.

use crate::configuration::ServiceId;
use crate::core::{Relay, lock};
use crate::downstream::{Downstream, Failure, NotRun, Reply};
use crate::member::Members;
use crate::runner::{Runner, RunnerId};
use crate::telemetry::millis;
use decide::Map;
use decide::share::RateShare;
use foldhash::fast::FixedState;
use serde::{Deserialize, Serialize};
use slog::info;
use std::hash::BuildHasher;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which a limit that is still in force is announced again.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(15);
/// Time after which a limit expires unless it is announced again.
const LIMIT_TTL: Duration = Duration::from_secs(60);

/// Notice of a runner's rate limit, sent between relays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The runner.
    pub runner: RunnerId,
    /// Mean time between requests of all processes together; `None` if the runner no longer limits its
    /// requests.
    pub spacing: Option<Duration>,
    /// Age of the response that carried the limit.
    pub ago: Duration,
}

/// Known rate limits of runners.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    known: Map<RunnerId, Limit>,
}

/// Rate limit of one runner.
#[derive(Clone, Copy, Debug)]
struct Limit {
    spacing: Option<Duration>,
    /// Moment as of which the limit is known from a response.
    observed: Instant,
    /// When the limit was last announced.
    announced: Instant,
    /// When this process last sent the runner a request, or learned of the limit.
    sent: Instant,
}

impl Limits {
    /// Merges a limit from a response or another process, and returns whether it should be announced.
    fn merge(&mut self, id: &RunnerId, spacing: Option<Duration>, observed: Instant) -> bool {
        let now = Instant::now();
        self.known
            .retain(|_, limit| limit.observed + LIMIT_TTL > now);
        let Some(limit) = self.known.get_mut(id) else {
            if spacing.is_some() {
                let (announced, sent) = (now, now);
                let limit = Limit {
                    spacing,
                    observed,
                    announced,
                    sent,
                };
                self.known.insert(id.clone(), limit);
            }
            return spacing.is_some();
        };
        if observed <= limit.observed {
            return false;
        }
        let must_announce = limit.spacing != spacing
            || now > limit.announced + ANNOUNCE_INTERVAL && spacing.is_some();
        if limit.spacing.is_none() {
            limit.sent = now;
        }
        (limit.spacing, limit.observed) = (spacing, observed);
        if must_announce {
            limit.announced = now;
        }
        must_announce
    }

    fn spacing(&self, id: &str) -> Option<(Duration, Instant)> {
        let limit = self.known.get(id).filter(|limit| limit.is_in_force())?;
        limit.spacing.map(|spacing| (spacing, limit.sent))
    }

    /// Removes the limit of a runner that has exited.
    pub(crate) fn forget(&mut self, id: &str) {
        self.known.remove(id);
    }

    /// Records that a request is about to be sent to a runner.
    pub(crate) fn record_send_time(&mut self, id: &str) {
        if let Some(limit) = self.known.get_mut(id) {
            limit.sent = Instant::now();
        }
    }

    /// All limits, as they are sent to a newly linked peer, including those that have ended.
    fn notices(&self) -> Vec<LimitNotice> {
        let limits = self.known.iter();
        limits.map(|(id, limit)| limit.notice(id)).collect()
    }

    /// Hash of the limits in force, equal at processes that know the same limits.
    fn digest(&self) -> u64 {
        let hasher = FixedState::default();
        let limits = self.known.iter().filter(|(_, limit)| limit.is_in_force());
        let one = |(id, limit): (&RunnerId, &Limit)| hasher.hash_one((id, limit.spacing));
        limits.map(one).fold(0, u64::wrapping_add)
    }
}

impl Limit {
    /// Whether the limit is set and has not expired.
    fn is_in_force(&self) -> bool {
        self.spacing.is_some() && self.observed.elapsed() < LIMIT_TTL
    }

    fn notice(&self, id: &RunnerId) -> LimitNotice {
        LimitNotice {
            runner: id.clone(),
            spacing: self.spacing,
            ago: self.observed.elapsed(),
        }
    }
}

/// Whether this process is one of those that may send to a runner, and its interval has passed.
fn may_send_now(members: &Members, id: &str, spacing: Duration, sent: Instant) -> bool {
    // The number of processes is unknown until membership is listed.
    let processes = members.count().unwrap_or(usize::MAX);
    let share = RateShare::from_interval(spacing, processes);
    members.may_send(&share, id) && sent.elapsed() >= share.interval
}

impl<D: Downstream> Relay<D> {
    /// Updates a runner's limit from its response to a request that was sent at `sent`.
    pub(crate) fn update_limit<B>(
        &self,
        runner: &Runner,
        sent: Instant,
        result: &Result<Reply<B>, Failure>,
    ) {
        match result {
            Ok(Reply {
                spacing: requested @ Some(_),
                ..
            })
            | Err(Failure::NotRun {
                reason:
                    NotRun::Full {
                        spacing: requested @ Some(_),
                    },
            }) => {
                self.merge_limit(&runner.id, *requested, Instant::now(), "response");
            }
            // The response counts as of the time its request was sent: it says nothing about a limit set
            // after that.
            Ok(reply) if reply.proven => self.merge_limit(&runner.id, None, sent, "response"),
            _ => {}
        }
    }

    /// Merges a notice from another process.
    pub(crate) fn merge_notice(&self, notice: &LimitNotice, origin: &str) {
        let observed = Instant::now().checked_sub(notice.ago);
        self.merge_limit(
            &notice.runner,
            notice.spacing,
            observed.unwrap_or(self.started()),
            origin,
        );
    }

    fn merge_limit(
        &self,
        id: &RunnerId,
        spacing: Option<Duration>,
        observed: Instant,
        origin: &str,
    ) {
        let notice = {
            let mut limits = lock(&self.limits);
            if limits.known.is_empty() && spacing.is_none() || !limits.merge(id, spacing, observed)
            {
                return;
            }
            limits.known.get(id).map(|limit| limit.notice(id))
        };
        info!(self.log, "runner rate limit changed"; "runner" => &**id,
            "one_in_ms" => spacing.map(millis), "from" => origin);
        if let Some(notice) = notice {
            self.peers.announce_limit(&notice);
        }
    }

    /// Notices of all limits for a newly linked peer.
    pub(crate) fn limit_notices(&self) -> Vec<LimitNotice> {
        lock(&self.limits).notices()
    }

    /// Hash of the limits in force.
    pub(crate) fn limits_digest(&self) -> u64 {
        lock(&self.limits).digest()
    }

    /// Runners of a service to which this process must not send now because of their limits.
    pub(crate) fn limited(&self, service: &ServiceId) -> Vec<RunnerId> {
        if lock(&self.limits).known.is_empty() {
            return Vec::new();
        }
        let runners = self.fleet(|fleet| fleet.of(service).to_vec());
        let limits = lock(&self.limits);
        let is_blocked = |id: &RunnerId| {
            let limit = limits.spacing(id);
            limit.is_some_and(|(spacing, sent)| {
                !self
                    .peers
                    .members(|members| may_send_now(members, id, spacing, sent))
            })
        };
        let ids = runners
            .into_iter()
            .flatten()
            .map(|runner| runner.id.clone());
        ids.filter(is_blocked).collect()
    }
}
