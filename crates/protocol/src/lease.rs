//! A lease: a single holder at a time for work that only one process may do.
//!
//! The lease is a row of the table service. The holder renews it; a contender takes it over once it
//! has seen the row unchanged for the whole duration, measured on its own clock. Clocks are never
//! compared: the holder counts from when it sent a write, the contender from when it received the
//! row, which is later.

use crate::id::{self, RowRevision, Token};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Content of a lease row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// The holder's identity, or `None` after it has resigned.
    pub holder: Option<Holder>,
    /// Fencing token; increases with each new holder.
    pub fence: id::FencingToken,
}

/// Identity of one start of a process, drawn at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Holder(#[serde(with = "id::hex")] pub Token);

/// A row together with the transaction that last wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoredRow {
    /// Content of the row.
    pub row: Row,
    /// Transaction that last wrote the row.
    pub revision: RowRevision,
}

/// Durations of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Time for which a contender must see the row unchanged before it takes the lease over.
    pub duration: Duration,
    /// How long before the end of the lease the holder stops acting. Covers the difference in speed
    /// between clocks and the transit time of an order that was just sent.
    pub margin: Duration,
    /// Interval between a holder's writes and between a contender's reads.
    pub period: Duration,
}

/// Results of table operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The write took effect as this transaction.
    Written(RowRevision),
    /// The write did nothing because the row is as given, or the row as it was read.
    Found(Option<StoredRow>),
    /// The table rejected the operation before doing anything, or a read got no response.
    Unavailable,
    /// The write got no response; it may have taken effect, or may still do so.
    Unsure,
}

/// Table operation that the process must perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the row.
    Read,
    /// Write the row if its revision still equals `check`, or insert it if `check` is `None`.
    Write {
        /// Expected revision.
        check: Option<RowRevision>,
        /// New content.
        row: Row,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Pending {
    Read,
    Write(Row),
}

/// One process's view of a lease. Times are measured on its own clock from an arbitrary origin.
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
    own: Holder,
    timing: Timing,
    seen: Option<StoredRow>,
    known: bool,
    unchanged_since: Duration,
    pending: Option<Pending>,
    /// When the earliest write with an unknown result was sent.
    unsure_since: Option<Duration>,
    /// When the write that acquired or last renewed the lease was sent.
    renewed: Option<Duration>,
    requested: Option<Duration>,
    due_now: bool,
    resigning: bool,
}

impl Lease {
    /// Creates the lease of a process that has not read the row; the caller draws `token` at random
    /// for each start of the process.
    #[must_use]
    pub fn new(token: Token, timing: Timing) -> Self {
        Self {
            own: Holder(token),
            timing,
            seen: None,
            known: false,
            unchanged_since: Duration::ZERO,
            pending: None,
            unsure_since: None,
            renewed: None,
            requested: None,
            due_now: true,
            resigning: false,
        }
    }

    /// Returns the fencing token to act under, or `None` while the process must not act.
    ///
    /// Callers check this right before each order, because a holder that was paused only notices
    /// that its lease has expired when it reads its clock.
    #[must_use]
    pub fn may_act(&self, now: Duration) -> Option<id::FencingToken> {
        let until = self.renewed? + self.timing.duration.saturating_sub(self.timing.margin);
        (now < until && !self.resigning).then_some(self.own_row()?.row.fence)
    }

    /// Stops acting at once and releases the lease with the next write.
    pub fn resign(&mut self) {
        self.resigning = true;
        self.due_now = true;
    }

    /// Whether the process has resigned and is known not to hold the lease.
    #[must_use]
    pub fn is_resigned(&self) -> bool {
        self.resigning && self.known && self.own_row().is_none()
    }

    /// Returns the table operation to perform now, if any; at most one is pending at a time.
    pub fn tick(&mut self, now: Duration) -> Option<Action> {
        if self.pending.is_some() || self.is_resigned() || !self.is_due(now) {
            return None;
        }
        self.due_now = false;
        self.requested = Some(now);
        let Some(row) = self.next_row(now) else {
            self.pending = Some(Pending::Read);
            return Some(Action::Read);
        };
        self.pending = Some(Pending::Write(row));
        self.unsure_since.get_or_insert(now);
        Some(Action::Write {
            check: self.seen.map(|stored| stored.revision),
            row,
        })
    }

    /// Processes the result of a table operation.
    pub fn on(&mut self, event: Event, now: Duration) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match (pending, event) {
            (Pending::Write(row), Event::Written(revision)) => {
                self.on_written(StoredRow { row, revision }, now);
            }
            (_, Event::Found(stored)) => self.on_found(stored, now),
            (Pending::Write(_), Event::Unsure) => self.known = false,
            _ => {}
        }
    }

    fn own_row(&self) -> Option<StoredRow> {
        self.seen
            .filter(|stored| stored.row.holder == Some(self.own))
    }

    fn is_due(&self, now: Duration) -> bool {
        self.due_now
            || self
                .requested
                .is_none_or(|requested| now >= requested + self.timing.period)
    }

    /// Returns the row to write now, or `None` if the row must be read.
    fn next_row(&self, now: Duration) -> Option<Row> {
        if !self.known {
            return None;
        }
        let Some(StoredRow { row, .. }) = self.seen else {
            return Some(self.acquired(0));
        };
        match row.holder {
            Some(holder) if holder == self.own && self.resigning => Some(Row {
                holder: None,
                ..row
            }),
            Some(holder) if holder == self.own => Some(row),
            Some(_) if now < self.unchanged_since + self.timing.duration => None,
            _ => Some(self.acquired(row.fence)),
        }
    }

    fn acquired(&self, fence: id::FencingToken) -> Row {
        Row {
            holder: Some(self.own),
            fence: fence + 1,
        }
    }

    fn on_written(&mut self, stored: StoredRow, now: Duration) {
        self.seen = Some(stored);
        self.unchanged_since = now;
        self.renewed = self.requested;
        self.unsure_since = None;
    }

    /// A renewal whose response was lost counts from when it was sent, because a contender may have
    /// seen its effect at that moment and may count the duration from there. Of several such writes
    /// the earliest counts, since the row does not show which one took effect.
    fn on_found(&mut self, stored: Option<StoredRow>, now: Duration) {
        let revision = |stored: Option<StoredRow>| stored.map(|stored| stored.revision);
        let changed = revision(stored) != revision(self.seen);
        self.known = true;
        self.seen = stored;
        if changed {
            self.unchanged_since = now;
            self.renewed = self.unsure_since.take();
        }
        self.due_now = self.own_row().is_none() && self.next_row(now).is_some();
    }
}
