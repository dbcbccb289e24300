//! Search over the shipped reader: a teller that is cut off from the table or learns of it from another
//! one, words that are late, tables that are told as a whole.
#![allow(clippy::unwrap_used, missing_docs)]

mod search;

use protocol::RowRevision;
use protocol::reader::{PeerUpdate, Reader, UpdateAction};
use search::{System, fails, holds};
use std::time::Duration;

/// Ticks that are played, and changes of the table, at most.
const END: u64 = 9;
const CHANGES: RowRevision = 2;
/// Greatest age at which the teller is relied on, in ticks.
const MOST: u64 = 2;
/// Age of what a teller is told by another process, in ticks.
const AGE: u64 = 3;

fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A guard that is taken away around the shipped reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    /// Knowledge counts as current when the answer comes, not when the teller had read it.
    CurrentOnArrival,
    /// The teller's word is waited for, however old what is known gets.
    TrustForEver,
    /// A teller that lacks the history tells what it has as if it were all.
    HideGap,
    /// The word of a teller that is behind counts as current.
    BehindIsCurrent,
    /// A teller passes on what it was told as if it had read it at that moment.
    PassedOnIsCurrent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Change,
    TellerReads,
    TellerLearns,
    TellerStartsAnew,
    Cut,
    Ask,
    Answer,
    AnswerWhole,
    Deliver,
}

/// What the teller has read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Teller {
    /// Revision behind which it has all changes, and up to which.
    since: RowRevision,
    revision: RowRevision,
    /// When it read them, and when it says so.
    as_of: u64,
    read: u64,
    cut: bool,
}

/// A question on its way, and the answer to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Question {
    asked: u64,
    after: RowRevision,
    told: Option<PeerUpdate>,
    /// Revision behind which the answer has all changes, whatever it says.
    since: RowRevision,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    mutation: Mutation,
    now: u64,
    /// When the table reached each revision.
    changed: Vec<u64>,
    teller: Teller,
    reader: Reader,
    /// Changes that are in force at the reader.
    known: Vec<RowRevision>,
    question: Option<Question>,
    behind: bool,
}

impl World {
    fn new(mutation: Mutation) -> Self {
        let mut reader = Reader::new(ticks(MOST));
        reader.read(0, Duration::ZERO);
        Self {
            mutation,
            now: 0,
            changed: vec![0],
            teller: Teller {
                since: 0,
                revision: 0,
                as_of: 0,
                read: 0,
                cut: false,
            },
            reader,
            known: vec![0],
            question: None,
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
            Step::TellerReads => next.teller_reads(),
            Step::TellerLearns => next.teller_learns(),
            Step::TellerStartsAnew => next.teller_starts_anew(),
            Step::Cut => next.cut(),
            Step::Ask => next.ask(),
            Step::Answer => next.answer(),
            Step::AnswerWhole => next.answer_whole(),
            Step::Deliver => next.deliver(),
        };
        possible.then_some(next)
    }

    /// Time passes; a reader whose knowledge is too old by then reads the table, which it reaches.
    fn tick(&mut self) -> bool {
        if self.now == END {
            return false;
        }
        self.now += 1;
        let until = self.reader.trusts_peers_until();
        let trusts = until.is_some_and(|until| ticks(self.now) < until);
        if !trusts && self.mutation != Mutation::TrustForEver {
            self.read_all();
        }
        let unknown = (0..=self.head()).filter(|revision| !self.known.contains(revision));
        let oldest = unknown
            .map(|revision| self.changed[revision as usize])
            .min();
        self.behind = oldest.is_some_and(|changed| self.now - changed > MOST);
        true
    }

    fn read_all(&mut self) {
        self.reader.read(self.head(), ticks(self.now));
        self.known = (0..=self.head()).collect();
        self.question = None;
    }

    fn change(&mut self) -> bool {
        self.changed.push(self.now);
        self.head() <= CHANGES
    }

    fn teller_reads(&mut self) -> bool {
        let news = (self.teller.revision, self.teller.read) != (self.head(), self.now);
        self.teller.revision = self.head();
        (self.teller.as_of, self.teller.read) = (self.now, self.now);
        news && !self.teller.cut
    }

    /// Another process tells the teller what it read some ticks ago, also where the table turns that away.
    fn teller_learns(&mut self) -> bool {
        let Some(read) = self
            .now
            .checked_sub(AGE)
            .filter(|read| *read > self.teller.as_of)
        else {
            return false;
        };
        let known = self.changed.iter().filter(|changed| **changed <= read);
        self.teller.revision = known.count() as RowRevision - 1;
        self.teller.as_of = read;
        self.teller.read = match self.mutation {
            Mutation::PassedOnIsCurrent => self.now,
            _ => read,
        };
        true
    }

    /// A new process reads the table as a whole and has no history.
    fn teller_starts_anew(&mut self) -> bool {
        self.teller.since = self.head();
        let cut = self.teller.cut;
        self.teller_reads() && !cut
    }

    fn cut(&mut self) -> bool {
        let cut = std::mem::replace(&mut self.teller.cut, true);
        !cut
    }

    fn ask(&mut self) -> bool {
        let Some(after) = self.reader.after() else {
            return false;
        };
        let question = Question {
            asked: self.now,
            after,
            told: None,
            since: 0,
        };
        self.question.replace(question).is_none()
    }

    fn answer(&mut self) -> bool {
        let teller = &self.teller;
        let Some(question) = self.question.as_mut().filter(|asked| asked.told.is_none()) else {
            return false;
        };
        let hidden = self.mutation == Mutation::HideGap;
        let since = if hidden { 0 } else { teller.since };
        question.since = question.after.max(teller.since);
        question.told = Some(PeerUpdate {
            before: question.after.max(since),
            revision: teller.revision,
            current: ticks(teller.read),
        });
        true
    }

    /// The teller lacks what the other one asks for, and tells the whole table.
    fn answer_whole(&mut self) -> bool {
        let teller = &self.teller;
        let Some(question) = self.question.as_mut().filter(|asked| asked.told.is_none()) else {
            return false;
        };
        if question.after >= teller.since {
            return false;
        }
        question.since = 0;
        question.told = Some(PeerUpdate {
            before: 0,
            revision: teller.revision,
            current: ticks(teller.read),
        });
        true
    }

    fn deliver(&mut self) -> bool {
        let Some(question) = self.question.take() else {
            return false;
        };
        let Some(mut told) = question.told else {
            return false;
        };
        if self.mutation == Mutation::CurrentOnArrival {
            told.current = ticks(self.now);
        }
        if self.mutation == Mutation::BehindIsCurrent && told.revision < question.after {
            told = PeerUpdate {
                revision: question.after,
                current: ticks(self.now),
                ..told
            };
        }
        match self.reader.on_peer_update(told) {
            UpdateAction::Apply => {
                let told = question.since + 1..=told.revision;
                self.known.extend(told);
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
            Step::TellerReads,
            Step::TellerLearns,
            Step::TellerStartsAnew,
            Step::Cut,
            Step::Ask,
            Step::Answer,
            Step::AnswerWhole,
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

/// The teller loses the table, starts anew or answers late. A reader that reaches the table itself
/// misses no change for longer than the bound: it would send work to runners that have left.
#[test]
fn never_behind() {
    holds("reader", &World::new(Mutation::None));
}

/// Each guard is needed: without it, a reader misses a change for longer.
#[test]
fn guards_needed() {
    let mutations = [
        Mutation::CurrentOnArrival,
        Mutation::TrustForEver,
        Mutation::HideGap,
        Mutation::BehindIsCurrent,
        Mutation::PassedOnIsCurrent,
    ];
    for mutation in mutations {
        let name = format!("{mutation:?}");
        fails(
            &name,
            &World::new(mutation),
            "behind by more than the bound",
        );
    }
}
