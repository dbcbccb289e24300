//! Search over the claim, the call and the gate with several entries for one idempotency key, a
//! table that loses responses, agents that crash, and a network that duplicates, reorders and
//! loses messages.
#![allow(clippy::unwrap_used, missing_docs)]

mod search;

use protocol::call::{self, Call, Outcome};
use protocol::claim::{self, Claim, Decision, Progress, Row, StoredRow};
use protocol::gate::{self, Gate};
use search::{System, find_violation, holds, violates};
use std::collections::BTreeSet;

/// A guard that is removed around the state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    StartUngranted,
    GrantAfterEnd,
    OfferAfterGrant,
    GrantAgain,
    LinkOutlivesAgent,
    ForgottenIsRefused,
    LostLinkIsNotRun,
    UnsureIsApplied,
    IgnoreOwner,
    SkipCleanUp,
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
    Forgotten,
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
    TableResponds,
    TableUnavailable,
    ResponseLost,
    WriteApplied,
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
    Forgotten,
    Crash,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reported {
    End(Outcome),
    Other,
}

/// One request: its claim, its call at the entry, its gate at the agent, and messages in transit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Request {
    claim: Option<Claim>,
    next_action: Option<claim::Action>,
    unsure_write: Option<claim::Action>,
    call: Option<Call>,
    gate: Option<Gate>,
    sent: BTreeSet<Message>,
    reported: Option<Reported>,
    ran: bool,
    cleanup_skipped: bool,
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
    /// `faults` bounds crashes, lost links, lost responses, refusals and abandoned calls in one run.
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

    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == mutation
    }

    fn write(&mut self, action: claim::Action) -> claim::Event {
        let claim::Action::Write { check, row } = action else {
            return claim::Event::Found(self.row);
        };
        if check != self.row.map(|stored| stored.revision) {
            return claim::Event::Found(self.row);
        }
        let revision = check.unwrap_or(0) + 1;
        self.row = Some(StoredRow { row, revision });
        claim::Event::Written(revision)
    }

    fn claim(&mut self, i: usize, event: claim::Event) {
        let event = match event {
            claim::Event::Unsure if self.has(Mutation::UnsureIsApplied) => claim::Event::Written(1),
            claim::Event::Found(Some(mut stored)) if self.has(Mutation::IgnoreOwner) => {
                stored.row.progress = Progress::Released;
                claim::Event::Found(Some(stored))
            }
            event => event,
        };
        let request = &mut self.requests[i];
        let action = request.claim.as_mut().unwrap().on(event);
        request.next_action = match action {
            claim::Action::Ignore => None,
            claim::Action::Resolve(Decision::Granted) => {
                request.offer(false);
                None
            }
            claim::Action::Resolve(Decision::Unavailable) => {
                request.reported = Some(Reported::End(Outcome::NotRun));
                request.cleanup_skipped = self.mutation == Mutation::SkipCleanUp;
                (!request.cleanup_skipped).then_some(claim::Action::RetryLater)
            }
            claim::Action::Resolve(_) => {
                request.reported = Some(Reported::Other);
                None
            }
            action => Some(action),
        };
    }

    fn call(&mut self, i: usize, event: call::Event) {
        let event = match event {
            call::Event::Forgotten if self.has(Mutation::ForgottenIsRefused) => call::Event::Refuse,
            call::Event::LinkLost if self.has(Mutation::LostLinkIsNotRun) => call::Event::Refuse,
            event => event,
        };
        let before = self.requests[i].call.as_ref().unwrap().state();
        let actions = self.requests[i].call.as_mut().unwrap().on(event);
        let regrant = match before {
            call::State::Granted => self.has(Mutation::GrantAgain),
            call::State::Ended(_) => self.has(Mutation::GrantAfterEnd),
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
        self.requests[i].reported = Some(Reported::End(end));
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
        world.apply(i, step);
        world
    }

    fn apply(&mut self, i: usize, step: Step) {
        let next_action = self.requests[i].next_action;
        match step {
            Step::Claim if self.repeatable => self.requests[i].offer(true),
            Step::Claim => {
                let (claim, action) = Claim::open(i as u128 + 1, i as u128, 0);
                self.requests[i].claim = Some(claim);
                self.requests[i].next_action = Some(action);
            }
            Step::TableResponds => {
                let event = self.write(next_action.unwrap());
                self.claim(i, event);
            }
            Step::TableUnavailable => self.fault(|world| world.claim(i, claim::Event::Unavailable)),
            Step::ResponseLost => self.fault(|world| {
                world.requests[i].unsure_write = next_action;
                world.claim(i, claim::Event::Unsure);
            }),
            Step::WriteApplied => {
                let unsure_write = self.requests[i].unsure_write.take().unwrap();
                self.write(unsure_write);
            }
            Step::Retry => self.claim(i, claim::Event::Retry),
            Step::ToEntry(message) => self.call(i, entry_event(message)),
            Step::ToAgent(Message::Offer) => self.requests[i].gate = Some(self.new_gate()),
            Step::ToAgent(message) => self.gate(i, agent_event(message)),
            Step::Recall => self.send(i, Message::Recall),
            Step::OfferAgain => self.send(i, Message::Offer),
            Step::GiveUp => self.fault(|world| world.call(i, call::Event::GiveUp)),
            Step::EntryLosesLink => self.fault(|world| world.call(i, call::Event::LinkLost)),
            Step::Slot => self.gate(i, gate::Event::SlotFree),
            Step::Leave => self.fault(|world| world.gate(i, gate::Event::Leave)),
            Step::AgentLosesLink => self.fault(|world| world.gate(i, gate::Event::LinkLost)),
            Step::Finish => self.gate(i, gate::Event::Finished),
            Step::Forgotten => self.send(i, Message::Forgotten),
            Step::Crash => self.fault(|world| world.crash(i)),
        }
    }

    fn new_gate(&self) -> Gate {
        Gate::new(!self.repeatable && !self.has(Mutation::StartUngranted))
    }

    fn fault(&mut self, act: impl FnOnce(&mut Self)) {
        self.faults -= 1;
        act(self);
    }

    fn crash(&mut self, i: usize) {
        self.requests[i].gate = None;
        if !self.has(Mutation::LinkOutlivesAgent) {
            TO_AGENT.iter().for_each(|message| {
                self.requests[i].sent.remove(message);
            });
        }
    }

    fn table_steps(&self, request: &Request, steps: &mut Vec<Step>) {
        match request.next_action {
            Some(claim::Action::RetryLater) => steps.push(Step::Retry),
            Some(_) => steps.extend([Step::TableResponds, Step::TableUnavailable]),
            None => {}
        }
        if matches!(request.next_action, Some(claim::Action::Write { .. }))
            && request.unsure_write.is_none()
        {
            steps.push(Step::ResponseLost);
        }
        if request.unsure_write.is_some() {
            steps.push(Step::WriteApplied);
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
        let again = self.has(Mutation::OfferAfterGrant) || self.has(Mutation::GrantAgain);
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
            steps.extend(asked.then_some(Step::Forgotten));
            return;
        };
        steps.push(Step::Crash);
        match gate.state() {
            gate::State::Queued => steps.extend([Step::Slot, Step::Leave, Step::AgentLosesLink]),
            gate::State::AwaitingGrant => steps.extend([Step::Leave, Step::AgentLosesLink]),
            gate::State::Running => steps.push(Step::Finish),
            gate::State::Ended => {}
        }
        let messages = [Message::Grant, Message::Deny, Message::Revoke];
        let messages = messages.into_iter().filter(|message| sent(*message));
        steps.extend(messages.map(Step::ToAgent));
    }
}

fn entry_event(message: Message) -> call::Event {
    match message {
        Message::Ask => call::Event::Ask,
        Message::Refuse => call::Event::Refuse,
        Message::Forgotten => call::Event::Forgotten,
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

fn is_fault(step: Step) -> bool {
    matches!(
        step,
        Step::TableUnavailable
            | Step::ResponseLost
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
                .filter(|step| self.faults > 0 || !is_fault(*step));
            all.extend(affordable.map(|step| ((i, step), self.after(i, step))));
        }
        all
    }

    fn violation(&self) -> Option<&'static str> {
        let not_run = Some(Reported::End(Outcome::NotRun));
        let wrongly_not_run = |r: &Request| r.ran && r.reported == not_run;
        let wrongly_answered =
            |r: &Request| !r.ran && r.reported == Some(Reported::End(Outcome::Complete));
        let row = self.row.map(|stored| stored.row);
        let left_behind = |(i, r): (usize, &Request)| {
            let settled = r.cleanup_skipped || r.claim.as_ref().is_some_and(Claim::is_settled);
            let mine = |row: Row| row.token == i as u128 + 1 && row.progress == Progress::Claimed;
            settled && r.reported == not_run && row.is_some_and(mine)
        };
        match self {
            _ if self.runs > 1 => Some("ran twice"),
            _ if self.requests.iter().any(wrongly_not_run) => Some("not run, but ran"),
            _ if self.requests.iter().any(wrongly_answered) => Some("answered, but did not run"),
            _ if self.requests.iter().enumerate().any(left_behind) => Some("claim left behind"),
            _ => None,
        }
    }
}

/// A call that may not be repeated meets up to twelve faults in any order. It runs at most once,
/// and 'not run' is reported only if it never runs.
#[test]
fn one_request_runs_once() {
    holds("one request, 12 faults", &World::new(1, 12, Mutation::None));
}

/// A call that may be repeated runs without a grant and meets up to twelve faults. 'Not run' is
/// reported only if this attempt never ran.
#[test]
fn repeatable_call_not_run_is_true() {
    holds(
        "repeatable call, 12 faults",
        &World::repeatable(12, Mutation::None),
    );
    [Mutation::ForgottenIsRefused, Mutation::LostLinkIsNotRun]
        .into_iter()
        .for_each(|mutation| {
            let world = World::repeatable(4, mutation);
            violates(
                &format!("repeatable, {mutation:?}"),
                &world,
                "not run, but ran",
            );
        });
}

/// A call is sent to two entries under one key, with up to three faults in any order.
#[test]
fn two_requests_run_once() {
    holds("two requests, 3 faults", &World::new(2, 3, Mutation::None));
}

/// Each guard around a single call is needed: without it, the call runs twice, or runs after 'not
/// run' was reported.
#[test]
fn each_call_guard_is_needed() {
    let wrongly_not_run = "not run, but ran";
    [
        (Mutation::StartUngranted, wrongly_not_run),
        (Mutation::GrantAfterEnd, wrongly_not_run),
        (Mutation::OfferAfterGrant, wrongly_not_run),
        (Mutation::GrantAgain, "ran twice"),
        (Mutation::LinkOutlivesAgent, "ran twice"),
        (Mutation::ForgottenIsRefused, wrongly_not_run),
        (Mutation::LostLinkIsNotRun, wrongly_not_run),
    ]
    .into_iter()
    .for_each(|(mutation, what)| {
        violates(&format!("{mutation:?}"), &World::new(1, 4, mutation), what);
    });
    let denied = World::new(1, 4, Mutation::OfferAfterGrant);
    assert_eq!(find_violation(&denied, |what| what == "ran twice"), None);
}

/// Each guard of the claim is needed: without it, two entries run the same call, or the key can
/// never be used again.
#[test]
fn each_claim_guard_is_needed() {
    [
        (Mutation::UnsureIsApplied, "ran twice"),
        (Mutation::IgnoreOwner, "ran twice"),
        (Mutation::SkipCleanUp, "claim left behind"),
    ]
    .into_iter()
    .for_each(|(mutation, what)| {
        violates(&format!("{mutation:?}"), &World::new(2, 2, mutation), what);
    });
}
