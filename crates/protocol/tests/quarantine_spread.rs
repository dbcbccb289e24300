//! Processes that tell one another of poison requests, in virtual time: messages are lost, late and
//! repeated, processes start in the middle, are paused and are cut off.
//!
//! A request that ends runners comes again and again at any process, beside requests of others that run
//! at the same runners. Each guard that is taken away shows in some seed.
#![allow(clippy::unwrap_used, missing_docs)]

use protocol::ContentId;
use protocol::quarantine::{Admission, CRASH_THRESHOLD, Merge, Quarantine, Report};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Milliseconds from the start of the play.
type Millis = u64;
/// One start of a runner.
type Start = (usize, u32);

const PLAYS: u64 = 150;
const PLAY: Millis = 45_000;
const RUNNERS: usize = 4;
/// Time after which a runner ends that works for the request which ends it, and that it is gone then.
const WORK: Millis = 10;
const DOWN: Millis = 2_000;
/// Time that a runner works for a request of others.
const OTHER_WORK: std::ops::Range<Millis> = 600..2_500;
/// Time between two attempts of the request that ends runners, and between two others.
const POISON_EVERY: Millis = 400;
const OTHER_EVERY: Millis = 60;
/// When the last attempt comes that ends runners.
const POISON_END: Millis = 20_000;
/// Time between two comparisons of neighbours, and the longest time that a message takes.
const BEAT: Millis = 1_000;
const DELAY: Millis = 40;
/// Messages that are lost, of a hundred.
const LOST: u32 = 10;
const POISON: ContentId = 0;
const OTHERS: std::ops::RangeInclusive<ContentId> = 1..=3;
/// Runs of a poison request beyond the last crash that makes it one: those under way by then, and its
/// trials.
const LATER_RUNS: u32 = 3;
/// Time for a crash to be known everywhere, after which a run counts as later.
const KNOWN: Millis = 3_000;
/// Time after its last crash, and after that of anything that keeps processes apart, by which a request
/// of others is free.
const FREE: Millis = 10_000;

/// A guard that is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Nobody is told of an answer unless the request was held back where it came, and what neighbours
    /// know is never compared.
    ClearedAlone,
    /// Each process counts its own crashes.
    CountAlone,
    /// Requests that came after the end of a runner count as those that ended it.
    LateBlamed,
}

struct Message {
    due: Millis,
    to: usize,
    from: usize,
    body: Body,
}

enum Body {
    Report(Report<Start>),
    Beat(u64),
}

struct Process {
    known: Quarantine<Start>,
    links: Vec<usize>,
    born: Millis,
    paused_until: Millis,
    cut_until: Millis,
    /// Until when it was paused, cut off or new.
    disturbed_until: Millis,
}

/// A request at a runner.
struct Run {
    process: usize,
    content: ContentId,
    runner: Start,
    sent: Millis,
    ends: Millis,
}

struct World {
    mutation: Mutation,
    rng: StdRng,
    now: Millis,
    processes: Vec<Process>,
    messages: Vec<Message>,
    runs: Vec<Run>,
    /// Start of each runner, and until when it is gone.
    runners: [(u32, Millis); RUNNERS],
    /// Crashes by content, and of runners.
    crashes: BTreeMap<ContentId, Vec<Millis>>,
    ended: Vec<Millis>,
    /// Runs that ended runners, and whether their process could know what the others knew.
    poison_runs: Vec<(Millis, bool)>,
    disturbed: Millis,
    violations: Vec<String>,
    /// Requests of others that were refused.
    refused: usize,
}

fn time(millis: Millis) -> Duration {
    Duration::from_millis(millis)
}

impl World {
    fn new(mutation: Mutation, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count: usize = *[2, 4, 7, 12].choose(&mut rng).unwrap();
        let process = |number: usize, rng: &mut StdRng| Process {
            known: Quarantine::default(),
            links: links(number, &(0..count).collect::<Vec<_>>(), rng),
            born: 0,
            paused_until: 0,
            cut_until: 0,
            disturbed_until: 0,
        };
        Self {
            processes: (0..count).map(|number| process(number, &mut rng)).collect(),
            mutation,
            rng,
            now: 0,
            messages: Vec::new(),
            runs: Vec::new(),
            runners: [(0, 0); RUNNERS],
            crashes: BTreeMap::new(),
            ended: Vec::new(),
            poison_runs: Vec::new(),
            disturbed: 0,
            violations: Vec::new(),
            refused: 0,
        }
    }

    /// What went wrong, and how many requests of others were refused.
    fn play(mut self) -> (Vec<String>, usize) {
        while self.now < PLAY {
            self.end_runs();
            self.deliver();
            if self.now % POISON_EVERY == 0 && self.now < POISON_END {
                self.attempt(POISON);
            }
            if self.now % OTHER_EVERY == 0 {
                let content = self.rng.random_range(OTHERS);
                self.attempt(content);
            }
            if self.now % BEAT == 0 {
                self.compare();
            }
            self.disturb();
            self.now += WORK;
        }
        let third = self.poison_runs.get(CRASH_THRESHOLD as usize - 1);
        let known = third.map_or(PLAY, |(third, _)| third + KNOWN);
        let later = self.poison_runs.iter();
        let later = later.filter(|(run, is_sound)| *is_sound && *run > known);
        let later = later.count() as u32;
        if later > LATER_RUNS {
            self.violations
                .push(format!("{later} runs of a poison request"));
        }
        (self.violations, self.refused)
    }

    /// Pauses, cuts and starts, for the first half of the play in some of the plays.
    fn disturb(&mut self) {
        if self.now > POISON_END / 2 || !self.rng.random_ratio(1, 150) {
            return;
        }
        let number = self.rng.random_range(0..self.processes.len());
        let until = self.now + self.rng.random_range(100..2_500);
        self.disturbed = self.disturbed.max(until);
        let process = &mut self.processes[number];
        match self.rng.random_range(0..4) {
            0 => process.paused_until = until,
            1 => process.cut_until = until,
            // It is gone for good.
            2 => process.paused_until = 2 * PLAY,
            _ => {
                process.known = Quarantine::default();
                process.born = self.now;
                self.runs.retain(|run| run.process != number);
            }
        }
        process.disturbed_until = until;
    }

    fn clock(&self, process: usize) -> Duration {
        time(self.now - self.processes[process].born)
    }

    /// A caller sends a request to any process.
    fn attempt(&mut self, content: ContentId) {
        let number = self.rng.random_range(0..self.processes.len());
        if self.processes[number].paused_until > self.now {
            return;
        }
        let now = self.clock(number);
        let order = (number + content as usize) % self.processes.len();
        let known = &self.processes[number].known;
        let admission = known.admission(content, order as u32, now);
        if let Admission::Held(_) = admission {
            self.judge_hold(content);
            return;
        }
        if admission == Admission::Trial {
            let report = self.processes[number].known.begin_trial(content, now);
            self.announce(number, report);
        }
        let runner = self.rng.random_range(0..RUNNERS);
        let (start, gone_until) = self.runners[runner];
        let lost = gone_until > self.now;
        // One that is gone is known by its last start.
        let start = start - u32::from(lost);
        let is_sound = self.processes[number].disturbed_until + KNOWN <= self.now;
        if content == POISON && !lost {
            self.poison_runs.push((self.now, is_sound));
        }
        let work = match content {
            POISON => WORK,
            _ => self.rng.random_range(OTHER_WORK) / WORK * WORK,
        };
        self.runs.push(Run {
            process: number,
            content,
            runner: (runner, start),
            sent: self.now,
            ends: self.now + if lost { 0 } else { work },
        });
    }

    /// Requests of others must be free again some time after all that speaks against them.
    fn judge_hold(&mut self, content: ContentId) {
        if content != POISON {
            self.refused += 1;
        }
        let last = self.crashes.get(&content).and_then(|all| all.last());
        let last = last.copied().unwrap_or(0).max(self.disturbed);
        if content != POISON && last + FREE < self.now {
            let found = format!("{content} held at {} after {last}", self.now);
            self.violations.push(found);
        }
    }

    /// Ends the runs that are over, and the runners that a poison request has reached.
    fn end_runs(&mut self) {
        let now = self.now;
        let (over, rest) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.ends <= now);
        self.runs = rest;
        let over: Vec<Run> = over;
        for (number, runner) in self.runners.iter_mut().enumerate() {
            let is_ended = over
                .iter()
                .any(|run| run.content == POISON && run.runner == (number, runner.0));
            if is_ended && runner.1 <= now {
                *runner = (runner.0 + 1, now + DOWN);
                self.ended.push(now);
            }
        }
        for run in over {
            self.end_run(&run);
        }
    }

    fn end_run(&mut self, run: &Run) {
        let now = self.clock(run.process);
        let born = self.processes[run.process].born;
        if self.runners[run.runner.0].0 == run.runner.1 && run.ends > run.sent {
            let known = &mut self.processes[run.process].known;
            let merged = known.answered(run.content, &run.runner, now);
            let told = match merged {
                Merge::Known => false,
                Merge::New { was_held, .. } => was_held || self.mutation != Mutation::ClearedAlone,
            };
            let report = told.then(|| known.report(run.content, now)).flatten();
            self.announce(run.process, report);
            return;
        }
        let known = &mut self.processes[run.process].known;
        let sent = match self.mutation {
            Mutation::LateBlamed => time(0),
            _ => time(run.sent - born),
        };
        known.answer_lost(run.content, run.runner, sent, now);
        let reports = known.runner_exited(&run.runner, now);
        self.crashes.entry(run.content).or_default().push(self.now);
        for report in reports {
            if self.mutation != Mutation::CountAlone {
                self.announce(run.process, Some(report));
            }
        }
    }

    fn announce(&mut self, from: usize, report: Option<Report<Start>>) {
        let Some(report) = report else { return };
        for to in self.processes[from].links.clone() {
            self.send(from, to, Body::Report(report.clone()));
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        let cut = |number: usize| self.processes[number].cut_until > self.now;
        if cut(from) || cut(to) || self.rng.random_ratio(LOST, 100) {
            return;
        }
        let due = self.now + self.rng.random_range(1..DELAY);
        self.messages.push(Message {
            due,
            to,
            from,
            body,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let awake = |message: &Message| {
            message.due <= now && self.processes[message.to].paused_until <= now
        };
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(awake);
        self.messages = rest;
        for message in due {
            self.take(message);
        }
    }

    fn take(&mut self, message: Message) {
        let Message { to, from, body, .. } = message;
        let now = self.clock(to);
        match body {
            Body::Report(report) => {
                let known = &mut self.processes[to].known;
                if let Merge::New { .. } = known.merge(&report, now) {
                    let report = known.report(report.content, now);
                    if self.mutation != Mutation::CountAlone {
                        self.announce(to, report);
                    }
                }
            }
            Body::Beat(digest) => {
                let known = &self.processes[to].known;
                if known.digest() != digest {
                    for report in known.reports(now) {
                        self.send(to, from, Body::Report(report));
                    }
                }
            }
        }
    }

    /// Links to processes that are gone for good are replaced by others.
    fn replace_gone(&mut self) {
        let lives = |process: &Process| process.paused_until < PLAY;
        let living = |number: &usize| lives(&self.processes[*number]);
        let living: Vec<usize> = (0..self.processes.len()).filter(living).collect();
        for own in living.clone() {
            let process = &mut self.processes[own];
            if !process.links.iter().all(|link| living.contains(link)) {
                process.links = links(own, &living, &mut self.rng);
            }
        }
    }

    fn compare(&mut self) {
        if matches!(self.mutation, Mutation::CountAlone | Mutation::ClearedAlone) {
            return;
        }
        self.replace_gone();
        for from in 0..self.processes.len() {
            if self.processes[from].paused_until > self.now {
                continue;
            }
            let digest = self.processes[from].known.digest();
            for to in self.processes[from].links.clone() {
                self.send(from, to, Body::Beat(digest));
            }
        }
    }
}

/// Neighbours of a process among those that live: the ones beside it, so that all hang together, and
/// some others.
fn links(own: usize, living: &[usize], rng: &mut StdRng) -> Vec<usize> {
    let place = living.iter().position(|number| *number == own).unwrap_or(0);
    let count = living.len();
    let mut links = vec![
        living[(place + 1) % count],
        living[(place + count - 1) % count],
    ];
    links.extend((0..2).filter_map(|_| living.choose(rng)));
    links.sort_unstable();
    links.dedup();
    links.retain(|link| *link != own);
    links
}

/// What went wrong in all plays, and how many requests of others were refused.
fn plays(mutation: Mutation) -> (Vec<String>, usize) {
    let mut all = Vec::new();
    let mut refusals = 0;
    for seed in 0..PLAYS {
        let (found, refused) = World::new(mutation, seed).play();
        all.extend(found.into_iter().map(|what| format!("{seed}: {what}")));
        refusals += refused;
    }
    println!(
        "{mutation:?}: {}, {:?}; {refusals} refused",
        all.len(),
        all.first()
    );
    (all, refusals)
}

/// Guards against innocent requests that stay held back, and a poison request that goes on to end
/// runners.
#[test]
fn beliefs_agree() {
    let (found, _) = plays(Mutation::None);
    assert!(found.is_empty(), "{} of them: {found:#?}", found.len());
}

/// Each guard is needed: without it requests of others stay held back, or the poison request runs on.
#[test]
fn guards_needed() {
    for mutation in [Mutation::CountAlone, Mutation::LateBlamed] {
        let (found, _) = plays(mutation);
        assert!(!found.is_empty(), "{mutation:?}");
    }
}

/// Guards against refusals of requests that other processes know to be harmless.
#[test]
fn answers_announced() {
    let (_, with) = plays(Mutation::None);
    let (_, without) = plays(Mutation::ClearedAlone);
    assert!(without > 3 * with, "{with} refused, {without} without");
}
