//! Counterexamples that the model checks found, as tests of the state machines.
#![allow(clippy::unwrap_used, missing_docs)]

use protocol::call::{Action, Call, Event, Outcome, State};
use protocol::claim::{self, Claim, Decision, Progress, Row, StoredRow};
use protocol::fence::{self, Fence};
use protocol::follower::{self, Follower};
use protocol::gate::{self, Gate};
use protocol::lease::{self, Lease, Timing};
use protocol::member::{self, MemberUpdate, Members};
use std::time::Duration;

/// An agent starts a call, crashes and restarts. The entry asks for the response, and the new
/// process reports that it does not know the call. If the entry treated this as a refusal, the
/// client would get *not run* and would repeat the call.
#[test]
fn restarted_agent_does_not_know_call() {
    let mut call = Call::offer(false, 0);
    let mut gate = Gate::new(true);
    assert_eq!(gate.on(gate::Event::SlotFree), gate::Action::Ask);
    assert_eq!(call.on(Event::Ask), [Some(Action::Grant), None]);
    assert_eq!(gate.on(gate::Event::Grant), gate::Action::Start);

    call.on(Event::Forgotten);
    assert_eq!(call.state(), State::Ended(Outcome::Unknown));
}

/// A first request did not run and its key is free again. A second request's claim gets no
/// response, the table becomes unavailable, and the client gets *not run*. Once the table is
/// available again, the row still shows the first claim. If the second claim settled then, its write
/// could still take effect, and the call could never run.
#[test]
fn released_claim_written_late() {
    let (mut claim, _) = Claim::open(2, 20, 0);
    let row = Row {
        token: 1,
        request: 10,
        digest: 0,
        progress: Progress::Released,
    };
    let stored = StoredRow { row, revision: 2 };
    let insert = claim.on(claim::Event::Found(Some(stored)));
    assert!(matches!(
        insert,
        claim::Action::Write { check: Some(2), .. }
    ));
    assert_eq!(claim.on(claim::Event::Unsure), claim::Action::Read);
    assert_eq!(
        claim.on(claim::Event::Unavailable),
        claim::Action::Resolve(Decision::Unavailable)
    );
    assert_eq!(claim.on(claim::Event::Retry), claim::Action::Read);
    let close = claim.on(claim::Event::Found(Some(stored)));
    assert!(
        matches!(close, claim::Action::Write { check: Some(2), row } if row.progress == Progress::Released)
    );
}

/// An agent is suspended with the offer while the entry gives up and reports *not run*. The agent
/// resumes and requests a grant; if it got one, the call would run after all.
#[test]
fn suspended_agent_is_denied() {
    let mut call = Call::offer(false, 0);
    let not_run = [Some(Action::Revoke), Some(Action::End(Outcome::NotRun))];
    assert_eq!(call.on(Event::GiveUp), not_run);
    let mut gate = Gate::new(true);
    assert_eq!(gate.on(gate::Event::SlotFree), gate::Action::Ask);
    assert_eq!(call.on(Event::Ask), [Some(Action::Deny), None]);
    assert_eq!(gate.on(gate::Event::Deny), gate::Action::Release);
    assert_eq!(gate.on(gate::Event::Grant), gate::Action::Ignore);
}

/// The link is lost while the grant is in transit. The agent may have received it, so the entry must
/// not report *not run*.
#[test]
fn lost_grant() {
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

/// An agent crashes after it has started the call, and the call is offered again by mistake. The
/// second request for a grant must be denied, or the call runs twice.
#[test]
fn duplicate_offer_is_denied() {
    let mut call = Call::offer(false, 0);
    assert_eq!(call.on(Event::Ask), [Some(Action::Grant), None]);
    assert_eq!(call.on(Event::Ask), [Some(Action::Deny), None]);
}

/// The insert of a second claim gets no response, and the row shows the first claim. If the lost
/// response counted as success, or the first claim as released, the call would run twice.
#[test]
fn lost_claim_response() {
    let (mut claim, _) = Claim::open(2, 20, 0);
    assert_eq!(claim.on(claim::Event::Unsure), claim::Action::Read);
    let row = Row {
        token: 1,
        request: 10,
        digest: 0,
        progress: Progress::Claimed,
    };
    let found = claim::Event::Found(Some(StoredRow { row, revision: 1 }));
    let resolved = claim::Action::Resolve(Decision::Running(10));
    assert_eq!(claim.on(found), resolved);
}

/// The table becomes unavailable right after the insert's response was lost. The entry reports *not
/// run* and releases the claim later; otherwise the key could never be used again.
#[test]
fn unsure_claim_is_released() {
    let (mut claim, write) = Claim::open(1, 10, 0);
    let claim::Action::Write { row, .. } = write else {
        panic!("{write:?}");
    };
    claim.on(claim::Event::Unsure);
    let resolved = claim::Action::Resolve(Decision::Unavailable);
    assert_eq!(claim.on(claim::Event::Unavailable), resolved);
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

/// The response to a renewal is lost, and the row is read back only later. The holder counts from
/// when it sent the renewal, since the contender may have seen it then. If it counted from the read,
/// two processes would hold the lease at once.
#[test]
fn renewal_counts_from_sending() {
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
    let stored = lease::StoredRow { row, revision: 1 };
    lease.on(lease::Event::Found(Some(stored)), 6 * second);
    assert_eq!(lease.may_act(6 * second), Some(1));
    assert_eq!(lease.may_act(7 * second), None);
}

/// A suspended holder resumes and sends its order to an agent that has just restarted. The agent
/// does not know yet that there is a newer holder, so it must let no order pass.
#[test]
fn restarted_agent_rejects_old_order() {
    let mut fence = Fence::new();
    assert_eq!(fence.admit(1), fence::Decision::Unknown);
    fence.learn(2);
    assert_eq!(fence.admit(1), fence::Decision::Refuse(2));
    assert_eq!(fence.admit(2), fence::Decision::Pass);
}

/// A process restarts after a change was accepted, and first receives an outdated push and the
/// revision of a lagging peer. It must not serve the replaced configuration.
#[test]
fn outdated_push_does_not_make_ready() {
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

/// A target reports that it is leaving, then the platform's list, an outdated update and the update
/// of a restart arrive. Only the new incarnation gets work again, and none while an operator drains
/// the VM.
#[test]
fn outdated_list_keeps_vm_leaving() {
    let update = |incarnation, leaving| MemberUpdate {
        incarnation,
        leaving,
    };
    let mut members = Members::new();
    members.observe("vm", update(2, true));
    members.set_listed([("vm", update(2, false))]);
    members.observe("vm", update(1, false));
    assert_eq!(members.state("vm"), member::State::Leaving);
    members.observe("vm", update(3, false));
    assert_eq!(members.state("vm"), member::State::Live);
    members.set_drained("vm", true);
    assert_eq!(members.state("vm"), member::State::Leaving);
}
