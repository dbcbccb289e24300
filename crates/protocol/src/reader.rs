//! A process that hears of a table's changes from another one.
//!
//! Many processes that each read a table cost its service as many calls. A few read it and tell the
//! others. What is told may be late: the teller may be cut off from the table, paused, or behind a
//! slow link, and says nothing of it. So a reader counts how old its knowledge is by its own clock,
//! from the moment at which it asked, and reads the table itself once that is too old.

use crate::id::RowRevision;
use std::time::Duration;

/// What a process that was asked tells of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerUpdate {
    /// Revision behind which its changes begin.
    pub before: RowRevision,
    /// Revision up to which they are complete.
    pub revision: RowRevision,
    /// Latest moment, by the clock of the one who asked, at which nothing newer was in the table.
    pub current: Duration,
}

/// What becomes of changes that were told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpdateAction {
    /// They count.
    Apply,
    /// All of it is known, or older than what is.
    Ignore,
    /// Some before them are missing: the table must be read.
    Gap,
}

/// One process's knowledge of a table. Moments are counted from its start.
///
/// # Examples
///
/// ```
/// use protocol::reader::{Reader, UpdateAction, PeerUpdate};
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut reader = Reader::new(second * 2);
/// reader.read(7, second);
/// assert_eq!(reader.trusts_peers_until(), Some(second * 3));
/// let told = PeerUpdate { before: 7, revision: 9, current: second * 2 };
/// assert_eq!(reader.on_peer_update(told), UpdateAction::Apply);
/// assert_eq!(reader.after(), Some(9));
/// assert_eq!(reader.trusts_peers_until(), Some(second * 4));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Reader {
    /// Greatest age at which others are relied on.
    most: Duration,
    after: Option<RowRevision>,
    current: Duration,
    /// When the table was last asked in vain, unless it answered since.
    failed: Option<Duration>,
}

impl Reader {
    /// One that knows nothing yet, and relies on others for knowledge no older than `most`.
    #[must_use]
    pub fn new(most: Duration) -> Self {
        Self {
            most,
            after: None,
            current: Duration::ZERO,
            failed: None,
        }
    }

    /// Revision up to which the table is known; `None` if it must be read as a whole.
    #[must_use]
    pub fn after(&self) -> Option<RowRevision> {
        self.after
    }

    /// Latest moment at which nothing newer was in the table, as far as is known.
    #[must_use]
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Until when another process's word is waited for; `None` if the table must be read as a whole.
    ///
    /// A table that could not be read is asked again after the same time. Others hear of its return
    /// as soon as this process would.
    #[must_use]
    pub fn trusts_peers_until(&self) -> Option<Duration> {
        self.after?;
        let since = self.failed.map_or(self.current, |at| at.max(self.current));
        Some(since + self.most)
    }

    /// The table answered a question that was asked at `current`, or had nothing newer until then.
    pub fn read(&mut self, revision: RowRevision, current: Duration) {
        self.after = self.after.max(Some(revision));
        self.current = self.current.max(current);
        self.failed = None;
    }

    /// The table did not answer.
    pub fn failed(&mut self, now: Duration) {
        self.failed = Some(now);
    }

    /// The table's history is gone.
    pub fn forget(&mut self) {
        self.after = None;
    }

    /// Takes in what another process tells.
    ///
    /// One that is behind says nothing of what this process knows, nor of how old that is.
    pub fn on_peer_update(&mut self, told: PeerUpdate) -> UpdateAction {
        let Some(after) = self.after else {
            return UpdateAction::Gap;
        };
        if told.revision < after {
            return UpdateAction::Ignore;
        }
        if told.before > after {
            return UpdateAction::Gap;
        }
        self.after = Some(told.revision);
        self.current = self.current.max(told.current);
        self.failed = None;
        if told.revision == after {
            return UpdateAction::Ignore;
        }
        UpdateAction::Apply
    }
}
