//! Runners of a failure domain that restart during a burst and look idle to all processes.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::warmup::{RateLimit, RateShare};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Longest time from the decision to send a request until it is sent.
const MAX_SEND_DELAY: Duration = Duration::from_millis(300);

/// Times at which requests are sent to one runner by processes that always have requests to send, each
/// with its own delays.
fn send_times(share: RateShare, seed: u64) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut times = Vec::new();
    for _ in 0..share.senders {
        let mut granted = rng.random_range(Duration::ZERO..share.interval);
        while granted < SECOND * 20 {
            // Half of the connections are already open, which brings requests closer together.
            let is_connecting = rng.random_bool(0.5);
            let delay = if is_connecting {
                MAX_SEND_DELAY
            } else {
                Duration::ZERO
            };
            times.push(granted + delay);
            granted += share.interval;
        }
    }
    times.sort_unstable();
    times
}

/// Largest number of requests within any second.
fn peak(times: &[Duration]) -> usize {
    let within = |(index, from): (usize, &Duration)| {
        let rest = times[index..].iter();
        rest.take_while(|time| **time <= *from + SECOND).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Processes, thirty for example, see an idle runner. Whatever their number, the requests that they
/// send together in any second stay under its limit; otherwise it would fail as soon as it is back.
#[test]
fn limit_kept_by_all() {
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
                let peak = peak(&send_times(share, seed));
                assert!(
                    peak <= max_per_second as usize,
                    "{rate} {max_per_second} {processes}: {peak}"
                );
            }
        }
    }
}

/// The average rate of all senders is close to the runner's limit. Otherwise the traffic of a burst
/// would be refused while runners could handle it.
#[test]
fn limit_used_up() {
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

/// All processes agree on the senders, and the senders of many runners are spread over many processes.
#[test]
fn senders_agreed() {
    let names: Vec<String> = (0..27).map(|number| format!("relay-{number}")).collect();
    let share = RateShare::new(
        &RateLimit {
            rate: 8.2,
            max_per_second: 17,
        },
        names.len(),
    )
    .unwrap();
    let mut sender_counts = vec![0; names.len()];
    for runner in 0..60 {
        let runner = format!("runner-{runner}");
        let has = |own: &&String| {
            let others = names.iter().filter(|name| *name != *own);
            share.may_send(&runner, own, others.map(String::as_str))
        };
        assert_eq!(names.iter().filter(has).count(), share.senders);
        for (count, name) in sender_counts.iter_mut().zip(&names) {
            *count += usize::from(has(&name));
        }
    }
    assert!(
        sender_counts.iter().all(|count| *count > 5),
        "{sender_counts:?}"
    );
}

/// A runner that accepts no requests yet gets none.
#[test]
fn nothing_sent_without_rate() {
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
