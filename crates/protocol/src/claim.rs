//! At most once across entries, for a call with an idempotency key.
//!
//! Before the call is offered to any agent, the entry writes a claim row under the caller's key,
//! if there is none. The row bears the writer's unique token, so that a write whose answer was
//! lost is settled by reading the row back. Every write names the row's revision that it expects,
//! so that one which takes effect late finds the row changed and does nothing.
//!
//! Where the claimant dies, its row stays claimed: nobody can know whether the call ran, so the
//! outcome is *unknown* and no entry runs it again.

use crate::id::{self, RequestId, RowRevision, Token};
use serde::{Deserialize, Serialize};

/// What the row says about the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// An entry has the right to run the call and may have run it.
    Claimed,
    /// The answer is kept under the row's request.
    Answered,
    /// The call did not run; the next caller may run it.
    Released,
}

/// Content of a claim row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// The claim that wrote the row.
    #[serde(with = "id::hex")]
    pub token: Token,
    /// Request that has, or had, the claim; its answer is kept under this identity.
    #[serde(with = "id::hex")]
    pub request: RequestId,
    /// Hash of the call's content, so that a key used for another call is noticed.
    pub digest: u64,
    /// What has become of the call.
    pub progress: Progress,
}

/// A row together with the transaction that last wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoredRow {
    /// Content.
    pub row: Row,
    /// Transaction that last wrote it.
    pub revision: RowRevision,
}

/// What the entry tells the caller, or does, once the claim is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The call is this entry's to run.
    Granted,
    /// Another request has the claim: *unknown*; the caller asks for that request.
    Running(RequestId),
    /// The call has been answered: hand out the answer kept under that request.
    Answered(RequestId),
    /// The key was used for a call with other content; nothing was run.
    Mismatch,
    /// The table could not be written: *not run*. The claim may still have to be cleaned up: until
    /// [`Claim::is_settled`], feed [`Event::Retry`] and carry out what follows.
    Unavailable,
}

/// What reaches the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The write took effect as this transaction.
    Written(RowRevision),
    /// The write did nothing, since the row is as given; or the row as it was read.
    Found(Option<StoredRow>),
    /// The table refused the write or read before it did anything.
    Unavailable,
    /// No answer came; the write may have taken effect or may yet.
    Unsure,
    /// The call did not run and never will.
    NotRun,
    /// The call's answer has been kept under its request.
    Answered,
    /// Time to try again what could not be done.
    Retry,
}

/// What the entry must do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the row if its revision is still this one; `None`: if there is no row.
    Write {
        /// Expected revision.
        check: Option<RowRevision>,
        /// New content.
        row: Row,
    },
    /// Read the row.
    Read,
    /// Tell the caller, or start the call.
    Resolve(Verdict),
    /// Feed [`Event::Retry`] after a while.
    RetryLater,
    /// Nothing to do.
    Ignore,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The caller waits for the verdict.
    Claiming,
    /// The call is this entry's.
    Granted,
    /// The row is being brought to this progress; the caller does not wait for it.
    Closing(Progress),
    /// Nothing is left to do.
    Settled,
}

/// One request's claim on its idempotency key.
///
/// # Examples
///
/// ```
/// use protocol::claim::{Action, Claim, Event, Verdict};
///
/// let (mut claim, write) = Claim::open(1, 7, 0);
/// assert!(matches!(write, Action::Write { check: None, .. }));
/// assert_eq!(claim.on(Event::Unsure), Action::Read);
/// let Action::Write { row, .. } = write else { unreachable!() };
/// let found = protocol::claim::StoredRow { row, revision: 12 };
/// assert_eq!(claim.on(Event::Found(Some(found))), Action::Resolve(Verdict::Granted));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    row: Row,
    state: State,
    check: Option<RowRevision>,
    unsure: bool,
}

impl Claim {
    /// A claim that has never been used before, with its first write; `token` is drawn at random.
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

    /// Whether nothing is left to do for the claim.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.state == State::Settled
    }

    /// Takes in an event and says what to do.
    pub fn on(&mut self, event: Event) -> Action {
        match (self.state, event) {
            (State::Claiming, event) => self.claiming(event),
            (State::Granted, Event::NotRun) => self.close(Progress::Released),
            (State::Granted, Event::Answered) => self.close(Progress::Answered),
            (State::Closing(progress), event) => self.closing(progress, event),
            _ => Action::Ignore,
        }
    }

    fn claiming(&mut self, event: Event) -> Action {
        match event {
            Event::Written(revision) => self.granted(revision),
            Event::Found(kept) => self.found(kept),
            Event::Unsure => self.read(),
            Event::Unavailable => self.refuse(),
            Event::NotRun | Event::Answered | Event::Retry => Action::Ignore,
        }
    }

    /// An absent row leaves the first write's fate open: it may yet take effect, so the same row
    /// is written again, and whichever write comes second does nothing.
    fn found(&mut self, kept: Option<StoredRow>) -> Action {
        let Some(kept) = kept else {
            self.check = None;
            return self.write(Progress::Claimed);
        };
        if kept.row.token == self.row.token {
            return self.granted(kept.revision);
        }
        let told = match kept.row.progress {
            Progress::Released => {
                self.check = Some(kept.revision);
                return self.write(Progress::Claimed);
            }
            _ if kept.row.digest != self.row.digest => Verdict::Mismatch,
            Progress::Claimed => Verdict::Running(kept.row.request),
            Progress::Answered => Verdict::Answered(kept.row.request),
        };
        self.state = State::Settled;
        Action::Resolve(told)
    }

    fn granted(&mut self, revision: RowRevision) -> Action {
        self.check = Some(revision);
        self.unsure = false;
        self.state = State::Granted;
        Action::Resolve(Verdict::Granted)
    }

    /// The table is down. A write whose answer was lost may have left, or may yet leave, a claim
    /// that nobody runs; without the clean-up every retry of the caller would be told *unknown*
    /// for ever.
    fn refuse(&mut self) -> Action {
        self.state = if self.unsure {
            State::Closing(Progress::Released)
        } else {
            State::Settled
        };
        Action::Resolve(Verdict::Unavailable)
    }

    fn close(&mut self, progress: Progress) -> Action {
        self.state = State::Closing(progress);
        self.write(progress)
    }

    fn closing(&mut self, progress: Progress, event: Event) -> Action {
        match event {
            Event::Written(_) => self.settle(),
            Event::Found(kept) => self.found_closing(progress, kept),
            Event::Unsure => self.read(),
            Event::Unavailable => Action::RetryLater,
            Event::Retry => Action::Read,
            Event::NotRun | Event::Answered => Action::Ignore,
        }
    }

    /// Another claim's row is left alone once it has moved on from the revision that this claim's
    /// open writes expect. Before that, such a write may yet take effect and leave a claim that
    /// nobody runs, so the row is written over at that very revision.
    fn found_closing(&mut self, progress: Progress, kept: Option<StoredRow>) -> Action {
        let revision = kept.map(|kept| kept.revision);
        match kept.map(|kept| kept.row) {
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
