//! Following of a table's changes through another process.
//!
//! If many processes each read a table, its service gets that many calls. Instead, a few read it
//! and pass the changes on. Such an update may be outdated: the upstream process may be cut off
//! from the table, paused or behind a slow link, and does not report it. So a reader measures the
//! age of its knowledge on its own clock, from when it sent its request, and reads the table itself
//! once the knowledge is too old.

use crate::id::RowRevision;
use std::time::Duration;

/// Response of another process about the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PeerUpdate {
    /// Revision after which the changes begin.
    pub before: RowRevision,
    /// Revision up to which the changes are complete.
    pub revision: RowRevision,
    /// Latest time, on the requester's clock, at which the table held nothing newer.
    pub current: Duration,
}

/// What to do with the changes of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpdateAction {
    /// Apply them.
    Apply,
    /// Discard them: they are all known, or older than what is known.
    Ignore,
    /// Changes before them are missing, so the table must be read.
    Gap,
}

/// One process's knowledge of a table. Times are measured from its start.
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
/// let update = PeerUpdate { before: 7, revision: 9, current: second * 2 };
/// assert_eq!(reader.on_peer_update(update), UpdateAction::Apply);
/// assert_eq!(reader.after(), Some(9));
/// assert_eq!(reader.trusts_peers_until(), Some(second * 4));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Reader {
    /// Greatest age of knowledge that comes from other processes.
    max_age: Duration,
    after: Option<RowRevision>,
    current: Duration,
    /// When a read of the table last failed, unless one has succeeded since.
    failed: Option<Duration>,
}

impl Reader {
    /// Creates a reader that knows nothing yet, and that relies on other processes for knowledge no
    /// older than `max_age`.
    #[must_use]
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            after: None,
            current: Duration::ZERO,
            failed: None,
        }
    }

    /// Revision up to which the table is known; `None` if the whole table must be read.
    #[must_use]
    pub fn after(&self) -> Option<RowRevision> {
        self.after
    }

    /// Latest known time at which the table held nothing newer.
    #[must_use]
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Until when the reader waits for another process's update; `None` if the whole table must be
    /// read.
    ///
    /// After a failed read, the table is read again after the same time. Other processes notice its
    /// return as soon as this process would.
    #[must_use]
    pub fn trusts_peers_until(&self) -> Option<Duration> {
        self.after?;
        let since = self.failed.map_or(self.current, |at| at.max(self.current));
        Some(since + self.max_age)
    }

    /// Records that the table responded to a request sent at `current`, or held nothing newer until
    /// then.
    pub fn read(&mut self, revision: RowRevision, current: Duration) {
        self.after = self.after.max(Some(revision));
        self.current = self.current.max(current);
        self.failed = None;
    }

    /// Records that a read of the table failed.
    pub fn failed(&mut self, now: Duration) {
        self.failed = Some(now);
    }

    /// Records that the table's history is no longer available.
    pub fn forget(&mut self) {
        self.after = None;
    }

    /// Processes an update from another process.
    ///
    /// An update that is behind says nothing about what this process knows, nor about its age.
    pub fn on_peer_update(&mut self, update: PeerUpdate) -> UpdateAction {
        let Some(after) = self.after else {
            return UpdateAction::Gap;
        };
        if update.revision < after {
            return UpdateAction::Ignore;
        }
        if update.before > after {
            return UpdateAction::Gap;
        }
        self.after = Some(update.revision);
        self.current = self.current.max(update.current);
        self.failed = None;
        if update.revision == after {
            return UpdateAction::Ignore;
        }
        UpdateAction::Apply
    }
}
