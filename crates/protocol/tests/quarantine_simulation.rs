//! Seeded simulation of processes that exchange reports about poison requests, in virtual time.
//! Messages are lost, late and duplicated; processes start late, are paused and are partitioned.
//!
//! A request that crashes runners is sent again and again to any process, while other requests run
//! at the same runners. The removal of any guard causes a violation for some seed.
#![allow(clippy::unwrap_used, missing_docs)]

use protocol::ContentId;
use protocol::quarantine::{Admission, CRASH_THRESHOLD, Merge, Quarantine, Report};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Milliseconds since the start of the simulation.
type Millis = u64;
/// One start of a runner.
type RunnerInstance = (usize, u32);

const SEEDS: u64 = 150;
const DURATION: Millis = 45_000;
const RUNNERS: usize = 4;
/// Time after which a runner crashes that runs the poison request, and time until it has restarted.
const POISON_RUN_TIME: Millis = 10;
const RESTART_TIME: Millis = 2_000;
/// Run time of other requests.
const OTHER_RUN_TIME: std::ops::Range<Millis> = 600..2_500;
/// Interval between attempts of the poison request, and of other requests.
const POISON_INTERVAL: Millis = 400;
const OTHER_INTERVAL: Millis = 60;
/// When the last poison request is sent.
const POISON_END: Millis = 20_000;
/// Interval between exchanges of digests, and maximum delay of a message.
const DIGEST_INTERVAL: Millis = 1_000;
const MAX_DELAY: Millis = 40;
/// Percentage of messages that are lost.
const LOST_PERCENT: u32 = 10;
const POISON: ContentId = 0;
const OTHERS: std::ops::RangeInclusive<ContentId> = 1..=3;
/// Maximum number of runs of a poison request after the crash that quarantines it: those in
/// progress at that time, and its trials.
const MAX_LATER_RUNS: u32 = 3;
/// Time in which a crash becomes known everywhere; runs after that count as later runs.
const PROPAGATION: Millis = 3_000;
/// Time after the last crash of another request, and after the last fault of a process, by which
/// the request must no longer be quarantined.
const RELEASE: Millis = 10_000;

/// A guard that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Responses are announced only if the request was quarantined at that process, and digests are
    /// not exchanged.
    KeepClearsLocal,
    /// Each process counts only its own crashes.
    KeepCrashesLocal,
    /// Requests that were sent after the exit of a runner count as if they had crashed it.
    BlameLaterRequests,
}

struct Message {
    due: Millis,
    to: usize,
    from: usize,
    body: Body,
}

enum Body {
    Report(Report<RunnerInstance>),
    Digest(u64),
}

struct Process {
    known: Quarantine<RunnerInstance>,
    links: Vec<usize>,
    started_at: Millis,
    paused_until: Millis,
    partitioned_until: Millis,
    /// Until when the process was paused, partitioned or restarting.
    faulty_until: Millis,
}

/// A request at a runner.
struct Run {
    process: usize,
    content: ContentId,
    runner: RunnerInstance,
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
    /// Instance number of each runner, and until when it is down.
    runners: [(u32, Millis); RUNNERS],
    /// Times of crashes by request, and of all exits of runners.
    crashes: BTreeMap<ContentId, Vec<Millis>>,
    ended: Vec<Millis>,
    /// Times of runs that crashed runners, and whether their process could know what the others
    /// knew.
    poison_runs: Vec<(Millis, bool)>,
    last_fault_until: Millis,
    violations: Vec<String>,
    /// Number of other requests that were refused.
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
            links: choose_links(number, &(0..count).collect::<Vec<_>>(), rng),
            started_at: 0,
            paused_until: 0,
            partitioned_until: 0,
            faulty_until: 0,
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
            last_fault_until: 0,
            violations: Vec::new(),
            refused: 0,
        }
    }

    /// Returns the violations, and the number of other requests that were refused.
    fn run(mut self) -> (Vec<String>, usize) {
        while self.now < DURATION {
            self.finish_runs();
            self.deliver();
            if self.now % POISON_INTERVAL == 0 && self.now < POISON_END {
                self.send_attempt(POISON);
            }
            if self.now % OTHER_INTERVAL == 0 {
                let content = self.rng.random_range(OTHERS);
                self.send_attempt(content);
            }
            if self.now % DIGEST_INTERVAL == 0 {
                self.send_digests();
            }
            self.inject_fault();
            self.now += POISON_RUN_TIME;
        }
        let threshold_run = self.poison_runs.get(CRASH_THRESHOLD as usize - 1);
        let known =
            threshold_run.map_or(DURATION, |(threshold_run, _)| threshold_run + PROPAGATION);
        let later = self.poison_runs.iter();
        let later = later.filter(|(run, is_sound)| *is_sound && *run > known);
        let later = later.count() as u32;
        if later > MAX_LATER_RUNS {
            self.violations
                .push(format!("{later} runs of a poison request"));
        }
        (self.violations, self.refused)
    }

    /// Injects pauses, partitions and restarts at random during the first half of the poison
    /// requests.
    fn inject_fault(&mut self) {
        if self.now > POISON_END / 2 || !self.rng.random_ratio(1, 150) {
            return;
        }
        let number = self.rng.random_range(0..self.processes.len());
        let until = self.now + self.rng.random_range(100..2_500);
        self.last_fault_until = self.last_fault_until.max(until);
        let process = &mut self.processes[number];
        match self.rng.random_range(0..4) {
            0 => process.paused_until = until,
            1 => process.partitioned_until = until,
            // The process is gone for good.
            2 => process.paused_until = 2 * DURATION,
            _ => {
                process.known = Quarantine::default();
                process.started_at = self.now;
                self.runs.retain(|run| run.process != number);
            }
        }
        process.faulty_until = until;
    }

    fn clock(&self, process: usize) -> Duration {
        time(self.now - self.processes[process].started_at)
    }

    /// A client sends a request to any process.
    fn send_attempt(&mut self, content: ContentId) {
        let number = self.rng.random_range(0..self.processes.len());
        if self.processes[number].paused_until > self.now {
            return;
        }
        let now = self.clock(number);
        let order = (number + content as usize) % self.processes.len();
        let known = &self.processes[number].known;
        let admission = known.admission(content, order as u32, now);
        if let Admission::Held(_) = admission {
            self.check_hold(content);
            return;
        }
        if admission == Admission::Trial {
            let report = self.processes[number].known.begin_trial(content, now);
            self.announce(number, report);
        }
        let runner = self.rng.random_range(0..RUNNERS);
        let (start, gone_until) = self.runners[runner];
        let lost = gone_until > self.now;
        // A runner that is down is known by its previous instance.
        let start = start - u32::from(lost);
        let is_sound = self.processes[number].faulty_until + PROPAGATION <= self.now;
        if content == POISON && !lost {
            self.poison_runs.push((self.now, is_sound));
        }
        let work = match content {
            POISON => POISON_RUN_TIME,
            _ => self.rng.random_range(OTHER_RUN_TIME) / POISON_RUN_TIME * POISON_RUN_TIME,
        };
        self.runs.push(Run {
            process: number,
            content,
            runner: (runner, start),
            sent: self.now,
            ends: self.now + if lost { 0 } else { work },
        });
    }

    /// Other requests must be admitted again some time after the last crash attributed to them.
    fn check_hold(&mut self, content: ContentId) {
        if content != POISON {
            self.refused += 1;
        }
        let last = self.crashes.get(&content).and_then(|all| all.last());
        let last = last.copied().unwrap_or(0).max(self.last_fault_until);
        if content != POISON && last + RELEASE < self.now {
            let violation = format!(
                "request {content} quarantined at {} ms, last crash or fault at {last} ms",
                self.now
            );
            self.violations.push(violation);
        }
    }

    /// Finishes runs whose time is over, and crashes the runners that a poison request has reached.
    fn finish_runs(&mut self) {
        let now = self.now;
        let (finished, rest) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.ends <= now);
        self.runs = rest;
        let finished: Vec<Run> = finished;
        for (number, runner) in self.runners.iter_mut().enumerate() {
            let is_crashed = finished
                .iter()
                .any(|run| run.content == POISON && run.runner == (number, runner.0));
            if is_crashed && runner.1 <= now {
                *runner = (runner.0 + 1, now + RESTART_TIME);
                self.ended.push(now);
            }
        }
        for run in finished {
            self.finish_run(&run);
        }
    }

    fn finish_run(&mut self, run: &Run) {
        let now = self.clock(run.process);
        let started_at = self.processes[run.process].started_at;
        if self.runners[run.runner.0].0 == run.runner.1 && run.ends > run.sent {
            let known = &mut self.processes[run.process].known;
            let merged = known.answered(run.content, &run.runner, now);
            let should_announce = match merged {
                Merge::Known => false,
                Merge::New { was_held, .. } => {
                    was_held || self.mutation != Mutation::KeepClearsLocal
                }
            };
            let report = should_announce
                .then(|| known.report(run.content, now))
                .flatten();
            self.announce(run.process, report);
            return;
        }
        let known = &mut self.processes[run.process].known;
        let sent = match self.mutation {
            Mutation::BlameLaterRequests => time(0),
            _ => time(run.sent - started_at),
        };
        known.answer_lost(run.content, run.runner, sent, now);
        let reports = known.runner_exited(&run.runner, now);
        self.crashes.entry(run.content).or_default().push(self.now);
        for report in reports {
            if self.mutation != Mutation::KeepCrashesLocal {
                self.announce(run.process, Some(report));
            }
        }
    }

    fn announce(&mut self, from: usize, report: Option<Report<RunnerInstance>>) {
        let Some(report) = report else { return };
        for to in self.processes[from].links.clone() {
            self.send(from, to, Body::Report(report.clone()));
        }
    }

    fn send(&mut self, from: usize, to: usize, body: Body) {
        let is_partitioned = |number: usize| self.processes[number].partitioned_until > self.now;
        if is_partitioned(from) || is_partitioned(to) || self.rng.random_ratio(LOST_PERCENT, 100) {
            return;
        }
        let due = self.now + self.rng.random_range(1..MAX_DELAY);
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
            self.deliver_message(message);
        }
    }

    fn deliver_message(&mut self, message: Message) {
        let Message { to, from, body, .. } = message;
        let now = self.clock(to);
        match body {
            Body::Report(report) => {
                let known = &mut self.processes[to].known;
                if let Merge::New { .. } = known.merge(&report, now) {
                    let report = known.report(report.content, now);
                    if self.mutation != Mutation::KeepCrashesLocal {
                        self.announce(to, report);
                    }
                }
            }
            Body::Digest(digest) => {
                let known = &self.processes[to].known;
                if known.digest() != digest {
                    for report in known.reports(now) {
                        self.send(to, from, Body::Report(report));
                    }
                }
            }
        }
    }

    /// Replaces links to processes that are gone for good.
    fn replace_gone_links(&mut self) {
        let runs_on = |process: &Process| process.paused_until < DURATION;
        let running = |number: &usize| runs_on(&self.processes[*number]);
        let running: Vec<usize> = (0..self.processes.len()).filter(running).collect();
        for own in running.clone() {
            let process = &mut self.processes[own];
            if !process.links.iter().all(|link| running.contains(link)) {
                process.links = choose_links(own, &running, &mut self.rng);
            }
        }
    }

    fn send_digests(&mut self) {
        if matches!(
            self.mutation,
            Mutation::KeepCrashesLocal | Mutation::KeepClearsLocal
        ) {
            return;
        }
        self.replace_gone_links();
        for from in 0..self.processes.len() {
            if self.processes[from].paused_until > self.now {
                continue;
            }
            let digest = self.processes[from].known.digest();
            for to in self.processes[from].links.clone() {
                self.send(from, to, Body::Digest(digest));
            }
        }
    }
}

/// Chooses a process's links among the running ones: its neighbors, so that all processes are
/// connected, and some others.
fn choose_links(own: usize, running: &[usize], rng: &mut StdRng) -> Vec<usize> {
    let place = running
        .iter()
        .position(|number| *number == own)
        .unwrap_or(0);
    let count = running.len();
    let mut links = vec![
        running[(place + 1) % count],
        running[(place + count - 1) % count],
    ];
    links.extend((0..2).filter_map(|_| running.choose(rng)));
    links.sort_unstable();
    links.dedup();
    links.retain(|link| *link != own);
    links
}

/// Violations of all seeds, and the number of other requests that were refused.
fn run_all(mutation: Mutation) -> (Vec<String>, usize) {
    let mut all = Vec::new();
    let mut refusals = 0;
    for seed in 0..SEEDS {
        let (violations, refused) = World::new(mutation, seed).run();
        all.extend(violations.into_iter().map(|what| format!("{seed}: {what}")));
        refusals += refused;
    }
    println!(
        "{mutation:?}: {}, {:?}; {refusals} refused",
        all.len(),
        all.first()
    );
    (all, refusals)
}

/// Guards against harmless requests that stay quarantined, and a poison request that keeps crashing
/// runners.
#[test]
fn views_converge() {
    let (violations, _) = run_all(Mutation::None);
    assert!(
        violations.is_empty(),
        "{} violations: {violations:#?}",
        violations.len()
    );
}

/// Each guard is needed: without it, other requests stay quarantined, or the poison request runs
/// on.
#[test]
fn each_guard_is_needed() {
    for mutation in [Mutation::KeepCrashesLocal, Mutation::BlameLaterRequests] {
        let (violations, _) = run_all(mutation);
        assert!(!violations.is_empty(), "{mutation:?}");
    }
}

/// Guards against refusing requests that other processes know to be harmless.
#[test]
fn announced_responses_prevent_refusals() {
    let (_, with) = run_all(Mutation::None);
    let (_, without) = run_all(Mutation::KeepClearsLocal);
    assert!(
        without > 3 * with,
        "{with} refused with announcements, {without} without"
    );
}
