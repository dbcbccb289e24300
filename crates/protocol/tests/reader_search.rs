//! Search over the reader with an upstream process that is cut off from the table or learns of its
//! changes from another process, with late updates, and with updates that contain the whole table.
#![allow(clippy::unwrap_used, missing_docs)]

mod search;

use protocol::RowRevision;
use protocol::reader::{PeerUpdate, Reader, UpdateAction};
use search::{System, holds, violates};
use std::time::Duration;

/// Maximum number of ticks, and of changes of the table.
const END: u64 = 9;
const MAX_CHANGES: RowRevision = 2;
/// Greatest age at which the reader relies on the upstream process, in ticks.
const MAX_AGE: u64 = 2;
/// Age of what the upstream process receives from another process, in ticks.
const RELAYED_AGE: u64 = 3;

fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A guard that is removed around the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    /// An update counts as current as of its arrival, not as of when the upstream process read the
    /// table.
    CurrentOnArrival,
    /// The reader waits for the upstream process however old its knowledge becomes.
    NeverExpire,
    /// An upstream process without the history sends what it has as if it were complete.
    HideGap,
    /// The update of an upstream process that is behind counts as current.
    BehindIsCurrent,
    /// The upstream process passes on what it received as if it had read it at that moment.
    RelayedIsCurrent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Change,
    UpstreamReads,
    UpstreamReceives,
    UpstreamRestarts,
    DisconnectUpstream,
    Ask,
    Answer,
    AnswerWithFullTable,
    Deliver,
}

/// State of the upstream process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Upstream {
    /// Revision after which, and revision up to which, it has all changes.
    since: RowRevision,
    revision: RowRevision,
    /// When its knowledge was actually current, and the time that it reports.
    as_of: u64,
    read: u64,
    disconnected: bool,
}

/// A request in transit, and its response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Request {
    requested: u64,
    after: RowRevision,
    response: Option<PeerUpdate>,
    /// Revision after which the response contains all changes, whatever it claims.
    since: RowRevision,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    mutation: Mutation,
    now: u64,
    /// When the table reached each revision.
    changed: Vec<u64>,
    upstream: Upstream,
    reader: Reader,
    /// Changes that the reader has applied.
    known: Vec<RowRevision>,
    request: Option<Request>,
    behind: bool,
}

impl World {
    fn new(mutation: Mutation) -> Self {
        let mut reader = Reader::new(ticks(MAX_AGE));
        reader.read(0, Duration::ZERO);
        Self {
            mutation,
            now: 0,
            changed: vec![0],
            upstream: Upstream {
                since: 0,
                revision: 0,
                as_of: 0,
                read: 0,
                disconnected: false,
            },
            reader,
            known: vec![0],
            request: None,
            behind: false,
        }
    }

    fn head(&self) -> RowRevision {
        self.changed.len() as RowRevision - 1
    }

    fn after(&self, step: Step) -> Option<Self> {
        let mut next = self.clone();
        let possible = match step {
            Step::Tick => next.tick(),
            Step::Change => next.change(),
            Step::UpstreamReads => next.upstream_reads(),
            Step::UpstreamReceives => next.upstream_receives(),
            Step::UpstreamRestarts => next.upstream_restarts(),
            Step::DisconnectUpstream => next.disconnect(),
            Step::Ask => next.ask(),
            Step::Answer => next.answer(),
            Step::AnswerWithFullTable => next.answer_with_full_table(),
            Step::Deliver => next.deliver(),
        };
        possible.then_some(next)
    }

    /// Advances the time; a reader whose knowledge is too old by then reads the table, which it can
    /// reach.
    fn tick(&mut self) -> bool {
        if self.now == END {
            return false;
        }
        self.now += 1;
        let until = self.reader.trusts_peers_until();
        let trusts = until.is_some_and(|until| ticks(self.now) < until);
        if !trusts && self.mutation != Mutation::NeverExpire {
            self.read_all();
        }
        let unknown = (0..=self.head()).filter(|revision| !self.known.contains(revision));
        let oldest = unknown
            .map(|revision| self.changed[revision as usize])
            .min();
        self.behind = oldest.is_some_and(|changed| self.now - changed > MAX_AGE);
        true
    }

    fn read_all(&mut self) {
        self.reader.read(self.head(), ticks(self.now));
        self.known = (0..=self.head()).collect();
        self.request = None;
    }

    fn change(&mut self) -> bool {
        self.changed.push(self.now);
        self.head() <= MAX_CHANGES
    }

    fn upstream_reads(&mut self) -> bool {
        let changed_now = (self.upstream.revision, self.upstream.read) != (self.head(), self.now);
        self.upstream.revision = self.head();
        (self.upstream.as_of, self.upstream.read) = (self.now, self.now);
        changed_now && !self.upstream.disconnected
    }

    /// Another process passes on to the upstream process what it read some ticks ago, even if the
    /// upstream process is cut off from the table.
    fn upstream_receives(&mut self) -> bool {
        let Some(read) = self
            .now
            .checked_sub(RELAYED_AGE)
            .filter(|read| *read > self.upstream.as_of)
        else {
            return false;
        };
        let known = self.changed.iter().filter(|changed| **changed <= read);
        self.upstream.revision = known.count() as RowRevision - 1;
        self.upstream.as_of = read;
        self.upstream.read = match self.mutation {
            Mutation::RelayedIsCurrent => self.now,
            _ => read,
        };
        true
    }

    /// A new process reads the whole table and has no history.
    fn upstream_restarts(&mut self) -> bool {
        self.upstream.since = self.head();
        let disconnected = self.upstream.disconnected;
        self.upstream_reads() && !disconnected
    }

    fn disconnect(&mut self) -> bool {
        let disconnected = std::mem::replace(&mut self.upstream.disconnected, true);
        !disconnected
    }

    fn ask(&mut self) -> bool {
        let Some(after) = self.reader.after() else {
            return false;
        };
        let request = Request {
            requested: self.now,
            after,
            response: None,
            since: 0,
        };
        self.request.replace(request).is_none()
    }

    fn answer(&mut self) -> bool {
        let upstream = &self.upstream;
        let Some(request) = self
            .request
            .as_mut()
            .filter(|pending| pending.response.is_none())
        else {
            return false;
        };
        let hidden = self.mutation == Mutation::HideGap;
        let since = if hidden { 0 } else { upstream.since };
        request.since = request.after.max(upstream.since);
        request.response = Some(PeerUpdate {
            before: request.after.max(since),
            revision: upstream.revision,
            current: ticks(upstream.read),
        });
        true
    }

    /// The upstream process lacks the requested history and sends the whole table.
    fn answer_with_full_table(&mut self) -> bool {
        let upstream = &self.upstream;
        let Some(request) = self
            .request
            .as_mut()
            .filter(|pending| pending.response.is_none())
        else {
            return false;
        };
        if request.after >= upstream.since {
            return false;
        }
        request.since = 0;
        request.response = Some(PeerUpdate {
            before: 0,
            revision: upstream.revision,
            current: ticks(upstream.read),
        });
        true
    }

    fn deliver(&mut self) -> bool {
        let Some(request) = self.request.take() else {
            return false;
        };
        let Some(mut response) = request.response else {
            return false;
        };
        if self.mutation == Mutation::CurrentOnArrival {
            response.current = ticks(self.now);
        }
        if self.mutation == Mutation::BehindIsCurrent && response.revision < request.after {
            response = PeerUpdate {
                revision: request.after,
                current: ticks(self.now),
                ..response
            };
        }
        match self.reader.on_peer_update(response) {
            UpdateAction::Apply => {
                let applied = request.since + 1..=response.revision;
                self.known.extend(applied);
                self.known.sort_unstable();
                self.known.dedup();
            }
            UpdateAction::Ignore => {}
            UpdateAction::Gap => self.read_all(),
        }
        true
    }
}

impl System for World {
    type Step = Step;

    fn steps(&self) -> Vec<(Step, Self)> {
        let all = [
            Step::Tick,
            Step::Change,
            Step::UpstreamReads,
            Step::UpstreamReceives,
            Step::UpstreamRestarts,
            Step::DisconnectUpstream,
            Step::Ask,
            Step::Answer,
            Step::AnswerWithFullTable,
            Step::Deliver,
        ];
        let steps = all.into_iter();
        steps
            .filter_map(|step| Some((step, self.after(step)?)))
            .collect()
    }

    fn violation(&self) -> Option<&'static str> {
        self.behind.then_some("behind by more than the bound")
    }
}

/// The upstream process is cut off from the table, restarts or responds late. A reader that can
/// reach the table itself misses no change for longer than the bound; otherwise it would send work
/// to runners that have left.
#[test]
fn never_outdated() {
    holds("reader", &World::new(Mutation::None));
}

/// Each guard is needed: without it, a reader misses a change for longer.
#[test]
fn each_guard_is_needed() {
    let mutations = [
        Mutation::CurrentOnArrival,
        Mutation::NeverExpire,
        Mutation::HideGap,
        Mutation::BehindIsCurrent,
        Mutation::RelayedIsCurrent,
    ];
    for mutation in mutations {
        let name = format!("{mutation:?}");
        violates(
            &name,
            &World::new(mutation),
            "behind by more than the bound",
        );
    }
}
