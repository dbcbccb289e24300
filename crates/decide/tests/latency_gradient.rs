//! The concurrency limit against a runner of unknown size.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::limit::{Gradient, Limit, Sample};
use std::time::Duration;

const BUSY: Duration = Duration::from_millis(20);

/// Keeps the limit's number of calls at a runner with `slots` places and tells the limit after
/// `answers` answers; `tells_queue` if the other side says how many calls wait.
fn settle(limit: &mut Gradient, slots: u32, answers: u32, tells_queue: bool) -> u32 {
    for _ in 0..answers {
        let in_flight = limit.limit();
        let queueing = f64::from(in_flight.max(slots)) / f64::from(slots);
        limit.answered(Sample {
            elapsed: BUSY.mul_f64(queueing),
            queued: in_flight.saturating_sub(slots),
            slots: if tells_queue { slots } else { 0 },
            in_flight,
        });
    }
    limit.limit()
}

/// Nobody tells the entry how many calls a runner does well with. Too low a limit leaves runners
/// idle while users wait; too high a one moves the queue to where nothing is ordered by urgency.
#[test]
fn finds_capacity() {
    for slots in [4, 16, 64] {
        let mut limit = Gradient::new(1, 1, 1_000);
        let settled = settle(&mut limit, slots, 5_000, true);
        println!("{slots} slots: limit {settled}");
        assert!((slots..=2 * slots).contains(&settled));
    }
}

/// Half of the runner's places are lost; the limit follows within some hundred answers, and goes
/// back when they return.
#[test]
fn follows_change() {
    let mut limit = Gradient::new(1, 1, 1_000);
    let whole = settle(&mut limit, 32, 5_000, true);
    let half = settle(&mut limit, 16, 500, true);
    let again = settle(&mut limit, 32, 500, true);
    println!("{whole}, {half}, {again}");
    assert!(half < whole && half <= 2 * 16);
    assert!(again >= 32);
}

/// Nobody says how many calls wait; the fastest answers stand in for calls that did not.
#[test]
fn without_queue_length() {
    let mut limit = Gradient::new(4, 1, 1_000);
    let settled = settle(&mut limit, 16, 2_000, false);
    println!("limit {settled}");
    assert!((16..=32).contains(&settled));
}

/// A target that goes must shrink the limit at once, or calls would be sent that nobody can take.
#[test]
fn keeps_bounds() {
    let mut limit = Gradient::new(1, 1, 64);
    settle(&mut limit, 1_000, 5_000, true);
    assert_eq!(limit.limit(), 64);
    limit.resize(2, 8);
    assert_eq!(limit.limit(), 8);
    (0..1_000).for_each(|_| limit.refused());
    assert_eq!(limit.limit(), 2);
}
