//! The stage compared with a reference model that keeps all events and evaluates them anew for each
//! result. The seed is fixed, so that results are reproducible.
#![allow(clippy::unwrap_used, missing_docs)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use protocol::call::{self, Outcome};
use protocol::stage::{Action, Mode, Stage};
use protocol::{Attempt, Sequence};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(20_260_705),
        ..ProptestConfig::default()
    }
}

/// A step of a test: an attempt starts, an event of one arrives, or the stage is given up.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start,
    Event(Attempt, call::Event),
    GiveUp,
}

fn step() -> impl Strategy<Value = Step> {
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
        1 => Just(call::Event::Started),
        1 => Just(call::Event::Refuse),
        1 => Just(call::Event::Forgotten),
        1 => Just(call::Event::Fail),
        1 => Just(call::Event::RunnerLost),
        1 => Just(call::Event::LinkLost),
        1 => Just(call::Event::GiveUp),
    ];
    prop_oneof![
        2 => Just(Step::Start),
        12 => (0..3_u16, event).prop_map(|(attempt, event)| Step::Event(attempt, event)),
        1 => Just(Step::GiveUp),
    ]
}

/// One attempt as the reference model derives it from all events.
#[derive(Clone, Debug)]
struct Model {
    first: Sequence,
    chunks: Vec<u32>,
    granted: bool,
    end: Option<Outcome>,
}

/// What clients and operators can observe of a stage.
#[derive(Clone, Debug, Default, PartialEq)]
struct Observed {
    end: Option<Outcome>,
    committed: Option<Attempt>,
    may_start: bool,
    /// Chunks in the order in which they were accepted.
    accepted_chunks: Vec<(Attempt, Sequence)>,
    grants: usize,
}

fn process_event(one: &mut Model, repeatable: bool, event: call::Event) -> bool {
    let next = one.first + u32::try_from(one.chunks.len()).unwrap();
    let bytes: u64 = one.chunks.iter().map(|length| u64::from(*length)).sum();
    let safe = !one.granted && !repeatable;
    let lost = if safe {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    };
    one.end = match event {
        call::Event::Ask | call::Event::Started => {
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
            Some(Outcome::Complete)
        }
        call::Event::Done { .. } | call::Event::RunnerLost => Some(Outcome::Unknown),
        call::Event::Refuse => Some(Outcome::NotRun),
        call::Event::Fail => Some(Outcome::Failed),
        call::Event::Forgotten | call::Event::LinkLost => Some(lost),
        call::Event::GiveUp => safe.then_some(Outcome::NotRun),
    };
    false
}

/// Evaluates the whole history of a stage.
fn expected(mode: Mode, history: &[Step]) -> Observed {
    let mut attempts: Vec<Model> = Vec::new();
    let mut seen = Observed::default();
    let mut given_up = false;
    let mut owner = None;
    for step in history {
        let due = u32::try_from(seen.accepted_chunks.len()).unwrap();
        let due = if mode.stream { due } else { 0 };
        match *step {
            Step::GiveUp => given_up = true,
            Step::Start if may_start(mode, &attempts, &seen, given_up) => attempts.push(Model {
                first: due,
                chunks: Vec::new(),
                granted: false,
                end: None,
            }),
            Step::Event(attempt, event) if seen.committed.is_none() => {
                let Some(one) = attempts.get_mut(usize::from(attempt)) else {
                    continue;
                };
                if one.end.is_some() {
                    continue;
                }
                let granted = one.granted;
                let accepted_chunks = process_event(one, mode.repeatable, event);
                let asked = event == call::Event::Ask && !granted;
                seen.grants += usize::from(asked);
                let may_own = owner.is_none_or(|owner| owner == attempt);
                let call::Event::Chunk { sequence, .. } = event else {
                    let has = one.first + u32::try_from(one.chunks.len()).unwrap();
                    let all = !mode.stream || (may_own && has == due);
                    match one.end {
                        Some(Outcome::Complete) if all => seen.committed = Some(attempt),
                        Some(_) if owner == Some(attempt) => owner = None,
                        _ => {}
                    }
                    continue;
                };
                if accepted_chunks && (!mode.stream || (may_own && sequence == due)) {
                    owner = Some(attempt);
                    seen.accepted_chunks.push((attempt, sequence));
                }
            }
            Step::Start | Step::Event(..) => {}
        }
    }
    seen.end = end(&attempts, &seen, given_up);
    seen.may_start = may_start(mode, &attempts, &seen, given_up);
    seen
}

fn may_start(mode: Mode, attempts: &[Model], seen: &Observed, given_up: bool) -> bool {
    let all_not_run = attempts.iter().all(|one| one.end == Some(Outcome::NotRun));
    seen.committed.is_none() && !given_up && (mode.repeatable || all_not_run)
}

fn end(attempts: &[Model], seen: &Observed, given_up: bool) -> Option<Outcome> {
    let any = |end| attempts.iter().any(|one| one.end == end);
    match () {
        () if seen.committed.is_some() => Some(Outcome::Complete),
        () if attempts.is_empty() && !given_up => None,
        () if any(None) => None,
        () if any(Some(Outcome::Unknown)) || any(Some(Outcome::Complete)) => Some(Outcome::Unknown),
        () if any(Some(Outcome::Failed)) => Some(Outcome::Failed),
        () => Some(Outcome::NotRun),
    }
}

/// How a step of the schedule affects its attempt.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// The next message arrives.
    Next,
    /// The last message arrives again.
    Repeat,
    /// The next message is lost in transit.
    Skip,
    /// The link is lost.
    LoseLink,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        12 => Just(Delivery::Next),
        2 => Just(Delivery::Repeat),
        1 => Just(Delivery::Skip),
        1 => Just(Delivery::LoseLink),
    ]
}

/// Messages of an agent that sends the chunks from `first` to `chunks`, one byte each, and the end
/// marker.
fn answer(first: Sequence, chunks: Sequence) -> Vec<call::Event> {
    let length = u64::from(chunks - first);
    let chunk = |sequence| call::Event::Chunk {
        sequence,
        length: 1,
    };
    let done = call::Event::Done { chunks, length };
    (first..chunks).map(chunk).chain([done]).collect()
}

/// A stage whose attempts all send the same response; a new one starts when none is live.
struct Run {
    stage: Stage,
    messages: Vec<(Vec<call::Event>, usize)>,
    accepted_chunks: Vec<(Attempt, Sequence)>,
    chunks: Sequence,
}

impl Run {
    fn start(&mut self) {
        if let Some((_, first)) = self.stage.start() {
            self.messages.push((answer(first, self.chunks), 0));
        }
    }

    fn deliver(&mut self, attempt: usize, delivery: Delivery) {
        let Some((messages, position)) = self.messages.get_mut(attempt) else {
            return;
        };
        let event = match delivery {
            Delivery::Next => messages.get(*position),
            Delivery::Repeat => messages.get(position.wrapping_sub(1)),
            Delivery::Skip => None,
            Delivery::LoseLink => Some(&call::Event::LinkLost),
        };
        *position += usize::from(matches!(delivery, Delivery::Next | Delivery::Skip));
        let Some(event) = event.copied() else { return };
        let attempt = attempt as Attempt;
        let accepted = self
            .stage
            .on(attempt, event)
            .contains(&Some(Action::Accept));
        if let call::Event::Chunk { sequence, .. } = event {
            self.accepted_chunks
                .extend(accepted.then_some((attempt, sequence)));
        }
    }

    /// What the client gets if the stage is complete.
    fn output(&self, stream: bool) -> Option<Vec<Sequence>> {
        let winner = self.stage.committed()?;
        let part = |(attempt, _): &&(Attempt, Sequence)| stream || *attempt == winner;
        Some(
            self.accepted_chunks
                .iter()
                .filter(part)
                .map(|(_, s)| *s)
                .collect(),
        )
    }
}

proptest! {
    #![proptest_config(config())]

    /// Attempts of a stage overlap, fail, repeat messages and respond in place of one another. The
    /// client gets the chunks of one response in order, and the outcome is correct.
    #[test]
    fn stage_matches_model(
        repeatable: bool,
        stream: bool,
        history in prop::collection::vec(step(), 0..40),
    ) {
        let mode = Mode { repeatable, stream };
        let mut stage = Stage::new(mode);
        let mut accepted_chunks = Vec::new();
        let mut grants = 0;
        for (i, step) in history.iter().enumerate() {
            match *step {
                Step::Start => { stage.start(); }
                Step::GiveUp => stage.give_up(),
                Step::Event(attempt, event) => {
                    let actions = stage.on(attempt, event);
                    if let call::Event::Chunk { sequence, .. } = event {
                        let accepted = actions.contains(&Some(Action::Accept));
                        accepted_chunks.extend(accepted.then_some((attempt, sequence)));
                    }
                    grants += usize::from(actions.contains(&Some(Action::Grant)));
                }
            }
            let actual = Observed {
                end: stage.outcome(),
                committed: stage.committed(),
                may_start: stage.may_start(),
                accepted_chunks: accepted_chunks.clone(),
                grants,
            };
            prop_assert_eq!(actual, expected(mode, &history[..=i]));
        }
    }

    /// Agents send a response in chunks that are lost, repeated and truncated, and a hedge or retry
    /// sends it again. What is committed contains every chunk once and in order, and an undisturbed
    /// attempt always completes the stage.
    #[test]
    fn complete_response(
        stream: bool,
        chunks in 0..6_u32,
        schedule in prop::collection::vec((0..3_usize, delivery(), any::<bool>()), 0..60),
    ) {
        let mode = Mode { repeatable: true, stream };
        let (messages, accepted_chunks) = (Vec::new(), Vec::new());
        let mut run = Run { stage: Stage::new(mode), messages, accepted_chunks, chunks };
        for (attempt, delivery, hedge) in schedule {
            if run.stage.live().next().is_none() || (hedge && run.messages.len() < 3) {
                run.start();
            }
            run.deliver(attempt, delivery);
        }
        for attempt in 0..run.messages.len() {
            run.deliver(attempt, Delivery::LoseLink);
        }
        run.start();
        let last = run.messages.len() - usize::from(!run.messages.is_empty());
        (0..=chunks).for_each(|_| run.deliver(last, Delivery::Next));
        prop_assert_eq!(run.stage.outcome(), Some(Outcome::Complete));
        prop_assert_eq!(run.output(stream), Some((0..chunks).collect()));
    }
}
