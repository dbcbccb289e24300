//! Following of the log of accepted configuration changes.

use crate::id::Revision;

/// Events that concern the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Head of the log as read from the table.
    Head(Revision),
    /// The table could not be read.
    Down,
    /// A process has accepted or applied this revision; the message may be late or lost.
    Push(Revision),
    /// Highest revision applied by the ready peers that responded. Not sent if none responded.
    Peers(Revision),
    /// One entry of the log, from the table or from a peer.
    Entry(Revision),
    /// All records as of this revision.
    Snapshot(Revision),
}

/// What the process must do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Put the entry or snapshot into force.
    Apply(Revision),
    /// Fetch the log's entries after this revision, from the table or, while it is down, from a
    /// peer.
    Fetch {
        /// Last revision that is in force in this process.
        after: Revision,
    },
    /// Ask the peers which revision they have applied.
    AskPeers,
    /// Nothing to do.
    Ignore,
}

/// One process's position in the log.
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
    /// Creates the follower of a newly started process, with nothing in force.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision in force in this process; zero before the first.
    #[must_use]
    pub fn applied(&self) -> Revision {
        self.applied
    }

    /// Highest known revision.
    #[must_use]
    pub fn latest_known(&self) -> Revision {
        self.latest_known
    }

    /// Whether the process may serve.
    ///
    /// A new process that served with the first configuration it received might revert to one that
    /// an operator has replaced. So it waits until it has applied the log's head or, while the
    /// table is down, the revision that its peers have applied.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Processes an event and returns the action to take.
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

    /// Neither a push nor, while the table is available, the peers make a process ready: both may
    /// name an outdated revision.
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

    /// Applies entries without gaps: an entry lost in transit would otherwise never come into force
    /// in this process, although its revision number implies that it has.
    fn entry(&mut self, revision: Revision) -> Action {
        if revision == self.applied + 1 {
            return self.apply(revision);
        }
        self.note_revision(revision)
    }

    /// Ignores a snapshot that was read before the latest entry arrived, which would revert
    /// changes.
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
