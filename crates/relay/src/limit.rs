//! Runners in need, which ask for fewer requests in their answers.
//!
//! All relays together keep to what a runner asks for: a few may send to it, each with a gap between
//! two requests ([`decide::share`]). Those that may not would never hear from it that it asks for
//! nothing any more, so relays tell one another.

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

/// Time after which a limit that still holds is announced again.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(15);
/// Time after which a limit counts no more that nobody announces.
const TTL: Duration = Duration::from_secs(60);

/// What relays tell one another of a runner's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The runner.
    pub runner: RunnerId,
    /// Mean time between the requests of all processes together; none if it asks for nothing any more.
    pub spacing: Option<Duration>,
    /// Age of the answer that says so.
    pub ago: Duration,
}

/// What is known of runners that ask for fewer requests.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    known: Map<RunnerId, Limit>,
}

/// What one runner asks for.
#[derive(Clone, Copy, Debug)]
struct Limit {
    spacing: Option<Duration>,
    /// Moment of the answer that says so.
    observed: Instant,
    /// When that was told last.
    announced: Instant,
    /// When this process last sent the runner a request, or learnt of the limit.
    sent: Instant,
}

impl Limits {
    /// Takes in what an answer says, or another process. Tells whether others should be told.
    fn merge(&mut self, id: &RunnerId, spacing: Option<Duration>, observed: Instant) -> bool {
        let now = Instant::now();
        self.known.retain(|_, limit| limit.observed + TTL > now);
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
        let news = limit.spacing != spacing
            || now > limit.announced + ANNOUNCE_INTERVAL && spacing.is_some();
        if limit.spacing.is_none() {
            limit.sent = now;
        }
        (limit.spacing, limit.observed) = (spacing, observed);
        if news {
            limit.announced = now;
        }
        news
    }

    fn spacing(&self, id: &str) -> Option<(Duration, Instant)> {
        let limit = self.known.get(id).filter(|limit| limit.holds())?;
        limit.spacing.map(|spacing| (spacing, limit.sent))
    }

    /// A runner has ended, and what it asked for with it.
    pub(crate) fn forget(&mut self, id: &str) {
        self.known.remove(id);
    }

    /// A runner is about to be sent a request.
    pub(crate) fn note_sent(&mut self, id: &str) {
        if let Some(limit) = self.known.get_mut(id) {
            limit.sent = Instant::now();
        }
    }

    /// What a new peer is told, ends of limits included.
    fn notices(&self) -> Vec<LimitNotice> {
        let limits = self.known.iter();
        limits.map(|(id, limit)| limit.notice(id)).collect()
    }

    /// A hash of the limits that hold, the same at processes that know the same.
    fn digest(&self) -> u64 {
        let hasher = FixedState::default();
        let limits = self.known.iter().filter(|(_, limit)| limit.holds());
        let one = |(id, limit): (&RunnerId, &Limit)| hasher.hash_one((id, limit.spacing));
        limits.map(one).fold(0, u64::wrapping_add)
    }
}

impl Limit {
    /// Whether it asks for fewer requests, and was told lately.
    fn holds(&self) -> bool {
        self.spacing.is_some() && self.observed.elapsed() < TTL
    }

    fn notice(&self, id: &RunnerId) -> LimitNotice {
        LimitNotice {
            runner: id.clone(),
            spacing: self.spacing,
            ago: self.observed.elapsed(),
        }
    }
}

/// Whether this process is one of those that may send to a runner, and its gap is over.
fn is_open(members: &Members, id: &str, spacing: Duration, sent: Instant) -> bool {
    // Before the others are listed there may be any number of them.
    let processes = members.count().unwrap_or(usize::MAX);
    let share = RateShare::from_interval(spacing, processes);
    members.may_send(&share, id) && sent.elapsed() >= share.interval
}

impl<D: Downstream> Relay<D> {
    /// Takes in what a runner asks for in its answer to a request that was sent at a moment.
    pub(crate) fn note_limit<B>(
        &self,
        runner: &Runner,
        sent: Instant,
        result: &Result<Reply<B>, Failure>,
    ) {
        match result {
            Ok(Reply {
                spacing: asked @ Some(_),
                ..
            })
            | Err(Failure::NotRun {
                reason:
                    NotRun::Full {
                        spacing: asked @ Some(_),
                    },
            }) => {
                self.merge_limit(&runner.id, *asked, Instant::now(), "its answer");
            }
            // An answer to what was sent before the runner asked says nothing of it.
            Ok(reply) if reply.proven => self.merge_limit(&runner.id, None, sent, "its answer"),
            _ => {}
        }
    }

    /// Takes in what another process tells of a runner's limit.
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
        info!(self.log, "runner limits its requests"; "runner" => &**id,
            "one_in_ms" => spacing.map(millis), "from" => origin);
        if let Some(notice) = notice {
            self.peers.announce_limit(&notice);
        }
    }

    /// The limits that a new peer is told.
    pub(crate) fn limit_notices(&self) -> Vec<LimitNotice> {
        lock(&self.limits).notices()
    }

    /// A hash of the limits that hold.
    pub(crate) fn limits_digest(&self) -> u64 {
        lock(&self.limits).digest()
    }

    /// Runners of a service that have named a limit which this process must leave alone now.
    pub(crate) fn limited(&self, service: &ServiceId) -> Vec<RunnerId> {
        if lock(&self.limits).known.is_empty() {
            return Vec::new();
        }
        let runners = self.fleet(|fleet| fleet.of(service).to_vec());
        let limits = lock(&self.limits);
        let is_closed = |id: &RunnerId| {
            let limit = limits.spacing(id);
            limit.is_some_and(|(spacing, sent)| {
                !self
                    .peers
                    .members(|members| is_open(members, id, spacing, sent))
            })
        };
        let ids = runners
            .into_iter()
            .flatten()
            .map(|runner| runner.id.clone());
        ids.filter(is_closed).collect()
    }
}
