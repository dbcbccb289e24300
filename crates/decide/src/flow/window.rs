//! The gate that limits the pieces of started requests.

use super::efficiency::Efficiency;
use super::learnt::LearntTimes;
use super::outlook::Outlook;
use super::queue::WaitQueue;
use super::returns::ScheduledReturns;
use super::work::{Work, used};
use super::{Capacity, Demand, Gate, REVIEW_INTERVAL, Ticket, Verdict, wait_of};
use crate::Map;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Work in progress, as a multiple of what the chain processes in its time without waits. Requests
/// wait for the next call at each stage, so that less would leave calls partly empty.
const HORIZON: f64 = 1.5;
/// Largest horizon as a fraction of a request's own remaining time, so that work in progress alone
/// does not make it late.
const MAX_REMAINING_FRACTION: f64 = 0.9;
/// Work in progress of all ranks together, as a multiple of the longest horizon. Urgent requests start
/// beside less urgent ones up to this bound, since the results of all of them occupy room.
const MAX_OVERCOMMIT: f64 = 1.25;
/// Time after the expiry of a started request at which its credit is returned automatically.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Starts requests while the pieces of started ones are within a window at each service.
///
/// The window is the number of pieces that the service processes within the horizon. The order of
/// waiting requests is by rank, then by due time; those that can no longer be on time go last. A
/// request that does not fit blocks those behind it, so that large requests do not starve.
///
/// # Examples
///
/// ```
/// use decide::flow::{Capacity, Demand, Gate, Verdict, Window};
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// let mut gate = Window::new(Capacity { rates: vec![10.0], chain_time: ms(1_000) });
/// let demand = Demand { rank: 0, pieces: vec![8], due: ms(4_000), expires_at: ms(6_000) };
/// assert_eq!(gate.offer(ms(0), 1, demand.clone()), Verdict::Start);
/// // 16 pieces take 1.6 s, which exceeds the horizon of 1.5 s by 0.1 s.
/// let waits = Verdict::Wait { expected: ms(100) };
/// assert_eq!(gate.offer(ms(0), 2, demand), waits);
/// gate.finish(ms(900), 1);
/// assert_eq!(gate.poll(ms(900)), [(2, Verdict::Start)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Window {
    capacity: Capacity,
    queue: WaitQueue,
    started: Map<Ticket, Credit>,
    /// Expiry times of the started requests.
    expiries: BTreeSet<(Duration, Ticket)>,
    /// Pieces of the started requests, by rank.
    in_progress: BTreeMap<u8, Work>,
    learnt: LearntTimes,
    efficiency: Efficiency,
    returns: ScheduledReturns,
}

/// A started request.
#[derive(Clone, Debug)]
struct Credit {
    rank: u8,
    pieces: Vec<u32>,
    started_at: Duration,
    expires_at: Duration,
}

impl Window {
    /// A gate of an idle chain.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of started requests.
    #[must_use]
    pub fn started(&self) -> usize {
        self.started.len()
    }

    /// Pieces of started requests at a service.
    #[must_use]
    pub fn started_pieces(&self, service: usize) -> u64 {
        self.started_up_to(u8::MAX, service)
    }

    /// Part of the configured rates that the chain reaches, by which windows are scaled.
    #[must_use]
    pub fn efficiency(&self) -> f64 {
        self.efficiency.get()
    }

    /// Pieces of started requests at a service whose rank is this one or more urgent. Less urgent ones
    /// let a request pass at each stage.
    fn started_up_to(&self, rank: u8, service: usize) -> u64 {
        let ranks = self.in_progress.range(..=rank);
        ranks.map(|(_, work)| work.at(service)).sum()
    }

    /// Learnt time from the start of a request of this rank to the end of its chain, at least the chain's time
    /// without waits.
    ///
    /// # Examples
    ///
    /// ```
    /// use decide::flow::{Capacity, Window};
    /// use std::time::Duration;
    ///
    /// let chain_time = Duration::from_millis(1_110);
    /// let gate = Window::new(Capacity { rates: vec![10.0], chain_time });
    /// assert_eq!(gate.learnt_time(0), chain_time);
    /// ```
    #[must_use]
    pub fn learnt_time(&self, rank: u8) -> Duration {
        self.learnt.get(rank, self.capacity.chain_time)
    }

    /// Time within which all work in progress must be done for a request with this much time left to
    /// start.
    fn horizon(&self, remaining: Duration) -> Duration {
        let chain_time = self.capacity.chain_time;
        let longest = chain_time.mul_f64(HORIZON);
        let horizon = longest.min(remaining.mul_f64(MAX_REMAINING_FRACTION));
        // A request with less time left is late in any case.
        if horizon < chain_time {
            longest
        } else {
            horizon
        }
    }

    fn horizon_of(&self, now: Duration, demand: &Demand) -> f64 {
        let remaining = demand.due.saturating_sub(now);
        self.horizon(remaining).as_secs_f64()
    }

    fn fits(&self, now: Duration, demand: &Demand) -> bool {
        let horizon = self.horizon_of(now, demand);
        let longest = self.capacity.chain_time.as_secs_f64() * HORIZON * MAX_OVERCOMMIT;
        let efficiency = self.efficiency.get();
        let mut services = used(&demand.pieces, &self.capacity.rates);
        let is_within =
            |pieces: u64, rate: f64, horizon: f64| pieces as f64 <= rate * efficiency * horizon;
        self.started.is_empty()
            || services.all(|(service, own, rate)| {
                is_within(
                    self.started_up_to(demand.rank, service) + own,
                    rate,
                    horizon,
                ) && is_within(self.started_pieces(service) + own, rate, longest)
            })
    }

    /// Expected wait of a request before which these pieces wait.
    fn wait(&self, now: Duration, ahead: &Work, demand: &Demand) -> Duration {
        let horizon = self.horizon_of(now, demand);
        let waits = used(&demand.pieces, &self.capacity.rates).map(|(service, own, rate)| {
            let started = self.started_up_to(demand.rank, service);
            let work = started + ahead.at(service) + own;
            work as f64 / (rate * self.efficiency.get()) - horizon
        });
        wait_of(waits.fold(0.0, f64::max))
    }

    fn outlook(&self, now: Duration) -> Outlook<'_> {
        let learnt = (!self.started.is_empty()).then_some(&self.learnt);
        Outlook::new(now, learnt, &self.capacity)
    }

    fn start(&mut self, now: Duration, ticket: Ticket, demand: Demand) -> Verdict {
        let in_progress = self.in_progress.entry(demand.rank).or_default();
        in_progress.add(&demand.pieces);
        self.expiries.insert((demand.expires_at, ticket));
        let credit = Credit {
            rank: demand.rank,
            pieces: demand.pieces,
            started_at: now,
            expires_at: demand.expires_at,
        };
        self.started.insert(ticket, credit);
        Verdict::Start
    }

    fn refuse(&mut self, now: Duration, demand: &Demand, wait: Duration) -> Verdict {
        let retry_after = self
            .returns
            .schedule(now, wait, &demand.pieces, &self.capacity);
        Verdict::Refuse { retry_after }
    }

    fn return_credit(&mut self, ticket: Ticket) -> Option<Credit> {
        let credit = self.started.remove(&ticket)?;
        self.expiries.remove(&(credit.expires_at, ticket));
        if let Some(in_progress) = self.in_progress.get_mut(&credit.rank) {
            in_progress.remove(&credit.pieces);
        }
        Some(credit)
    }

    fn return_expired(&mut self, now: Duration) {
        while let Some((expires_at, ticket)) = self.expiries.first().copied() {
            if expires_at + EXPIRY_MARGIN > now {
                return;
            }
            self.return_credit(ticket);
        }
    }

    fn refuse_hopeless(&mut self, now: Duration) -> Vec<(Ticket, Verdict)> {
        let mut queue = std::mem::take(&mut self.queue);
        let wait = |ahead: &Work, demand: &Demand| self.wait(now, ahead, demand);
        let hopeless = queue.review(&self.outlook(now), wait);
        self.queue = queue;
        let refused = hopeless.into_iter();
        refused
            .map(|(ticket, demand, wait)| (ticket, self.refuse(now, &demand, wait)))
            .collect()
    }

    /// Removes the first waiting request if it fits.
    fn take_fitting(&mut self, now: Duration) -> Option<(Ticket, Demand)> {
        let (position, demand) = self.queue.first()?;
        let ticket = position.ticket;
        if !self.fits(now, demand) {
            return None;
        }
        Some((ticket, self.queue.remove(ticket)?))
    }
}

impl Gate for Window {
    fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    fn offer(&mut self, now: Duration, ticket: Ticket, demand: Demand) -> Verdict {
        self.withdraw(now, ticket);
        self.return_expired(now);
        let wait = |ahead: &Work, demand: &Demand| self.wait(now, ahead, demand);
        let placement = self.queue.place(ticket, &demand, &self.outlook(now), wait);
        if placement.is_hopeless {
            return self.refuse(now, &demand, placement.wait);
        }
        if self.queue.is_first(placement.position) && self.fits(now, &demand) {
            return self.start(now, ticket, demand);
        }
        self.queue.insert(now, placement.position, demand);
        Verdict::Wait {
            expected: placement.wait,
        }
    }

    fn finish(&mut self, now: Duration, ticket: Ticket) {
        if let Some(credit) = self.return_credit(ticket) {
            let elapsed = now.saturating_sub(credit.started_at);
            self.learnt.add(credit.rank, elapsed);
            self.efficiency.finished(&credit.pieces);
        }
    }

    fn withdraw(&mut self, _now: Duration, ticket: Ticket) {
        self.return_credit(ticket);
        self.queue.remove(ticket);
    }

    fn poll(&mut self, now: Duration) -> Vec<(Ticket, Verdict)> {
        self.return_expired(now);
        let is_waiting = self.queue.len() > 0;
        self.efficiency
            .update(now, &self.capacity.rates, is_waiting);
        let mut verdicts = self.refuse_hopeless(now);
        while let Some((ticket, demand)) = self.take_fitting(now) {
            verdicts.push((ticket, self.start(now, ticket, demand)));
        }
        verdicts
    }

    fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let review = (self.queue.len() > 0).then_some(now + REVIEW_INTERVAL);
        let expiry = self.expiries.first();
        let expiry = expiry.map(|(expires_at, _)| now.max(*expires_at + EXPIRY_MARGIN));
        review.into_iter().chain(expiry).min()
    }

    fn expected_wait(&self, now: Duration, rank: u8) -> Duration {
        let services = self.capacity.rates.len();
        let smallest = Demand {
            rank,
            pieces: vec![1; services],
            due: now
                + self
                    .capacity
                    .chain_time
                    .mul_f64(HORIZON / MAX_REMAINING_FRACTION),
            expires_at: Duration::MAX,
        };
        self.wait(now, &self.queue.ahead_of_new(rank), &smallest)
    }
}
