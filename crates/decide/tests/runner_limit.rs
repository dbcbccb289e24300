//! A runner in need names a limit, and callers of many processes press on.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::share::RateShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Time over which requests are counted, and what may come beyond a limit: half as much again, and
/// five.
const SPAN: Duration = Duration::from_secs(4);
const EXCESS: f64 = 1.5;
const BESIDES: f64 = 5.0;
/// Longest time from a decision to send until the request is on its way.
const CONNECT: Duration = Duration::from_millis(300);

/// Most requests within any span, where each process that may send wants to all the time.
fn peak(share: RateShare, seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut moments = Vec::new();
    for _ in 0..share.senders {
        // All have learnt of the limit within moments.
        let mut granted = share.interval + rng.random_range(Duration::ZERO..CONNECT);
        while granted < SPAN * 40 {
            let delay = if rng.random_bool(0.5) {
                CONNECT
            } else {
                Duration::ZERO
            };
            moments.push(granted + delay);
            granted += share.interval;
        }
    }
    moments.sort_unstable();
    let within = |(index, from): (usize, &Duration)| {
        let rest = moments[index..].iter();
        rest.take_while(|moment| **moment <= *from + SPAN).count()
    };
    moments.iter().enumerate().map(within).max().unwrap_or(0)
}

fn allowed(rate: f64) -> f64 {
    EXCESS * rate * SPAN.as_secs_f64() + BESIDES
}

fn peaks(share: impl Fn(Duration, usize) -> RateShare) -> Vec<(f64, usize, usize)> {
    let mut over = Vec::new();
    for rate in [0.2, 0.5, 1.0, 2.0, 7.3, 30.0] {
        for processes in [1, 2, 3, 4, 5, 8, 27, 68, 300] {
            let spacing = Duration::from_secs_f64(1.0 / rate);
            let peak = (0..10)
                .map(|seed| peak(share(spacing, processes), seed))
                .max();
            let peak = peak.unwrap();
            if peak as f64 > allowed(rate) {
                over.push((rate, processes, peak));
            }
        }
    }
    over
}

/// What all processes send together stays under the limit, whatever their number.
#[test]
fn kept_together() {
    assert_eq!(peaks(RateShare::from_interval), []);
}

/// An equal part for each process: the gaps are so long that all first requests fall into one span.
#[test]
fn equal_parts_exceed() {
    let equal = |spacing: Duration, processes: usize| RateShare {
        senders: processes,
        interval: spacing * processes as u32,
    };
    let over = peaks(equal);
    assert!(
        over.iter().all(|(_, processes, _)| *processes > 5),
        "{over:?}"
    );
    assert!(
        over.iter().any(|(_, processes, _)| *processes == 27),
        "{over:?}"
    );
}

/// What a runner asks for is what it gets on average, where enough callers wait.
#[test]
fn used_up() {
    for processes in [1, 4, 68] {
        let share = RateShare::from_interval(Duration::from_millis(250), processes);
        let rate = share.senders as f64 / share.interval.as_secs_f64();
        assert!((rate - 4.0).abs() < 0.01, "{processes}: {rate}");
    }
}
