//! Bounded fair admission by predicted waiting time.

use super::fair::FairQueue;
use super::{Admission, AdmissionDecision, AdmissionRequest, Call};
use crate::smooth::Ewma;
use rand::Rng;
use std::time::Duration;

/// Cost of a call that is assumed before any has been measured.
const INITIAL_COST: Duration = Duration::from_millis(20);
/// Weight of one call in the smoothed cost and elapsed time.
const COST_WEIGHT: f64 = 0.05;
/// Weight of one request in the smoothed slack.
const SLACK_WEIGHT: f64 = 0.02;
/// Fraction of the average slack that a workspace's predicted waiting time may take.
const MAX_SLACK_FRACTION: f64 = 0.8;
/// Number of calls that each workspace may always queue, however slow the pool is.
const MIN_QUEUED_CALLS: usize = 4;
/// One in this many starts goes to a late call even if other calls wait, so that late calls do not
/// starve.
const LATE_INTERVAL: u32 = 10;
/// Shortest time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest time after which a refused caller should retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Fraction of the pool's throughput that is assumed to be available for returning callers.
const RETURN_FRACTION: f64 = 0.5;

/// Settings of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Maximum number of waiting calls in total.
    pub queue: usize,
    /// Weight of attainment against cost, from 0 to 1. It sets how far a workspace may exceed its share
    /// if one of its calls is urgent.
    pub attainment: f64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            queue: 4_096,
            attainment: 0.5,
        }
    }
}

/// Accepts requests whose workspace's share of the pool is predicted to start them in time. Other
/// requests are refused at once, with retry times that spread the callers.
///
/// Only new requests are refused, and only if their workspace's queue is longer than the average
/// slack allows; a short deadline alone is no reason. A call that can no longer meet its deadline
/// yields to those that can, but late calls keep a fraction of the starts.
#[derive(Clone, Debug)]
pub struct Predictive<T> {
    config: AdmissionConfig,
    waiting: FairQueue<T>,
    late: FairQueue<T>,
    in_flight: u32,
    starts: u32,
    cost: Ewma,
    elapsed: Ewma,
    slack: Ewma,
    refused_backlog: f64,
    backlog_updated: Duration,
}

impl<T> Default for Predictive<T> {
    fn default() -> Self {
        Self::new(AdmissionConfig::default())
    }
}

impl<T> Predictive<T> {
    /// Admission to an idle pool.
    #[must_use]
    pub fn new(config: AdmissionConfig) -> Self {
        let lookahead = 4 + (8.0 * config.attainment.clamp(0.0, 1.0)) as u64;
        Self {
            config,
            waiting: FairQueue::new(lookahead),
            late: FairQueue::new(lookahead),
            in_flight: 0,
            starts: 0,
            cost: Ewma::new(COST_WEIGHT),
            elapsed: Ewma::new(COST_WEIGHT),
            slack: Ewma::new(SLACK_WEIGHT),
            refused_backlog: 0.0,
            backlog_updated: Duration::ZERO,
        }
    }

    /// Predicted waiting time of one more call of the workspace if all other workspaces with waiting
    /// calls use their shares.
    #[must_use]
    pub fn expected_wait(&self, workspace: &str, share: u32, limit: u32) -> Duration {
        let ahead = self.queued_by(workspace);
        let own_share = u64::from(share.max(1));
        let added_share = if ahead == 0 { own_share } else { 0 };
        let shares = (self.waiting.active_share() + added_share).max(own_share);
        let rate = self.throughput(limit) * own_share as f64 / shares as f64;
        let seconds = (ahead + 1) as f64 / rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Calls a second that the pool completes while `limit` are in flight, by Little's law.
    fn throughput(&self, limit: u32) -> f64 {
        let elapsed = self.elapsed.get().unwrap_or(INITIAL_COST.as_secs_f64());
        f64::from(limit.max(1)) / elapsed.max(f64::MIN_POSITIVE)
    }

    fn queued_by(&self, workspace: &str) -> usize {
        self.waiting.queued(workspace) + self.late.queued(workspace)
    }

    fn cost(&self) -> Duration {
        self.cost
            .get()
            .map_or(INITIAL_COST, Duration::from_secs_f64)
    }

    fn start(&mut self, call: Call<T>) -> T {
        let cost = self.cost();
        self.waiting.charge(&call.workspace, call.share, cost);
        self.in_flight += 1;
        call.item
    }

    /// Predicted time until the pool can serve the callers refused before, randomised by half.
    fn retry_after(
        &mut self,
        expected_wait: Duration,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        let rate = self.throughput(limit) * RETURN_FRACTION;
        let since_update = now.saturating_sub(self.backlog_updated).as_secs_f64();
        self.backlog_updated = now;
        self.refused_backlog = (self.refused_backlog - since_update * rate).max(0.0) + 1.0;
        let backlog_time =
            Duration::try_from_secs_f64(self.refused_backlog / rate).unwrap_or(MAX_RETRY_AFTER);
        let after = backlog_time
            .max(expected_wait)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        after.mul_f64(rng.random_range(0.5..1.5))
    }

    /// Moves calls that can no longer meet their deadlines to the late queue and takes the first call
    /// that can.
    fn pop_on_time(&mut self, now: Duration) -> Option<Call<T>> {
        let cost = self.cost();
        loop {
            let call = self.waiting.pop(cost)?;
            if call.latest_start >= now {
                return Some(call);
            }
            self.late.push(call);
        }
    }

    fn pop_late(&mut self) -> Option<Call<T>> {
        let call = self.late.pop(self.cost())?;
        self.late.charge(&call.workspace, call.share, self.cost());
        Some(call)
    }

    fn pop(&mut self, now: Duration) -> Option<Call<T>> {
        self.starts = (self.starts + 1) % LATE_INTERVAL;
        if self.starts == 0 {
            return self.pop_late().or_else(|| self.pop_on_time(now));
        }
        self.pop_on_time(now).or_else(|| self.pop_late())
    }
}

impl<T> Admission<T> for Predictive<T> {
    fn overload(
        &mut self,
        request: &AdmissionRequest<'_>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        let slack = request.latest_start.saturating_sub(now);
        self.slack.add(slack.as_secs_f64());
        let ahead = self.queued_by(request.workspace);
        if ahead < MIN_QUEUED_CALLS {
            return None;
        }
        let expected_wait = self.expected_wait(request.workspace, request.share, limit);
        let max_wait = self.slack.get().unwrap_or(0.0) * MAX_SLACK_FRACTION;
        let room = self.config.queue.saturating_sub(self.queued());
        if expected_wait.as_secs_f64() <= max_wait && ahead < room {
            return None;
        }
        Some(self.retry_after(expected_wait, limit, now, rng))
    }

    fn offer(
        &mut self,
        call: Call<T>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> AdmissionDecision<T> {
        if let Some(retry_after) = self.overload(&call.request(), limit, now, rng) {
            let item = call.item;
            return AdmissionDecision::Refused { item, retry_after };
        }
        self.push(call, limit, now)
            .map_or(AdmissionDecision::Queued, AdmissionDecision::Start)
    }

    fn push(&mut self, call: Call<T>, limit: u32, now: Duration) -> Option<T> {
        if self.queued() == 0 && self.in_flight < limit {
            return Some(self.start(call));
        }
        self.waiting.push(call);
        self.next(limit, now)
    }

    fn next(&mut self, limit: u32, now: Duration) -> Option<T> {
        if self.in_flight >= limit {
            return None;
        }
        let call = self.pop(now)?;
        Some(self.start(call))
    }

    fn finished(&mut self, workspace: &str, busy: Duration, elapsed: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let charged = self.cost();
        self.waiting.correct(workspace, charged, busy);
        if let Some(elapsed) = elapsed {
            self.cost.add(busy.as_secs_f64());
            self.elapsed.add(elapsed.as_secs_f64());
        }
    }

    fn queued(&self) -> usize {
        self.waiting.len() + self.late.len()
    }

    fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
