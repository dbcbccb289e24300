//! Bounded and fair admission by predicted waiting time.

use super::fair::FairQueue;
use super::{Admission, AdmissionDecision, AdmissionRequest, Call};
use crate::smooth::Ewma;
use rand::Rng;
use std::time::Duration;

/// Cost of a call before any has been measured.
const FIRST_COST: Duration = Duration::from_millis(20);
/// Weight of one call in the smoothed cost and elapsed time.
const COST_WEIGHT: f64 = 0.05;
/// Weight of one request in the smoothed slack.
const SLACK_WEIGHT: f64 = 0.02;
/// Share of the usual slack that a workspace's queue may be predicted to take.
const PATIENCE: f64 = 0.8;
/// Calls that each workspace may always queue, however slow the pool is.
const ALWAYS_QUEUED: usize = 4;
/// One in so many starts goes to a call past its deadline while others wait, so that late work is
/// late but never lost.
const LATE_TURN: u32 = 10;
/// Shortest time after which a refused caller is asked back.
const SOONEST: Duration = Duration::from_millis(200);
/// Longest time after which a refused caller is asked back.
const LATEST: Duration = Duration::from_secs(30);
/// Share of the pool's throughput that returning callers are expected to find.
const RETURN_SHARE: f64 = 0.5;

/// What a deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Calls that may wait in all.
    pub queue: usize,
    /// Weight of attainment against cost, from 0 to 1; it sets how far a workspace may run ahead
    /// of its share for the sake of an urgent call.
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

/// Accepts what its workspace's share of the pool is predicted to start in good time; the rest is
/// refused at once, with a time to come back that spreads the callers.
///
/// Only new requests are refused, and only because their workspace's queue has grown longer than
/// the usual slack: a short deadline alone is no reason. A call that has missed its deadline yields
/// to those that can still make theirs, but keeps a share of the starts.
#[derive(Clone, Debug)]
pub struct Predictive<T> {
    bounds: AdmissionConfig,
    waiting: FairQueue<T>,
    late: FairQueue<T>,
    in_flight: u32,
    turn: u32,
    cost: Ewma,
    elapsed: Ewma,
    slack: Ewma,
    refused: f64,
    drained: Duration,
}

impl<T> Default for Predictive<T> {
    fn default() -> Self {
        Self::new(AdmissionConfig::default())
    }
}

impl<T> Predictive<T> {
    /// Admission to an idle pool.
    #[must_use]
    pub fn new(bounds: AdmissionConfig) -> Self {
        let lookahead = 4 + (8.0 * bounds.attainment.clamp(0.0, 1.0)) as u64;
        Self {
            bounds,
            waiting: FairQueue::new(lookahead),
            late: FairQueue::new(lookahead),
            in_flight: 0,
            turn: 0,
            cost: Ewma::new(COST_WEIGHT),
            elapsed: Ewma::new(COST_WEIGHT),
            slack: Ewma::new(SLACK_WEIGHT),
            refused: 0.0,
            drained: Duration::ZERO,
        }
    }

    /// Time that one more call of the workspace is predicted to wait if all others with calls
    /// waiting use their shares.
    #[must_use]
    pub fn wait(&self, workspace: &str, share: u32, limit: u32) -> Duration {
        let ahead = self.queued_by(workspace);
        let own = u64::from(share.max(1));
        let newcomer = if ahead == 0 { own } else { 0 };
        let shares = (self.waiting.active_share() + newcomer).max(own);
        let rate = self.throughput(limit) * own as f64 / shares as f64;
        let seconds = (ahead + 1) as f64 / rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Calls that the pool ends in a second while `limit` are in flight, by Little's law.
    fn throughput(&self, limit: u32) -> f64 {
        let elapsed = self.elapsed.get().unwrap_or(FIRST_COST.as_secs_f64());
        f64::from(limit.max(1)) / elapsed.max(f64::MIN_POSITIVE)
    }

    fn queued_by(&self, workspace: &str) -> usize {
        self.waiting.queued(workspace) + self.late.queued(workspace)
    }

    fn cost(&self) -> Duration {
        self.cost.get().map_or(FIRST_COST, Duration::from_secs_f64)
    }

    fn start(&mut self, call: Call<T>) -> T {
        let cost = self.cost();
        self.waiting.charge(&call.workspace, call.share, cost);
        self.in_flight += 1;
        call.item
    }

    /// When the pool is predicted to have caught up with those refused before, spread by half.
    fn retry_after(
        &mut self,
        wait: Duration,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        let rate = self.throughput(limit) * RETURN_SHARE;
        let idle = now.saturating_sub(self.drained).as_secs_f64();
        self.drained = now;
        self.refused = (self.refused - idle * rate).max(0.0) + 1.0;
        let behind = Duration::try_from_secs_f64(self.refused / rate).unwrap_or(LATEST);
        let after = behind.max(wait).clamp(SOONEST, LATEST);
        after.mul_f64(rng.random_range(0.5..1.5))
    }

    /// Moves calls that can no longer meet their deadlines out of the way and takes the first that
    /// can.
    fn pop_in_time(&mut self, now: Duration) -> Option<Call<T>> {
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
        self.turn = (self.turn + 1) % LATE_TURN;
        if self.turn == 0 {
            return self.pop_late().or_else(|| self.pop_in_time(now));
        }
        self.pop_in_time(now).or_else(|| self.pop_late())
    }
}

impl<T> Admission<T> for Predictive<T> {
    fn overload(
        &mut self,
        ask: &AdmissionRequest<'_>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        let slack = ask.latest_start.saturating_sub(now);
        self.slack.add(slack.as_secs_f64());
        let ahead = self.queued_by(ask.workspace);
        if ahead < ALWAYS_QUEUED {
            return None;
        }
        let wait = self.wait(ask.workspace, ask.share, limit);
        let patience = self.slack.get().unwrap_or(0.0) * PATIENCE;
        let room = self.bounds.queue.saturating_sub(self.queued());
        if wait.as_secs_f64() <= patience && ahead < room {
            return None;
        }
        Some(self.retry_after(wait, limit, now, rng))
    }

    fn offer(
        &mut self,
        call: Call<T>,
        limit: u32,
        now: Duration,
        rng: &mut impl Rng,
    ) -> AdmissionDecision<T> {
        if let Some(retry_after) = self.overload(&call.ask(), limit, now, rng) {
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
