//! At-most-once execution across entries for a call with an idempotency key.
//!
//! Before the entry offers the call to an agent, it inserts a claim row under the client's key. The
//! row carries the writer's unique token, so that a write whose response was lost is resolved by
//! reading the row back. Every write names the revision of the row that it expects, so that a write
//! that takes effect late finds the row changed and does nothing.
//!
//! If the claimant fails, its row stays claimed: nobody can know whether the call ran, so the
//! outcome is *unknown* and no entry runs the call again.

use crate::id::{self, RequestId, RowRevision, Token};
use serde::{Deserialize, Serialize};

/// State of the call as recorded in the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// An entry has the right to run the call and may have run it.
    Claimed,
    /// The response is stored under the row's request.
    Answered,
    /// The call did not run; the next client may run it.
    Released,
}

/// Content of a claim row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Token of the claim that wrote the row.
    #[serde(with = "id::hex")]
    pub token: Token,
    /// Request that holds or held the claim; its response is stored under this identity.
    #[serde(with = "id::hex")]
    pub request: RequestId,
    /// Hash of the call's content, which reveals a key that is reused for a different call.
    pub digest: u64,
    /// State of the call.
    pub progress: Progress,
}

/// A row together with the transaction that last wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoredRow {
    /// Content of the row.
    pub row: Row,
    /// Transaction that last wrote the row.
    pub revision: RowRevision,
}

/// Result of the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// This entry may run the call.
    Granted,
    /// Another request holds the claim: the outcome is *unknown*, and the client asks for that
    /// request.
    Running(RequestId),
    /// The call has been answered: return the response stored under that request.
    Answered(RequestId),
    /// The key was used for a call with other content; nothing was run.
    Mismatch,
    /// The table could not be written: *not run*. The claim may still need cleaning up: until
    /// [`Claim::is_settled`], pass [`Event::Retry`] and carry out the resulting actions.
    Unavailable,
}

/// Events that concern the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The write took effect as this transaction.
    Written(RowRevision),
    /// The write did nothing because the row is as given, or the row as it was read.
    Found(Option<StoredRow>),
    /// The table rejected the write or read before doing anything.
    Unavailable,
    /// No response arrived; the write may have taken effect, or may still do so.
    Unsure,
    /// The call did not run and never will.
    NotRun,
    /// The call's response has been stored under its request.
    Answered,
    /// It is time to retry what has failed.
    Retry,
}

/// What the entry must do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the row if its revision still equals `check`, or insert it if `check` is `None`.
    Write {
        /// Expected revision.
        check: Option<RowRevision>,
        /// New content.
        row: Row,
    },
    /// Read the row.
    Read,
    /// Report the verdict to the client, or start the call.
    Resolve(Decision),
    /// Pass [`Event::Retry`] after a delay.
    RetryLater,
    /// Nothing to do.
    Ignore,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The client waits for the verdict.
    Claiming,
    /// This entry may run the call.
    Granted,
    /// The row is being updated to this progress; the client does not wait for it.
    Closing(Progress),
    /// Nothing remains to be done.
    Settled,
}

/// One request's claim on its idempotency key.
///
/// # Examples
///
/// ```
/// use protocol::claim::{Action, Claim, Event, Decision};
///
/// let (mut claim, write) = Claim::open(1, 7, 0);
/// assert!(matches!(write, Action::Write { check: None, .. }));
/// assert_eq!(claim.on(Event::Unsure), Action::Read);
/// let Action::Write { row, .. } = write else { unreachable!() };
/// let found = protocol::claim::StoredRow { row, revision: 12 };
/// assert_eq!(claim.on(Event::Found(Some(found))), Action::Resolve(Decision::Granted));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    row: Row,
    state: State,
    check: Option<RowRevision>,
    unsure: bool,
}

impl Claim {
    /// Creates a new claim and its first write; the caller draws `token` at random.
    #[must_use]
    pub fn open(token: Token, request: RequestId, digest: u64) -> (Self, Action) {
        let row = Row {
            token,
            request,
            digest,
            progress: Progress::Claimed,
        };
        let claim = Self {
            row,
            state: State::Claiming,
            check: None,
            unsure: false,
        };
        let write = claim.write(Progress::Claimed);
        (claim, write)
    }

    /// Whether nothing remains to be done for the claim.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.state == State::Settled
    }

    /// Processes an event and returns the action to take.
    pub fn on(&mut self, event: Event) -> Action {
        match (self.state, event) {
            (State::Claiming, event) => self.on_claiming(event),
            (State::Granted, Event::NotRun) => self.close(Progress::Released),
            (State::Granted, Event::Answered) => self.close(Progress::Answered),
            (State::Closing(progress), event) => self.on_closing(progress, event),
            _ => Action::Ignore,
        }
    }

    fn on_claiming(&mut self, event: Event) -> Action {
        match event {
            Event::Written(revision) => self.granted(revision),
            Event::Found(stored) => self.found(stored),
            Event::Unsure => self.read(),
            Event::Unavailable => self.on_unavailable(),
            Event::NotRun | Event::Answered | Event::Retry => Action::Ignore,
        }
    }

    /// If there is no row, the first write may still take effect. The same row is therefore written
    /// again, and whichever write arrives second does nothing.
    fn found(&mut self, stored: Option<StoredRow>) -> Action {
        let Some(stored) = stored else {
            self.check = None;
            return self.write(Progress::Claimed);
        };
        if stored.row.token == self.row.token {
            return self.granted(stored.revision);
        }
        let decision = match stored.row.progress {
            Progress::Released => {
                self.check = Some(stored.revision);
                return self.write(Progress::Claimed);
            }
            _ if stored.row.digest != self.row.digest => Decision::Mismatch,
            Progress::Claimed => Decision::Running(stored.row.request),
            Progress::Answered => Decision::Answered(stored.row.request),
        };
        self.state = State::Settled;
        Action::Resolve(decision)
    }

    fn granted(&mut self, revision: RowRevision) -> Action {
        self.check = Some(revision);
        self.unsure = false;
        self.state = State::Granted;
        Action::Resolve(Decision::Granted)
    }

    /// The table is unavailable. A write whose response was lost may have left, or may still leave,
    /// a claim whose call nobody runs. Without a clean-up, every retry of the client would be
    /// answered with *unknown* forever.
    fn on_unavailable(&mut self) -> Action {
        self.state = if self.unsure {
            State::Closing(Progress::Released)
        } else {
            State::Settled
        };
        Action::Resolve(Decision::Unavailable)
    }

    fn close(&mut self, progress: Progress) -> Action {
        self.state = State::Closing(progress);
        self.write(progress)
    }

    fn on_closing(&mut self, progress: Progress, event: Event) -> Action {
        match event {
            Event::Written(_) => self.settle(),
            Event::Found(stored) => self.found_closing(progress, stored),
            Event::Unsure => self.read(),
            Event::Unavailable => Action::RetryLater,
            Event::Retry => Action::Read,
            Event::NotRun | Event::Answered => Action::Ignore,
        }
    }

    /// Leaves another claim's row alone once the row has moved on from the revision that this
    /// claim's pending writes expect. Until then, such a write may still take effect and leave a
    /// claim whose call nobody runs, so the row is overwritten at exactly that revision.
    fn found_closing(&mut self, progress: Progress, stored: Option<StoredRow>) -> Action {
        let revision = stored.map(|stored| stored.revision);
        match stored.map(|stored| stored.row) {
            Some(row) if row.token == self.row.token && row.progress == progress => self.settle(),
            Some(row) if row.token != self.row.token && revision != self.check => self.settle(),
            _ => {
                self.check = revision;
                self.write(progress)
            }
        }
    }

    fn read(&mut self) -> Action {
        self.unsure = true;
        Action::Read
    }

    fn settle(&mut self) -> Action {
        self.state = State::Settled;
        Action::Ignore
    }

    fn write(&self, progress: Progress) -> Action {
        Action::Write {
            check: self.check,
            row: Row {
                progress,
                ..self.row
            },
        }
    }
}
