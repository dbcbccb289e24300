//! Counterexamples that the model checks found, as plain tests of the shipped machines.
#![allow(clippy::unwrap_used, missing_docs)]

use protocol::call::{Action, Call, End, Event, State};
use protocol::claim::{self, Claim, Kept, Progress, Row, Verdict};
use protocol::gate::{self, Gate};

/// An agent starts a label print, dies and is started again. The entry asks for the answer, and
/// the new process says that it knows no such call. Were that taken for a refusal, the caller
/// would be told that nothing ran and would print the label a second time.
#[test]
fn restart_forgets() {
    let mut call = Call::offer(false, 0);
    let mut gate = Gate::hold(true);
    assert_eq!(gate.on(gate::Event::Slot), gate::Action::Ask);
    assert_eq!(call.on(Event::Ask), [Some(Action::Grant), None]);
    assert_eq!(gate.on(gate::Event::Grant), gate::Action::Start);

    call.on(Event::Forget);
    assert_eq!(call.state(), State::Ended(End::Unknown));
}

/// A first caller's payout was not run and its key is free again. A second caller's claim gets no
/// answer, the table goes down, and the caller is told that nothing ran. When the table is back,
/// the row still shows the first claim; were that taken for the end of it, the second claim's
/// write could take effect after all, and nobody could ever run the payout.
#[test]
fn late_insert() {
    let (mut claim, _) = Claim::open(2, 20, 0);
    let row = Row {
        token: 1,
        request: 10,
        digest: 0,
        progress: Progress::Released,
    };
    let kept = Kept { row, revision: 2 };
    let insert = claim.on(claim::Event::Found(Some(kept)));
    assert!(matches!(
        insert,
        claim::Action::Write { check: Some(2), .. }
    ));
    assert_eq!(claim.on(claim::Event::Unsure), claim::Action::Read);
    assert_eq!(
        claim.on(claim::Event::Unavailable),
        claim::Action::Tell(Verdict::Unavailable)
    );
    assert_eq!(claim.on(claim::Event::Retry), claim::Action::Read);
    let close = claim.on(claim::Event::Found(Some(kept)));
    assert!(
        matches!(close, claim::Action::Write { check: Some(2), row } if row.progress == Progress::Released)
    );
}
