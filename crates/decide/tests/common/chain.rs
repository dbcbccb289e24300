//! Simulation in virtual time of a chain of three stages behind a gate.
//!
//! The runners take calls from a [`SlackQueue`] and store results until the next stage has fetched
//! them. One class of requests needs only the first stage and does not pass the gate.
#![allow(unreachable_pub)]

use decide::batch::{BatchQueue, FreeRunner, Group, RequiredGroup, Shape, SlackQueue};
use decide::flow::{Capacity, Demand, Gate, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
/// Arrivals end here; the simulation goes on until all requests are done.
const LAST_ARRIVAL: Duration = Duration::from_secs(18);
/// Begin of bursts, failures and slow stages.
const TROUBLE_START: Duration = Duration::from_secs(4);
/// Time from the first attempt to the deadline.
const DEADLINE: Duration = Duration::from_secs(6);
/// Time from the end of the chain until the response begins, for which the last results are stored.
const MODEL_TIME: Duration = Duration::from_millis(300);
pub const STAGES: usize = 3;

#[derive(Clone, Copy)]
pub struct Stage {
    pub runners: u32,
    pub shape: Shape,
    /// Bytes of results that a runner stores.
    pub room: u64,
}

#[derive(Clone, Copy)]
pub struct Class {
    /// Requests a second, usually and in the burst.
    pub rate: f64,
    pub burst_rate: f64,
    pub rank: u8,
    /// Smallest and largest number of pieces at each stage.
    pub pieces: [(u32, u32); STAGES],
    pub result_bytes: [u64; STAGES],
    /// Time from the first attempt to the response of a request that is on time.
    pub target: Duration,
}

impl Class {
    fn rate(&self, is_burst: bool) -> f64 {
        if is_burst { self.burst_rate } else { self.rate }
    }

    /// Pieces a second at the first stage.
    fn first_stage_pieces(&self, is_burst: bool) -> f64 {
        let (least, most) = self.pieces[0];
        self.rate(is_burst) * f64::from(least + most) / 2.0
    }

    fn is_gated(&self) -> bool {
        self.pieces[1..].iter().any(|(_, most)| *most > 0)
    }
}

#[derive(Clone)]
pub struct Scenario {
    pub stages: [Stage; STAGES],
    pub classes: Vec<Class>,
    /// Duration of bursts, failures and slow stages.
    pub trouble_time: Duration,
    /// Fraction of the runners that are up during the trouble.
    pub available: f64,
    /// Factor by which calls of each stage take longer during the trouble.
    pub slowness: [f64; STAGES],
    /// The gate is told of slow stages.
    pub is_slowness_known: bool,
    /// The gate is told what the first stage has left for the requests that pass the gate.
    pub is_first_stage_known: bool,
    /// Refused callers retry once.
    pub retries: bool,
}

impl Scenario {
    fn is_trouble(&self, now: Duration) -> bool {
        (TROUBLE_START..TROUBLE_START + self.trouble_time).contains(&now)
    }

    fn runners(&self, stage: usize, now: Duration) -> u32 {
        let runners = self.stages[stage].runners;
        if self.is_trouble(now) {
            (f64::from(runners) * self.available).round() as u32
        } else {
            runners
        }
    }

    fn slowness(&self, stage: usize, now: Duration) -> f64 {
        if self.is_trouble(now) {
            self.slowness[stage]
        } else {
            1.0
        }
    }

    /// What the gate is told.
    pub fn capacity(&self, now: Duration) -> Capacity {
        let rate = |stage: usize| {
            let shape = self.stages[stage].shape;
            let known = if self.is_slowness_known {
                self.slowness(stage, now)
            } else {
                1.0
            };
            let call_time = shape.full().as_secs_f64() * known;
            f64::from(self.runners(stage, now) * shape.size) / call_time
        };
        let is_burst = self.is_trouble(now);
        let others = self.classes.iter().filter(|class| !class.is_gated());
        let others: f64 = others.map(|class| class.first_stage_pieces(is_burst)).sum();
        let first = self.is_first_stage_known.then(|| rate(0) - others);
        Capacity {
            rates: (1..STAGES).map(rate).chain(first).collect(),
            chain_time: self.stages.iter().map(|stage| stage.shape.full()).sum(),
        }
    }
}

/// Results of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    pub on_time: u32,
    pub late: u32,
    /// Refused attempts, the time until their refusals, and how many had a stage made.
    pub refusals: u32,
    pub refusal_time: Duration,
    pub refused_made: u32,
}

impl Outcome {
    pub fn on_time_fraction(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests)
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.on_time += other.on_time;
        self.late += other.late;
        self.refusals += other.refusals;
        self.refusal_time += other.refusal_time;
        self.refused_made += other.refused_made;
    }

    pub fn mean_refusal_time(&self) -> Duration {
        self.refusal_time / self.refusals.max(1)
    }
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Report {
    pub classes: Vec<Outcome>,
    /// Total time for which runners were idle while pieces waited.
    pub idle: Duration,
}

impl Report {
    /// The sum of reports on the same classes.
    pub fn sum(reports: &[Self]) -> Self {
        let mut total = Self::default();
        for report in reports {
            total.idle += report.idle;
            total
                .classes
                .resize(report.classes.len(), Outcome::default());
            for (total, outcome) in total.classes.iter_mut().zip(&report.classes) {
                total.add(outcome);
            }
        }
        total
    }
}

struct Request {
    class: usize,
    attempt_at: Duration,
    due: Duration,
    expires_at: Duration,
    pieces: [u32; STAGES],
    stage: usize,
    remaining: u32,
    /// Stage, runner and bytes of stored results.
    stored: Vec<(usize, usize, u64)>,
    has_made: bool,
    is_retry: bool,
}

#[derive(Default)]
struct Runner {
    call: Option<(Duration, Vec<(u64, u32)>)>,
    stored: u64,
}

struct Simulation<'a, G> {
    scenario: &'a Scenario,
    gate: G,
    now: Duration,
    requests: HashMap<u64, Request>,
    queues: Vec<SlackQueue>,
    runners: Vec<Vec<Runner>>,
    releases: BTreeMap<Duration, Vec<(usize, usize, u64)>>,
    returns: BTreeSet<(Duration, u64)>,
    report: Report,
    must_poll: bool,
}

/// Runs the scenario behind this gate.
pub fn simulate<G: Gate>(scenario: &Scenario, gate: G, seed: u64) -> Report {
    let stages = scenario.stages.iter();
    let queues = stages.clone().map(|stage| SlackQueue::new(stage.shape));
    let runners = stages.map(|stage| (0..stage.runners).map(|_| Runner::default()).collect());
    let mut simulation = Simulation {
        scenario,
        gate,
        now: Duration::ZERO,
        requests: HashMap::new(),
        queues: queues.collect(),
        runners: runners.collect(),
        releases: BTreeMap::new(),
        returns: BTreeSet::new(),
        report: Report {
            classes: vec![Outcome::default(); scenario.classes.len()],
            idle: Duration::ZERO,
        },
        must_poll: false,
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    while simulation.now < LAST_ARRIVAL + DEADLINE {
        simulation.step(&mut rng);
    }
    simulation.report
}

impl<G: Gate> Simulation<'_, G> {
    fn step(&mut self, rng: &mut SmallRng) {
        self.gate.set_capacity(self.scenario.capacity(self.now));
        self.arrive(rng);
        self.return_callers();
        while let Some(entry) = self
            .releases
            .first_entry()
            .filter(|entry| *entry.key() <= self.now)
        {
            for (stage, runner, bytes) in entry.remove() {
                self.runners[stage][runner].stored -= bytes;
            }
        }
        for stage in 0..STAGES {
            self.end_calls(stage);
            self.expire(stage);
        }
        self.poll();
        for stage in 0..STAGES {
            self.start_calls(stage);
        }
        let next = self.now + STEP;
        let wakeup = self.gate.next_wakeup(self.now);
        self.must_poll = wakeup.is_some_and(|wakeup| wakeup <= next);
        self.now = next;
    }

    fn arrive(&mut self, rng: &mut SmallRng) {
        for (class, properties) in self.scenario.classes.iter().enumerate() {
            let rate = properties.rate(self.scenario.is_trouble(self.now));
            // Ten slots for each step approximate arrivals at random times.
            let arrivals = (0..10).filter(|_| rng.random_bool(rate * STEP.as_secs_f64() / 10.0));
            for _ in 0..arrivals.count() {
                let pieces = properties
                    .pieces
                    .map(|(least, most)| rng.random_range(least..=most));
                if self.now < LAST_ARRIVAL {
                    self.attempt(Request {
                        class,
                        attempt_at: self.now,
                        due: self.now + properties.target - MODEL_TIME,
                        expires_at: self.now + DEADLINE - MODEL_TIME,
                        pieces,
                        stage: 0,
                        remaining: 0,
                        stored: Vec::new(),
                        has_made: false,
                        is_retry: false,
                    });
                }
            }
        }
    }

    fn attempt(&mut self, request: Request) {
        let class = &self.scenario.classes[request.class];
        let outcome = &mut self.report.classes[request.class];
        outcome.requests += u32::from(!request.is_retry);
        let ticket = self.requests.len() as u64;
        let demand = Demand {
            rank: class.rank,
            pieces: [&request.pieces[1..], &request.pieces[..1]].concat(),
            due: request.due,
            expires_at: request.expires_at,
        };
        self.requests.insert(ticket, request);
        let verdict = if class.is_gated() {
            self.gate.offer(self.now, ticket, demand)
        } else {
            Verdict::Start
        };
        self.apply(ticket, verdict);
    }

    fn return_callers(&mut self) {
        while let Some((at, ticket)) = self.returns.first().copied() {
            if at > self.now {
                return;
            }
            self.returns.pop_first();
            let first = &self.requests[&ticket];
            let retry = Request {
                attempt_at: self.now,
                stage: 0,
                stored: Vec::new(),
                has_made: false,
                is_retry: true,
                ..*first
            };
            self.attempt(retry);
        }
    }

    fn apply(&mut self, ticket: u64, verdict: Verdict) {
        match verdict {
            Verdict::Start => self.enqueue(ticket),
            Verdict::Wait { .. } => {}
            Verdict::Refuse { retry_after } => self.refuse(ticket, retry_after),
        }
    }

    fn refuse(&mut self, ticket: u64, retry_after: Duration) {
        let request = &self.requests[&ticket];
        let outcome = &mut self.report.classes[request.class];
        outcome.refusals += 1;
        outcome.refusal_time += self.now - request.attempt_at;
        outcome.refused_made += u32::from(request.has_made);
        let remaining = request.expires_at.saturating_sub(self.now);
        if self.scenario.retries && !request.is_retry && !remaining.is_zero() {
            let back = self.now + retry_after.min(remaining / 3);
            self.returns.insert((back, ticket));
        }
    }

    fn enqueue(&mut self, ticket: u64) {
        let request = self.requests.get_mut(&ticket).unwrap();
        while request.pieces[request.stage] == 0 {
            request.stage += 1;
        }
        let stage = request.stage;
        request.remaining = request.pieces[stage];
        let class = &self.scenario.classes[request.class];
        let later = stage + 1..STAGES;
        let later = later.filter(|later| request.pieces[*later] > 0);
        let later: Duration = later
            .map(|later| self.scenario.stages[later].shape.full())
            .sum();
        self.queues[stage].push(Group {
            group_id: ticket,
            pieces: request.remaining,
            result_bytes: class.result_bytes[stage],
            due: request.due.saturating_sub(later),
            expires_at: request.expires_at.saturating_sub(later),
            rank: class.rank,
            domain: None,
            arrived_at: self.now,
            max_domain_wait: Duration::ZERO,
        });
    }

    fn end_calls(&mut self, stage: usize) {
        for runner in 0..self.runners[stage].len() {
            let call = &mut self.runners[stage][runner].call;
            let Some((_, groups)) = call.take_if(|(end, _)| *end <= self.now) else {
                continue;
            };
            for (ticket, pieces) in groups {
                let request = self.requests.get_mut(&ticket).unwrap();
                request.has_made = true;
                request.remaining -= pieces;
                if request.remaining == 0 {
                    self.end_stage(ticket);
                }
            }
        }
    }

    fn end_stage(&mut self, ticket: u64) {
        let request = self.requests.get_mut(&ticket).unwrap();
        let stage = request.stage;
        let (own, inputs) = request.stored.iter().partition(|stored| stored.0 == stage);
        request.stored = own;
        self.releases
            .entry(self.now)
            .or_default()
            .extend::<Vec<_>>(inputs);
        request.stage += 1;
        if request.pieces[request.stage..]
            .iter()
            .any(|pieces| *pieces > 0)
        {
            return self.enqueue(ticket);
        }
        let outcome = &mut self.report.classes[request.class];
        let is_on_time = self.now <= request.due;
        outcome.on_time += u32::from(is_on_time);
        outcome.late += u32::from(!is_on_time);
        let last = std::mem::take(&mut request.stored);
        self.releases
            .entry(self.now + MODEL_TIME)
            .or_default()
            .extend(last);
        self.gate.finish(self.now, ticket);
        self.must_poll = true;
    }

    /// Refuses requests that the queue of a stage drops.
    fn expire(&mut self, stage: usize) {
        let shape = self.scenario.stages[stage].shape;
        let runners = self.scenario.runners(stage, self.now);
        for ticket in self.queues[stage].expire(self.now, shape.full() / (shape.size * runners)) {
            let request = self.requests.get_mut(&ticket).unwrap();
            // Pieces in a call in progress no longer complete the stage.
            request.remaining = u32::MAX;
            let stored = std::mem::take(&mut request.stored);
            self.releases.entry(self.now).or_default().extend(stored);
            self.gate.withdraw(self.now, ticket);
            self.must_poll = true;
            self.refuse(ticket, Duration::from_millis(200));
        }
    }

    fn poll(&mut self) {
        if std::mem::take(&mut self.must_poll) {
            for (ticket, verdict) in self.gate.poll(self.now) {
                self.apply(ticket, verdict);
            }
        }
    }

    fn start_calls(&mut self, stage: usize) {
        let available = self.scenario.runners(stage, self.now) as usize;
        for index in 0..available {
            let Stage { shape, room, .. } = self.scenario.stages[stage];
            let runner = &mut self.runners[stage][index];
            if runner.call.is_some() {
                continue;
            }
            let free = FreeRunner {
                room: room - runner.stored,
                domain: "a",
                required: RequiredGroup::Any,
                free_times: &[],
            };
            let portions = self.queues[stage].take(self.now, &free);
            if portions.is_empty() {
                let waits = self.queues[stage].waiting_pieces() > 0;
                self.report.idle += if waits { STEP } else { Duration::ZERO };
                continue;
            }
            for portion in &portions {
                let request = self.requests.get_mut(&portion.group_id).unwrap();
                let bytes = self.scenario.classes[request.class].result_bytes[stage];
                let bytes = bytes * u64::from(portion.pieces);
                request.stored.push((stage, index, bytes));
                runner.stored += bytes;
            }
            let slowness = self.scenario.slowness(stage, self.now);
            let pieces = portions.iter().map(|portion| portion.pieces).sum();
            let groups = portions
                .iter()
                .map(|portion| (portion.group_id, portion.pieces));
            runner.call = Some((
                self.now + shape.time(pieces).mul_f64(slowness),
                groups.collect(),
            ));
        }
    }
}
