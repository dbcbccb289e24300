//! The runners of one stage service in virtual time, for tests of formers.

use decide::batch::{BatchQueue, FreeRunner, Group, Portion, RequiredGroup, RunnerFreeTime, Shape};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(2);
/// Room that never binds.
pub const ROOM: u64 = 1_000_000;

/// A service and the requests that come to it.
#[derive(Clone, Copy)]
pub struct Load {
    pub shape: Shape,
    /// Failure domain of each runner.
    pub domains: &'static [&'static str],
    /// Requests a second.
    pub rate: f64,
    /// Pieces of a request, from and to.
    pub pieces: (u32, u32),
    /// Time within which the pieces are on time.
    pub aim: Duration,
    /// Time for which they wait for a runner near their inputs.
    pub patience: Duration,
    /// Results that a runner has room for.
    pub room: u64,
    /// How long the results of a request are held once all are made.
    pub held: Duration,
    pub end: Duration,
}

/// What became of the requests.
#[derive(Debug, Default)]
pub struct Outcome {
    pub asked: u32,
    pub on_time: u32,
    /// Pieces made where their inputs were, and elsewhere.
    pub near: u32,
    pub far: u32,
    /// Requests whose pieces were in more than one call.
    pub split: u32,
    /// Time for which results took up room, over all of them.
    pub kept: Duration,
}

impl Outcome {
    pub fn share_on_time(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked)
    }

    pub fn share_near(&self) -> f64 {
        f64::from(self.near) / f64::from(self.near + self.far)
    }
}

#[derive(Default)]
struct Runner {
    /// End of the call in progress, and what it carries.
    call: Option<(Duration, Vec<Portion>)>,
    /// Results, since when they take up room, and until when once that is known.
    kept: Vec<(Portion, Duration, Option<Duration>)>,
}

impl Runner {
    fn free(&self, room: u64) -> u64 {
        let kept = self.kept.iter();
        let kept: u64 = kept.map(|(kept, ..)| u64::from(kept.pieces)).sum();
        room.saturating_sub(kept)
    }
}

struct Open {
    group_id: u64,
    began: Duration,
    left: u32,
    calls: u32,
    domain: &'static str,
}

/// Plays a load; inputs lie at a runner's domain with the same chance for each runner.
pub fn play(batch_queue: &mut impl BatchQueue, load: &Load, seed: u64) -> Outcome {
    let mut world = World {
        load,
        now: Duration::ZERO,
        rng: SmallRng::seed_from_u64(seed),
        runners: load.domains.iter().map(|_| Runner::default()).collect(),
        open: Vec::new(),
        outcome: Outcome::default(),
    };
    while world.now < load.end {
        world.arrive(batch_queue);
        world.land();
        world.give_up(batch_queue);
        for need in [RequiredGroup::Near, RequiredGroup::Any] {
            (0..load.domains.len()).for_each(|index| world.launch(batch_queue, index, need));
        }
        world.now += STEP;
    }
    world.outcome
}

struct World<'a> {
    load: &'a Load,
    now: Duration,
    rng: SmallRng,
    runners: Vec<Runner>,
    open: Vec<Open>,
    outcome: Outcome,
}

impl World<'_> {
    fn arrive(&mut self, batch_queue: &mut impl BatchQueue) {
        let load = self.load;
        if !self.rng.random_bool(load.rate * STEP.as_secs_f64()) {
            return;
        }
        self.outcome.asked += 1;
        let pieces = self.rng.random_range(load.pieces.0..=load.pieces.1);
        let domain = load.domains[self.rng.random_range(0..load.domains.len())];
        let group_id = u64::from(self.outcome.asked);
        batch_queue.push(Group {
            group_id,
            pieces,
            result_bytes: 1,
            due: self.now + load.aim,
            expires_at: self.now + load.aim * 4,
            rank: 0,
            domain: Some(domain.into()),
            arrived_at: self.now,
            max_domain_wait: load.patience,
        });
        self.open.push(Open {
            group_id,
            began: self.now,
            left: pieces,
            calls: 0,
            domain,
        });
    }

    fn land(&mut self) {
        for index in 0..self.runners.len() {
            let now = self.now;
            let call = self.runners[index].call.take_if(|(end, _)| *end <= now);
            for portion in call.map_or_else(Vec::new, |(_, portions)| portions) {
                self.made(portion);
            }
        }
    }

    fn made(&mut self, portion: Portion) {
        let mut open = self.open.iter_mut();
        let Some(request) = open.find(|open| open.group_id == portion.group_id) else {
            return;
        };
        request.left -= portion.pieces;
        if request.left > 0 {
            return;
        }
        self.outcome.split += u32::from(request.calls > 1);
        self.outcome.on_time += u32::from(self.now <= request.began + self.load.aim);
        self.open.retain(|open| open.group_id != portion.group_id);
        self.give_back(portion.group_id, self.now + self.load.held);
    }

    fn give_back(&mut self, group_id: u64, until: Duration) {
        let kept = self.runners.iter_mut().flat_map(|runner| &mut runner.kept);
        for (portion, since, held) in kept.filter(|(portion, ..)| portion.group_id == group_id) {
            *held = Some(until);
            self.outcome.kept += (until - *since) * portion.pieces;
        }
    }

    fn give_up(&mut self, batch_queue: &mut impl BatchQueue) {
        let runners = self.load.domains.len() as u32;
        let shape = self.load.shape;
        let full = shape.call + shape.piece * shape.size;
        for group_id in batch_queue.expire(self.now, full / (shape.size * runners)) {
            self.open.retain(|open| open.group_id != group_id);
            self.give_back(group_id, self.now);
        }
    }

    fn launch(&mut self, batch_queue: &mut impl BatchQueue, index: usize, need: RequiredGroup) {
        let now = self.now;
        let runner = &mut self.runners[index];
        if runner.call.is_some() {
            return;
        }
        runner
            .kept
            .retain(|(.., until)| until.is_none_or(|until| until > now));
        let room = runner.free(self.load.room);
        let domain = self.load.domains[index];
        let offer = FreeRunner {
            room,
            domain,
            need,
            free_times: &self.free_times(),
        };
        let portions = batch_queue.take(now, &offer);
        if portions.is_empty() {
            return;
        }
        portions
            .iter()
            .for_each(|portion| self.sent(portion, domain));
        let pieces: u32 = portions.iter().map(|portion| portion.pieces).sum();
        let end = now + self.load.shape.call + self.load.shape.piece * pieces;
        let runner = &mut self.runners[index];
        runner
            .kept
            .extend(portions.iter().map(|portion| (*portion, now, None)));
        runner.call = Some((end, portions));
    }

    fn free_times(&self) -> Vec<RunnerFreeTime> {
        let runners = self.runners.iter().zip(self.load.domains);
        let free = |(runner, domain): (&Runner, &&str)| RunnerFreeTime {
            domain: (*domain).into(),
            at: runner.call.as_ref().map_or(self.now, |(end, _)| *end),
        };
        runners.map(free).collect()
    }

    fn sent(&mut self, portion: &Portion, domain: &str) {
        let mut open = self.open.iter_mut();
        let Some(request) = open.find(|open| open.group_id == portion.group_id) else {
            return;
        };
        request.calls += 1;
        if request.domain == domain {
            self.outcome.near += portion.pieces;
        } else {
            self.outcome.far += portion.pieces;
        }
    }
}
