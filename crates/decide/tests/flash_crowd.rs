//! Admission while one workspace sends many times its share.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::WorkspaceId;
use decide::admit::{Admission, AdmissionDecision, Call, Predictive, Unbounded};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const SLOTS: u32 = 20;
const SERVICE_US: u64 = 50_000;
const DEADLINE_US: u64 = 1_000_000;
const SECONDS: u64 = 30;
/// Calls a second that the pool can complete.
const CAPACITY: f64 = SLOTS as f64 * 1e6 / SERVICE_US as f64;

#[derive(Clone, Copy, Default)]
struct Count {
    offered: u64,
    on_time: u64,
    late: u64,
    refused: u64,
}

/// Simulates one pool, with times in microseconds, and counts the calls that are on time within the
/// simulation. `rates` are the calls a second of each workspace. If `retrying`, a refused caller retries
/// after the given time.
fn simulate(
    mut admission: impl Admission<(usize, u64)>,
    rates: &[f64],
    retrying: bool,
    seed: u64,
) -> (Vec<Count>, Vec<Duration>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let names: Vec<WorkspaceId> = (0..rates.len()).map(|n| format!("w{n}").into()).collect();
    let mut counts = vec![Count::default(); rates.len()];
    let mut waits = Vec::new();
    let mut events = BinaryHeap::new();
    for (workspace, rate) in rates.iter().enumerate() {
        let mut at = 0.0;
        while at < SECONDS as f64 * 1e6 {
            at += (1.0 - rng.random::<f64>()).ln() / -rate * 1e6;
            events.push(Reverse((at as u64, 1, workspace, 0)));
            counts[workspace].offered += 1;
        }
    }
    while let Some(Reverse((at, kind, workspace, arrived))) = events.pop() {
        let now = Duration::from_micros(at);
        let started = if kind == 0 {
            let elapsed = Duration::from_micros(SERVICE_US);
            admission.finished(&names[workspace], elapsed, Some(elapsed));
            let is_on_time = at - arrived <= DEADLINE_US && at < SECONDS * 1_000_000;
            counts[workspace].on_time += u64::from(is_on_time);
            counts[workspace].late += u64::from(!is_on_time);
            admission.next(SLOTS, now)
        } else {
            let call = Call {
                workspace: names[workspace].clone(),
                share: 1,
                latest_start: now + Duration::from_micros(DEADLINE_US - SERVICE_US),
                item: (workspace, at),
            };
            match admission.offer(call, SLOTS, now, &mut rng) {
                AdmissionDecision::Start(item) => Some(item),
                AdmissionDecision::Queued => None,
                AdmissionDecision::Refused { retry_after, .. } => {
                    counts[workspace].refused += 1;
                    waits.push(retry_after);
                    if retrying && at < SECONDS * 1_000_000 {
                        let back = at + retry_after.as_micros() as u64;
                        events.push(Reverse((back, 1, workspace, 0)));
                    }
                    None
                }
            }
        };
        if let Some((workspace, arrived)) = started {
            events.push(Reverse((at + SERVICE_US, 0, workspace, arrived)));
        }
    }
    (counts, waits)
}

/// Rates of five workspaces that would use half of the pool, of which the first sends about ten times
/// its share.
fn crowd_rates() -> [f64; 5] {
    let usual_rate = CAPACITY * 0.5 / 5.0;
    [
        CAPACITY * 2.0 - 4.0 * usual_rate,
        usual_rate,
        usual_rate,
        usual_rate,
        usual_rate,
    ]
}

/// Within seconds, the traffic of one workspace rises to about ten times its share, and the total
/// traffic to twice the pool's capacity. In a FIFO queue, the calls of all workspaces would wait behind
/// that crowd and be late. The other workspaces must not be affected, and the crowd gets the remaining
/// capacity.
#[test]
fn other_workspaces_unaffected() {
    for seed in 1..=5 {
        let (fair, _) = simulate(Predictive::default(), &crowd_rates(), false, seed);
        let (naive, _) = simulate(Unbounded::default(), &crowd_rates(), false, seed);
        for count in &fair[1..] {
            assert_eq!(count.refused, 0);
            assert!(count.on_time as f64 >= 0.99 * count.offered as f64);
        }
        let on_time = |counts: &[Count]| counts.iter().map(|count| count.on_time).sum::<u64>();
        let capacity = CAPACITY * SECONDS as f64;
        println!(
            "seed {seed}: on time {:.3} of capacity, late {}, first in first out {:.3}",
            on_time(&fair) as f64 / capacity,
            fair.iter().map(|count| count.late).sum::<u64>(),
            on_time(&naive) as f64 / capacity,
        );
        assert!(on_time(&fair) as f64 >= 0.95 * capacity);
        assert!(on_time(&naive) as f64 <= 0.2 * capacity);
    }
}

/// Refused callers retry after the given time. If all got the same time, or a short one, they would
/// return together, and the pool would spend its time on refusals and on calls that are late by then.
#[test]
fn retrying_callers_spread() {
    for seed in 1..=5 {
        let (alone, _) = simulate(Predictive::default(), &crowd_rates(), false, seed);
        let (retrying, waits) = simulate(Predictive::default(), &crowd_rates(), true, seed);
        let on_time = |counts: &[Count]| counts.iter().map(|count| count.on_time).sum::<u64>();
        let refused: u64 = retrying.iter().map(|count| count.refused).sum();
        let distinct = waits.iter().map(Duration::as_millis);
        let distinct = distinct.collect::<std::collections::HashSet<_>>().len();
        println!(
            "seed {seed}: on time {} alone, {} with returns, {refused} refusals, {distinct} waits",
            on_time(&alone),
            on_time(&retrying),
        );
        assert!(on_time(&retrying) as f64 >= 0.95 * on_time(&alone) as f64);
        assert!(refused < 3 * alone[0].offered);
        assert!(distinct * 10 > waits.len().min(1_000));
        for count in &retrying[1..] {
            assert!(count.on_time as f64 >= 0.99 * count.offered as f64);
        }
    }
}

/// A request that can no longer meet its deadline is served late, but not lost. If it always yielded,
/// it would wait forever while requests keep arriving that can still meet theirs.
#[test]
fn late_calls_not_starved() {
    let mut admission = Predictive::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let now = Duration::from_secs(10);
    let call = |item: u32, latest_start| Call {
        workspace: format!("w{}", item % 3).into(),
        share: 1,
        latest_start,
        item,
    };
    admission.offer(call(0, now * 2), 1, now, &mut rng);
    let late = admission.offer(call(1, Duration::from_secs(9)), 1, now, &mut rng);
    assert_eq!(late, AdmissionDecision::Queued);
    let started_after = (2..).take(40).position(|number| {
        admission.push(call(number, now * 2), 1, now);
        admission.finished("w0", Duration::ZERO, None);
        admission.next(1, now) == Some(1)
    });
    assert!(started_after.is_some_and(|starts| starts < 20));
}

/// A request with a very short deadline is served late rather than refused while the pool is not
/// overloaded, and a call of a request that was accepted before is never refused.
#[test]
fn refuses_only_on_overload() {
    let mut admission = Predictive::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let call = |item: u32| Call {
        workspace: "w".into(),
        share: 1,
        latest_start: Duration::ZERO,
        item,
    };
    let now = Duration::from_secs(1);
    for item in 0..4 {
        let decision = admission.offer(call(item), 1, now, &mut rng);
        assert!(!matches!(decision, AdmissionDecision::Refused { .. }));
    }
    for item in 4..10_000 {
        admission.push(call(item), 1, now);
    }
    assert!(matches!(
        admission.offer(call(0), 1, now, &mut rng),
        AdmissionDecision::Refused { .. }
    ));
    let mut run = 1;
    while admission.in_flight() > 0 {
        admission.finished("w", Duration::ZERO, None);
        run += admission.next(1, now).iter().count();
    }
    assert_eq!(run, 10_000);
}
