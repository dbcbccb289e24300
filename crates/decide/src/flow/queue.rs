//! The waiting requests of a gate, in the order in which they start.

use super::outlook::{Outlook, Prospect};
use super::work::Work;
use super::{Demand, Ticket};
use crate::Map;
use std::collections::BTreeMap;
use std::time::Duration;

/// Position of a request in the order: requests that can be on time first, then by rank and due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    late: bool,
    rank: u8,
    due: Duration,
    pub(super) ticket: Ticket,
}

impl Position {
    pub(super) fn new(ticket: Ticket, demand: &Demand) -> Self {
        Self {
            late: false,
            rank: demand.rank,
            due: demand.due,
            ticket,
        }
    }

    fn with_late(self, late: bool) -> Self {
        Self { late, ..self }
    }

    /// The last possible position of the same rank.
    fn last_of_rank(self) -> Self {
        Self {
            due: Duration::MAX,
            ticket: Ticket::MAX,
            ..self
        }
    }
}

/// Where a request would wait, and for how long.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement {
    pub(super) position: Position,
    pub(super) wait: Duration,
    /// The request is refused instead.
    pub(super) is_hopeless: bool,
}

/// A waiting request and the time from which it waits.
#[derive(Clone, Debug)]
struct Waiting {
    demand: Demand,
    since: Duration,
}

/// Ordered waiting requests, with the sum of their pieces for each rank.
///
/// The sums make a new request cheap that is due after the waiting ones of its rank, as nearly all
/// are, even if thousands wait.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    order: BTreeMap<Position, Waiting>,
    positions: Map<Ticket, Position>,
    sums: BTreeMap<(bool, u8), Work>,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn first(&self) -> Option<(&Position, &Demand)> {
        let (position, waiting) = self.order.first_key_value()?;
        Some((position, &waiting.demand))
    }

    /// Whether no waiting request goes before this position.
    pub(super) fn is_first(&self, position: Position) -> bool {
        self.first().is_none_or(|(first, _)| position < *first)
    }

    pub(super) fn insert(&mut self, now: Duration, position: Position, demand: Demand) {
        self.insert_waiting(position, Waiting { demand, since: now });
    }

    fn insert_waiting(&mut self, position: Position, waiting: Waiting) {
        let sum = self.sums.entry((position.late, position.rank));
        sum.or_default().add(&waiting.demand.pieces);
        self.positions.insert(position.ticket, position);
        self.order.insert(position, waiting);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Demand> {
        Some(self.remove_waiting(ticket)?.demand)
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<Waiting> {
        let position = self.positions.remove(&ticket)?;
        let waiting = self.order.remove(&position)?;
        if let Some(sum) = self.sums.get_mut(&(position.late, position.rank)) {
            sum.remove(&waiting.demand.pieces);
        }
        Some(waiting)
    }

    /// Pieces of the requests that go before this position.
    fn ahead_of(&self, position: Position) -> Work {
        let mut ahead = self.ahead_of_rank(position.late, position.rank);
        let Some(sum) = self.sums.get(&(position.late, position.rank)) else {
            return ahead;
        };
        let mut own_rank = sum.clone();
        let behind = self.order.range(position..=position.last_of_rank());
        for (_, waiting) in behind {
            own_rank.remove(&waiting.demand.pieces);
        }
        ahead.add_work(&own_rank);
        ahead
    }

    fn ahead_of_rank(&self, late: bool, rank: u8) -> Work {
        let mut ahead = Work::default();
        for (_, sum) in self.sums.range(..(late, rank)) {
            ahead.add_work(sum);
        }
        ahead
    }

    /// Pieces of the requests that go before a new one of this rank that is due after them.
    pub(super) fn ahead_of_new(&self, rank: u8) -> Work {
        let mut ahead = self.ahead_of_rank(false, rank);
        if let Some(sum) = self.sums.get(&(false, rank)) {
            ahead.add_work(sum);
        }
        ahead
    }

    /// Where a new request would wait. `wait` estimates the wait of a request from the pieces that
    /// wait before it.
    pub(super) fn place(
        &self,
        ticket: Ticket,
        demand: &Demand,
        outlook: &Outlook<'_>,
        wait: impl Fn(&Work, &Demand) -> Duration,
    ) -> Placement {
        let at = |position: Position| {
            let wait = wait(&self.ahead_of(position), demand);
            (position, wait, outlook.prospect(demand, outlook.now, wait))
        };
        let mut placed = at(Position::new(ticket, demand));
        if placed.2 != Prospect::OnTime {
            placed = at(placed.0.with_late(true));
        }
        let (position, wait, prospect) = placed;
        Placement {
            position,
            wait,
            is_hopeless: prospect == Prospect::Hopeless,
        }
    }

    /// Determines anew which requests can be on time, given those before them, and removes and
    /// returns the hopeless ones with their waits.
    pub(super) fn review(
        &mut self,
        outlook: &Outlook<'_>,
        wait: impl Fn(&Work, &Demand) -> Duration,
    ) -> Vec<(Ticket, Demand, Duration)> {
        let mut positions: Vec<Position> = self.order.keys().copied().collect();
        positions.sort_by_key(|position| position.with_late(false));
        let mut ahead = Work::default();
        let (mut late, mut moved, mut hopeless) = (Vec::new(), Vec::new(), Vec::new());
        for position in positions {
            let Waiting { demand, since } = &self.order[&position];
            if outlook.prospect(demand, *since, wait(&ahead, demand)) == Prospect::OnTime {
                ahead.add(&demand.pieces);
                moved.extend(position.late.then_some((position, false)));
            } else {
                late.push(position);
            }
        }
        for position in late {
            let Waiting { demand, since } = &self.order[&position];
            let wait = wait(&ahead, demand);
            if outlook.prospect(demand, *since, wait) == Prospect::Hopeless {
                hopeless.push((position.ticket, wait));
            } else {
                ahead.add(&demand.pieces);
                moved.extend((!position.late).then_some((position, true)));
            }
        }
        self.move_all(moved);
        let removed = hopeless.into_iter();
        let removed = removed.map(|(ticket, wait)| Some((ticket, self.remove(ticket)?, wait)));
        removed.flatten().collect()
    }

    fn move_all(&mut self, moved: Vec<(Position, bool)>) {
        for (position, late) in moved {
            if let Some(waiting) = self.remove_waiting(position.ticket) {
                self.insert_waiting(position.with_late(late), waiting);
            }
        }
    }
}
