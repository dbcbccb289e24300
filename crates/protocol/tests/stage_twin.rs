//! The shipped stage beside a naive twin that keeps every event and goes through all of them for
//! each verdict. The seed is fixed, so that the verdict is the same every run.
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
        1 => Just(call::Event::Started),
        1 => Just(call::Event::Refuse),
        1 => Just(call::Event::Forgotten),
        1 => Just(call::Event::Fail),
        1 => Just(call::Event::RunnerLost),
        1 => Just(call::Event::LinkLost),
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
    end: Option<Outcome>,
}

/// What a caller and an operator can see of a stage.
#[derive(Clone, Debug, Default, PartialEq)]
struct Sight {
    end: Option<Outcome>,
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
                        Some(Outcome::Complete) if all => seen.committed = Some(attempt),
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
    let unrun = tries.iter().all(|one| one.end == Some(Outcome::NotRun));
    seen.committed.is_none() && !given_up && (mode.repeatable || unrun)
}

fn end(tries: &[Try], seen: &Sight, given_up: bool) -> Option<Outcome> {
    let any = |end| tries.iter().any(|one| one.end == end);
    match () {
        () if seen.committed.is_some() => Some(Outcome::Complete),
        () if tries.is_empty() && !given_up => None,
        () if any(None) => None,
        () if any(Some(Outcome::Unknown)) || any(Some(Outcome::Complete)) => Some(Outcome::Unknown),
        () if any(Some(Outcome::Failed)) => Some(Outcome::Failed),
        () => Some(Outcome::NotRun),
    }
}

/// What one step of the schedule does to the attempt that it picks.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// Its next message arrives.
    Next,
    /// Its last message arrives again.
    Again,
    /// Its next message is lost on the way.
    Skip,
    /// It ends without a word.
    Cut,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        12 => Just(Delivery::Next),
        2 => Just(Delivery::Again),
        1 => Just(Delivery::Skip),
        1 => Just(Delivery::Cut),
    ]
}

/// Messages of an agent that sends chunks `first` to `chunks`, one byte each, and the end mark.
fn answer(first: Sequence, chunks: Sequence) -> Vec<call::Event> {
    let length = u64::from(chunks - first);
    let chunk = |sequence| call::Event::Chunk {
        sequence,
        length: 1,
    };
    let done = call::Event::Done { chunks, length };
    (first..chunks).map(chunk).chain([done]).collect()
}

/// A stage whose attempts all try to send the same answer; a new one starts when none is left.
struct Run {
    stage: Stage,
    sent: Vec<(Vec<call::Event>, usize)>,
    taken: Vec<(Attempt, Sequence)>,
    chunks: Sequence,
}

impl Run {
    fn start(&mut self) {
        if let Some((_, first)) = self.stage.start() {
            self.sent.push((answer(first, self.chunks), 0));
        }
    }

    fn deliver(&mut self, attempt: usize, delivery: Delivery) {
        let Some((messages, position)) = self.sent.get_mut(attempt) else {
            return;
        };
        let event = match delivery {
            Delivery::Next => messages.get(*position),
            Delivery::Again => messages.get(position.wrapping_sub(1)),
            Delivery::Skip => None,
            Delivery::Cut => Some(&call::Event::LinkLost),
        };
        *position += usize::from(matches!(delivery, Delivery::Next | Delivery::Skip));
        let Some(event) = event.copied() else { return };
        let attempt = attempt as Attempt;
        let accepted = self
            .stage
            .on(attempt, event)
            .contains(&Some(Action::Accept));
        if let call::Event::Chunk { sequence, .. } = event {
            self.taken.extend(accepted.then_some((attempt, sequence)));
        }
    }

    /// What the caller gets if the stage is whole.
    fn output(&self, stream: bool) -> Option<Vec<Sequence>> {
        let winner = self.stage.committed()?;
        let part = |(attempt, _): &&(Attempt, Sequence)| stream || *attempt == winner;
        Some(self.taken.iter().filter(part).map(|(_, s)| *s).collect())
    }
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
                end: stage.outcome(),
                committed: stage.committed(),
                may_start: stage.may_start(),
                taken: taken.clone(),
                grants,
            };
            prop_assert_eq!(shipped, sight(mode, &history[..=i]));
        }
    }

    /// Agents send an answer in pieces that are lost, repeated and cut short, and a hedge or retry
    /// sends it again. What is committed is every chunk once and in order; and an attempt that
    /// nothing happens to always brings the stage to its end.
    #[test]
    fn whole_answer(
        stream: bool,
        chunks in 0..6_u32,
        schedule in prop::collection::vec((0..3_usize, delivery(), any::<bool>()), 0..60),
    ) {
        let mode = Mode { repeatable: true, stream };
        let (sent, taken) = (Vec::new(), Vec::new());
        let mut run = Run { stage: Stage::new(mode), sent, taken, chunks };
        for (attempt, delivery, hedge) in schedule {
            if run.stage.live().next().is_none() || (hedge && run.sent.len() < 3) {
                run.start();
            }
            run.deliver(attempt, delivery);
        }
        for attempt in 0..run.sent.len() {
            run.deliver(attempt, Delivery::Cut);
        }
        run.start();
        let last = run.sent.len() - usize::from(!run.sent.is_empty());
        (0..=chunks).for_each(|_| run.deliver(last, Delivery::Next));
        prop_assert_eq!(run.stage.outcome(), Some(Outcome::Complete));
        prop_assert_eq!(run.output(stream), Some((0..chunks).collect()));
    }
}
