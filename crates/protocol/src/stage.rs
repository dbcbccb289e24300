//! One stage of a request across all its attempts: first try, retries and hedges.
//!
//! The first attempt that brings a complete response is committed, and nothing that arrives later
//! changes that. A streamed response has one owner at a time; a retry continues at the first chunk
//! that the client lacks.

use crate::call::{self, Call, Outcome, State};
use crate::id::{Attempt, Sequence};

/// How a stage responds and whether it may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Mode {
    /// The stage may run more than once for one request.
    pub repeatable: bool,
    /// Chunks are passed to the client as they arrive.
    pub stream: bool,
}

/// What the entry must do for the attempt that the event came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Allow the agent to start.
    Grant,
    /// Forbid the agent to start, for good.
    Deny,
    /// Ask the agent to drop the attempt if it has not started.
    Revoke,
    /// Accept the chunk: pass it to the client if streaming, else append it to the attempt's
    /// buffer.
    Accept,
    /// Count the message as a duplicate, stray or late response, and drop it.
    Drop,
    /// Cancel every other attempt in [`Stage::live`], since this one has won.
    CancelOthers,
    /// The attempt has ended without providing the stage's response; see [`Stage::outcome`].
    Ended(Outcome),
    /// Commit this attempt's response as the stage's response.
    Commit,
}

/// Actions after an event; at most two.
pub type Actions = [Option<Action>; 2];

/// One stage of one request.
///
/// # Examples
///
/// ```
/// use protocol::call::{Outcome, Event};
/// use protocol::stage::{Action, Mode, Stage};
///
/// let mut stage = Stage::new(Mode { repeatable: true, stream: false });
/// let (first, _) = stage.start().unwrap();
/// let (hedge, _) = stage.start().unwrap();
/// let done = Event::Done { chunks: 0, length: 0 };
/// assert_eq!(stage.on(hedge, done), [Some(Action::Commit), Some(Action::CancelOthers)]);
/// assert_eq!(stage.on(first, done), [Some(Action::Drop), None]);
/// assert_eq!(stage.outcome(), Some(Outcome::Complete));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stage {
    mode: Mode,
    calls: Vec<Call>,
    owner: Option<Attempt>,
    next: Sequence,
    committed: Option<Attempt>,
    given_up: bool,
    dropped: u32,
}

impl Stage {
    /// Creates a stage without attempts.
    #[must_use]
    pub fn new(mode: Mode) -> Self {
        Self {
            mode,
            calls: Vec::new(),
            owner: None,
            next: 0,
            committed: None,
            given_up: false,
            dropped: 0,
        }
    }

    /// Whether another attempt may be started now.
    ///
    /// A stage that may not be repeated gets another attempt only after every earlier one has ended
    /// as *not run*; otherwise it could run twice.
    #[must_use]
    pub fn may_start(&self) -> bool {
        let open = self.committed.is_none() && !self.given_up;
        open && (self.mode.repeatable || self.all_not_run())
    }

    /// Starts another attempt and returns its number and the first chunk that it must send, or
    /// `None` if no attempt may be started.
    pub fn start(&mut self) -> Option<(Attempt, Sequence)> {
        if !self.may_start() {
            return None;
        }
        let attempt = Attempt::try_from(self.calls.len()).ok()?;
        self.calls
            .push(Call::offer(self.mode.repeatable, self.next));
        Some((attempt, self.next))
    }

    /// Processes an event of one attempt and returns the actions to take.
    pub fn on(&mut self, attempt: Attempt, event: call::Event) -> Actions {
        if self.committed.is_some() {
            return self.after_commit(event);
        }
        let Some(call) = self.calls.get_mut(usize::from(attempt)) else {
            return self.drop_message();
        };
        match call.on(event) {
            [Some(call::Action::Accept), _] => self.accept(attempt, event),
            [Some(call::Action::Drop), _] => self.drop_message(),
            [Some(call::Action::End(end)), _] => self.attempt_ended(attempt, end),
            actions => self.forward(attempt, actions),
        }
    }

    /// Records that the client no longer wants the stage. No attempt starts from now on, and every
    /// attempt in [`Stage::live`] must be given [`call::Event::GiveUp`].
    pub fn give_up(&mut self) {
        self.given_up = true;
    }

    /// Outcome of the stage, or `None` while an attempt is live or none has been started.
    ///
    /// The outcome is *not run* only if that is the outcome of every attempt. An attempt that may
    /// still run makes the whole stage *unknown*, even if another one failed.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        if self.committed.is_some() {
            return Some(Outcome::Complete);
        }
        if self.calls.is_empty() {
            return self.given_up.then_some(Outcome::NotRun);
        }
        self.outcomes()
            .try_fold(Outcome::NotRun, |worst, end| Some(combine(worst, end?)))
    }

    /// Attempts that have not ended.
    pub fn live(&self) -> impl Iterator<Item = Attempt> + '_ {
        (0..)
            .zip(self.outcomes())
            .filter_map(|(attempt, end)| end.is_none().then_some(attempt))
    }

    /// The state machine of one attempt.
    #[must_use]
    pub fn call(&self, attempt: Attempt) -> Option<&Call> {
        self.calls.get(usize::from(attempt))
    }

    /// The attempt whose response was committed.
    #[must_use]
    pub fn committed(&self) -> Option<Attempt> {
        self.committed
    }

    /// First chunk of a stream that the client lacks.
    #[must_use]
    pub fn next(&self) -> Sequence {
        self.next
    }

    /// Number of messages dropped as duplicates, strays or late responses.
    #[must_use]
    pub fn dropped(&self) -> u32 {
        self.dropped
    }

    fn outcomes(&self) -> impl Iterator<Item = Option<Outcome>> + '_ {
        self.calls.iter().map(|call| match call.state() {
            State::Ended(end) => Some(end),
            _ => None,
        })
    }

    fn all_not_run(&self) -> bool {
        self.outcomes().all(|end| end == Some(Outcome::NotRun))
    }

    /// An attempt that still requests a grant must be denied, or its work would run after the
    /// response was delivered.
    fn after_commit(&mut self, event: call::Event) -> Actions {
        match event {
            call::Event::Ask => [Some(Action::Deny), None],
            call::Event::LinkLost | call::Event::GiveUp => [None, None],
            _ => self.drop_message(),
        }
    }

    fn accept(&mut self, attempt: Attempt, event: call::Event) -> Actions {
        let call::Event::Chunk { sequence, .. } = event else {
            return [None, None];
        };
        if !self.mode.stream {
            return [Some(Action::Accept), None];
        }
        if sequence != self.next || !self.may_own(attempt) {
            return self.drop_message();
        }
        let cancel_others = match self.owner.replace(attempt) {
            None => self.cancel_others(attempt),
            Some(_) => None,
        };
        self.next += 1;
        [Some(Action::Accept), cancel_others]
    }

    /// Chunks of two attempts must not be mixed: the client would get a response that no runner
    /// gave.
    fn may_own(&self, attempt: Attempt) -> bool {
        self.owner.is_none_or(|owner| owner == attempt)
    }

    fn attempt_ended(&mut self, attempt: Attempt, end: Outcome) -> Actions {
        if end == Outcome::Complete && self.is_complete(attempt) {
            self.committed = Some(attempt);
            return [Some(Action::Commit), self.cancel_others(attempt)];
        }
        if self.owner == Some(attempt) {
            self.owner = None;
        }
        if end == Outcome::Complete {
            self.dropped += 1;
        }
        [Some(Action::Ended(end)), None]
    }

    /// A stream is complete only if the client has every chunk of it. An attempt whose chunks were
    /// dropped because another attempt owned the stream does not make it complete.
    fn is_complete(&self, attempt: Attempt) -> bool {
        let due = self.call(attempt).map(Call::next);
        !self.mode.stream || (self.may_own(attempt) && due == Some(self.next))
    }

    fn cancel_others(&self, winner: Attempt) -> Option<Action> {
        self.live()
            .any(|attempt| attempt != winner)
            .then_some(Action::CancelOthers)
    }

    fn forward(&mut self, attempt: Attempt, actions: call::Actions) -> Actions {
        let [first, second] = actions;
        match first {
            Some(call::Action::Grant) => [Some(Action::Grant), None],
            Some(call::Action::Deny) => [Some(Action::Deny), None],
            Some(call::Action::Revoke) => {
                [Some(Action::Revoke), self.after_revoke(attempt, second)]
            }
            _ => [None, None],
        }
    }

    fn after_revoke(&mut self, attempt: Attempt, then: Option<call::Action>) -> Option<Action> {
        match then {
            Some(call::Action::End(end)) => self.attempt_ended(attempt, end)[0],
            _ => None,
        }
    }

    fn drop_message(&mut self) -> Actions {
        self.dropped += 1;
        [Some(Action::Drop), None]
    }
}

/// Combines two outcomes. An attempt that was complete but not committed did run, although its
/// response is lost to the client.
fn combine(one: Outcome, other: Outcome) -> Outcome {
    match (one, other) {
        (Outcome::Unknown | Outcome::Complete, _) | (_, Outcome::Unknown | Outcome::Complete) => {
            Outcome::Unknown
        }
        (Outcome::Failed, _) | (_, Outcome::Failed) => Outcome::Failed,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}
