//! The entry's view of one attempt: what has been granted, and what may be reported to the client.
//!
//! An attempt at a call that may not be repeated is offered first and runs only after the entry has
//! granted it. Before the grant, the entry may report *not run* at any time, because an agent that
//! resumes with the old offer is denied. After the grant, only a message of the agent can make the
//! outcome *not run*; without one, the outcome is *unknown*.
//!
//! An attempt is offered only once. If it were offered again after a grant, a restarted agent could
//! truthfully refuse it although an earlier incarnation of the agent had run it. A grant is sent on
//! the link on which the agent asked for it, so that it never reaches a later incarnation.

use crate::id::Sequence;

/// State of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The offer may have reached the agent; no grant has been sent.
    Offered,
    /// The agent may have started, or may still start.
    Granted,
    /// The attempt has ended; later messages do not change the outcome.
    Ended(Outcome),
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No runner has started the attempt and none ever will.
    NotRun,
    /// Every chunk of the response has arrived.
    Complete,
    /// The runner responded with an error.
    Failed,
    /// The attempt may have run, may be running, or may still run.
    Unknown,
}

/// Messages and decisions that concern the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The agent has a free slot and requests a grant.
    Ask,
    /// The agent reports that it did not start the attempt and never will.
    Refuse,
    /// The agent does not know the attempt and will not start it.
    Forgotten,
    /// The agent reports that the runner has received the work.
    Started,
    /// A chunk of the response.
    Chunk {
        /// Position in the response.
        sequence: Sequence,
        /// Bytes in the chunk.
        length: u32,
    },
    /// The end marker of the response.
    Done {
        /// Number of chunks in the complete response.
        chunks: Sequence,
        /// Number of bytes in all chunks of this attempt.
        length: u64,
    },
    /// The runner responded with an error.
    Fail,
    /// The agent lost the runner after it had started the attempt.
    RunnerLost,
    /// The link to the agent is lost.
    LinkLost,
    /// The entry no longer wants the attempt to start.
    GiveUp,
}

/// What the entry must do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Allow the agent to start.
    Grant,
    /// Forbid the agent to start, for good.
    Deny,
    /// Ask the agent to drop the attempt if it has not started.
    Revoke,
    /// Append the chunk to the response.
    Accept,
    /// Count the message as a duplicate or stray, and drop it.
    Drop,
    /// The attempt has ended.
    End(Outcome),
}

/// One attempt, as seen by the entry that offered it.
///
/// # Examples
///
/// ```
/// use protocol::call::{Action, Call, Outcome, Event};
///
/// let mut call = Call::offer(false, 0);
/// assert_eq!(call.on(Event::GiveUp), [Some(Action::Revoke), Some(Action::End(Outcome::NotRun))]);
/// assert_eq!(call.on(Event::Ask), [Some(Action::Deny), None]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Call {
    state: State,
    repeatable: bool,
    next: Sequence,
    bytes: u64,
}

/// Actions after an event; at most two.
pub type Actions = [Option<Action>; 2];

impl Call {
    /// Creates an attempt that has just been offered; its first chunk has the number `first`.
    #[must_use]
    pub fn offer(repeatable: bool, first: Sequence) -> Self {
        Self {
            state: State::Offered,
            repeatable,
            next: first,
            bytes: 0,
        }
    }

    /// State of the attempt.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the call may run more than once, and therefore needs no grant.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.repeatable
    }

    /// Number of the next expected chunk.
    #[must_use]
    pub fn next(&self) -> Sequence {
        self.next
    }

    /// Processes an event and returns the actions to take.
    pub fn on(&mut self, event: Event) -> Actions {
        if let State::Ended(_) = self.state {
            return Self::after_end(event);
        }
        match event {
            Event::Ask => self.ask(),
            Event::Refuse => self.end(Outcome::NotRun),
            Event::Started => self.started(),
            Event::Chunk { sequence, length } => self.chunk(sequence, length),
            Event::Done { chunks, length } => self.done(chunks, length),
            Event::Fail => self.end(Outcome::Failed),
            Event::RunnerLost => self.end(Outcome::Unknown),
            Event::Forgotten | Event::LinkLost => self.link_lost(),
            Event::GiveUp => self.give_up(),
        }
    }

    /// A delayed request for a grant must still be denied: an agent that was suspended with the
    /// offer would otherwise run work that was reported to the client as not run.
    fn after_end(event: Event) -> Actions {
        match event {
            Event::Ask => [Some(Action::Deny), None],
            Event::LinkLost | Event::GiveUp => [None, None],
            _ => [Some(Action::Drop), None],
        }
    }

    /// Grants only once: a second request for a grant comes from a duplicated offer, and a second
    /// grant would run the call twice.
    fn ask(&mut self) -> Actions {
        if self.state == State::Offered {
            self.state = State::Granted;
            return [Some(Action::Grant), None];
        }
        [Some(Action::Deny), None]
    }

    fn started(&mut self) -> Actions {
        self.state = State::Granted;
        [None, None]
    }

    fn chunk(&mut self, sequence: Sequence, length: u32) -> Actions {
        if sequence != self.next {
            return [Some(Action::Drop), None];
        }
        self.state = State::Granted;
        self.next += 1;
        self.bytes += u64::from(length);
        [Some(Action::Accept), None]
    }

    /// A response is complete only with the declared number of chunks and bytes. A truncated one is
    /// reported as unknown and never passed on as complete.
    fn done(&mut self, chunks: Sequence, length: u64) -> Actions {
        if chunks == self.next && length == self.bytes {
            return self.end(Outcome::Complete);
        }
        self.end(Outcome::Unknown)
    }

    /// A restarted agent remembers nothing, so its report that it does not know the attempt does
    /// not show whether it started the attempt before. Only an attempt that needed a grant and
    /// never got one has certainly not run.
    fn link_lost(&mut self) -> Actions {
        if self.state == State::Offered && !self.repeatable {
            return self.end(Outcome::NotRun);
        }
        self.end(Outcome::Unknown)
    }

    /// A call that needs no grant may already be running, so only a refusal by the agent can still
    /// make its outcome *not run*.
    fn give_up(&mut self) -> Actions {
        if self.state != State::Offered {
            return [None, None];
        }
        if self.repeatable {
            return [Some(Action::Revoke), None];
        }
        let [end, _] = self.end(Outcome::NotRun);
        [Some(Action::Revoke), end]
    }

    fn end(&mut self, end: Outcome) -> Actions {
        self.state = State::Ended(end);
        [Some(Action::End(end)), None]
    }
}
