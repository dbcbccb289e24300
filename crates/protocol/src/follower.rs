//! A process that follows the log of accepted configuration changes.

use crate::id::Revision;

/// What reaches the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Head of the log as read from the table.
    Head(Revision),
    /// The table could not be read.
    Down,
    /// A process has accepted or applied this revision; the word may be late or lost.
    Push(Revision),
    /// Highest revision applied by the ready peers that answered; none counts without any.
    Peers(Revision),
    /// One entry of the log, from the table or from a peer.
    Entry(Revision),
    /// All records as they are at this revision.
    Snapshot(Revision),
}

/// What the process must do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Put the entry or snapshot in force.
    Apply(Revision),
    /// Get the log's entries after this revision, from the table or, while it is down, a peer.
    Fetch {
        /// Last revision that is in force here.
        after: Revision,
    },
    /// Ask the peers which revision they have applied.
    AskPeers,
    /// Nothing to do.
    Ignore,
}

/// One process's place in the log.
///
/// # Examples
///
/// ```
/// use protocol::follower::{Action, Event, Follower};
///
/// let mut follower = Follower::new();
/// assert_eq!(follower.on(Event::Head(7)), Action::Fetch { after: 0 });
/// assert_eq!(follower.on(Event::Snapshot(7)), Action::Apply(7));
/// assert!(follower.is_ready());
/// assert_eq!(follower.on(Event::Entry(6)), Action::Ignore);
/// assert_eq!(follower.on(Event::Entry(8)), Action::Apply(8));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Follower {
    applied: Revision,
    latest_known: Revision,
    goal: Option<Revision>,
    down: bool,
    ready: bool,
}

impl Follower {
    /// A fresh process: nothing is in force.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision in force here; zero before the first.
    #[must_use]
    pub fn applied(&self) -> Revision {
        self.applied
    }

    /// Highest revision heard of.
    #[must_use]
    pub fn latest_known(&self) -> Revision {
        self.latest_known
    }

    /// Whether the process may serve.
    ///
    /// A fresh process that served with whatever it had first would bring back a configuration
    /// that an operator has replaced, so it waits for the log's head or, while the table is down,
    /// for what its peers have seen.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Takes in an event and says what to do.
    pub fn on(&mut self, event: Event) -> Action {
        match event {
            Event::Head(revision) => self.head(revision),
            Event::Down => self.down(),
            Event::Peers(revision) if self.down => self.raise_goal(revision),
            Event::Peers(revision) | Event::Push(revision) => self.note_revision(revision),
            Event::Entry(revision) => self.entry(revision),
            Event::Snapshot(revision) => self.snapshot(revision),
        }
    }

    fn head(&mut self, revision: Revision) -> Action {
        self.down = false;
        self.raise_goal(revision)
    }

    fn down(&mut self) -> Action {
        self.down = true;
        if self.ready {
            return Action::Ignore;
        }
        Action::AskPeers
    }

    /// A push alone never makes a process ready, nor do peers while the table answers: both may
    /// name an old revision.
    fn raise_goal(&mut self, revision: Revision) -> Action {
        self.goal = self.goal.max(Some(revision));
        self.update_ready();
        self.note_revision(revision)
    }

    fn note_revision(&mut self, revision: Revision) -> Action {
        self.latest_known = self.latest_known.max(revision);
        if self.applied < self.latest_known {
            return Action::Fetch {
                after: self.applied,
            };
        }
        Action::Ignore
    }

    /// Entries are applied without gaps: an entry that was lost on the way would otherwise never
    /// come into force here, while the revision number says that it has.
    fn entry(&mut self, revision: Revision) -> Action {
        if revision == self.applied + 1 {
            return self.apply(revision);
        }
        self.note_revision(revision)
    }

    /// A snapshot read before the latest entry arrived must not turn the process back.
    fn snapshot(&mut self, revision: Revision) -> Action {
        if revision > self.applied {
            return self.apply(revision);
        }
        Action::Ignore
    }

    fn apply(&mut self, revision: Revision) -> Action {
        self.applied = revision;
        self.latest_known = self.latest_known.max(revision);
        self.update_ready();
        Action::Apply(revision)
    }

    fn update_ready(&mut self) {
        self.ready |= self.goal.is_some_and(|goal| self.applied >= goal);
    }
}
