//! The gate that starts requests at a steady rate.

use super::learnt::LearntTimes;
use super::outlook::Outlook;
use super::queue::WaitQueue;
use super::returns::ScheduledReturns;
use super::work::{Work, work_time};
use super::{Capacity, Demand, Gate, MAX_WAIT, REVIEW_INTERVAL, Ticket, Verdict};
use crate::Map;
use std::time::Duration;

/// Unused time that may be made up for: requests arrive unevenly within the time of a call.
const MAX_CREDIT: Duration = Duration::from_millis(300);

/// Starts requests at the rate at which the slowest stage processes them: an alternative to
/// [`Window`](super::Window).
///
/// It learns of work that takes longer than configured only by the chain time, not by the work in
/// progress, which therefore grows while a stage is slow.
///
/// # Examples
///
/// ```
/// use decide::flow::{Capacity, Demand, Gate, Paced, Verdict};
/// use std::time::Duration;
///
/// let ms = Duration::from_millis;
/// let mut gate = Paced::new(Capacity { rates: vec![10.0], chain_time: ms(1_000) });
/// let demand = Demand { rank: 0, pieces: vec![8], due: ms(14_000), expires_at: ms(16_000) };
/// assert_eq!(gate.offer(ms(10_000), 1, demand.clone()), Verdict::Start);
/// let waits = Verdict::Wait { expected: ms(500) };
/// assert_eq!(gate.offer(ms(10_000), 2, demand), waits);
/// assert_eq!(gate.next_wakeup(ms(10_000)), Some(ms(10_050)));
/// assert_eq!(gate.poll(ms(10_500)), [(2, Verdict::Start)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Paced {
    capacity: Capacity,
    queue: WaitQueue,
    /// Rank and start time of the started requests.
    started: Map<Ticket, (u8, Duration)>,
    /// Time at which the slowest stage has done the started work.
    free_at: Duration,
    learnt: LearntTimes,
    returns: ScheduledReturns,
}

impl Paced {
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

    /// Learnt time from the start of a request of this rank to the end of its chain, at least the chain's time
    /// without waits.
    #[must_use]
    pub fn learnt_time(&self, rank: u8) -> Duration {
        self.learnt.get(rank, self.capacity.chain_time)
    }

    fn wait(&self, now: Duration, ahead: &Work, demand: &Demand) -> Duration {
        let rates = &self.capacity.rates;
        self.free_at.saturating_sub(now) + ahead.time(&demand.pieces, rates)
    }

    fn outlook(&self, now: Duration) -> Outlook<'_> {
        let learnt = (!self.started.is_empty()).then_some(&self.learnt);
        Outlook::new(now, learnt, &self.capacity)
    }

    fn start(&mut self, now: Duration, ticket: Ticket, demand: &Demand) -> Verdict {
        let time = work_time(&demand.pieces, &self.capacity.rates);
        let base = self.free_at.max(now.saturating_sub(MAX_CREDIT));
        self.free_at = (base + time).min(now + MAX_WAIT);
        self.started.insert(ticket, (demand.rank, now));
        Verdict::Start
    }

    fn refuse(&mut self, now: Duration, demand: &Demand, wait: Duration) -> Verdict {
        let retry_after = self
            .returns
            .schedule(now, wait, &demand.pieces, &self.capacity);
        Verdict::Refuse { retry_after }
    }
}

impl Gate for Paced {
    fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    fn offer(&mut self, now: Duration, ticket: Ticket, demand: Demand) -> Verdict {
        self.withdraw(now, ticket);
        let wait = |ahead: &Work, demand: &Demand| self.wait(now, ahead, demand);
        let placement = self.queue.place(ticket, &demand, &self.outlook(now), wait);
        if placement.is_hopeless {
            return self.refuse(now, &demand, placement.wait);
        }
        if self.queue.is_first(placement.position) && self.free_at <= now {
            return self.start(now, ticket, &demand);
        }
        self.queue.insert(now, placement.position, demand);
        Verdict::Wait {
            expected: placement.wait,
        }
    }

    fn finish(&mut self, now: Duration, ticket: Ticket) {
        if let Some((rank, started_at)) = self.started.remove(&ticket) {
            self.learnt.add(rank, now.saturating_sub(started_at));
        }
    }

    fn withdraw(&mut self, _now: Duration, ticket: Ticket) {
        self.started.remove(&ticket);
        self.queue.remove(ticket);
    }

    fn poll(&mut self, now: Duration) -> Vec<(Ticket, Verdict)> {
        let mut queue = std::mem::take(&mut self.queue);
        let wait = |ahead: &Work, demand: &Demand| self.wait(now, ahead, demand);
        let hopeless = queue.review(&self.outlook(now), wait);
        self.queue = queue;
        let mut verdicts = Vec::new();
        for (ticket, demand, wait) in hopeless {
            verdicts.push((ticket, self.refuse(now, &demand, wait)));
        }
        while self.free_at <= now {
            let first = self.queue.first().map(|(position, _)| position.ticket);
            let Some((ticket, demand)) =
                first.and_then(|ticket| Some((ticket, self.queue.remove(ticket)?)))
            else {
                break;
            };
            verdicts.push((ticket, self.start(now, ticket, &demand)));
        }
        verdicts
    }

    fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let next_start = now.max(self.free_at);
        (self.queue.len() > 0).then(|| next_start.min(now + REVIEW_INTERVAL))
    }

    fn expected_wait(&self, now: Duration, rank: u8) -> Duration {
        let ahead = self.queue.ahead_of_new(rank);
        let every = vec![1; self.capacity.rates.len()];
        self.free_at.saturating_sub(now) + ahead.time(&every, &self.capacity.rates)
    }
}
