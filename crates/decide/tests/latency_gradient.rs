//! The adaptive concurrency limit with a runner of unknown capacity.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::limit::{Gradient, Limit, Sample};
use std::time::Duration;

const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Keeps as many calls as the limit allows at a runner with this many slots, and returns the limit
/// after this many responses. `reports_queue` tells whether the runner reports its queue length.
fn run_calls(limit: &mut Gradient, slots: u32, responses: u32, reports_queue: bool) -> u32 {
    for _ in 0..responses {
        let in_flight = limit.limit();
        let queueing = f64::from(in_flight.max(slots)) / f64::from(slots);
        limit.answered(Sample {
            elapsed: SERVICE_TIME.mul_f64(queueing),
            queued: in_flight.saturating_sub(slots),
            slots: if reports_queue { slots } else { 0 },
            in_flight,
        });
    }
    limit.limit()
}

/// The entry process does not know how many concurrent calls suit a runner. A limit that is too low
/// leaves runners idle while users wait; one that is too high moves the queue to the runner, where
/// calls are not ordered by urgency.
#[test]
fn converges_to_capacity() {
    for slots in [4, 16, 64] {
        let mut limit = Gradient::new(1, 1, 1_000);
        let settled = run_calls(&mut limit, slots, 5_000, true);
        println!("{slots} slots: limit {settled}");
        assert!((slots..=2 * slots).contains(&settled));
    }
}

/// A runner loses half of its slots. The limit follows within some hundred responses, and returns to
/// its earlier value when the slots are back.
#[test]
fn adapts_to_capacity_change() {
    let mut limit = Gradient::new(1, 1, 1_000);
    let full = run_calls(&mut limit, 32, 5_000, true);
    let half = run_calls(&mut limit, 16, 500, true);
    let restored = run_calls(&mut limit, 32, 500, true);
    println!("{full}, {half}, {restored}");
    assert!(half < full && half <= 2 * 16);
    assert!(restored >= 32);
}

/// If the queue length is not reported, the fastest responses give the latency without queueing.
#[test]
fn without_queue_length() {
    let mut limit = Gradient::new(4, 1, 1_000);
    let settled = run_calls(&mut limit, 16, 2_000, false);
    println!("limit {settled}");
    assert!((16..=32).contains(&settled));
}

/// The loss of a target must lower the limit at once; otherwise calls are sent that no target accepts.
#[test]
fn stays_within_bounds() {
    let mut limit = Gradient::new(1, 1, 64);
    run_calls(&mut limit, 1_000, 5_000, true);
    assert_eq!(limit.limit(), 64);
    limit.resize(2, 8);
    assert_eq!(limit.limit(), 8);
    (0..1_000).for_each(|_| limit.refused());
    assert_eq!(limit.limit(), 2);
}
