//! The entry's view of one attempt: what has been promised, what may be told to the caller.
//!
//! An attempt of a call that may not be repeated is offered first and runs only after the entry
//! has granted it. Before the grant the entry may say *not run* at any time, because an agent
//! that wakes up with the old offer will be denied. After the grant only the agent's own word
//! makes it *not run*; without that word the outcome is *unknown*.
//!
//! An attempt is offered once. Offered again after a grant, it could be refused in truth by a
//! restarted agent although the agent's earlier life had run it; and a grant goes out on the link
//! that the question came on, so that it never reaches a later life of the agent.

use crate::id::Sequence;

/// What has become of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The offer may have reached the agent; no grant was given.
    Offered,
    /// The agent may have started, or may start at any later time.
    Granted,
    /// Over; nothing that arrives later changes the end.
    Ended(Outcome),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No runner started it and none ever will.
    NotRun,
    /// Every chunk of the answer has arrived.
    Complete,
    /// The runner answered with an error.
    Failed,
    /// It may have run, may be running, or may yet run.
    Unknown,
}

/// What reaches the entry, or what the entry decides, about the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The agent has a free slot and asks for permission to start.
    Ask,
    /// The agent says that it did not start the attempt and never will.
    Refuse,
    /// The agent has no memory of the attempt and will not start it.
    Forgotten,
    /// The agent says that the runner has the work.
    Started,
    /// A chunk of the answer.
    Chunk {
        /// Position in the answer.
        sequence: Sequence,
        /// Bytes in the chunk.
        length: u32,
    },
    /// The end mark of the answer.
    Done {
        /// Chunks in the whole answer.
        chunks: Sequence,
        /// Bytes in all chunks of this attempt.
        length: u64,
    },
    /// The runner answered with an error.
    Fail,
    /// The agent lost the runner after it had started the attempt.
    RunnerLost,
    /// The link to the agent is gone.
    LinkLost,
    /// The entry no longer wants the attempt to start.
    GiveUp,
}

/// What the entry must do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Let the agent start.
    Grant,
    /// Tell the agent never to start.
    Deny,
    /// Ask the agent to drop the attempt if it has not started.
    Revoke,
    /// Take the chunk as the next part of the answer.
    Accept,
    /// Count the message as a duplicate or stray and drop it.
    Drop,
    /// The attempt is over.
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

/// At most two actions follow an event.
pub type Actions = [Option<Action>; 2];

impl Call {
    /// An attempt that has just been offered; its first chunk bears the number `first`.
    #[must_use]
    pub fn offer(repeatable: bool, first: Sequence) -> Self {
        Self {
            state: State::Offered,
            repeatable,
            next: first,
            bytes: 0,
        }
    }

    /// What has become of the attempt so far.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the call may run more than once, so that it needs no grant.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.repeatable
    }

    /// Number of the chunk that is due next.
    #[must_use]
    pub fn next(&self) -> Sequence {
        self.next
    }

    /// Takes in an event and says what to do.
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
            Event::Forgotten | Event::LinkLost => self.lost(),
            Event::GiveUp => self.give_up(),
        }
    }

    /// A delayed question must still be denied: an agent that was frozen with the offer would
    /// otherwise run work that the caller was told had not run.
    fn after_end(event: Event) -> Actions {
        match event {
            Event::Ask => [Some(Action::Deny), None],
            Event::LinkLost | Event::GiveUp => [None, None],
            _ => [Some(Action::Drop), None],
        }
    }

    /// Grants once only: a second question comes from a duplicated offer, and a second grant
    /// would run the call twice.
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

    /// An answer counts only with its declared number of chunks and bytes; a cut-short one is
    /// reported as unknown, never passed on as whole.
    fn done(&mut self, chunks: Sequence, length: u64) -> Actions {
        if chunks == self.next && length == self.bytes {
            return self.end(Outcome::Complete);
        }
        self.end(Outcome::Unknown)
    }

    /// A restarted agent remembers nothing, so its word that it does not know the attempt says
    /// nothing about whether it started it before. Only an attempt that needed a grant and got
    /// none has certainly not run.
    fn lost(&mut self) -> Actions {
        if self.state == State::Offered && !self.repeatable {
            return self.end(Outcome::NotRun);
        }
        self.end(Outcome::Unknown)
    }

    /// A call that runs without a grant may already run, so only the agent's refusal can still
    /// make it *not run*.
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
