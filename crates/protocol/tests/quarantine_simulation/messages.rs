//! Messages between processes, and the links that they take.

use crate::world::{DURATION, Millis, Mutation, Process, RunnerInstance, World};
use protocol::quarantine::{Merge, Report};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// Maximum delay of a message.
const MAX_DELAY: Millis = 40;
/// Percentage of messages that are lost.
const LOST_PERCENT: u32 = 10;

pub(crate) struct Message {
    pub(crate) due: Millis,
    pub(crate) to: usize,
    pub(crate) from: usize,
    pub(crate) body: Body,
}

pub(crate) enum Body {
    Report(Report<RunnerInstance>),
    Digest(u64),
    Claim(Report<RunnerInstance>),
    Reply {
        report: Report<RunnerInstance>,
        is_granted: bool,
    },
}

impl World {
    pub(crate) fn announce(&mut self, from: usize, report: Option<Report<RunnerInstance>>) {
        let Some(report) = report else { return };
        for to in self.processes[from].links.clone() {
            self.send(from, to, Body::Report(report.clone()));
        }
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, body: Body) {
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

    pub(crate) fn deliver(&mut self) {
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

    pub(crate) fn deliver_message(&mut self, message: Message) {
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
            Body::Claim(report) => {
                self.processes[to].known.merge(&report, now);
                let is_granted = self.grant(to, report.content);
                let report = self.claim_report(to, report.content, now);
                self.send(to, from, Body::Reply { report, is_granted });
            }
            Body::Reply { report, is_granted } => {
                let known = &mut self.processes[to].known;
                match is_granted {
                    true => known.trial_granted(&report, now),
                    false => known.merge(&report, now),
                };
                if is_granted {
                    self.receive_grant(to, report.content);
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
    pub(crate) fn replace_gone_links(&mut self) {
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

    pub(crate) fn send_digests(&mut self) {
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
pub(crate) fn choose_links(own: usize, running: &[usize], rng: &mut StdRng) -> Vec<usize> {
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
