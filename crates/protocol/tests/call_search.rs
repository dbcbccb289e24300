//! Search over the shipped claim, call and gate: entries with the same idempotency key, a table
//! that loses answers, agents that crash, and a network that repeats, reorders and loses.
#![allow(clippy::unwrap_used, missing_docs)]

mod search;

use protocol::call::{self, Call, Outcome};
use protocol::claim::{self, Claim, Progress, Row, StoredRow, Verdict};
use protocol::gate::{self, Gate};
use search::{System, fails, find, holds};
use std::collections::BTreeSet;

/// A guard that is taken away around the shipped machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    StartUngranted,
    GrantAfterEnd,
    OfferAfterGrant,
    GrantAgain,
    LinkOutlivesAgent,
    ForgetIsRefuse,
    LostIsNotRun,
    UnsureIsWritten,
    TakeOver,
    LeaveClaim,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Offer,
    Grant,
    Deny,
    Revoke,
    Recall,
    Ask,
    Refuse,
    Forget,
    Started,
    Done,
}

const TO_AGENT: [Message; 5] = [
    Message::Offer,
    Message::Grant,
    Message::Deny,
    Message::Revoke,
    Message::Recall,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Claim,
    Table,
    TableDown,
    AnswerLost,
    WriteLands,
    Retry,
    ToEntry(Message),
    ToAgent(Message),
    Recall,
    OfferAgain,
    GiveUp,
    EntryLosesLink,
    Slot,
    Leave,
    AgentLosesLink,
    Finish,
    Forget,
    Crash,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    End(Outcome),
    Other,
}

/// One request: its claim, its call at the entry, its gate at the agent, and what is between.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Request {
    claim: Option<Claim>,
    todo: Option<claim::Action>,
    open: Option<claim::Action>,
    call: Option<Call>,
    gate: Option<Gate>,
    sent: BTreeSet<Message>,
    told: Option<Told>,
    ran: bool,
    abandoned: bool,
}

impl Request {
    fn is_new(&self) -> bool {
        self.claim.is_none() && self.call.is_none()
    }

    fn offer(&mut self, repeatable: bool) {
        self.call = Some(Call::offer(repeatable, 0));
        self.sent.insert(Message::Offer);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    mutation: Mutation,
    repeatable: bool,
    requests: Vec<Request>,
    row: Option<StoredRow>,
    faults: u8,
    runs: u8,
}

impl World {
    /// `faults` bounds crashes, lost links, lost answers, refusals and impatience in one run.
    fn new(requests: usize, faults: u8, mutation: Mutation) -> Self {
        Self {
            mutation,
            repeatable: false,
            requests: vec![Request::default(); requests],
            row: None,
            faults,
            runs: 0,
        }
    }

    /// One call that needs neither a claim nor a grant.
    fn repeatable(faults: u8, mutation: Mutation) -> Self {
        Self {
            repeatable: true,
            ..Self::new(1, faults, mutation)
        }
    }

    fn is(&self, mutation: Mutation) -> bool {
        self.mutation == mutation
    }

    fn write(&mut self, action: claim::Action) -> claim::Event {
        let claim::Action::Write { check, row } = action else {
            return claim::Event::Found(self.row);
        };
        if check != self.row.map(|kept| kept.revision) {
            return claim::Event::Found(self.row);
        }
        let revision = check.unwrap_or(0) + 1;
        self.row = Some(StoredRow { row, revision });
        claim::Event::Written(revision)
    }

    fn claim(&mut self, i: usize, event: claim::Event) {
        let event = match event {
            claim::Event::Unsure if self.is(Mutation::UnsureIsWritten) => claim::Event::Written(1),
            claim::Event::Found(Some(mut kept)) if self.is(Mutation::TakeOver) => {
                kept.row.progress = Progress::Released;
                claim::Event::Found(Some(kept))
            }
            event => event,
        };
        let request = &mut self.requests[i];
        let action = request.claim.as_mut().unwrap().on(event);
        request.todo = match action {
            claim::Action::Ignore => None,
            claim::Action::Resolve(Verdict::Granted) => {
                request.offer(false);
                None
            }
            claim::Action::Resolve(Verdict::Unavailable) => {
                request.told = Some(Told::End(Outcome::NotRun));
                request.abandoned = self.mutation == Mutation::LeaveClaim;
                (!request.abandoned).then_some(claim::Action::RetryLater)
            }
            claim::Action::Resolve(_) => {
                request.told = Some(Told::Other);
                None
            }
            action => Some(action),
        };
    }

    fn call(&mut self, i: usize, event: call::Event) {
        let event = match event {
            call::Event::Forgotten if self.is(Mutation::ForgetIsRefuse) => call::Event::Refuse,
            call::Event::LinkLost if self.is(Mutation::LostIsNotRun) => call::Event::Refuse,
            event => event,
        };
        let before = self.requests[i].call.as_ref().unwrap().state();
        let actions = self.requests[i].call.as_mut().unwrap().on(event);
        let regrant = match before {
            call::State::Granted => self.is(Mutation::GrantAgain),
            call::State::Ended(_) => self.is(Mutation::GrantAfterEnd),
            call::State::Offered => false,
        };
        actions
            .into_iter()
            .flatten()
            .for_each(|action| match action {
                call::Action::Deny if regrant => self.send(i, Message::Grant),
                call::Action::Grant => self.send(i, Message::Grant),
                call::Action::Deny => self.send(i, Message::Deny),
                call::Action::Revoke => self.send(i, Message::Revoke),
                call::Action::End(end) => self.end(i, end),
                call::Action::Accept | call::Action::Drop => {}
            });
    }

    fn send(&mut self, i: usize, message: Message) {
        self.requests[i].sent.insert(message);
    }

    fn end(&mut self, i: usize, end: Outcome) {
        self.requests[i].told = Some(Told::End(end));
        if self.repeatable {
            return;
        }
        match end {
            Outcome::NotRun => self.claim(i, claim::Event::NotRun),
            Outcome::Complete => self.claim(i, claim::Event::Answered),
            Outcome::Failed | Outcome::Unknown => {}
        }
    }

    fn gate(&mut self, i: usize, event: gate::Event) {
        match self.requests[i].gate.as_mut().unwrap().on(event) {
            gate::Action::Ask => self.send(i, Message::Ask),
            gate::Action::Refuse => self.send(i, Message::Refuse),
            gate::Action::Start => {
                self.requests[i].ran = true;
                self.runs += 1;
                self.send(i, Message::Started);
            }
            gate::Action::Release if event == gate::Event::Finished => self.send(i, Message::Done),
            gate::Action::Release | gate::Action::Ignore => {}
        }
    }

    fn after(&self, i: usize, step: Step) -> Self {
        let mut world = self.clone();
        world.take(i, step);
        world
    }

    fn take(&mut self, i: usize, step: Step) {
        let todo = self.requests[i].todo;
        match step {
            Step::Claim if self.repeatable => self.requests[i].offer(true),
            Step::Claim => {
                let (claim, action) = Claim::open(i as u128 + 1, i as u128, 0);
                self.requests[i].claim = Some(claim);
                self.requests[i].todo = Some(action);
            }
            Step::Table => {
                let event = self.write(todo.unwrap());
                self.claim(i, event);
            }
            Step::TableDown => self.fault(|world| world.claim(i, claim::Event::Unavailable)),
            Step::AnswerLost => self.fault(|world| {
                world.requests[i].open = todo;
                world.claim(i, claim::Event::Unsure);
            }),
            Step::WriteLands => {
                let open = self.requests[i].open.take().unwrap();
                self.write(open);
            }
            Step::Retry => self.claim(i, claim::Event::Retry),
            Step::ToEntry(message) => self.call(i, entry_event(message)),
            Step::ToAgent(Message::Offer) => self.requests[i].gate = Some(self.hold()),
            Step::ToAgent(message) => self.gate(i, agent_event(message)),
            Step::Recall => self.send(i, Message::Recall),
            Step::OfferAgain => self.send(i, Message::Offer),
            Step::GiveUp => self.fault(|world| world.call(i, call::Event::GiveUp)),
            Step::EntryLosesLink => self.fault(|world| world.call(i, call::Event::LinkLost)),
            Step::Slot => self.gate(i, gate::Event::SlotFree),
            Step::Leave => self.fault(|world| world.gate(i, gate::Event::Leave)),
            Step::AgentLosesLink => self.fault(|world| world.gate(i, gate::Event::LinkLost)),
            Step::Finish => self.gate(i, gate::Event::Finished),
            Step::Forget => self.send(i, Message::Forget),
            Step::Crash => self.fault(|world| world.crash(i)),
        }
    }

    fn hold(&self) -> Gate {
        Gate::new(!self.repeatable && !self.is(Mutation::StartUngranted))
    }

    fn fault(&mut self, act: impl FnOnce(&mut Self)) {
        self.faults -= 1;
        act(self);
    }

    fn crash(&mut self, i: usize) {
        self.requests[i].gate = None;
        if !self.is(Mutation::LinkOutlivesAgent) {
            TO_AGENT.iter().for_each(|message| {
                self.requests[i].sent.remove(message);
            });
        }
    }

    fn table_steps(&self, request: &Request, steps: &mut Vec<Step>) {
        match request.todo {
            Some(claim::Action::RetryLater) => steps.push(Step::Retry),
            Some(_) => steps.extend([Step::Table, Step::TableDown]),
            None => {}
        }
        if matches!(request.todo, Some(claim::Action::Write { .. })) && request.open.is_none() {
            steps.push(Step::AnswerLost);
        }
        if request.open.is_some() {
            steps.push(Step::WriteLands);
        }
    }

    fn entry_steps(&self, request: &Request, steps: &mut Vec<Step>) {
        let Some(call) = &request.call else { return };
        let from_agent = |message: &&Message| !TO_AGENT.contains(message);
        steps.extend(
            request
                .sent
                .iter()
                .filter(from_agent)
                .map(|m| Step::ToEntry(*m)),
        );
        if matches!(call.state(), call::State::Ended(_)) {
            return;
        }
        steps.extend([Step::GiveUp, Step::EntryLosesLink]);
        let again = self.is(Mutation::OfferAfterGrant) || self.is(Mutation::GrantAgain);
        if call.state() == call::State::Granted {
            steps.push(Step::Recall);
            steps.extend(again.then_some(Step::OfferAgain));
        }
    }

    fn agent_steps(&self, request: &Request, steps: &mut Vec<Step>) {
        let sent = |message| request.sent.contains(&message);
        let Some(gate) = &request.gate else {
            steps.extend(sent(Message::Offer).then_some(Step::ToAgent(Message::Offer)));
            let asked = sent(Message::Revoke) || sent(Message::Recall);
            steps.extend(asked.then_some(Step::Forget));
            return;
        };
        steps.push(Step::Crash);
        match gate.state() {
            gate::State::Queued => steps.extend([Step::Slot, Step::Leave, Step::AgentLosesLink]),
            gate::State::AwaitingGrant => steps.extend([Step::Leave, Step::AgentLosesLink]),
            gate::State::Running => steps.push(Step::Finish),
            gate::State::Ended => {}
        }
        let words = [Message::Grant, Message::Deny, Message::Revoke];
        let words = words.into_iter().filter(|message| sent(*message));
        steps.extend(words.map(Step::ToAgent));
    }
}

fn entry_event(message: Message) -> call::Event {
    match message {
        Message::Ask => call::Event::Ask,
        Message::Refuse => call::Event::Refuse,
        Message::Forget => call::Event::Forgotten,
        Message::Started => call::Event::Started,
        _ => call::Event::Done {
            chunks: 0,
            length: 0,
        },
    }
}

fn agent_event(message: Message) -> gate::Event {
    match message {
        Message::Grant => gate::Event::Grant,
        Message::Deny => gate::Event::Deny,
        _ => gate::Event::Revoke,
    }
}

fn costs(step: Step) -> bool {
    matches!(
        step,
        Step::TableDown
            | Step::AnswerLost
            | Step::GiveUp
            | Step::EntryLosesLink
            | Step::Leave
            | Step::AgentLosesLink
            | Step::Crash
    )
}

impl System for World {
    type Step = (usize, Step);

    fn steps(&self) -> Vec<(Self::Step, Self)> {
        let mut all = Vec::new();
        for (i, request) in self.requests.iter().enumerate() {
            let mut steps = Vec::new();
            steps.extend(request.is_new().then_some(Step::Claim));
            self.table_steps(request, &mut steps);
            self.entry_steps(request, &mut steps);
            self.agent_steps(request, &mut steps);
            let affordable = steps
                .into_iter()
                .filter(|step| self.faults > 0 || !costs(*step));
            all.extend(affordable.map(|step| ((i, step), self.after(i, step))));
        }
        all
    }

    fn violation(&self) -> Option<&'static str> {
        let not_run = Some(Told::End(Outcome::NotRun));
        let untrue = |r: &Request| r.ran && r.told == not_run;
        let unfounded = |r: &Request| !r.ran && r.told == Some(Told::End(Outcome::Complete));
        let row = self.row.map(|kept| kept.row);
        let left = |(i, r): (usize, &Request)| {
            let settled = r.abandoned || r.claim.as_ref().is_some_and(Claim::is_settled);
            let mine = |row: Row| row.token == i as u128 + 1 && row.progress == Progress::Claimed;
            settled && r.told == not_run && row.is_some_and(mine)
        };
        match self {
            _ if self.runs > 1 => Some("ran twice"),
            _ if self.requests.iter().any(untrue) => Some("not run, but ran"),
            _ if self.requests.iter().any(unfounded) => Some("answered, but did not run"),
            _ if self.requests.iter().enumerate().any(left) => Some("claim left behind"),
            _ => None,
        }
    }
}

/// One label print meets up to twelve faults in any order. Whatever happens, it is printed at most
/// once, and the fitter is told 'not run' only if it is never printed.
#[test]
fn one_request() {
    holds("one request, 12 faults", &World::new(1, 12, Mutation::None));
}

/// A drawing check, which may be repeated, runs without a grant. It is told 'not run' only if this
/// attempt never ran, whatever up to twelve faults do.
#[test]
fn repeatable_call() {
    holds(
        "repeatable call, 12 faults",
        &World::repeatable(12, Mutation::None),
    );
    [Mutation::ForgetIsRefuse, Mutation::LostIsNotRun]
        .into_iter()
        .for_each(|mutation| {
            let world = World::repeatable(4, mutation);
            fails(
                &format!("repeatable, {mutation:?}"),
                &world,
                "not run, but ran",
            );
        });
}

/// A payout is sent to two entries under one key, with up to three faults in any order.
#[test]
fn two_requests() {
    holds("two requests, 3 faults", &World::new(2, 3, Mutation::None));
}

/// Each guard around a single call is needed: without it the payout is made twice, or made after
/// the freelancer was told that it was not.
#[test]
fn call_guards() {
    let untrue = "not run, but ran";
    [
        (Mutation::StartUngranted, untrue),
        (Mutation::GrantAfterEnd, untrue),
        (Mutation::OfferAfterGrant, untrue),
        (Mutation::GrantAgain, "ran twice"),
        (Mutation::LinkOutlivesAgent, "ran twice"),
        (Mutation::ForgetIsRefuse, untrue),
        (Mutation::LostIsNotRun, untrue),
    ]
    .into_iter()
    .for_each(|(mutation, what)| {
        fails(&format!("{mutation:?}"), &World::new(1, 4, mutation), what);
    });
    let denied = World::new(1, 4, Mutation::OfferAfterGrant);
    assert_eq!(find(&denied, |what| what == "ran twice"), None);
}

/// Each guard of the claim is needed: without it two entries run the same payout, or the key can
/// never be used again.
#[test]
fn claim_guards() {
    [
        (Mutation::UnsureIsWritten, "ran twice"),
        (Mutation::TakeOver, "ran twice"),
        (Mutation::LeaveClaim, "claim left behind"),
    ]
    .into_iter()
    .for_each(|(mutation, what)| {
        fails(&format!("{mutation:?}"), &World::new(2, 2, mutation), what);
    });
}
