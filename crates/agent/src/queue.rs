//! Order in which held calls get a slot at the runner.

use protocol::CallId;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// One pop in this many takes the oldest deadline even if it has passed, so that late work is
/// delivered late rather than never while the runner stays busy.
const LATE_TURN: u64 = 8;

/// Position of a held call: higher priorities first, then earlier deadlines, then older offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    /// 255 less the priority.
    rank: u8,
    due: Instant,
    serial: u64,
}

/// How the queue is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// By priority and deadline.
    Slack,
    /// First in, first out: the baseline.
    Arrival,
}

/// Calls that wait for a slot.
#[derive(Debug)]
pub(crate) struct Queue {
    order: Order,
    start: Instant,
    held: BTreeMap<Place, CallId>,
    pushed: u64,
    popped: u64,
}

impl Queue {
    pub(crate) fn new(order: Order) -> Self {
        Self {
            order,
            start: Instant::now(),
            held: BTreeMap::new(),
            pushed: 0,
            popped: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Adds a call whose deadline is `remaining` away.
    pub(crate) fn push(&mut self, call: CallId, priority: u8, remaining: Duration) -> Place {
        self.pushed += 1;
        let (rank, due) = match self.order {
            Order::Slack => (u8::MAX - priority, deadline(remaining)),
            Order::Arrival => (0, self.start),
        };
        let place = Place {
            rank,
            due,
            serial: self.pushed,
        };
        self.held.insert(place, call);
        place
    }

    pub(crate) fn remove(&mut self, place: Place) {
        self.held.remove(&place);
    }

    /// Takes the next call. Work that is past its deadline yields to work of its priority that
    /// can still make it, but for every [`LATE_TURN`]th time.
    pub(crate) fn pop(&mut self) -> Option<CallId> {
        self.popped += 1;
        let (&first, _) = self.held.first_key_value()?;
        let place = if self.popped % LATE_TURN == 0 {
            first
        } else {
            self.in_time(first).unwrap_or(first)
        };
        self.held.remove(&place)
    }

    fn in_time(&self, first: Place) -> Option<Place> {
        let now = Place {
            due: Instant::now(),
            serial: 0,
            ..first
        };
        let (&place, _) = self.held.range(now..).next()?;
        (place.rank == first.rank).then_some(place)
    }
}

/// A deadline beyond what the clock can express counts as a day away.
fn deadline(remaining: Duration) -> Instant {
    const DAY: Duration = Duration::from_secs(86_400);
    Instant::now() + remaining.min(DAY)
}
