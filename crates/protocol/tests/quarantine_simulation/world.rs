//! Processes, runners and requests in virtual time.

use crate::messages::{Message, choose_links};
use protocol::ContentId;
use protocol::quarantine::{CRASH_THRESHOLD, Merge, Quarantine};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// Milliseconds since the start of the simulation.
pub(crate) type Millis = u64;
/// One start of a runner.
pub(crate) type RunnerInstance = (usize, u32);

pub(crate) const DURATION: Millis = 45_000;
pub(crate) const RUNNERS: usize = 4;
/// Time after which a runner crashes that runs the poison request, and time until it has restarted.
pub(crate) const POISON_RUN_TIME: Millis = 10;
pub(crate) const RESTART_TIME: Millis = 2_000;
/// Run time of other requests.
pub(crate) const OTHER_RUN_TIME: std::ops::Range<Millis> = 600..2_500;
/// Interval between attempts of the poison request, and of other requests.
pub(crate) const POISON_INTERVAL: Millis = 400;
pub(crate) const OTHER_INTERVAL: Millis = 60;
/// Interval at which waiting attempts are checked.
pub(crate) const WAIT_POLL_INTERVAL: Millis = 50;
/// When the last poison request is sent.
pub(crate) const POISON_END: Millis = 20_000;
/// Interval between exchanges of digests.
pub(crate) const DIGEST_INTERVAL: Millis = 1_000;
/// Contents of the poison request and of the others.
pub(crate) const POISON: ContentId = 0;
pub(crate) const OTHERS: std::ops::RangeInclusive<ContentId> = 1..=3;
/// Maximum number of runs of a poison request after the crash that quarantines it: those in
/// progress at that time, and its trials.
pub(crate) const MAX_LATER_RUNS: u32 = 3;
/// Time in which a crash becomes known everywhere; runs after that count as later runs.
pub(crate) const PROPAGATION: Millis = 3_000;

/// How attempts are made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Maximum number of attempts of the poison request at once.
    pub(crate) poison_attempts: u32,
    /// Whether attempts wait for runners and for trials. Otherwise they are sent or refused at once.
    pub(crate) waits: bool,
    /// Time after the last crash of another request, and after the last fault of a process, by which
    /// the request must no longer be quarantined.
    pub(crate) release: Millis,
    /// Number of failed trials up to which that holds.
    pub(crate) max_failed_trials: u32,
}

/// A guard that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    None,
    /// Responses are announced only if the request was quarantined at that process, and digests are
    /// not exchanged.
    KeepClearsLocal,
    /// Each process counts only its own crashes.
    KeepCrashesLocal,
    /// Requests that were sent after the exit of a runner count as if they had crashed it.
    BlameLaterRequests,
    /// Requests whose crashes may be a coincidence are sent without waiting for a turn.
    SendDeferred,
    /// Each process grants itself the trials that it takes to be due.
    GrantLocally,
}

pub(crate) struct Process {
    pub(crate) known: Quarantine<RunnerInstance>,
    pub(crate) links: Vec<usize>,
    pub(crate) started_at: Millis,
    pub(crate) paused_at: Millis,
    pub(crate) paused_until: Millis,
    pub(crate) partitioned_until: Millis,
    /// Until when the process was paused, partitioned or restarting.
    pub(crate) faulty_until: Millis,
}

/// An attempt that waits at a process until it may be sent to a runner.
pub(crate) struct Waiter {
    pub(crate) process: usize,
    pub(crate) content: ContentId,
    pub(crate) since: Millis,
    /// When it last claimed a trial.
    pub(crate) claimed_at: Option<Millis>,
}

/// A request at a runner.
pub(crate) struct Run {
    pub(crate) process: usize,
    pub(crate) content: ContentId,
    pub(crate) runner: RunnerInstance,
    pub(crate) sent: Millis,
    pub(crate) ends: Millis,
    pub(crate) is_trial: bool,
}

pub(crate) struct World {
    pub(crate) mutation: Mutation,
    pub(crate) load: Load,
    pub(crate) rng: StdRng,
    pub(crate) now: Millis,
    pub(crate) processes: Vec<Process>,
    pub(crate) messages: Vec<Message>,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) runs: Vec<Run>,
    /// Instance number of each runner, and until when it is down.
    pub(crate) runners: [(u32, Millis); RUNNERS],
    /// Number of failed trials since the last complete response, by request.
    pub(crate) failed_trials: BTreeMap<ContentId, u32>,
    /// Times of crashes by request, and of all exits of runners.
    pub(crate) crashes: BTreeMap<ContentId, Vec<Millis>>,
    pub(crate) ended: Vec<Millis>,
    /// Times of runs that crashed runners, and whether their process could know what the others
    /// knew.
    pub(crate) poison_runs: Vec<(Millis, bool)>,
    pub(crate) last_fault_until: Millis,
    pub(crate) violations: Vec<String>,
    /// Number of other requests that were refused.
    pub(crate) refused: usize,
}

pub(crate) fn time(millis: Millis) -> Duration {
    Duration::from_millis(millis)
}

impl World {
    pub(crate) fn new(mutation: Mutation, load: Load, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count: usize = *[2, 4, 7, 12].choose(&mut rng).unwrap();
        let process = |number: usize, rng: &mut StdRng| Process {
            known: Quarantine::default(),
            links: choose_links(number, &(0..count).collect::<Vec<_>>(), rng),
            started_at: 0,
            paused_at: 0,
            paused_until: 0,
            partitioned_until: 0,
            faulty_until: 0,
        };
        Self {
            processes: (0..count).map(|number| process(number, &mut rng)).collect(),
            mutation,
            load,
            rng,
            now: 0,
            messages: Vec::new(),
            waiters: Vec::new(),
            runs: Vec::new(),
            runners: [(0, 0); RUNNERS],
            failed_trials: BTreeMap::new(),
            crashes: BTreeMap::new(),
            ended: Vec::new(),
            poison_runs: Vec::new(),
            last_fault_until: 0,
            violations: Vec::new(),
            refused: 0,
        }
    }

    /// Returns the violations, and the number of other requests that were refused.
    pub(crate) fn run(mut self) -> (Vec<String>, usize) {
        while self.now < DURATION {
            self.finish_runs();
            self.deliver();
            if self.now % POISON_INTERVAL == 0 && self.now < POISON_END {
                let attempts = match self.load.poison_attempts {
                    1 => 1,
                    most => self.rng.random_range(1..=most),
                };
                (0..attempts).for_each(|_| self.send_attempt(POISON));
            }
            if self.now % OTHER_INTERVAL == 0 {
                let content = self.rng.random_range(OTHERS);
                self.send_attempt(content);
            }
            if self.now % WAIT_POLL_INTERVAL == 0 {
                self.poll_waiters();
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
    pub(crate) fn inject_fault(&mut self) {
        if self.now > POISON_END / 2 || !self.rng.random_ratio(1, 150) {
            return;
        }
        let number = self.rng.random_range(0..self.processes.len());
        let until = self.now + self.rng.random_range(100..2_500);
        self.last_fault_until = self.last_fault_until.max(until);
        let process = &mut self.processes[number];
        process.paused_at = self.now;
        match self.rng.random_range(0..4) {
            0 => process.paused_until = until,
            1 => process.partitioned_until = until,
            // The process is gone for good.
            2 => process.paused_until = 2 * DURATION,
            _ => {
                process.known = Quarantine::default();
                process.started_at = self.now;
                self.runs.retain(|run| run.process != number);
                self.waiters.retain(|waiter| waiter.process != number);
            }
        }
        process.faulty_until = until;
    }

    pub(crate) fn clock(&self, process: usize) -> Duration {
        time(self.now - self.processes[process].started_at)
    }

    /// Other requests must be admitted again some time after the last crash attributed to them.
    pub(crate) fn check_hold(&mut self, content: ContentId) {
        if content != POISON {
            self.refused += 1;
        }
        let last = self.crashes.get(&content).and_then(|all| all.last());
        let last = last.copied().unwrap_or(0).max(self.last_fault_until);
        let failed_trials = self.failed_trials.get(&content).copied().unwrap_or(0);
        let is_over = last + self.load.release < self.now;
        if content != POISON && is_over && failed_trials <= self.load.max_failed_trials {
            let violation = format!(
                "request {content} quarantined at {} ms, last crash or fault at {last} ms",
                self.now
            );
            self.violations.push(violation);
        }
    }

    /// Finishes runs whose time is over, and crashes the runners that a poison request has reached.
    pub(crate) fn finish_runs(&mut self) {
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

    pub(crate) fn finish_run(&mut self, run: &Run) {
        let now = self.clock(run.process);
        let started_at = self.processes[run.process].started_at;
        let known = &mut self.processes[run.process].known;
        known.attempt_ended(run.content, &run.runner);
        if self.runners[run.runner.0].0 == run.runner.1 && run.ends > run.sent {
            self.failed_trials.remove(&run.content);
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
        *self.failed_trials.entry(run.content).or_default() += u32::from(run.is_trial);
        for report in reports {
            if self.mutation != Mutation::KeepCrashesLocal {
                self.announce(run.process, Some(report));
            }
        }
    }
}
