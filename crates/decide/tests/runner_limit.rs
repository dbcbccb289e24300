//! A rate limit requested by an overloaded runner, shared by many processes.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::share::RateShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Time over which requests are counted. A limit may be exceeded by half, plus five requests.
const SPAN: Duration = Duration::from_secs(4);
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_COUNT: f64 = 5.0;
/// Longest time from the decision to send a request until it is sent.
const MAX_SEND_DELAY: Duration = Duration::from_millis(300);

/// Largest number of requests within any span if each sender always has requests to send.
fn peak(share: RateShare, seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut times = Vec::new();
    for _ in 0..share.senders {
        // All processes receive the limit at nearly the same time.
        let mut granted = share.interval + rng.random_range(Duration::ZERO..MAX_SEND_DELAY);
        while granted < SPAN * 40 {
            let delay = if rng.random_bool(0.5) {
                MAX_SEND_DELAY
            } else {
                Duration::ZERO
            };
            times.push(granted + delay);
            granted += share.interval;
        }
    }
    times.sort_unstable();
    let within = |(index, from): (usize, &Duration)| {
        let rest = times[index..].iter();
        rest.take_while(|time| **time <= *from + SPAN).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

fn allowed(rate: f64) -> f64 {
    EXCESS_FACTOR * rate * SPAN.as_secs_f64() + EXCESS_COUNT
}

fn exceeding(share: impl Fn(Duration, usize) -> RateShare) -> Vec<(f64, usize, usize)> {
    let mut exceeding = Vec::new();
    for rate in [0.2, 0.5, 1.0, 2.0, 7.3, 30.0] {
        for processes in [1, 2, 3, 4, 5, 8, 27, 68, 300] {
            let mean_interval = Duration::from_secs_f64(1.0 / rate);
            let peak = (0..10)
                .map(|seed| peak(share(mean_interval, processes), seed))
                .max();
            let peak = peak.unwrap();
            if peak as f64 > allowed(rate) {
                exceeding.push((rate, processes, peak));
            }
        }
    }
    exceeding
}

/// The requests of all processes together stay under the limit, whatever their number.
#[test]
fn limit_kept_by_all() {
    assert_eq!(exceeding(RateShare::from_interval), []);
}

/// With an equal share for each process, the intervals are so long that all first requests fall into
/// one span.
#[test]
fn equal_shares_exceed_limit() {
    let equal_share = |mean_interval: Duration, processes: usize| RateShare {
        senders: processes,
        interval: mean_interval * processes as u32,
    };
    let exceeding = exceeding(equal_share);
    assert!(
        exceeding.iter().all(|(_, processes, _)| *processes > 5),
        "{exceeding:?}"
    );
    assert!(
        exceeding.iter().any(|(_, processes, _)| *processes == 27),
        "{exceeding:?}"
    );
}

/// A runner gets the requested rate on average if enough callers wait.
#[test]
fn limit_used_up() {
    for processes in [1, 4, 68] {
        let share = RateShare::from_interval(Duration::from_millis(250), processes);
        let rate = share.senders as f64 / share.interval.as_secs_f64();
        assert!((rate - 4.0).abs() < 0.01, "{processes}: {rate}");
    }
}
