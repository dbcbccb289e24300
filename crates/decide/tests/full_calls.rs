//! Calls that start with few pieces because their runner has little room for results.
//!
//! Calls of up to 54 pieces take 200 ms plus 3.2 ms a piece. Results are stored for 0.1 to 0.4 s after
//! the request's pieces are done, until the next stage has fetched them. Seven runners in three
//! failure domains receive 65 requests of six pieces a second, and 2.6 times as many in a burst. An
//! empty runner has room for 118 results, and for fewer while it stores results that nobody
//! releases. The figures are those of a measured middle stage of a chain.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::stage::{Burst, Outcome, RoomState, Workload, simulate_waits};
use decide::batch::{Rules, Shape, SlackQueue};
use std::time::Duration;

const SHAPE: Shape = Shape {
    size: 54,
    call: Duration::from_millis(200),
    piece: Duration::from_micros(3_200),
};
const BURST: Workload = Workload {
    shape: SHAPE,
    domains: &["a", "b", "c", "a", "b", "c", "a"],
    rate: 65.0,
    burst: Some(Burst {
        start: Duration::from_secs(5),
        end: Duration::from_secs(11),
        factor: 2.6,
    }),
    together: 1,
    pieces: (6, 6),
    target_time: Duration::from_millis(1_200),
    max_domain_wait: Duration::from_millis(150),
    room: 118,
    retention: (Duration::from_millis(100), Duration::from_millis(400)),
    end: Duration::from_secs(15),
};
/// Longest wait for room: the time that two calls take longer than one with the same pieces.
const MAX_WAIT: Duration = SHAPE.call;
const SEEDS: u64 = 8;

type WaitRule = fn(&RoomState) -> bool;

/// Pieces of the largest call that the waiting pieces allow.
fn most(state: &RoomState) -> u64 {
    state.waiting_pieces.min(SHAPE.size).into()
}

/// Waits until half of the largest call fits.
fn minimum_fill(state: &RoomState) -> bool {
    let wanted = most(state).min(state.total) / 2;
    state.room < wanted && state.now < state.free_since + MAX_WAIT
}

/// The room at each known release within the longest wait, and the time until then.
fn releases(state: &RoomState) -> Vec<(Duration, u64)> {
    let mut releases = state.releases.clone();
    releases.sort_unstable();
    let mut room = state.room;
    let mut rooms = Vec::new();
    for (at, results) in releases {
        room += results;
        if at > state.now && at < state.free_since + MAX_WAIT {
            rooms.push((at - state.now, room));
        }
    }
    rooms
}

/// Waits if the call that fits then has more pieces a second, including the wait.
fn best_rate(state: &RoomState) -> bool {
    let rate = |wait: Duration, pieces: u64| {
        pieces as f64 / (wait + SHAPE.time(pieces as u32)).as_secs_f64()
    };
    let at_once = rate(Duration::ZERO, state.room.min(most(state)));
    let mut rooms = releases(state).into_iter();
    rooms.any(|(wait, room)| rate(wait, room.min(most(state))) > at_once)
}

/// Waits if the wait is shorter than the part of the call's fixed time that a fuller call saves.
fn saved_time(state: &RoomState) -> bool {
    let pieces = state.room.min(most(state));
    let mut rooms = releases(state).into_iter();
    rooms.any(|(wait, room)| {
        let fitting = room.min(most(state));
        let unused = 1.0 - pieces as f64 / fitting.max(1) as f64;
        fitting > pieces && wait < SHAPE.call.mul_f64(unused)
    })
}

/// Mean fraction of requests on time, and mean number of pieces processed in the burst.
fn run(workload: &Workload, waits: WaitRule) -> (f64, f64) {
    let run = |seed| {
        let mut queue = SlackQueue::with_rules(SHAPE, Rules::default());
        simulate_waits(&mut queue, workload, seed, waits)
    };
    let outcomes: Vec<Outcome> = (1..=SEEDS).map(run).collect();
    let mean =
        |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / SEEDS as f64;
    let pieces = |outcome: &Outcome| f64::from(outcome.burst_pieces);
    (mean(&Outcome::on_time_fraction), mean(&pieces))
}

/// Runners do not wait for room. On average the three rules above serve no more requests on time, two
/// of them even with exact knowledge of when stored results are released: where calls are small, room
/// and not the fixed time of calls limits the stage, and waiting leaves room unused. Should one of
/// them become clearly better after a change of the queue, it is worth shipping.
#[test]
fn waiting_for_room_gains_nothing() {
    let rules: [(&str, WaitRule); 3] = [
        ("minimum_fill", minimum_fill),
        ("best_rate", best_rate),
        ("saved_time", saved_time),
    ];
    let mut gains = [0.0; 3];
    for room in [118, 75, 60, 50] {
        let workload = Workload { room, ..BURST };
        let (on_time, pieces) = run(&workload, |_| false);
        println!("room {room}: at once {on_time:.3} {pieces:.0}");
        for ((name, rule), gain) in rules.iter().zip(&mut gains) {
            let (rule_on_time, rule_pieces) = run(&workload, *rule);
            println!("room {room}: {name} {rule_on_time:.3} {rule_pieces:.0}");
            *gain += (rule_on_time - on_time) / 4.0;
        }
    }
    assert!(gains.iter().all(|gain| *gain < 0.01), "{gains:?}");
}
