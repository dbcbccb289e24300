//! One stage of a request over all its attempts: first try, retries and hedges.
//!
//! Whichever attempt brings the first whole answer is committed, and nothing that comes later
//! changes that. A streamed answer has one owner at a time; a retry goes on at the first chunk
//! that the caller lacks.

use crate::call::{self, Call, Outcome, State};
use crate::id::{Attempt, Sequence};

/// What sort of answer the stage gives and whether it may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Mode {
    /// The stage may run more than once for one request.
    pub repeatable: bool,
    /// Chunks go to the caller as they come.
    pub stream: bool,
}

/// What the entry must do for the attempt that the event came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Let the agent start.
    Grant,
    /// Tell the agent never to start.
    Deny,
    /// Ask the agent to drop the attempt if it has not started.
    Revoke,
    /// Take the chunk: to the caller for a stream, else to this attempt's buffer.
    Accept,
    /// Count the message as a duplicate, stray or late answer and drop it.
    Drop,
    /// Cancel every other attempt in [`Stage::live`]: this one has won.
    CancelOthers,
    /// The attempt is over without being the stage's answer; see [`Stage::outcome`].
    Ended(Outcome),
    /// This attempt's answer is the stage's answer.
    Commit,
}

/// At most two actions follow an event.
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
    /// A stage without attempts.
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
    /// A stage that may not be repeated gets another attempt only after every earlier one has
    /// ended as *not run*; anything else could run it twice.
    #[must_use]
    pub fn may_start(&self) -> bool {
        let open = self.committed.is_none() && !self.given_up;
        open && (self.mode.repeatable || self.all_not_run())
    }

    /// Starts another attempt: its number and the first chunk that it should send, or `None` if
    /// no attempt may be started.
    pub fn start(&mut self) -> Option<(Attempt, Sequence)> {
        if !self.may_start() {
            return None;
        }
        let attempt = Attempt::try_from(self.calls.len()).ok()?;
        self.calls
            .push(Call::offer(self.mode.repeatable, self.next));
        Some((attempt, self.next))
    }

    /// Takes in what happened to one attempt and says what to do for it.
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
            [Some(call::Action::End(end)), _] => self.over(attempt, end),
            actions => self.pass(attempt, actions),
        }
    }

    /// The caller no longer wants the stage: no attempt starts from now on, and every attempt
    /// in [`Stage::live`] is to be told [`call::Event::GiveUp`].
    pub fn give_up(&mut self) {
        self.given_up = true;
    }

    /// How the stage ended, or `None` while an attempt is live or none was started.
    ///
    /// It is *not run* only if every attempt is; an attempt that may still run makes the whole
    /// stage *unknown*, even beside one that failed.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        if self.committed.is_some() {
            return Some(Outcome::Complete);
        }
        if self.calls.is_empty() {
            return self.given_up.then_some(Outcome::NotRun);
        }
        self.outcomes()
            .try_fold(Outcome::NotRun, |worst, end| Some(worse(worst, end?)))
    }

    /// Attempts that have not ended.
    pub fn live(&self) -> impl Iterator<Item = Attempt> + '_ {
        (0..)
            .zip(self.outcomes())
            .filter_map(|(attempt, end)| end.is_none().then_some(attempt))
    }

    /// One attempt's own state.
    #[must_use]
    pub fn call(&self, attempt: Attempt) -> Option<&Call> {
        self.calls.get(usize::from(attempt))
    }

    /// The attempt whose answer is the stage's answer.
    #[must_use]
    pub fn committed(&self) -> Option<Attempt> {
        self.committed
    }

    /// First chunk of a stream that the caller lacks.
    #[must_use]
    pub fn next(&self) -> Sequence {
        self.next
    }

    /// Messages dropped as duplicates, strays or late answers.
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

    /// An attempt that still asks for a grant must be denied, or its work would run after the
    /// answer was handed out.
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
        let losers = match self.owner.replace(attempt) {
            None => self.losers(attempt),
            Some(_) => None,
        };
        self.next += 1;
        [Some(Action::Accept), losers]
    }

    /// Chunks of two attempts must not be mixed: the caller would get an answer that no runner
    /// gave.
    fn may_own(&self, attempt: Attempt) -> bool {
        self.owner.is_none_or(|owner| owner == attempt)
    }

    fn over(&mut self, attempt: Attempt, end: Outcome) -> Actions {
        if end == Outcome::Complete && self.has_all_of(attempt) {
            self.committed = Some(attempt);
            return [Some(Action::Commit), self.losers(attempt)];
        }
        if self.owner == Some(attempt) {
            self.owner = None;
        }
        if end == Outcome::Complete {
            self.dropped += 1;
        }
        [Some(Action::Ended(end)), None]
    }

    /// A stream counts as whole only if the caller has every chunk of it; an attempt whose chunks
    /// were dropped because another one owned the stream does not make it whole.
    fn has_all_of(&self, attempt: Attempt) -> bool {
        let due = self.call(attempt).map(Call::next);
        !self.mode.stream || (self.may_own(attempt) && due == Some(self.next))
    }

    fn losers(&self, winner: Attempt) -> Option<Action> {
        self.live()
            .any(|attempt| attempt != winner)
            .then_some(Action::CancelOthers)
    }

    fn pass(&mut self, attempt: Attempt, actions: call::Actions) -> Actions {
        let [first, second] = actions;
        match first {
            Some(call::Action::Grant) => [Some(Action::Grant), None],
            Some(call::Action::Deny) => [Some(Action::Deny), None],
            Some(call::Action::Revoke) => [Some(Action::Revoke), self.revoked(attempt, second)],
            _ => [None, None],
        }
    }

    fn revoked(&mut self, attempt: Attempt, then: Option<call::Action>) -> Option<Action> {
        match then {
            Some(call::Action::End(end)) => self.over(attempt, end)[0],
            _ => None,
        }
    }

    fn drop_message(&mut self) -> Actions {
        self.dropped += 1;
        [Some(Action::Drop), None]
    }
}

/// An attempt that was whole but not committed did run, though its answer is lost to the caller.
fn worse(one: Outcome, other: Outcome) -> Outcome {
    match (one, other) {
        (Outcome::Unknown | Outcome::Complete, _) | (_, Outcome::Unknown | Outcome::Complete) => {
            Outcome::Unknown
        }
        (Outcome::Failed, _) | (_, Outcome::Failed) => Outcome::Failed,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}
