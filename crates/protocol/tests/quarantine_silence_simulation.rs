//! Seeded simulation of processes that share what they know of unresponsive runners, in virtual time.
//!
//! A request that makes its runners unresponsive is sent again and again to any process, beside other
//! requests, one of them popular. At first, the processes disagree on the one that counts unresponsive
//! runners, as after a start. The removal of any guard causes a violation for some seed.
#![allow(clippy::unwrap_used, missing_docs)]

use protocol::ContentId;
use protocol::quarantine::{
    ANNOUNCE_THRESHOLD, Admission, CRASH_THRESHOLD, Merge, Quarantine, Report, SILENCE_TIMEOUT,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

type Millis = u64;
/// One start of a runner.
type RunnerInstance = (usize, u32);

const SEEDS: u64 = 150;
const STEP: Millis = 10;
/// Time of a play, too short for the first trial: the request is tried at the earliest when the third
/// runner is known to have exited.
const BEFORE_TRIALS: Millis = 5_000;
/// Time of a play in which requests may be held for as long as an unresponsive runner counts.
const WITH_HOLD: Millis = 8_000;
const RUNNERS: usize = 12;
const POISON: ContentId = 0;
const POPULAR: ContentId = 1;
/// Interval between requests of other clients, and their run time.
const OTHER_INTERVAL: Millis = 30;
const OTHER_RUN_TIME: Millis = 200;
/// Time after which a client gives up, and time that an attempt waits for its admission.
const CLIENT_TIMEOUT: Millis = 2_000;
const MAX_WAIT: Millis = 1_000;
/// Time after which the exit of an unresponsive runner is known, and after which it has restarted.
const LISTED_AFTER_EXIT: Millis = 2_700;
const RESTART_TIME: Millis = 4_000;
/// Time in which a message arrives and waiting attempts notice its content.
const PROPAGATION: Millis = 100;
/// Interval at which processes read the list of processes.
const LIST_POLL_INTERVAL: Millis = 2_000;
/// Time for which the processes announce single unresponsive runners, since their views of one another
/// may differ.
const UNSETTLED_TIME: Millis = 4_000;
/// Largest share of the other requests that may be refused: those that a chance makes suspects.
const MAX_REFUSED_SHARE: f64 = 0.01;

/// A guard that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Attempts do not wait for those in progress.
    SendDeferred,
    /// Each process grants itself the attempts that it takes to be due.
    GrantLocally,
    /// A single unresponsive runner is reported to the process that counts them, although the processes
    /// may disagree on which one that is.
    ReportToOwner,
    /// Attempts that were sent before a response to the same request count as if there were none.
    ForgetAnswers,
}

struct Run {
    process: usize,
    content: ContentId,
    runner: RunnerInstance,
    sent: Millis,
    is_noted: bool,
}

struct Waiter {
    process: usize,
    content: ContentId,
    since: Millis,
}

struct Message {
    arrives: Millis,
    to: usize,
    report: Report<RunnerInstance>,
}

struct World {
    mutation: Mutation,
    rng: StdRng,
    now: Millis,
    known: Vec<Quarantine<RunnerInstance>>,
    /// When the processes agree on the one that counts unresponsive runners.
    agreed_from: Millis,
    /// Start of each runner, and since when it is unresponsive.
    runners: [(u32, Option<Millis>); RUNNERS],
    runs: Vec<Run>,
    waiters: Vec<Waiter>,
    messages: Vec<Message>,
    poison_runs: Vec<Millis>,
    /// Runners that were found to be unresponsive under the poison request, and when.
    noted: Vec<(RunnerInstance, Millis)>,
    others: usize,
    refused: usize,
}

impl World {
    fn new(mutation: Mutation, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count: usize = *[2, 4, 7, 12].choose(&mut rng).unwrap();
        Self {
            mutation,
            now: 0,
            known: vec![Quarantine::default(); count],
            agreed_from: rng.random_range(0..LIST_POLL_INTERVAL),
            runners: [(0, None); RUNNERS],
            runs: Vec::new(),
            waiters: Vec::new(),
            messages: Vec::new(),
            poison_runs: Vec::new(),
            noted: Vec::new(),
            others: 0,
            refused: 0,
            rng,
        }
    }

    fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    /// The process that counts unresponsive runners and grants attempts, as another one sees it.
    fn owner(&self, process: usize) -> usize {
        match self.now < self.agreed_from {
            true => process,
            false => 0,
        }
    }

    /// Number of late runs of the poison request, and the share of the other requests that was refused.
    fn run(mut self, duration: Millis) -> (usize, f64) {
        let interval = self.rng.random_range(25..160) * STEP;
        let burst = self.rng.random_range(1..=2);
        while self.now < duration {
            self.restart_runners();
            self.deliver();
            self.advance_runs();
            if self.now % interval == 0 {
                (0..burst).for_each(|_| self.send_attempt(POISON));
            }
            if self.now % OTHER_INTERVAL == 0 {
                let is_popular = self.rng.random_ratio(1, 4);
                let other = self.rng.random_range(2..40);
                self.others += 1;
                self.send_attempt(if is_popular { POPULAR } else { other });
            }
            if self.now % (5 * STEP) == 0 {
                let waiters = std::mem::take(&mut self.waiters);
                waiters.into_iter().for_each(|waiter| self.admit(waiter));
            }
            self.now += STEP;
        }
        let second = self.noted.get(ANNOUNCE_THRESHOLD as usize - 1);
        let known_from = second.map_or(duration, |(_, second)| second + PROPAGATION);
        let late = self.poison_runs.iter().filter(|sent| **sent > known_from);
        (late.count(), self.refused as f64 / self.others as f64)
    }

    fn send_attempt(&mut self, content: ContentId) {
        let process = self.rng.random_range(0..self.known.len());
        let since = self.now;
        self.admit(Waiter {
            process,
            content,
            since,
        });
    }

    /// Sends an attempt to a runner, refuses it or keeps it waiting.
    fn admit(&mut self, waiter: Waiter) {
        let (process, content) = (waiter.process, waiter.content);
        let now = self.clock();
        let admission = self.known[process].admission(content, 0, now);
        let may_spread = self.known[process].may_spread(content, now);
        let is_sent = match admission {
            _ if !may_spread => false,
            Admission::Free => true,
            Admission::Deferred(_) => self.mutation == Mutation::SendDeferred,
            Admission::Turn | Admission::Trial => self.is_granted(process, content),
            Admission::Held(_) => false,
        };
        let is_held = matches!(admission, Admission::Held(_));
        if is_sent {
            self.send_run(process, content);
        } else if is_held || self.now >= waiter.since + MAX_WAIT {
            self.refused += usize::from(content != POISON);
        } else {
            self.waiters.push(waiter);
        }
    }

    fn is_granted(&mut self, process: usize, content: ContentId) -> bool {
        let granting = match self.mutation {
            Mutation::GrantLocally => process,
            _ => self.owner(process),
        };
        let now = self.clock();
        let granted = self.known[granting].grant_trial(content, 0, now);
        let is_granted = granted.is_some();
        granted
            .into_iter()
            .for_each(|report| self.announce(granting, &report));
        is_granted
    }

    fn send_run(&mut self, process: usize, content: ContentId) {
        let now = self.clock();
        let silent: Vec<RunnerInstance> =
            self.known[process].silent_runners(now).copied().collect();
        let instances = (0..RUNNERS).map(|runner| (runner, self.runners[runner].0));
        let open: Vec<RunnerInstance> = instances.filter(|one| !silent.contains(one)).collect();
        let Some(runner) = open.choose(&mut self.rng).copied() else {
            return;
        };
        let state = &mut self.runners[runner.0];
        if content == POISON && state.1.is_none() {
            self.poison_runs.push(self.now);
            state.1 = Some(self.now);
        }
        self.known[process].attempt_started(content, runner);
        self.runs.push(Run {
            process,
            content,
            runner,
            sent: self.now,
            is_noted: false,
        });
    }

    fn restart_runners(&mut self) {
        for runner in 0..RUNNERS {
            let (start, silent_since) = self.runners[runner];
            let down = silent_since.map(|since| self.now - since);
            if down == Some(LISTED_AFTER_EXIT) {
                self.report_exit((runner, start));
            }
            if down >= Some(RESTART_TIME) {
                self.runners[runner] = (start + 1, None);
            }
        }
    }

    fn report_exit(&mut self, runner: RunnerInstance) {
        let now = self.clock();
        for process in 0..self.known.len() {
            for report in self.known[process].runner_exited(&runner, now) {
                self.announce(process, &report);
            }
        }
    }

    fn advance_runs(&mut self) {
        let now = self.clock();
        for mut run in std::mem::take(&mut self.runs) {
            let (start, silent_since) = self.runners[run.runner.0];
            let is_alive =
                start == run.runner.1 && silent_since.is_none_or(|since| since > run.sent);
            let is_silent = start == run.runner.1 && silent_since.is_some();
            let age = self.now - run.sent;
            if is_alive && !is_silent && age >= OTHER_RUN_TIME {
                self.known[run.process].attempt_ended(run.content, &run.runner);
                if self.mutation != Mutation::ForgetAnswers {
                    self.known[run.process].request_answered(run.content, now);
                }
                if let Merge::New { .. } =
                    self.known[run.process].answered(run.content, &run.runner, now)
                {
                    self.announce_known(run.process, run.content);
                }
                continue;
            }
            if !run.is_noted && age >= SILENCE_TIMEOUT.as_millis() as Millis {
                run.is_noted = true;
                self.note(&run);
            }
            if age >= CLIENT_TIMEOUT {
                self.known[run.process].attempt_ended(run.content, &run.runner);
                continue;
            }
            self.runs.push(run);
        }
    }

    fn note(&mut self, run: &Run) {
        let (sent, now) = (Duration::from_millis(run.sent), self.clock());
        let known = &mut self.known[run.process];
        let report = known.runner_unresponsive(run.content, &run.runner, sent, now);
        let Some(report) = report else { return };
        let is_cause = run.content == POISON && self.runners[run.runner.0].1 == Some(run.sent);
        let is_noted = self.noted.iter().any(|(runner, _)| *runner == run.runner);
        if is_cause && !is_noted {
            self.noted.push((run.runner, self.now));
        }
        if self.must_announce(&report) {
            self.announce(run.process, &report);
        } else if self.owner(run.process) != run.process {
            self.send(self.owner(run.process), &report);
        }
    }

    fn must_announce(&self, report: &Report<RunnerInstance>) -> bool {
        let is_unsettled = self.now < UNSETTLED_TIME && self.mutation != Mutation::ReportToOwner;
        let is_known =
            !report.crashes.is_empty() || report.cleared.is_some() || report.tried.is_some();
        is_known || is_unsettled || report.silences.len() >= ANNOUNCE_THRESHOLD as usize
    }

    fn announce_known(&mut self, process: usize, content: ContentId) {
        let report = self.known[process].report(content, self.clock());
        if let Some(report) = report.filter(|report| self.must_announce(report)) {
            self.announce(process, &report);
        }
    }

    fn announce(&mut self, from: usize, report: &Report<RunnerInstance>) {
        (0..self.known.len())
            .filter(|to| *to != from)
            .for_each(|to| self.send(to, report));
    }

    fn send(&mut self, to: usize, report: &Report<RunnerInstance>) {
        let arrives = self.now + self.rng.random_range(1..5) * STEP;
        let report = report.clone();
        self.messages.push(Message {
            arrives,
            to,
            report,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let is_due = |message: &Message| message.arrives <= now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(is_due);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            let merged = self.known[message.to].merge(&message.report, Duration::from_millis(now));
            if let Merge::New { .. } = merged {
                self.announce_known(message.to, message.report.content);
            }
        }
    }
}

/// Largest number of late runs of a seed, and the share of all other requests that was refused.
fn run_all(mutation: Mutation, duration: Millis) -> (usize, f64) {
    let plays: Vec<(usize, f64)> = (0..SEEDS)
        .map(|seed| World::new(mutation, seed).run(duration))
        .collect();
    let late = plays.iter().map(|(late, _)| *late).max().unwrap_or(0);
    let refused = plays.iter().map(|(_, refused)| refused).sum::<f64>() / plays.len() as f64;
    println!("{mutation:?}: {late} late runs, {refused:.5} refused");
    (late, refused)
}

/// Number of runs that may follow once two runners are known to be unresponsive.
const MAX_LATE_RUNS: usize = (CRASH_THRESHOLD - ANNOUNCE_THRESHOLD) as usize;

/// Guards against a request that reaches further runners after two are known to be unresponsive under
/// it, while attempts at other processes are in progress.
#[test]
fn late_runs_are_bounded() {
    let (late, _) = run_all(Mutation::None, BEFORE_TRIALS);
    assert!(late <= MAX_LATE_RUNS, "{late}");
}

/// Each guard is needed: without it, the request reaches further runners.
#[test]
fn each_guard_is_needed() {
    for mutation in [
        Mutation::SendDeferred,
        Mutation::GrantLocally,
        Mutation::ReportToOwner,
    ] {
        assert!(
            run_all(mutation, BEFORE_TRIALS).0 > MAX_LATE_RUNS,
            "{mutation:?}"
        );
    }
}

/// Guards against refusing a popular request because some of its attempts were at runners that another
/// request made unresponsive.
#[test]
fn answered_requests_are_not_refused() {
    let (_, with) = run_all(Mutation::None, WITH_HOLD);
    let (_, without) = run_all(Mutation::ForgetAnswers, WITH_HOLD);
    assert!(with <= MAX_REFUSED_SHARE, "{with}");
    assert!(without > 2.0 * with, "{with} refused, {without} without");
}
