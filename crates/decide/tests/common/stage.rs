//! Simulation of the runners of one stage service in virtual time, for tests of batch queues.

use decide::batch::{BatchQueue, FreeRunner, Group, Portion, RequiredGroup, RunnerFreeTime, Shape};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(2);
/// Room for results that is never exhausted.
pub const ROOM: u64 = 1_000_000;

/// A service and its requests.
#[derive(Clone, Copy)]
pub struct Workload {
    pub shape: Shape,
    /// Failure domain of each runner.
    pub domains: &'static [&'static str],
    /// Requests a second.
    pub rate: f64,
    /// Smallest and largest number of pieces in a request.
    pub pieces: (u32, u32),
    /// Time within which the pieces must be done to be on time.
    pub target_time: Duration,
    /// Longest wait for a runner in the domain of the inputs.
    pub max_domain_wait: Duration,
    /// Number of results that a runner has room for.
    pub room: u64,
    /// Time for which the results of a request are stored after all are done.
    pub retention: Duration,
    pub end: Duration,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    pub on_time: u32,
    /// Pieces processed in the domain of their inputs, and in other domains.
    pub local: u32,
    pub remote: u32,
    /// Requests whose pieces were divided over several calls.
    pub split: u32,
    /// Total time for which results took up room.
    pub stored: Duration,
}

impl Outcome {
    pub fn on_time_fraction(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests)
    }

    pub fn local_fraction(&self) -> f64 {
        f64::from(self.local) / f64::from(self.local + self.remote)
    }
}

#[derive(Default)]
struct Runner {
    /// End and contents of the call in progress.
    call: Option<(Duration, Vec<Portion>)>,
    /// Results with the times from which and, once known, until which they take up room.
    stored: Vec<(Portion, Duration, Option<Duration>)>,
}

impl Runner {
    fn free(&self, room: u64) -> u64 {
        let stored = self.stored.iter();
        let stored: u64 = stored.map(|(stored, ..)| u64::from(stored.pieces)).sum();
        room.saturating_sub(stored)
    }
}

struct OpenRequest {
    group_id: u64,
    arrived: Duration,
    remaining: u32,
    calls: u32,
    domain: &'static str,
}

/// Simulates a workload. The inputs are in the domain of a runner that is chosen uniformly.
pub fn simulate(queue: &mut impl BatchQueue, workload: &Workload, seed: u64) -> Outcome {
    let mut simulation = Simulation {
        workload,
        now: Duration::ZERO,
        rng: SmallRng::seed_from_u64(seed),
        runners: workload.domains.iter().map(|_| Runner::default()).collect(),
        open: Vec::new(),
        outcome: Outcome::default(),
    };
    while simulation.now < workload.end {
        simulation.arrive(queue);
        simulation.complete_calls();
        simulation.expire_groups(queue);
        for required in [RequiredGroup::Near, RequiredGroup::Any] {
            (0..workload.domains.len())
                .for_each(|index| simulation.start_call(queue, index, required));
        }
        simulation.now += STEP;
    }
    simulation.outcome
}

struct Simulation<'a> {
    workload: &'a Workload,
    now: Duration,
    rng: SmallRng,
    runners: Vec<Runner>,
    open: Vec<OpenRequest>,
    outcome: Outcome,
}

impl Simulation<'_> {
    fn arrive(&mut self, queue: &mut impl BatchQueue) {
        let workload = self.workload;
        if !self.rng.random_bool(workload.rate * STEP.as_secs_f64()) {
            return;
        }
        self.outcome.requests += 1;
        let pieces = self.rng.random_range(workload.pieces.0..=workload.pieces.1);
        let domain = workload.domains[self.rng.random_range(0..workload.domains.len())];
        let group_id = u64::from(self.outcome.requests);
        queue.push(Group {
            group_id,
            pieces,
            result_bytes: 1,
            due: self.now + workload.target_time,
            expires_at: self.now + workload.target_time * 4,
            rank: 0,
            domain: Some(domain.into()),
            arrived_at: self.now,
            max_domain_wait: workload.max_domain_wait,
        });
        self.open.push(OpenRequest {
            group_id,
            arrived: self.now,
            remaining: pieces,
            calls: 0,
            domain,
        });
    }

    fn complete_calls(&mut self) {
        for index in 0..self.runners.len() {
            let now = self.now;
            let call = self.runners[index].call.take_if(|(end, _)| *end <= now);
            for portion in call.map_or_else(Vec::new, |(_, portions)| portions) {
                self.complete_portion(portion);
            }
        }
    }

    fn complete_portion(&mut self, portion: Portion) {
        let mut open = self.open.iter_mut();
        let Some(request) = open.find(|open| open.group_id == portion.group_id) else {
            return;
        };
        request.remaining -= portion.pieces;
        if request.remaining > 0 {
            return;
        }
        self.outcome.split += u32::from(request.calls > 1);
        self.outcome.on_time += u32::from(self.now <= request.arrived + self.workload.target_time);
        self.open.retain(|open| open.group_id != portion.group_id);
        self.release_results(portion.group_id, self.now + self.workload.retention);
    }

    fn release_results(&mut self, group_id: u64, until: Duration) {
        let stored = self
            .runners
            .iter_mut()
            .flat_map(|runner| &mut runner.stored);
        for (portion, since, retention) in
            stored.filter(|(portion, ..)| portion.group_id == group_id)
        {
            *retention = Some(until);
            self.outcome.stored += (until - *since) * portion.pieces;
        }
    }

    fn expire_groups(&mut self, queue: &mut impl BatchQueue) {
        let runners = self.workload.domains.len() as u32;
        let shape = self.workload.shape;
        let full = shape.call + shape.piece * shape.size;
        for group_id in queue.expire(self.now, full / (shape.size * runners)) {
            self.open.retain(|open| open.group_id != group_id);
            self.release_results(group_id, self.now);
        }
    }

    fn start_call(&mut self, queue: &mut impl BatchQueue, index: usize, required: RequiredGroup) {
        let now = self.now;
        let runner = &mut self.runners[index];
        if runner.call.is_some() {
            return;
        }
        runner
            .stored
            .retain(|(.., until)| until.is_none_or(|until| until > now));
        let room = runner.free(self.workload.room);
        let domain = self.workload.domains[index];
        let free_runner = FreeRunner {
            room,
            domain,
            required,
            free_times: &self.free_times(),
        };
        let portions = queue.take(now, &free_runner);
        if portions.is_empty() {
            return;
        }
        portions
            .iter()
            .for_each(|portion| self.count_sent(portion, domain));
        let pieces: u32 = portions.iter().map(|portion| portion.pieces).sum();
        let end = now + self.workload.shape.call + self.workload.shape.piece * pieces;
        let runner = &mut self.runners[index];
        runner
            .stored
            .extend(portions.iter().map(|portion| (*portion, now, None)));
        runner.call = Some((end, portions));
    }

    fn free_times(&self) -> Vec<RunnerFreeTime> {
        let runners = self.runners.iter().zip(self.workload.domains);
        let free = |(runner, domain): (&Runner, &&str)| RunnerFreeTime {
            domain: (*domain).into(),
            at: runner.call.as_ref().map_or(self.now, |(end, _)| *end),
        };
        runners.map(free).collect()
    }

    fn count_sent(&mut self, portion: &Portion, domain: &str) {
        let mut open = self.open.iter_mut();
        let Some(request) = open.find(|open| open.group_id == portion.group_id) else {
            return;
        };
        request.calls += 1;
        if request.domain == domain {
            self.outcome.local += portion.pieces;
        } else {
            self.outcome.remote += portion.pieces;
        }
    }
}
