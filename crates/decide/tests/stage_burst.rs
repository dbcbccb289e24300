//! Calls of a stage service during a burst of requests for one pipeline.
//!
//! The burst is two and a half times the usual rate and lasts some seconds. Five runners process one
//! call at a time, of 200 ms plus 21 ms a piece and up to eight pieces. Requests have two or three
//! pieces and are on time if those are done within 900 ms. The figures are those of a measured
//! retrieval stage in front of a model. The runners handle 20 requests a second at one request per
//! call and 43 at full calls; 15 arrive usually and 38 in the burst.

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
const TARGET_TIME: Duration = Duration::from_millis(900);
const DEADLINE: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(5);
const END: Duration = Duration::from_secs(30);
const FREE_RUNNER: FreeRunner<'_> = FreeRunner {
    room: 1_000,
    domain: "a",
    required: RequiredGroup::Any,
    free_times: &[],
};

#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    on_time: u32,
    /// Longest time for which a request that was dropped had been queued.
    longest_kept: Duration,
}

struct Call {
    end: Duration,
    groups: Vec<(u64, u32)>,
}

/// Requests a second at this time.
fn rate(now: Duration) -> f64 {
    let burst = (8.0..14.0).contains(&now.as_secs_f64());
    if burst { 38.0 } else { 15.0 }
}

fn simulate(queue: &mut impl BatchQueue, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut runners: Vec<Option<Call>> = (0..RUNNERS).map(|_| None).collect();
    let mut open: Vec<(u64, Duration, u32)> = Vec::new();
    let mut outcome = Outcome::default();
    let full = SHAPE.call + SHAPE.piece * SHAPE.size;
    let piece = full / (SHAPE.size * RUNNERS as u32);
    let mut now = Duration::ZERO;
    while now < END {
        if rng.random_bool(rate(now) * STEP.as_secs_f64()) {
            outcome.requests += 1;
            let (group_id, pieces) = (u64::from(outcome.requests), rng.random_range(2..4));
            open.push((group_id, now, pieces));
            queue.push(group(group_id, pieces, now));
        }
        for runner in &mut runners {
            if let Some(call) = runner.take_if(|call| call.end <= now) {
                complete_call(&call, now, &mut open, &mut outcome);
            }
        }
        for group_id in queue.expire(now, piece) {
            let arrived = open
                .iter()
                .find(|(open, ..)| *open == group_id)
                .map(|(_, arrived, _)| *arrived);
            outcome.longest_kept = outcome.longest_kept.max(now - arrived.unwrap_or(now));
            open.retain(|(open, ..)| *open != group_id);
        }
        for runner in runners.iter_mut().filter(|runner| runner.is_none()) {
            let taken = queue.take(now, &FREE_RUNNER);
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
        due: now + TARGET_TIME,
        expires_at: now + DEADLINE,
        rank: 0,
        domain: None,
        arrived_at: now,
        max_domain_wait: Duration::ZERO,
    }
}

fn complete_call(
    call: &Call,
    now: Duration,
    open: &mut Vec<(u64, Duration, u32)>,
    outcome: &mut Outcome,
) {
    for (group_id, pieces) in &call.groups {
        let Some(request) = open.iter_mut().find(|(open, ..)| open == group_id) else {
            continue;
        };
        request.2 -= pieces;
        if request.2 == 0 && now <= request.1 + TARGET_TIME {
            outcome.on_time += 1;
        }
    }
    open.retain(|(_, _, remaining)| *remaining > 0);
}

/// With one request per call the runners cannot keep up, and requests wait longer and longer. With
/// shared calls that take requests first which can still be on time, nearly all of them are.
#[test]
fn shared_calls_meet_target() {
    for seed in 1..=3 {
        let naive = simulate(&mut FifoQueue::new(SHAPE), seed);
        let shipped = simulate(&mut SlackQueue::new(SHAPE), seed);
        let share = |outcome: &Outcome| f64::from(outcome.on_time) / f64::from(outcome.requests);
        assert!(share(&naive) < 0.8, "seed {seed}: {naive:?}");
        assert!(share(&shipped) > 0.9, "seed {seed}: {shipped:?}");
    }
}

/// A request that can no longer be on time while the runners are busy is dropped early, not when its
/// caller has no time left to retry.
#[test]
fn late_requests_dropped_early() {
    for seed in 1..=3 {
        let shipped = simulate(&mut SlackQueue::new(SHAPE), seed);
        assert!(
            shipped.longest_kept < DEADLINE / 3,
            "seed {seed}: {shipped:?}"
        );
    }
}

/// Of two requests that are due at the same time, the smaller one goes first, since not all can be on
/// time in a burst. It does not overtake a request that is due much sooner.
#[test]
fn small_first() {
    let at = |group_id, pieces, due_ms| Group {
        due: Duration::from_millis(due_ms),
        ..group(group_id, pieces, Duration::ZERO)
    };
    let mut queue = SlackQueue::new(SHAPE);
    for group in [at(1, 7, 2_000), at(2, 2, 2_000), at(3, 8, 900)] {
        queue.push(group);
    }
    let mut order = Vec::new();
    while queue.waiting_pieces() > 0 {
        let taken = queue.take(Duration::ZERO, &FREE_RUNNER);
        order.extend(taken.iter().map(|portion| portion.group_id));
    }
    order.dedup();
    assert_eq!(order, [3, 2, 1]);
}
