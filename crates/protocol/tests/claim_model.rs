//! The claim, with a table that loses responses, compared with a reference model that serves one
//! request after another. The seed is fixed, so that results are reproducible.
#![allow(clippy::unwrap_used, missing_docs)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use protocol::claim::{self, Claim, Decision, StoredRow};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(20_260_705),
        ..ProptestConfig::default()
    }
}

/// An event for one of the requests that share a key, identified by its index.
#[derive(Clone, Copy, Debug)]
enum Step {
    TableResponds(usize),
    TableUnavailable(usize),
    ResponseLost(usize),
    WriteApplied(usize),
    Ran(usize),
    NotRun(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let which = 0..3_usize;
    prop_oneof![
        4 => which.clone().prop_map(Step::TableResponds),
        1 => which.clone().prop_map(Step::TableUnavailable),
        2 => which.clone().prop_map(Step::ResponseLost),
        1 => which.clone().prop_map(Step::WriteApplied),
        2 => which.clone().prop_map(Step::Ran),
        1 => which.prop_map(Step::NotRun),
    ]
}

struct Request {
    claim: Claim,
    next_action: Option<claim::Action>,
    pending_writes: Vec<claim::Action>,
    decision: Option<Decision>,
    ran: Option<bool>,
}

/// The key's row, and the requests for the key.
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
        (0..requests).for_each(|_| key.add_request());
        key
    }

    fn add_request(&mut self) {
        let number = self.requests.len() as u128;
        let (claim, action) = Claim::open(number, number, 0);
        self.requests.push(Request {
            claim,
            next_action: Some(action),
            pending_writes: Vec::new(),
            decision: None,
            ran: None,
        });
    }

    fn execute(&mut self, action: claim::Action) -> claim::Event {
        let current = self.row.map(|stored| stored.revision);
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

    fn process_event(&mut self, i: usize, event: claim::Event) {
        let request = &mut self.requests[i];
        request.next_action = match request.claim.on(event) {
            claim::Action::Resolve(decision) => {
                request.decision = Some(decision);
                (!request.claim.is_settled() && decision == Decision::Unavailable)
                    .then_some(claim::Action::RetryLater)
            }
            claim::Action::Ignore => None,
            action => Some(action),
        };
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::TableResponds(i) => self.respond(i),
            Step::TableUnavailable(i) if self.requests[i].next_action.is_some() => {
                self.process_event(i, claim::Event::Unavailable);
            }
            Step::ResponseLost(i) => {
                if let Some(action @ claim::Action::Write { .. }) = self.requests[i].next_action {
                    self.requests[i].pending_writes.push(action);
                    self.process_event(i, claim::Event::Unsure);
                }
            }
            Step::WriteApplied(i) => {
                if let Some(action) = self.requests[i].pending_writes.pop() {
                    self.execute(action);
                }
            }
            Step::Ran(i) => self.finish(i, true),
            Step::NotRun(i) => self.finish(i, false),
            Step::TableUnavailable(_) => {}
        }
    }

    fn respond(&mut self, i: usize) {
        if let Some(action) = self.requests[i].next_action {
            let event = self.execute(action);
            self.process_event(i, event);
        }
    }

    fn finish(&mut self, i: usize, ran: bool) {
        let request = &mut self.requests[i];
        if request.decision != Some(Decision::Granted) || request.ran.is_some() {
            return;
        }
        request.ran = Some(ran);
        let event = if ran {
            claim::Event::Answered
        } else {
            claim::Event::NotRun
        };
        self.process_event(i, event);
    }

    /// Completes all pending operations, as a table does that is available again.
    fn settle(&mut self) {
        for i in 0..self.requests.len() {
            while self.requests[i].next_action.is_some() {
                self.respond(i);
            }
            self.finish(i, false);
            while self.requests[i].next_action.is_some() {
                self.respond(i);
            }
        }
        for i in 0..self.requests.len() {
            while !self.requests[i].pending_writes.is_empty() {
                self.apply(Step::WriteApplied(i));
            }
        }
    }

    /// Sequential reference model: the key belongs to the first request that ran, and to no other.
    fn expected_owner(&self) -> Option<usize> {
        let ran = |request: &Request| request.ran == Some(true);
        self.requests.iter().position(ran)
    }
}

proptest! {
    #![proptest_config(config())]

    /// Requests with one key use a table that is unavailable, loses responses and applies writes
    /// late. At most one of them runs, and once the table is available, the next request gets the
    /// same decision as if the requests had come one after another.
    #[test]
    fn claim_matches_sequential_model(steps in prop::collection::vec(step(), 0..60)) {
        let mut key = Key::new(3);
        steps.into_iter().for_each(|step| key.apply(step));
        key.settle();
        key.add_request();
        key.respond(3);
        key.respond(3);
        let owner = key.expected_owner();
        let ran = key.requests.iter().filter(|request| request.ran == Some(true)).count();
        prop_assert!(ran <= 1);
        let expected = owner.map_or(Decision::Granted, |owner| Decision::Answered(owner as u128));
        prop_assert_eq!(key.requests[3].decision, Some(expected));
    }
}
