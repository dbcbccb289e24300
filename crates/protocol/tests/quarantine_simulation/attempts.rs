//! Attempts that wait at processes, and the trials that they claim.

use crate::messages::Body;
use crate::world::{
    Millis, Mutation, OTHER_RUN_TIME, POISON, POISON_RUN_TIME, PROPAGATION, RUNNERS, Run,
    RunnerInstance, Waiter, World,
};
use protocol::ContentId;
use protocol::quarantine::{Admission, Availability, Report};
use rand::Rng;
use std::time::Duration;

/// Time that an attempt waits for the reply to a claim.
const CLAIM_TIMEOUT: Millis = 500;
/// Time after which a process that is paused is known to be.
const PAUSE_DETECTION: Millis = 1_000;
/// Time that an attempt waits for runners and trials.
const MAX_WAIT: Millis = 1_000;

impl World {
    /// A client sends a request to any process.
    pub(crate) fn send_attempt(&mut self, content: ContentId) {
        let number = self.rng.random_range(0..self.processes.len());
        if self.processes[number].paused_until > self.now {
            return;
        }
        let waiter = Waiter {
            process: number,
            content,
            since: self.now,
            claimed_at: None,
        };
        self.process_waiter(waiter);
    }

    pub(crate) fn poll_waiters(&mut self) {
        for waiter in std::mem::take(&mut self.waiters) {
            self.process_waiter(waiter);
        }
    }

    pub(crate) fn availability(&self) -> Availability {
        let is_down = |(_, down_until): &&(u32, Millis)| *down_until > self.now;
        let down = self.runners.iter().filter(is_down).count();
        Availability {
            up: RUNNERS - down,
            down,
        }
    }

    /// Sends an attempt to a runner, refuses it or keeps it waiting.
    pub(crate) fn process_waiter(&mut self, waiter: Waiter) {
        let (number, content) = (waiter.process, waiter.content);
        if self.processes[number].paused_until > self.now {
            self.waiters.push(waiter);
            return;
        }
        let now = self.clock(number);
        let known = &self.processes[number].known;
        let admission = known.admission(content, 0, now);
        let risk = known.risk(content, now);
        let may_run = !self.load.waits
            || known.may_spread(content, now) && self.availability().allows_attempt(risk);
        let is_over = self.now >= waiter.since + MAX_WAIT;
        match admission {
            Admission::Held(_) => self.check_hold(content),
            Admission::Free if may_run => self.send_run(number, content, false),
            Admission::Deferred(_) if self.mutation == Mutation::SendDeferred && may_run => {
                self.send_run(number, content, false);
            }
            Admission::Turn | Admission::Trial if may_run && !is_over => self.claim(waiter),
            _ if is_over || !self.load.waits => {
                let is_suspect = admission != Admission::Free;
                self.refused += usize::from(is_suspect && content != POISON);
            }
            _ => self.waiters.push(waiter),
        }
    }

    /// The process that grants the trials of a request, as another one sees it.
    pub(crate) fn owner(&self, content: ContentId) -> usize {
        let count = self.processes.len();
        let candidates = (0..count).map(|offset| (content as usize + offset) % count);
        let is_paused = |number: &usize| {
            let process = &self.processes[*number];
            process.paused_until > self.now && process.paused_at + PAUSE_DETECTION < self.now
        };
        let mut running = candidates.filter(|number| !is_paused(number));
        running.next().unwrap_or(0)
    }

    pub(crate) fn claim(&mut self, mut waiter: Waiter) {
        let (number, content) = (waiter.process, waiter.content);
        let owner = match self.mutation {
            Mutation::GrantLocally => number,
            _ => self.owner(content),
        };
        if owner == number {
            match self.grant(number, content) {
                true => self.send_run(number, content, true),
                false => self.waiters.push(waiter),
            }
            return;
        }
        let may_claim = |at: Millis| at + CLAIM_TIMEOUT <= self.now;
        if waiter.claimed_at.is_none_or(may_claim) {
            waiter.claimed_at = Some(self.now);
            let now = self.clock(number);
            let report = self.claim_report(number, content, now);
            self.send(number, owner, Body::Claim(report));
        }
        self.waiters.push(waiter);
    }

    /// What a process knows of a request, as claims and their replies carry it.
    pub(crate) fn claim_report(
        &self,
        number: usize,
        content: ContentId,
        now: Duration,
    ) -> Report<RunnerInstance> {
        let report = self.processes[number].known.report(content, now).unwrap();
        let cleared = report.cleared;
        Report {
            cleared: cleared.filter(|_| self.mutation != Mutation::KeepClearsLocal),
            ..report
        }
    }

    pub(crate) fn grant(&mut self, number: usize, content: ContentId) -> bool {
        let now = self.clock(number);
        let granted = self.processes[number].known.grant_trial(content, 0, now);
        let is_granted = granted.is_some();
        self.announce(number, granted);
        is_granted
    }

    /// Sends the attempt that has waited for a granted trial.
    pub(crate) fn receive_grant(&mut self, number: usize, content: ContentId) {
        let is_claimant = |waiter: &Waiter| {
            (waiter.process, waiter.content) == (number, content) && waiter.claimed_at.is_some()
        };
        if let Some(position) = self.waiters.iter().position(is_claimant) {
            self.waiters.remove(position);
            self.send_run(number, content, true);
        }
    }

    pub(crate) fn send_run(&mut self, number: usize, content: ContentId, is_trial: bool) {
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
        let known = &mut self.processes[number].known;
        known.attempt_started(content, (runner, start));
        self.runs.push(Run {
            process: number,
            content,
            runner: (runner, start),
            sent: self.now,
            ends: self.now + if lost { 0 } else { work },
            is_trial,
        });
    }
}
