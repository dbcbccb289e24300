//! The agent's view of one attempt.

/// State of the attempt at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Waiting for a free slot at the runner.
    Queued,
    /// Has a slot and waits for the entry's grant.
    AwaitingGrant,
    /// The runner has the work, or may have it.
    Running,
    /// Refused, revoked, denied or finished.
    Ended,
}

/// Events that concern the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A slot at the runner is free for the attempt.
    SlotFree,
    /// The entry allows the attempt to start.
    Grant,
    /// The entry forbids the attempt to start.
    Deny,
    /// The entry revokes the attempt if it has not started.
    Revoke,
    /// The agent is leaving and returns attempts that have not started.
    Leave,
    /// The link to the entry is lost.
    LinkLost,
    /// The runner has responded, failed or broken off.
    Finished,
}

/// What the agent must do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Ask the entry for a grant.
    Ask,
    /// Send the work to the runner.
    Start,
    /// Report to the entry that the attempt did not start and never will.
    Refuse,
    /// Release the slot without a message to the entry.
    Release,
    /// Nothing to do.
    Ignore,
}

/// One attempt, as seen by the agent that was offered it.
///
/// # Examples
///
/// ```
/// use protocol::gate::{Action, Event, Gate};
///
/// let mut gate = Gate::new(true);
/// assert_eq!(gate.on(Event::SlotFree), Action::Ask);
/// assert_eq!(gate.on(Event::Revoke), Action::Refuse);
/// assert_eq!(gate.on(Event::Grant), Action::Ignore);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    state: State,
    needs_grant: bool,
}

impl Gate {
    /// Creates an attempt that has just been offered and queued.
    #[must_use]
    pub fn new(needs_grant: bool) -> Self {
        Self {
            state: State::Queued,
            needs_grant,
        }
    }

    /// State of the attempt.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Processes an event and returns the action to take.
    pub fn on(&mut self, event: Event) -> Action {
        match (self.state, event) {
            (State::Queued, Event::SlotFree) if self.needs_grant => {
                self.to(State::AwaitingGrant, Action::Ask)
            }
            (State::Queued, Event::SlotFree) | (State::AwaitingGrant, Event::Grant) => {
                self.to(State::Running, Action::Start)
            }
            (State::Queued | State::AwaitingGrant, Event::Revoke | Event::Leave) => {
                self.to(State::Ended, Action::Refuse)
            }
            (State::Queued | State::AwaitingGrant, Event::Deny | Event::LinkLost) => {
                self.to(State::Ended, Action::Release)
            }
            (State::Running, Event::Finished) => self.to(State::Ended, Action::Release),
            _ => Action::Ignore,
        }
    }

    fn to(&mut self, state: State, action: Action) -> Action {
        self.state = state;
        action
    }
}
