//! The agent's view of one attempt: held, asking, running, over.

/// Where the attempt stands at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Waits for a free slot at the runner.
    Queued,
    /// Has a slot and waits for the entry's grant.
    AwaitingGrant,
    /// The runner has, or may have, the work.
    Running,
    /// Over: refused, revoked, denied or answered.
    Ended,
}

/// What reaches the agent about the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A slot at the runner is free for it.
    SlotFree,
    /// The entry lets it start.
    Grant,
    /// The entry forbids it to start.
    Deny,
    /// The entry wants it back if it has not started.
    Revoke,
    /// The agent leaves and hands back what has not started.
    Leave,
    /// The link to the entry is gone.
    LinkLost,
    /// The runner has answered, failed or broken off.
    Finished,
}

/// What the agent must do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Ask the entry for a grant.
    Ask,
    /// Send the work to the runner.
    Start,
    /// Tell the entry that it did not start and never will.
    Refuse,
    /// Give the slot back without a word.
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
    /// An attempt that has just been offered and taken into the queue.
    #[must_use]
    pub fn new(needs_grant: bool) -> Self {
        Self {
            state: State::Queued,
            needs_grant,
        }
    }

    /// Where the attempt stands.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Takes in an event and says what to do.
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
