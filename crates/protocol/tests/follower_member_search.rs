//! Search over the shipped follower and members: news that is late, repeated and out of order.
#![allow(clippy::unwrap_used, missing_docs)]

mod search;

use protocol::follower::{self, Event, Follower};
use protocol::member::{MemberUpdate, Members, State};
use protocol::{Incarnation, Revision};
use search::{System, fails, holds};

/// Revisions in the log and lives of the VM, at most.
const LAST: u64 = 3;

/// A guard that is taken away around the shipped machines.
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
    /// Head, and what a ready peer had, when the process started.
    floor: Revision,
    peer_floor: Revision,
    /// Last revision whose changes are all in force.
    whole: Revision,
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

    fn feed(&mut self, i: usize, event: Event, down: bool) {
        let process = &mut self.processes[i];
        let (before, ready) = (process.follower.applied(), process.follower.is_ready());
        let action = process.follower.on(event);
        if let follower::Action::Apply(revision) = action {
            process.reverted |= revision < before;
            let whole = matches!(event, Event::Snapshot(_)) || revision == process.whole + 1;
            process.whole = if whole { revision } else { process.whole };
        }
        process.down = down;
        process.by_peers |= down && !ready && process.follower.is_ready();
    }

    fn take(&mut self, i: usize, step: Step) {
        let down = self.processes[i].down;
        match step {
            Step::Accept => self.head += 1,
            Step::Head(revision) => self.feed(i, Event::Head(revision), false),
            Step::Push(revision) if self.mutation == Mutation::PushIsHead => {
                self.feed(i, Event::Head(revision), false);
            }
            Step::Push(revision) => self.feed(i, Event::Push(revision), down),
            Step::Entry(revision) if self.mutation == Mutation::EntryIsSnapshot => {
                let whole = self.processes[i].whole;
                self.feed(i, Event::Snapshot(revision), down);
                if self.processes[i].follower.applied() > whole + 1 {
                    self.processes[i].whole = whole;
                }
            }
            Step::Entry(revision) => self.feed(i, Event::Entry(revision), down),
            Step::Snapshot(revision) => self.feed(i, Event::Snapshot(revision), down),
            Step::Down => self.feed(i, Event::Down, true),
            Step::Peers => self.peers(i),
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

    fn peers(&mut self, i: usize) {
        let applied = self.processes[1 - i].follower.applied();
        let down = self.processes[i].down;
        if self.mutation == Mutation::PeersWhileUp {
            self.feed(i, Event::Down, down);
        }
        self.feed(i, Event::Peers(applied), down);
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
        own.filter(|(_, step)| *step != Step::Accept || self.head < LAST)
            .map(|(i, step)| {
                let mut log = self.clone();
                log.take(i, step);
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
            _ if any(|p| p.whole != p.follower.applied()) => Some("skipped"),
            _ if self.processes.iter().any(fresh) => Some("served what was replaced"),
            _ => None,
        }
    }
}

/// A word about the VM, from the VM itself or from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Word {
    Heard(Incarnation, bool),
    Listed(Incarnation, bool),
    Unlisted,
    Silent(Incarnation),
    Drain(bool),
}

/// What one entry knows of one VM. Nothing bounds the words but the lives they are about.
#[derive(Clone, Debug)]
struct View {
    mutation: Mutation,
    members: Members,
    /// Highest life heard of, and whether it was heard to leave.
    life: Incarnation,
    leaving: bool,
    drained: bool,
}

impl View {
    fn new(mutation: Mutation) -> Self {
        Self {
            mutation,
            members: Members::new(),
            life: 0,
            leaving: false,
            drained: false,
        }
    }

    /// The members hold one VM, so that their text says all there is to know of them.
    fn key(&self) -> (String, Incarnation, bool, bool) {
        let members = format!("{:?}", self.members);
        (members, self.life, self.leaving, self.drained)
    }

    fn note(&mut self, life: Incarnation, leaving: bool) {
        if life > self.life {
            (self.life, self.leaving) = (life, leaving);
        } else if life == self.life {
            self.leaving |= leaving;
        }
    }

    fn take(&mut self, word: Word) {
        let news = |incarnation, leaving| MemberUpdate {
            incarnation,
            leaving,
        };
        match word {
            Word::Heard(life, leaving) => {
                self.note(life, leaving);
                self.members.observe("vm", news(life, leaving));
            }
            Word::Listed(life, leaving) => {
                self.note(life, leaving);
                if self.mutation == Mutation::ListClears {
                    self.members = Members::new();
                }
                self.members.set_listed([("vm", news(life, leaving))]);
            }
            Word::Unlisted => self.members.set_listed([]),
            Word::Silent(life) => self.members.mark_unresponsive("vm", life),
            Word::Drain(drained) => {
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
    type Step = Word;

    fn steps(&self) -> Vec<(Word, Self)> {
        let words = (1..=LAST).flat_map(|life| {
            let heard = [true, false].map(|leaving| Word::Heard(life, leaving));
            let listed = [true, false].map(|leaving| Word::Listed(life, leaving));
            heard.into_iter().chain(listed).chain([Word::Silent(life)])
        });
        words
            .chain([Word::Unlisted, Word::Drain(true), Word::Drain(false)])
            .map(|word| {
                let mut view = self.clone();
                view.take(word);
                (word, view)
            })
            .collect()
    }

    fn violation(&self) -> Option<&'static str> {
        let live = self.members.state("vm") == State::Live;
        match self {
            _ if live && self.leaving => Some("new work for a VM that leaves"),
            _ if live && self.drained => Some("new work for a drained VM"),
            _ if live && self.members.incarnation("vm") != Some(self.life) => Some("older life"),
            _ => None,
        }
    }
}

/// Processes start afresh while the table comes and goes and news arrives in any order. None
/// goes back, skips a change, or serves what was replaced before it started.
#[test]
fn following() {
    holds("follower", &Log::new(Mutation::None));
}

/// Each guard of the follower is needed: without it a request is served by a replaced record.
#[test]
fn following_guards() {
    [
        (Mutation::PushIsHead, "served what was replaced"),
        (Mutation::PeersWhileUp, "served what was replaced"),
        (Mutation::ServeUnready, "served what was replaced"),
        (Mutation::EntryIsSnapshot, "skipped"),
    ]
    .into_iter()
    .for_each(|(mutation, what)| fails(&format!("{mutation:?}"), &Log::new(mutation), what));
}

/// The list still shows a VM as live after it has said that it leaves, and old words arrive again.
/// It gets no new work.
#[test]
fn leaving() {
    holds("members", &View::new(Mutation::None));
}

/// Each guard of the members is needed: without it a VM that leaves gets new work.
#[test]
fn leaving_guards() {
    [
        (Mutation::ListClears, "new work for a VM that leaves"),
        (Mutation::DrainUnseen, "new work for a drained VM"),
    ]
    .into_iter()
    .for_each(|(mutation, what)| fails(&format!("{mutation:?}"), &View::new(mutation), what));
}
