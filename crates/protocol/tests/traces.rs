//! Counterexamples that the model checks found, as plain tests of the shipped machines.
#![allow(clippy::unwrap_used, missing_docs)]

use protocol::call::{Action, Call, Event, Outcome, State};
use protocol::claim::{self, Claim, Progress, Row, StoredRow, Verdict};
use protocol::fence::{self, Fence};
use protocol::follower::{self, Follower};
use protocol::gate::{self, Gate};
use protocol::lease::{self, Lease, Timing};
use protocol::member::{self, Members, News};
use std::time::Duration;

/// An agent starts a label print, dies and is started again. The entry asks for the answer, and
/// the new process says that it knows no such call. Were that taken for a refusal, the caller
/// would be told that nothing ran and would print the label a second time.
#[test]
fn restart_forgets() {
    let mut call = Call::offer(false, 0);
    let mut gate = Gate::new(true);
    assert_eq!(gate.on(gate::Event::SlotFree), gate::Action::Ask);
    assert_eq!(call.on(Event::Ask), [Some(Action::Grant), None]);
    assert_eq!(gate.on(gate::Event::Grant), gate::Action::Start);

    call.on(Event::Forgotten);
    assert_eq!(call.state(), State::Ended(Outcome::Unknown));
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
    let kept = StoredRow { row, revision: 2 };
    let insert = claim.on(claim::Event::Found(Some(kept)));
    assert!(matches!(
        insert,
        claim::Action::Write { check: Some(2), .. }
    ));
    assert_eq!(claim.on(claim::Event::Unsure), claim::Action::Read);
    assert_eq!(
        claim.on(claim::Event::Unavailable),
        claim::Action::Resolve(Verdict::Unavailable)
    );
    assert_eq!(claim.on(claim::Event::Retry), claim::Action::Read);
    let close = claim.on(claim::Event::Found(Some(kept)));
    assert!(
        matches!(close, claim::Action::Write { check: Some(2), row } if row.progress == Progress::Released)
    );
}

/// An agent is frozen with the offer while the entry gives up and tells the caller that nothing
/// ran. The agent wakes and asks; a grant now would print the label after all.
#[test]
fn frozen_offer() {
    let mut call = Call::offer(false, 0);
    let not_run = [Some(Action::Revoke), Some(Action::End(Outcome::NotRun))];
    assert_eq!(call.on(Event::GiveUp), not_run);
    let mut gate = Gate::new(true);
    assert_eq!(gate.on(gate::Event::SlotFree), gate::Action::Ask);
    assert_eq!(call.on(Event::Ask), [Some(Action::Deny), None]);
    assert_eq!(gate.on(gate::Event::Deny), gate::Action::Release);
    assert_eq!(gate.on(gate::Event::Grant), gate::Action::Ignore);
}

/// The link breaks while the permit is on its way. The agent may have got it, so the caller must
/// not be told that nothing ran.
#[test]
fn lost_permit() {
    let mut call = Call::offer(false, 0);
    let mut gate = Gate::new(true);
    gate.on(gate::Event::SlotFree);
    assert_eq!(call.on(Event::Ask), [Some(Action::Grant), None]);
    assert_eq!(
        call.on(Event::LinkLost),
        [Some(Action::End(Outcome::Unknown)), None]
    );
    assert_eq!(gate.on(gate::Event::Grant), gate::Action::Start);
}

/// An agent crashes after it has started the call, and by mistake the call is offered again. Its
/// second question must be denied, or the label is printed twice.
#[test]
fn offered_again() {
    let mut call = Call::offer(false, 0);
    assert_eq!(call.on(Event::Ask), [Some(Action::Grant), None]);
    assert_eq!(call.on(Event::Ask), [Some(Action::Deny), None]);
}

/// The insert of a second claim gets no answer, and the row shows the first claim. Were the lost
/// answer taken for success, or the first claim for free, the payout would be made twice.
#[test]
fn lost_insert() {
    let (mut claim, _) = Claim::open(2, 20, 0);
    assert_eq!(claim.on(claim::Event::Unsure), claim::Action::Read);
    let row = Row {
        token: 1,
        request: 10,
        digest: 0,
        progress: Progress::Claimed,
    };
    let found = claim::Event::Found(Some(StoredRow { row, revision: 1 }));
    let told = claim::Action::Resolve(Verdict::Running(10));
    assert_eq!(claim.on(found), told);
}

/// The table goes down right after the insert's answer was lost. The caller is told that nothing
/// ran, and the claim is cleaned up later; otherwise the key could never be used again.
#[test]
fn claim_left_behind() {
    let (mut claim, write) = Claim::open(1, 10, 0);
    let claim::Action::Write { row, .. } = write else {
        panic!("{write:?}");
    };
    claim.on(claim::Event::Unsure);
    let told = claim::Action::Resolve(Verdict::Unavailable);
    assert_eq!(claim.on(claim::Event::Unavailable), told);
    assert!(!claim.is_settled());
    assert_eq!(claim.on(claim::Event::Retry), claim::Action::Read);
    let found = claim::Event::Found(Some(StoredRow { row, revision: 4 }));
    let release = claim::Action::Write {
        check: Some(4),
        row: Row {
            progress: Progress::Released,
            ..row
        },
    };
    assert_eq!(claim.on(found), release);
}

/// A renewal's answer is lost for longer than the lease lasts. The holder counts from when it
/// sent the renewal, as the contender may have seen it then; counted from the reading back, two
/// processes would hold the lease at once.
#[test]
fn late_renewal() {
    let second = Duration::from_secs(1);
    let timing = Timing {
        duration: 10 * second,
        margin: 3 * second,
        period: second,
    };
    let mut lease = Lease::new(1, timing);
    lease.tick(Duration::ZERO);
    lease.on(lease::Event::Found(None), Duration::ZERO);
    let Some(lease::Action::Write { row, .. }) = lease.tick(Duration::ZERO) else {
        panic!("no write");
    };
    lease.on(lease::Event::Unsure, 5 * second);
    assert_eq!(lease.tick(5 * second), Some(lease::Action::Read));
    let kept = lease::StoredRow { row, revision: 1 };
    lease.on(lease::Event::Found(Some(kept)), 6 * second);
    assert_eq!(lease.may_act(6 * second), Some(1));
    assert_eq!(lease.may_act(7 * second), None);
}

/// A frozen holder wakes and sends its order to an agent that has just been restarted. The agent
/// does not know yet that there is a newer holder, so it must let nothing pass.
#[test]
fn restarted_fence() {
    let mut fence = Fence::new();
    assert_eq!(fence.admit(1), fence::Verdict::Unknown);
    fence.learn(2);
    assert_eq!(fence.admit(1), fence::Verdict::Refuse(2));
    assert_eq!(fence.admit(2), fence::Verdict::Pass);
}

/// A process starts afresh after a change was accepted, and an old push and a peer that lags
/// reach it first. It must not serve by what was replaced.
#[test]
fn stale_push() {
    let mut follower = Follower::new();
    follower.on(follower::Event::Push(1));
    follower.on(follower::Event::Entry(1));
    follower.on(follower::Event::Peers(1));
    assert!(!follower.is_ready());
    let fetch = follower::Action::Fetch { after: 1 };
    assert_eq!(follower.on(follower::Event::Head(2)), fetch);
    follower.on(follower::Event::Entry(2));
    assert!(follower.is_ready());
}

/// A target says that it leaves; the platform's list, an old word and a restart's word arrive.
/// Only the new life gets work again, and none while an operator drains the VM.
#[test]
fn stale_list() {
    let news = |incarnation, leaving| News {
        incarnation,
        leaving,
    };
    let mut members = Members::new();
    members.hear("vm", news(2, true));
    members.list([("vm", news(2, false))]);
    members.hear("vm", news(1, false));
    assert_eq!(members.state("vm"), member::State::Leaving);
    members.hear("vm", news(3, false));
    assert_eq!(members.state("vm"), member::State::Live);
    members.drain("vm", true);
    assert_eq!(members.state("vm"), member::State::Leaving);
}
