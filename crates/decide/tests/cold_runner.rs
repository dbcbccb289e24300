//! A failure domain's runners come back cold in a burst, and look idle to all processes.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::warmup::{RateLimit, RateShare};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Longest time from a decision to send until the request is on its way.
const CONNECT: Duration = Duration::from_millis(300);

/// Moments at which one runner is sent requests by processes that all want to send all the time, each
/// with its own delays.
fn sent(share: RateShare, seed: u64) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut moments = Vec::new();
    for _ in 0..share.senders {
        let mut granted = rng.random_range(Duration::ZERO..share.interval);
        while granted < SECOND * 20 {
            // Half of the connections are open already, which brings requests closer together.
            let late = rng.random_bool(0.5);
            let delay = if late { CONNECT } else { Duration::ZERO };
            moments.push(granted + delay);
            granted += share.interval;
        }
    }
    moments.sort_unstable();
    moments
}

/// Most requests within any second.
fn peak(moments: &[Duration]) -> usize {
    let within = |(index, from): (usize, &Duration)| {
        let rest = moments[index..].iter();
        rest.take_while(|moment| **moment <= *from + SECOND).count()
    };
    moments.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Thirty processes see a runner that has nothing to do. What they send together in any second
/// stays under what it bears, whatever their number, or it fails as soon as it is back.
#[test]
fn bounded_together() {
    for (rate, max_per_second) in [
        (8.2, 17),
        (8.2, 8),
        (2.0, 8),
        (30.0, 50),
        (0.5, 1),
        (5.0, 3),
    ] {
        for processes in [1, 2, 3, 4, 7, 8, 9, 27, 300] {
            let share = RateShare::new(
                &RateLimit {
                    rate,
                    max_per_second,
                },
                processes,
            )
            .unwrap();
            for seed in 0..20 {
                let peak = peak(&sent(share, seed));
                assert!(
                    peak <= max_per_second as usize,
                    "{rate} {max_per_second} {processes}: {peak}"
                );
            }
        }
    }
}

/// The bound is for use: what the places may send on average is near what the runner bears, or the
/// traffic of a burst finds no room beside runners that could take it.
#[test]
fn used_up() {
    for processes in [1, 4, 27] {
        let share = RateShare::new(
            &RateLimit {
                rate: 8.2,
                max_per_second: 17,
            },
            processes,
        )
        .unwrap();
        let rate = share.senders as f64 / share.interval.as_secs_f64();
        assert!((8.0..8.201).contains(&rate), "{processes}: {rate}");
    }
}

/// All processes agree on who has a place, and the places of many runners lie at many processes.
#[test]
fn places_agreed() {
    let names: Vec<String> = (0..27).map(|number| format!("relay-{number}")).collect();
    let share = RateShare::new(
        &RateLimit {
            rate: 8.2,
            max_per_second: 17,
        },
        names.len(),
    )
    .unwrap();
    let mut senders = vec![0; names.len()];
    for runner in 0..60 {
        let runner = format!("runner-{runner}");
        let has = |own: &&String| {
            let others = names.iter().filter(|name| *name != *own);
            share.may_send(&runner, own, others.map(String::as_str))
        };
        assert_eq!(names.iter().filter(has).count(), share.senders);
        for (place, name) in senders.iter_mut().zip(&names) {
            *place += usize::from(has(&name));
        }
    }
    assert!(senders.iter().all(|count| *count > 5), "{senders:?}");
}

/// A runner that bears nothing yet gets nothing.
#[test]
fn bears_nothing() {
    assert_eq!(
        RateShare::new(
            &RateLimit {
                rate: 8.2,
                max_per_second: 0
            },
            4
        ),
        None
    );
    assert_eq!(
        RateShare::new(
            &RateLimit {
                rate: 0.0,
                max_per_second: 4
            },
            4
        ),
        None
    );
}
