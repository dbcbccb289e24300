//! A load balancer that sends most new connections to one process.
//!
//! The process has one run queue. Each accepted connection brings a request, whose client gives up
//! if it is not served in time.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::shed::ConnectionShedder;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

/// Time that the process takes for a request.
const REQUEST_TIME: Duration = Duration::from_millis(5);
/// Time that it takes to close a connection.
const CLOSE_TIME: Duration = Duration::from_micros(100);
/// Longest time that a client waits.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);
/// New connections per second before and during the flood. The process can serve 200.
const USUAL_RATE: f64 = 100.0;
const FLOOD_RATES: [f64; 3] = [400.0, 1_500.0, 4_000.0];
/// When the flood begins, and when it must be under control.
const FLOOD_START: Duration = Duration::from_secs(5);
const CONTROLLED: Duration = Duration::from_secs(8);
const END: Duration = Duration::from_secs(15);
/// Minimum ratio of the served shares of accepted requests during and before the flood.
const MIN_SERVED_RATIO: f64 = 0.75;
/// Longest time without an accepted connection.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// What became of a new connection.
#[derive(Clone, Copy)]
struct Connection {
    at: Duration,
    is_accepted: bool,
    is_served: bool,
}

/// Plays the connections of one process. Returns what became of each.
fn play(flood_rate: f64, seed: u64, mut shedder: Option<ConnectionShedder>) -> Vec<Connection> {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut now, mut idle_at) = (Duration::ZERO, Duration::ZERO);
    let mut connections = Vec::new();
    let mut starts = VecDeque::new();
    while now < END {
        let rate = if now < FLOOD_START {
            USUAL_RATE
        } else {
            flood_rate
        };
        now += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / rate);
        while let Some(start) = starts.front().copied().filter(|start| *start <= now) {
            starts.pop_front();
            shedder
                .iter_mut()
                .for_each(|shedder| shedder.started(start));
        }
        let draw = rng.random();
        let is_accepted = shedder
            .as_mut()
            .is_none_or(|shedder| shedder.accepts(now, draw));
        let start = idle_at.max(now);
        // A client that has given up has closed its connection, which takes no time.
        let is_served = is_accepted && start + REQUEST_TIME <= now + CLIENT_TIMEOUT;
        idle_at = start + if is_served { REQUEST_TIME } else { CLOSE_TIME };
        if is_accepted {
            starts.push_back(start);
        }
        connections.push(Connection {
            at: now,
            is_accepted,
            is_served,
        });
    }
    connections
}

/// Share of the accepted connections of a period that were served.
fn served_share(connections: &[Connection], period: std::ops::Range<Duration>) -> f64 {
    let accepted = connections
        .iter()
        .filter(|one| one.is_accepted && period.contains(&one.at));
    let (mut all, mut served) = (0, 0);
    for connection in accepted {
        all += 1;
        served += u32::from(connection.is_served);
    }
    f64::from(served) / f64::from(all.max(1))
}

fn served_ratio(connections: &[Connection]) -> f64 {
    let before = served_share(connections, Duration::ZERO..FLOOD_START);
    served_share(connections, CONTROLLED..END) / before
}

/// Guards against a process that accepts more connections than it can serve, so that their requests time out,
/// and against one that serves fewer than before the flood.
#[test]
fn accepted_are_served() {
    for rate in FLOOD_RATES {
        for seed in 0..20 {
            let connections = play(rate, seed, Some(ConnectionShedder::default()));
            let ratio = served_ratio(&connections);
            let served = connections
                .iter()
                .filter(|one| one.is_served && one.at >= CONTROLLED);
            let served_rate = served.count() as f64 / (END - CONTROLLED).as_secs_f64();
            assert!(
                served_rate >= USUAL_RATE,
                "rate {rate}, seed {seed}: {served_rate} a second"
            );
            assert!(
                ratio >= MIN_SERVED_RATIO,
                "rate {rate}, seed {seed}: {ratio}"
            );
        }
    }
}

/// Shows that the load overwhelms a process that accepts all connections.
#[test]
fn naive_overwhelmed() {
    for rate in FLOOD_RATES {
        assert!(served_ratio(&play(rate, 1, None)) < MIN_SERVED_RATIO);
    }
}

/// Guards against a process that accepts nothing for a while although it reports that it is ready.
#[test]
fn never_closed() {
    let connections = play(FLOOD_RATES[2], 1, Some(ConnectionShedder::default()));
    let accepted = connections.iter().filter(|one| one.is_accepted);
    let times: Vec<Duration> = accepted.map(|one| one.at).collect();
    let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest < Some(MAX_PAUSE), "{longest:?}");
}

/// Guards against connections that are closed under the usual load, when bursts delay some of them.
#[test]
fn usual_load_accepted() {
    for seed in 0..20 {
        let connections = play(USUAL_RATE, seed, Some(ConnectionShedder::default()));
        let shed = connections.iter().filter(|one| !one.is_accepted).count();
        assert_eq!(shed, 0, "seed {seed}");
    }
}

/// Guards against an idle process that closes connections long after a flood, because too few have arrived since
/// for the accepted share to grow.
#[test]
fn rare_after_flood() {
    let at = Duration::from_millis;
    let mut shedder = ConnectionShedder::default();
    for turn in 0..100 {
        if shedder.accepts(at(100 * turn), 0.99) {
            shedder.started(at(100 * turn + 60));
        }
    }
    assert!(shedder.accepted_share() < 0.1);
    for pause in [3_000, 6_000, 9_000] {
        let accepts = (0..5).map(|turn| {
            let now = at(10_000 + pause + 20 * turn);
            let is_accepted = shedder.accepts(now, 0.99);
            if is_accepted {
                shedder.started(now + at(1));
            }
            is_accepted
        });
        let accepted: Vec<bool> = accepts.collect();
        assert_eq!(accepted, [true; 5], "after {pause} ms");
    }
}

/// Guards against an overload that one connection without delay hides.
#[test]
fn one_prompt_start() {
    let at = Duration::from_millis;
    let mut shedder = ConnectionShedder::default();
    for turn in 0..100 {
        let delay = if turn % 10 == 9 { 1 } else { 60 };
        if shedder.accepts(at(100 * turn), 0.99) {
            shedder.started(at(100 * turn + delay));
        }
    }
    assert!(shedder.accepted_share() < 0.1);
}
