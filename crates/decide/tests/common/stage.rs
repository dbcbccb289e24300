//! The runners of one stage service in virtual time, for tests of formers.

use decide::batch::{Former, Free, Group, Need, Offer, Shape};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(2);
/// Room that never binds.
const ROOM: u64 = 1_000_000;

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
}

impl Outcome {
    pub fn share_on_time(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked)
    }

    pub fn share_near(&self) -> f64 {
        f64::from(self.near) / f64::from(self.near + self.far)
    }
}

struct Call {
    end: Duration,
    groups: Vec<(u64, u32)>,
}

struct Open {
    ticket: u64,
    began: Duration,
    left: u32,
    calls: u32,
    domain: &'static str,
}

/// Plays a load; inputs lie at a runner's domain with the same chance for each runner.
pub fn play(former: &mut impl Former, load: &Load, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut runners: Vec<Option<Call>> = load.domains.iter().map(|_| None).collect();
    let mut open: Vec<Open> = Vec::new();
    let mut outcome = Outcome::default();
    let full = load.shape.call + load.shape.piece * load.shape.size;
    let piece = full / (load.shape.size * load.domains.len() as u32);
    let mut now = Duration::ZERO;
    while now < load.end {
        if rng.random_bool(load.rate * STEP.as_secs_f64()) {
            outcome.asked += 1;
            let pieces = rng.random_range(load.pieces.0..=load.pieces.1);
            let request = Open {
                ticket: u64::from(outcome.asked),
                began: now,
                left: pieces,
                calls: 0,
                domain: load.domains[rng.random_range(0..load.domains.len())],
            };
            former.push(group(load, &request));
            open.push(request);
        }
        for runner in &mut runners {
            if let Some(call) = runner.take_if(|call| call.end <= now) {
                land(&call, now, load.aim, &mut open, &mut outcome);
            }
        }
        for ticket in former.expire(now, piece) {
            open.retain(|open| open.ticket != ticket);
        }
        for need in [Need::Near, Need::Any] {
            launch(
                former,
                load,
                now,
                need,
                &mut runners,
                &mut open,
                &mut outcome,
            );
        }
        now += STEP;
    }
    outcome
}

fn group(load: &Load, request: &Open) -> Group {
    Group {
        ticket: request.ticket,
        pieces: request.left,
        result: 1,
        due: request.began + load.aim,
        last: request.began + load.aim * 4,
        rank: 0,
        domain: Some(request.domain.into()),
        since: request.began,
        patience: load.patience,
    }
}

fn launch(
    former: &mut impl Former,
    load: &Load,
    now: Duration,
    need: Need,
    runners: &mut [Option<Call>],
    open: &mut [Open],
    outcome: &mut Outcome,
) {
    for index in 0..runners.len() {
        if runners[index].is_some() {
            continue;
        }
        let free = |(call, domain): (&Option<Call>, &&str)| Free {
            domain: (*domain).into(),
            at: call.as_ref().map_or(now, |call| call.end),
        };
        let frees: Vec<Free> = runners.iter().zip(load.domains).map(free).collect();
        let offer = Offer {
            room: ROOM,
            domain: load.domains[index],
            need,
            frees: &frees,
        };
        let taken = former.take(now, &offer);
        if taken.is_empty() {
            continue;
        }
        let groups: Vec<_> = taken
            .iter()
            .map(|taken| (taken.ticket, taken.pieces))
            .collect();
        for (ticket, pieces) in &groups {
            let request = open.iter_mut().find(|open| open.ticket == *ticket);
            let Some(request) = request else { continue };
            request.calls += 1;
            if request.domain == load.domains[index] {
                outcome.near += pieces;
            } else {
                outcome.far += pieces;
            }
        }
        let pieces: u32 = groups.iter().map(|(_, pieces)| pieces).sum();
        let end = now + load.shape.call + load.shape.piece * pieces;
        runners[index] = Some(Call { end, groups });
    }
}

fn land(call: &Call, now: Duration, aim: Duration, open: &mut Vec<Open>, outcome: &mut Outcome) {
    for (ticket, pieces) in &call.groups {
        let Some(request) = open.iter_mut().find(|open| open.ticket == *ticket) else {
            continue;
        };
        request.left -= pieces;
        if request.left > 0 {
            continue;
        }
        outcome.split += u32::from(request.calls > 1);
        outcome.on_time += u32::from(now <= request.began + aim);
    }
    open.retain(|open| open.left > 0);
}
