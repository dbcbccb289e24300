//! The shipped claim, under a table that loses answers, beside a naive twin that serves one request
//! after another. The seed is fixed, so that the verdict is the same every run.
#![allow(clippy::unwrap_used, missing_docs)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use protocol::claim::{self, Claim, StoredRow, Verdict};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(20_260_705),
        ..ProptestConfig::default()
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
    row: Option<StoredRow>,
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
            claim::Action::RetryLater => claim::Event::Retry,
            claim::Action::Write { check, row } if check == current => {
                let revision = current.unwrap_or(0) + 1;
                self.row = Some(StoredRow { row, revision });
                claim::Event::Written(revision)
            }
            _ => claim::Event::Found(self.row),
        }
    }

    fn feed(&mut self, i: usize, event: claim::Event) {
        let request = &mut self.requests[i];
        request.todo = match request.claim.on(event) {
            claim::Action::Resolve(verdict) => {
                request.verdict = Some(verdict);
                (!request.claim.is_settled() && verdict == Verdict::Unavailable)
                    .then_some(claim::Action::RetryLater)
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

proptest! {
    #![proptest_config(config())]

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
}
