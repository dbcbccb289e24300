//! Search over the follower and the members with messages that are late, repeated and out of order.
#![allow(clippy::unwrap_used, missing_docs)]

mod search;

use protocol::follower::{self, Event, Follower};
use protocol::member::{MemberUpdate, Members, State};
use protocol::{Incarnation, Revision};
use search::{System, holds, violates};

/// Maximum number of revisions in the log, and of incarnations of the VM.
const MAX: u64 = 3;

/// A guard that is removed around the state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    PushIsHead,
    EntryIsSnapshot,
    PeersWhileUp,
    ServeUnready,
    ListClears,
    DrainUnseen,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Accept,
    Head(Revision),
    Push(Revision),
    Entry(Revision),
    Snapshot(Revision),
    Down,
    Peers,
    Restart,
}

/// A process that follows the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Process {
    follower: Follower,
    down: bool,
    by_peers: bool,
    /// Head of the log when the process started, and what a ready peer had applied then.
    floor: Revision,
    peer_floor: Revision,
    /// Last revision up to which all changes are in force.
    complete: Revision,
    reverted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Log {
    mutation: Mutation,
    head: Revision,
    processes: [Process; 2],
}

impl Log {
    fn new(mutation: Mutation) -> Self {
        Self {
            mutation,
            head: 1,
            processes: Default::default(),
        }
    }

    fn process_event(&mut self, i: usize, event: Event, down: bool) {
        let process = &mut self.processes[i];
        let (before, ready) = (process.follower.applied(), process.follower.is_ready());
        let action = process.follower.on(event);
        if let follower::Action::Apply(revision) = action {
            process.reverted |= revision < before;
            let complete = matches!(event, Event::Snapshot(_)) || revision == process.complete + 1;
            process.complete = if complete { revision } else { process.complete };
        }
        process.down = down;
        process.by_peers |= down && !ready && process.follower.is_ready();
    }

    fn apply(&mut self, i: usize, step: Step) {
        let down = self.processes[i].down;
        match step {
            Step::Accept => self.head += 1,
            Step::Head(revision) => self.process_event(i, Event::Head(revision), false),
            Step::Push(revision) if self.mutation == Mutation::PushIsHead => {
                self.process_event(i, Event::Head(revision), false);
            }
            Step::Push(revision) => self.process_event(i, Event::Push(revision), down),
            Step::Entry(revision) if self.mutation == Mutation::EntryIsSnapshot => {
                let complete = self.processes[i].complete;
                self.process_event(i, Event::Snapshot(revision), down);
                if self.processes[i].follower.applied() > complete + 1 {
                    self.processes[i].complete = complete;
                }
            }
            Step::Entry(revision) => self.process_event(i, Event::Entry(revision), down),
            Step::Snapshot(revision) => self.process_event(i, Event::Snapshot(revision), down),
            Step::Down => self.process_event(i, Event::Down, true),
            Step::Peers => self.ask_peers(i),
            Step::Restart => {
                let peer = &self.processes[1 - i].follower;
                let peer_floor = if peer.is_ready() { peer.applied() } else { 0 };
                self.processes[i] = Process {
                    floor: self.head,
                    peer_floor,
                    ..Process::default()
                };
            }
        }
    }

    fn ask_peers(&mut self, i: usize) {
        let applied = self.processes[1 - i].follower.applied();
        let down = self.processes[i].down;
        if self.mutation == Mutation::PeersWhileUp {
            self.process_event(i, Event::Down, down);
        }
        self.process_event(i, Event::Peers(applied), down);
    }

    fn own_steps(&self, i: usize) -> Vec<Step> {
        let process = &self.processes[i];
        let mut steps = vec![Step::Accept, Step::Down, Step::Restart];
        steps.extend(
            self.processes[1 - i]
                .follower
                .is_ready()
                .then_some(Step::Peers),
        );
        steps.extend((process.floor.max(1)..=self.head).map(Step::Head));
        steps.extend((1..=self.head).flat_map(|revision| {
            [
                Step::Push(revision),
                Step::Entry(revision),
                Step::Snapshot(revision),
            ]
        }));
        steps
    }
}

impl System for Log {
    type Step = (usize, Step);

    fn steps(&self) -> Vec<(Self::Step, Self)> {
        let own = (0..2).flat_map(|i| self.own_steps(i).into_iter().map(move |step| (i, step)));
        own.filter(|(_, step)| *step != Step::Accept || self.head < MAX)
            .map(|(i, step)| {
                let mut log = self.clone();
                log.apply(i, step);
                ((i, step), log)
            })
            .collect()
    }

    fn violation(&self) -> Option<&'static str> {
        let any = |wrong: fn(&Process) -> bool| self.processes.iter().any(wrong);
        let serves = |p: &Process| p.follower.is_ready() || self.mutation == Mutation::ServeUnready;
        let old = |p: &Process| !p.by_peers && p.follower.applied() < p.floor;
        let older = |p: &Process| p.follower.applied() < p.peer_floor;
        let fresh = |p: &Process| serves(p) && (old(p) || older(p));
        match self {
            _ if any(|p| p.reverted) => Some("reverted"),
            _ if any(|p| p.complete != p.follower.applied()) => Some("skipped a change"),
            _ if self.processes.iter().any(fresh) => Some("served a replaced configuration"),
            _ => None,
        }
    }
}

/// An update about the VM, from the VM itself, the list or an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Update {
    FromVm(Incarnation, bool),
    Listed(Incarnation, bool),
    Unlisted,
    Unresponsive(Incarnation),
    Drain(bool),
}

/// One entry's view of one VM. The updates are bounded only by the incarnations that they are
/// about.
#[derive(Clone, Debug)]
struct View {
    mutation: Mutation,
    members: Members,
    /// Highest known incarnation, and whether it was reported to be leaving.
    incarnation: Incarnation,
    leaving: bool,
    drained: bool,
}

impl View {
    fn new(mutation: Mutation) -> Self {
        Self {
            mutation,
            members: Members::new(),
            incarnation: 0,
            leaving: false,
            drained: false,
        }
    }

    /// The members contain a single VM, so their debug text identifies their state.
    fn key(&self) -> (String, Incarnation, bool, bool) {
        let members = format!("{:?}", self.members);
        (members, self.incarnation, self.leaving, self.drained)
    }

    fn record(&mut self, incarnation: Incarnation, leaving: bool) {
        if incarnation > self.incarnation {
            (self.incarnation, self.leaving) = (incarnation, leaving);
        } else if incarnation == self.incarnation {
            self.leaving |= leaving;
        }
    }

    fn apply(&mut self, update: Update) {
        let member_update = |incarnation, leaving| MemberUpdate {
            incarnation,
            leaving,
        };
        match update {
            Update::FromVm(incarnation, leaving) => {
                self.record(incarnation, leaving);
                self.members
                    .observe("vm", member_update(incarnation, leaving));
            }
            Update::Listed(incarnation, leaving) => {
                self.record(incarnation, leaving);
                if self.mutation == Mutation::ListClears {
                    self.members = Members::new();
                }
                self.members
                    .set_listed([("vm", member_update(incarnation, leaving))]);
            }
            Update::Unlisted => self.members.set_listed([]),
            Update::Unresponsive(incarnation) => self.members.mark_unresponsive("vm", incarnation),
            Update::Drain(drained) => {
                self.drained = drained;
                let seen = self.mutation != Mutation::DrainUnseen;
                self.members.set_drained("vm", drained && seen);
            }
        }
    }
}

impl PartialEq for View {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for View {}

impl std::hash::Hash for View {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

impl System for View {
    type Step = Update;

    fn steps(&self) -> Vec<(Update, Self)> {
        let updates = (1..=MAX).flat_map(|incarnation| {
            let from_vm = [true, false].map(|leaving| Update::FromVm(incarnation, leaving));
            let listed = [true, false].map(|leaving| Update::Listed(incarnation, leaving));
            from_vm
                .into_iter()
                .chain(listed)
                .chain([Update::Unresponsive(incarnation)])
        });
        updates
            .chain([Update::Unlisted, Update::Drain(true), Update::Drain(false)])
            .map(|update| {
                let mut view = self.clone();
                view.apply(update);
                (update, view)
            })
            .collect()
    }

    fn violation(&self) -> Option<&'static str> {
        let live = self.members.state("vm") == State::Live;
        match self {
            _ if live && self.leaving => Some("new work for a leaving VM"),
            _ if live && self.drained => Some("new work for a drained VM"),
            _ if live && self.members.incarnation("vm") != Some(self.incarnation) => {
                Some("outdated incarnation")
            }
            _ => None,
        }
    }
}

/// Processes restart while the table is intermittently unavailable and messages arrive in any order.
/// No process reverts, skips a change, or serves a configuration that was replaced before its start.
#[test]
fn follower_never_reverts() {
    holds("follower", &Log::new(Mutation::None));
}

/// Each guard of the follower is needed: without it, a request is served by a replaced record.
#[test]
fn follower_guards_needed() {
    [
        (Mutation::PushIsHead, "served a replaced configuration"),
        (Mutation::PeersWhileUp, "served a replaced configuration"),
        (Mutation::ServeUnready, "served a replaced configuration"),
        (Mutation::EntryIsSnapshot, "skipped a change"),
    ]
    .into_iter()
    .for_each(|(mutation, what)| violates(&format!("{mutation:?}"), &Log::new(mutation), what));
}

/// The list still shows a VM as live after the VM has reported that it is leaving, and old updates
/// arrive again. The VM gets no new work.
#[test]
fn leaving_vm_gets_no_work() {
    holds("members", &View::new(Mutation::None));
}

/// Each guard of the members is needed: without it, a VM that is leaving gets new work.
#[test]
fn member_guards_needed() {
    [
        (Mutation::ListClears, "new work for a leaving VM"),
        (Mutation::DrainUnseen, "new work for a drained VM"),
    ]
    .into_iter()
    .for_each(|(mutation, what)| violates(&format!("{mutation:?}"), &View::new(mutation), what));
}
