//! Counterexamples that the model checks found, as plain tests of the shipped machines.
#![allow(clippy::unwrap_used, missing_docs)]

use protocol::call::{Action, Call, End, Event, State};
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
