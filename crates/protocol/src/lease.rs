//! One holder at a time for work that one process must do.
//!
//! The lease is a row of the table service. The holder renews it; a contender takes it over once
//! it has watched the row unchanged for the whole duration on its own clock. No clocks are
//! compared: the holder counts from the moment it sent a write, the contender from the moment it
//! received the row, which is later.

use crate::id::{self, RowRevision, Token};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Content of a lease row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// The holder's token; `None` once it has resigned.
    pub holder: Option<Holder>,
    /// Fencing number; grows with each new holder.
    pub fence: id::FencingToken,
}

/// Token of a process's life, drawn at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Holder(#[serde(with = "id::hex")] pub Token);

/// A row together with the transaction that last wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoredRow {
    /// Content.
    pub row: Row,
    /// Transaction that last wrote it.
    pub revision: RowRevision,
}

/// How long a lease lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Time that a contender must have seen the row unchanged.
    pub duration: Duration,
    /// How much earlier the holder stops acting: covers clocks that run at different speeds and
    /// the way of an order that was just sent.
    pub margin: Duration,
    /// Time between two writes of the holder or two reads of a contender.
    pub period: Duration,
}

/// What comes back from the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The write took effect as this transaction.
    Written(RowRevision),
    /// The write did nothing, since the row is as given; or the row as it was read.
    Found(Option<StoredRow>),
    /// The table refused before it did anything, or a read got no answer.
    Unavailable,
    /// The write got no answer; it may have taken effect or may yet.
    Unsure,
}

/// What the process must ask of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the row.
    Read,
    /// Write the row if its revision is still this one; `None`: if there is no row.
    Write {
        /// Expected revision.
        check: Option<RowRevision>,
        /// New content.
        row: Row,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Flight {
    Read,
    Write(Row),
}

/// One process's view of a lease. Times are since an arbitrary start on its own clock.
///
/// # Examples
///
/// ```
/// use protocol::lease::{Action, Event, Lease, Timing};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let timing = Timing { duration: 10 * second, margin: 3 * second, period: 2 * second };
/// let mut lease = Lease::new(77, timing);
/// assert_eq!(lease.tick(second), Some(Action::Read));
/// lease.on(Event::Found(None), second);
/// assert!(matches!(lease.tick(second), Some(Action::Write { check: None, .. })));
/// lease.on(Event::Written(5), 2 * second);
/// assert_eq!(lease.may_act(7 * second), Some(1));
/// assert_eq!(lease.may_act(8 * second), None);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    me: Holder,
    timing: Timing,
    seen: Option<StoredRow>,
    known: bool,
    since: Duration,
    flight: Option<Flight>,
    /// When the earliest write whose fate is open was sent.
    sent: Option<Duration>,
    /// When the write that made or last renewed the lease was sent.
    held: Option<Duration>,
    asked: Option<Duration>,
    prompt: bool,
    resigning: bool,
}

impl Lease {
    /// A process that has not read the row; `token` is drawn at random for each life.
    #[must_use]
    pub fn new(token: Token, timing: Timing) -> Self {
        Self {
            me: Holder(token),
            timing,
            seen: None,
            known: false,
            since: Duration::ZERO,
            flight: None,
            sent: None,
            held: None,
            asked: None,
            prompt: true,
            resigning: false,
        }
    }

    /// The fencing number to act under, or `None` while the process must not act.
    ///
    /// A paused holder learns of the lapse only when it looks at its clock, so this is asked
    /// right before each order.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> Option<id::FencingToken> {
        let until = self.held? + self.timing.duration.saturating_sub(self.timing.margin);
        (now < until && !self.resigning).then_some(self.mine()?.row.fence)
    }

    /// Stops acting at once and gives the lease back with the next write.
    pub fn resign(&mut self) {
        self.resigning = true;
        self.prompt = true;
    }

    /// Whether the process has resigned and is known not to have the lease.
    #[must_use]
    pub fn is_resigned(&self) -> bool {
        self.resigning && self.known && self.mine().is_none()
    }

    /// What to ask of the table now, if anything; at most one question is open at a time.
    pub fn tick(&mut self, now: Duration) -> Option<Action> {
        if self.flight.is_some() || self.is_resigned() || !self.is_due(now) {
            return None;
        }
        self.prompt = false;
        self.asked = Some(now);
        let Some(row) = self.wish(now) else {
            self.flight = Some(Flight::Read);
            return Some(Action::Read);
        };
        self.flight = Some(Flight::Write(row));
        self.sent.get_or_insert(now);
        Some(Action::Write {
            check: self.seen.map(|kept| kept.revision),
            row,
        })
    }

    /// Takes in what came back from the table.
    pub fn on(&mut self, event: Event, now: Duration) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        match (flight, event) {
            (Flight::Write(row), Event::Written(revision)) => {
                self.written(StoredRow { row, revision }, now);
            }
            (_, Event::Found(kept)) => self.found(kept, now),
            (Flight::Write(_), Event::Unsure) => self.known = false,
            _ => {}
        }
    }

    fn mine(&self) -> Option<StoredRow> {
        self.seen.filter(|kept| kept.row.holder == Some(self.me))
    }

    fn is_due(&self, now: Duration) -> bool {
        self.prompt
            || self
                .asked
                .is_none_or(|asked| now >= asked + self.timing.period)
    }

    /// The row to write now, or `None` if the row is to be read.
    fn wish(&self, now: Duration) -> Option<Row> {
        if !self.known {
            return None;
        }
        let Some(StoredRow { row, .. }) = self.seen else {
            return Some(self.taken(0));
        };
        match row.holder {
            Some(holder) if holder == self.me && self.resigning => Some(Row {
                holder: None,
                ..row
            }),
            Some(holder) if holder == self.me => Some(row),
            Some(_) if now < self.since + self.timing.duration => None,
            _ => Some(self.taken(row.fence)),
        }
    }

    fn taken(&self, fence: id::FencingToken) -> Row {
        Row {
            holder: Some(self.me),
            fence: fence + 1,
        }
    }

    fn written(&mut self, kept: StoredRow, now: Duration) {
        self.seen = Some(kept);
        self.since = now;
        self.held = self.asked;
        self.sent = None;
    }

    /// A renewal whose answer was lost counts from when it was sent: a contender may have seen
    /// its effect right then, and counts the duration from there. Of several such writes the
    /// earliest counts, since the row does not tell which one it was.
    fn found(&mut self, kept: Option<StoredRow>, now: Duration) {
        let revision = |kept: Option<StoredRow>| kept.map(|kept| kept.revision);
        let changed = revision(kept) != revision(self.seen);
        self.known = true;
        self.seen = kept;
        if changed {
            self.since = now;
            self.held = self.sent.take();
        }
        self.prompt = self.mine().is_none() && self.wish(now).is_some();
    }
}
