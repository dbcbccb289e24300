//! The shipped machines beside naive twins that keep everything they were ever told and decide by
//! going through all of it again. Seeds are fixed, so that the verdict is the same every run.
#![allow(clippy::unwrap_used, missing_docs)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use protocol::call::{self, End};
use protocol::claim::{self, Claim, Kept, Verdict};
use protocol::follower::{self, Follower};
use protocol::member::{Members, News, State};
use protocol::stage::{Action, Mode, Stage};
use protocol::{Attempt, Incarnation, Revision, Sequence};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(20_260_705),
        ..ProptestConfig::default()
    }
}

/// What happens to a stage: an attempt starts, or one hears of something.
#[derive(Clone, Copy, Debug)]
enum Happening {
    Start,
    Event(Attempt, call::Event),
    GiveUp,
}

fn happening() -> impl Strategy<Value = Happening> {
    let chunk = (0..4_u32).prop_map(|sequence| call::Event::Chunk {
        sequence,
        length: 1,
    });
    let done =
        (0..4_u32, 0..4_u64).prop_map(|(chunks, length)| call::Event::Done { chunks, length });
    let event = prop_oneof![
        8 => chunk,
        3 => done,
        2 => Just(call::Event::Ask),
        1 => Just(call::Event::Refuse),
        1 => Just(call::Event::Forget),
        1 => Just(call::Event::Fail),
        1 => Just(call::Event::Break),
        1 => Just(call::Event::Lost),
        1 => Just(call::Event::GiveUp),
    ];
    prop_oneof![
        2 => Just(Happening::Start),
        12 => (0..3_u16, event).prop_map(|(attempt, event)| Happening::Event(attempt, event)),
        1 => Just(Happening::GiveUp),
    ]
}

/// One attempt as the twin works it out from all events.
#[derive(Clone, Debug)]
struct Try {
    first: Sequence,
    chunks: Vec<u32>,
    granted: bool,
    end: Option<End>,
}

/// What a caller and an operator can see of a stage.
#[derive(Clone, Debug, Default, PartialEq)]
struct Sight {
    end: Option<End>,
    committed: Option<Attempt>,
    may_start: bool,
    /// Chunks in the order in which they were taken.
    taken: Vec<(Attempt, Sequence)>,
    grants: usize,
}

fn hear(one: &mut Try, repeatable: bool, event: call::Event) -> bool {
    let next = one.first + u32::try_from(one.chunks.len()).unwrap();
    let bytes: u64 = one.chunks.iter().map(|length| u64::from(*length)).sum();
    let safe = !one.granted && !repeatable;
    let lost = if safe { End::NotRun } else { End::Unknown };
    one.end = match event {
        call::Event::Ask => {
            one.granted = true;
            None
        }
        call::Event::Chunk { sequence, length } if sequence == next => {
            one.granted = true;
            one.chunks.push(length);
            return true;
        }
        call::Event::Chunk { .. } => None,
        call::Event::Done { chunks, length } if (chunks, length) == (next, bytes) => {
            Some(End::Whole)
        }
        call::Event::Done { .. } | call::Event::Break => Some(End::Unknown),
        call::Event::Refuse => Some(End::NotRun),
        call::Event::Fail => Some(End::Failed),
        call::Event::Forget | call::Event::Lost => Some(lost),
        call::Event::GiveUp => safe.then_some(End::NotRun),
    };
    false
}

/// Goes through the whole history of a stage.
fn sight(mode: Mode, history: &[Happening]) -> Sight {
    let mut tries: Vec<Try> = Vec::new();
    let mut seen = Sight::default();
    let mut given_up = false;
    let mut owner = None;
    for happening in history {
        let due = u32::try_from(seen.taken.len()).unwrap();
        let due = if mode.stream { due } else { 0 };
        match *happening {
            Happening::GiveUp => given_up = true,
            Happening::Start if may_start(mode, &tries, &seen, given_up) => tries.push(Try {
                first: due,
                chunks: Vec::new(),
                granted: false,
                end: None,
            }),
            Happening::Event(attempt, event) if seen.committed.is_none() => {
                let Some(one) = tries.get_mut(usize::from(attempt)) else {
                    continue;
                };
                if one.end.is_some() {
                    continue;
                }
                let granted = one.granted;
                let taken = hear(one, mode.repeatable, event);
                let asked = event == call::Event::Ask && !granted;
                seen.grants += usize::from(asked);
                let mine = owner.is_none_or(|owner| owner == attempt);
                let call::Event::Chunk { sequence, .. } = event else {
                    let has = one.first + u32::try_from(one.chunks.len()).unwrap();
                    let all = !mode.stream || (mine && has == due);
                    match one.end {
                        Some(End::Whole) if all => seen.committed = Some(attempt),
                        Some(_) if owner == Some(attempt) => owner = None,
                        _ => {}
                    }
                    continue;
                };
                if taken && (!mode.stream || (mine && sequence == due)) {
                    owner = Some(attempt);
                    seen.taken.push((attempt, sequence));
                }
            }
            Happening::Start | Happening::Event(..) => {}
        }
    }
    seen.end = end(&tries, &seen, given_up);
    seen.may_start = may_start(mode, &tries, &seen, given_up);
    seen
}

fn may_start(mode: Mode, tries: &[Try], seen: &Sight, given_up: bool) -> bool {
    let unrun = tries.iter().all(|one| one.end == Some(End::NotRun));
    seen.committed.is_none() && !given_up && (mode.repeatable || unrun)
}

fn end(tries: &[Try], seen: &Sight, given_up: bool) -> Option<End> {
    let any = |end| tries.iter().any(|one| one.end == end);
    match () {
        () if seen.committed.is_some() => Some(End::Whole),
        () if tries.is_empty() && !given_up => None,
        () if any(None) => None,
        () if any(Some(End::Unknown)) || any(Some(End::Whole)) => Some(End::Unknown),
        () if any(Some(End::Failed)) => Some(End::Failed),
        () => Some(End::NotRun),
    }
}

/// What happens to requests that share one key; the number picks the request.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Table(usize),
    Down(usize),
    Lost(usize),
    Lands(usize),
    Runs(usize),
    Unrun(usize),
}

fn fate() -> impl Strategy<Value = Fate> {
    let which = 0..3_usize;
    prop_oneof![
        4 => which.clone().prop_map(Fate::Table),
        1 => which.clone().prop_map(Fate::Down),
        2 => which.clone().prop_map(Fate::Lost),
        1 => which.clone().prop_map(Fate::Lands),
        2 => which.clone().prop_map(Fate::Runs),
        1 => which.prop_map(Fate::Unrun),
    ]
}

struct Request {
    claim: Claim,
    todo: Option<claim::Action>,
    open: Vec<claim::Action>,
    verdict: Option<Verdict>,
    ran: Option<bool>,
}

/// The key's row, and the requests that want it.
struct Key {
    row: Option<Kept>,
    requests: Vec<Request>,
}

impl Key {
    fn new(requests: u128) -> Self {
        let mut key = Self {
            row: None,
            requests: Vec::new(),
        };
        (0..requests).for_each(|_| key.open());
        key
    }

    fn open(&mut self) {
        let number = self.requests.len() as u128;
        let (claim, action) = Claim::open(number, number, 0);
        self.requests.push(Request {
            claim,
            todo: Some(action),
            open: Vec::new(),
            verdict: None,
            ran: None,
        });
    }

    fn table(&mut self, action: claim::Action) -> claim::Event {
        let current = self.row.map(|kept| kept.revision);
        match action {
            claim::Action::Later => claim::Event::Retry,
            claim::Action::Write { check, row } if check == current => {
                let revision = current.unwrap_or(0) + 1;
                self.row = Some(Kept { row, revision });
                claim::Event::Written(revision)
            }
            _ => claim::Event::Found(self.row),
        }
    }

    fn feed(&mut self, i: usize, event: claim::Event) {
        let request = &mut self.requests[i];
        request.todo = match request.claim.on(event) {
            claim::Action::Tell(verdict) => {
                request.verdict = Some(verdict);
                (!request.claim.is_settled() && verdict == Verdict::Unavailable)
                    .then_some(claim::Action::Later)
            }
            claim::Action::Ignore => None,
            action => Some(action),
        };
    }

    fn happens(&mut self, fate: Fate) {
        match fate {
            Fate::Table(i) => self.answer(i),
            Fate::Down(i) if self.requests[i].todo.is_some() => {
                self.feed(i, claim::Event::Unavailable);
            }
            Fate::Lost(i) => {
                if let Some(action @ claim::Action::Write { .. }) = self.requests[i].todo {
                    self.requests[i].open.push(action);
                    self.feed(i, claim::Event::Unsure);
                }
            }
            Fate::Lands(i) => {
                if let Some(action) = self.requests[i].open.pop() {
                    self.table(action);
                }
            }
            Fate::Runs(i) => self.outcome(i, true),
            Fate::Unrun(i) => self.outcome(i, false),
            Fate::Down(_) => {}
        }
    }

    fn answer(&mut self, i: usize) {
        if let Some(action) = self.requests[i].todo {
            let event = self.table(action);
            self.feed(i, event);
        }
    }

    fn outcome(&mut self, i: usize, ran: bool) {
        let request = &mut self.requests[i];
        if request.verdict != Some(Verdict::Granted) || request.ran.is_some() {
            return;
        }
        request.ran = Some(ran);
        let event = if ran {
            claim::Event::Answered
        } else {
            claim::Event::NotRun
        };
        self.feed(i, event);
    }

    /// Answers everything that is open, as a table does that is well again.
    fn settle(&mut self) {
        for i in 0..self.requests.len() {
            while self.requests[i].todo.is_some() {
                self.answer(i);
            }
            self.outcome(i, false);
            while self.requests[i].todo.is_some() {
                self.answer(i);
            }
        }
        for i in 0..self.requests.len() {
            while !self.requests[i].open.is_empty() {
                self.happens(Fate::Lands(i));
            }
        }
    }

    /// The sequential twin: the key belongs to the first request that ran, and to nobody else.
    fn owner(&self) -> Option<usize> {
        let ran = |request: &Request| request.ran == Some(true);
        self.requests.iter().position(ran)
    }
}

/// What is told about a VM.
#[derive(Clone, Copy, Debug)]
enum Word {
    Heard(Incarnation, bool),
    Listed(Incarnation, bool),
    Unlisted,
    Silent(Incarnation),
    Drain(bool),
}

fn word() -> impl Strategy<Value = Word> {
    let life = 1..4_u64;
    prop_oneof![
        (life.clone(), any::<bool>()).prop_map(|(life, leaving)| Word::Heard(life, leaving)),
        (life.clone(), any::<bool>()).prop_map(|(life, leaving)| Word::Listed(life, leaving)),
        Just(Word::Unlisted),
        life.prop_map(Word::Silent),
        any::<bool>().prop_map(Word::Drain),
    ]
}

/// Goes through all words about a VM.
fn judge(words: &[Word]) -> State {
    let about = |word: &Word| match *word {
        Word::Heard(life, leaving) | Word::Listed(life, leaving) => Some((life, leaving)),
        _ => None,
    };
    let Some(life) = words.iter().filter_map(about).map(|(life, _)| life).max() else {
        return State::Gone;
    };
    let since = words
        .iter()
        .position(|word| about(word).is_some_and(|(l, _)| l == life));
    let contact = words[since.unwrap()..]
        .iter()
        .rev()
        .find_map(|word| match *word {
            Word::Heard(l, _) if l == life => Some(true),
            Word::Silent(l) if l == life => Some(false),
            _ => None,
        });
    let listed = words.iter().rev().find_map(|word| match word {
        Word::Listed(..) => Some(true),
        Word::Unlisted => Some(false),
        _ => None,
    });
    let drained = words.iter().rev().find_map(|word| match word {
        Word::Drain(drained) => Some(*drained),
        _ => None,
    });
    let leaving = words
        .iter()
        .filter_map(about)
        .any(|(l, leaving)| l == life && leaving);
    match contact.or(listed) {
        Some(true) if leaving || drained == Some(true) => State::Leaving,
        Some(true) => State::Live,
        _ => State::Gone,
    }
}

fn news() -> impl Strategy<Value = follower::Event> {
    let revision = 1..6_u64;
    prop_oneof![
        revision.clone().prop_map(follower::Event::Head),
        revision.clone().prop_map(follower::Event::Push),
        revision.clone().prop_map(follower::Event::Peers),
        revision.clone().prop_map(follower::Event::Entry),
        revision.prop_map(follower::Event::Snapshot),
        Just(follower::Event::Down),
    ]
}

/// Revision whose changes are all in force, and whether the process may serve, by going through
/// all news.
fn follow(news: &[follower::Event]) -> (Revision, bool) {
    let (mut applied, mut down, mut ready) = (0, false, false);
    let mut goals = Vec::new();
    for event in news {
        match *event {
            follower::Event::Entry(revision) if revision == applied + 1 => applied = revision,
            follower::Event::Snapshot(revision) => applied = applied.max(revision),
            follower::Event::Head(revision) => {
                goals.push(revision);
                down = false;
            }
            follower::Event::Peers(revision) if down => goals.push(revision),
            follower::Event::Down => down = true,
            _ => {}
        }
        ready |= goals.iter().max().is_some_and(|goal| applied >= *goal);
    }
    (applied, ready)
}

proptest! {
    #![proptest_config(config())]

    /// Attempts of a stage overlap, break off, repeat themselves and answer for one another. The
    /// caller gets chunks of one answer in order, and the end is what really happened.
    #[test]
    fn stage_twin(
        repeatable: bool,
        stream: bool,
        history in prop::collection::vec(happening(), 0..40),
    ) {
        let mode = Mode { repeatable, stream };
        let mut stage = Stage::new(mode);
        let mut taken = Vec::new();
        let mut grants = 0;
        for (i, happening) in history.iter().enumerate() {
            match *happening {
                Happening::Start => { stage.start(); }
                Happening::GiveUp => stage.give_up(),
                Happening::Event(attempt, event) => {
                    let actions = stage.on(attempt, event);
                    if let call::Event::Chunk { sequence, .. } = event {
                        let accepted = actions.contains(&Some(Action::Accept));
                        taken.extend(accepted.then_some((attempt, sequence)));
                    }
                    grants += usize::from(actions.contains(&Some(Action::Grant)));
                }
            }
            let shipped = Sight {
                end: stage.end(),
                committed: stage.committed(),
                may_start: stage.may_start(),
                taken: taken.clone(),
                grants,
            };
            prop_assert_eq!(shipped, sight(mode, &history[..=i]));
        }
    }

    /// Requests with one key meet a table that is down, loses answers and writes late. One of them
    /// runs at most, and once the table is well the next caller is told as if they had come one
    /// after another.
    #[test]
    fn claim_twin(fates in prop::collection::vec(fate(), 0..60)) {
        let mut key = Key::new(3);
        fates.into_iter().for_each(|fate| key.happens(fate));
        key.settle();
        key.open();
        key.answer(3);
        key.answer(3);
        let owner = key.owner();
        let ran = key.requests.iter().filter(|request| request.ran == Some(true)).count();
        prop_assert!(ran <= 1);
        let expected = owner.map_or(Verdict::Granted, |owner| Verdict::Answered(owner as u128));
        prop_assert_eq!(key.requests[3].verdict, Some(expected));
    }

    /// News of the configuration comes late, twice and out of order.
    #[test]
    fn follower_twin(all in prop::collection::vec(news(), 0..40)) {
        let mut follower = Follower::new();
        for (i, event) in all.iter().enumerate() {
            follower.on(*event);
            let shipped = (follower.applied(), follower.is_ready());
            prop_assert_eq!(shipped, follow(&all[..=i]));
        }
    }

    /// Words about a VM from itself, the list, operators and silence come in any order.
    #[test]
    fn member_twin(words in prop::collection::vec(word(), 0..40)) {
        let mut members = Members::new();
        for (i, word) in words.iter().enumerate() {
            let news = |incarnation, leaving| News { incarnation, leaving };
            match *word {
                Word::Heard(life, leaving) => members.hear("vm", news(life, leaving)),
                Word::Listed(life, leaving) => members.list([("vm", news(life, leaving))]),
                Word::Unlisted => members.list([]),
                Word::Silent(life) => members.silence("vm", life),
                Word::Drain(drained) => members.drain("vm", drained),
            }
            prop_assert_eq!(members.state("vm"), judge(&words[..=i]));
        }
    }
}
