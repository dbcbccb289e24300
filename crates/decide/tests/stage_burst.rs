//! Calls of a stage service under a burst of one kind of request.
//!
//! The pattern is that of a newsroom: for some seconds two and a half times the usual requests come
//! for one pipeline. Five runners take one call at a time, of 200 ms and 21 ms a piece, up to eight
//! pieces; requests bring two or three pieces and are on time if those are made within 900 ms. These
//! are the figures of a measured retrieval stage before a model. At one request a call the runners
//! make 20 requests a second, at full calls 43; 15 come usually and 38 in the burst.

use decide::batch::{BatchQueue, FifoQueue, FreeRunner, Group, RequiredGroup, Shape, SlackQueue};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const SHAPE: Shape = Shape {
    size: 8,
    call: Duration::from_millis(200),
    piece: Duration::from_millis(21),
};
const RUNNERS: usize = 5;
const AIM: Duration = Duration::from_millis(900);
const DEADLINE: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(5);
const END: Duration = Duration::from_secs(30);
const OFFER: FreeRunner<'_> = FreeRunner {
    room: 1_000,
    domain: "a",
    need: RequiredGroup::Any,
    free_times: &[],
};

#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    on_time: u32,
    /// Longest time for which a request was kept that was given up.
    kept: Duration,
}

struct Call {
    end: Duration,
    groups: Vec<(u64, u32)>,
}

/// Requests a second at a moment.
fn rate(now: Duration) -> f64 {
    let burst = (8.0..14.0).contains(&now.as_secs_f64());
    if burst { 38.0 } else { 15.0 }
}

fn play(batch_queue: &mut impl BatchQueue, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut runners: Vec<Option<Call>> = (0..RUNNERS).map(|_| None).collect();
    let mut open: Vec<(u64, Duration, u32)> = Vec::new();
    let mut outcome = Outcome::default();
    let full = SHAPE.call + SHAPE.piece * SHAPE.size;
    let piece = full / (SHAPE.size * RUNNERS as u32);
    let mut now = Duration::ZERO;
    while now < END {
        if rng.random_bool(rate(now) * STEP.as_secs_f64()) {
            outcome.asked += 1;
            let (group_id, pieces) = (u64::from(outcome.asked), rng.random_range(2..4));
            open.push((group_id, now, pieces));
            batch_queue.push(group(group_id, pieces, now));
        }
        for runner in &mut runners {
            if let Some(call) = runner.take_if(|call| call.end <= now) {
                land(&call, now, &mut open, &mut outcome);
            }
        }
        for group_id in batch_queue.expire(now, piece) {
            let began = open
                .iter()
                .find(|(open, ..)| *open == group_id)
                .map(|(_, began, _)| *began);
            outcome.kept = outcome.kept.max(now - began.unwrap_or(now));
            open.retain(|(open, ..)| *open != group_id);
        }
        for runner in runners.iter_mut().filter(|runner| runner.is_none()) {
            let taken = batch_queue.take(now, &OFFER);
            let pieces: u32 = taken.iter().map(|portion| portion.pieces).sum();
            if pieces > 0 {
                let groups = taken
                    .iter()
                    .map(|portion| (portion.group_id, portion.pieces));
                let end = now + SHAPE.call + SHAPE.piece * pieces;
                *runner = Some(Call {
                    end,
                    groups: groups.collect(),
                });
            }
        }
        now += STEP;
    }
    outcome
}

fn group(group_id: u64, pieces: u32, now: Duration) -> Group {
    Group {
        group_id,
        pieces,
        result_bytes: 1,
        due: now + AIM,
        expires_at: now + DEADLINE,
        rank: 0,
        domain: None,
        arrived_at: now,
        max_domain_wait: Duration::ZERO,
    }
}

fn land(call: &Call, now: Duration, open: &mut Vec<(u64, Duration, u32)>, outcome: &mut Outcome) {
    for (group_id, pieces) in &call.groups {
        let Some(request) = open.iter_mut().find(|(open, ..)| open == group_id) else {
            continue;
        };
        request.2 -= pieces;
        if request.2 == 0 && now <= request.1 + AIM {
            outcome.on_time += 1;
        }
    }
    open.retain(|(_, _, left)| *left > 0);
}

/// Calls of one request each cannot keep up, and requests wait longer and longer. Shared calls,
/// with those first that can still be on time, bring nearly all of them through.
#[test]
fn shared_calls() {
    for seed in 1..=3 {
        let naive = play(&mut FifoQueue::new(SHAPE), seed);
        let shipped = play(&mut SlackQueue::new(SHAPE), seed);
        let share = |outcome: &Outcome| f64::from(outcome.on_time) / f64::from(outcome.asked);
        assert!(share(&naive) < 0.8, "seed {seed}: {naive:?}");
        assert!(share(&shipped) > 0.9, "seed {seed}: {shipped:?}");
    }
}

/// What cannot be on time any more while the runners are busy is told so soon after, and not when
/// its caller has no time left to come back.
#[test]
fn given_up_soon() {
    for seed in 1..=3 {
        let shipped = play(&mut SlackQueue::new(SHAPE), seed);
        assert!(shipped.kept < DEADLINE / 3, "seed {seed}: {shipped:?}");
    }
}

/// Of two requests that are due at the same time the one with less work goes first, since the runners
/// cannot bring all through in a burst; one that is due much sooner is not overtaken for that.
#[test]
fn small_first() {
    let at = |group_id, pieces, due_ms| Group {
        due: Duration::from_millis(due_ms),
        ..group(group_id, pieces, Duration::ZERO)
    };
    let mut batch_queue = SlackQueue::new(SHAPE);
    for group in [at(1, 7, 2_000), at(2, 2, 2_000), at(3, 8, 900)] {
        batch_queue.push(group);
    }
    let mut order = Vec::new();
    while batch_queue.waiting_pieces() > 0 {
        let taken = batch_queue.take(Duration::ZERO, &OFFER);
        order.extend(taken.iter().map(|portion| portion.group_id));
    }
    order.dedup();
    assert_eq!(order, [3, 2, 1]);
}
