//! The soak of a chain of stages: its runners, and a burst of requests.

use crate::torture::relays::cluster::{Cluster, Layout, PERMANENT_KEY, RunnerAccess};
use crate::torture::relays::demand::send_one;
use crate::torture::state::SoakState;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use stub::caller::{ClientRequest, Kind, RequestRecord, USUAL};
use stub::config::{CHAIN, CHAIN_SERVICES, MODEL, PLAIN, STAGE, chain_configuration};
use stub::runner::Log;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Runners and routes. A burst asks for 190 pieces per second of the middle stage, and four of its runners
/// can make 180.
pub const LAYOUT: Layout = Layout {
    access: RunnerAccess::Direct,
    runners: &[
        (PLAIN, 2),
        (MODEL, 3),
        (STAGE, 2),
        (CHAIN[0], 3),
        (CHAIN[1], 4),
        (CHAIN[2], 4),
    ],
    configuration: chain_configuration,
    has_clock: false,
};
/// Requests per second outside the burst, and the factor during the burst.
const RATE: f64 = 25.0;
const BURST_FACTOR: f64 = 2.5;
/// Start and end of the burst as shares of the time.
const BURST: (f64, f64) = (0.25, 0.55);
/// Kinds of requests, with weights.
const KINDS: [(Kind, u32); 3] = [(Kind::Chain, 15), (Kind::First, 4), (Kind::Staged, 1)];
/// Bounds of a client's timeout, in milliseconds.
const TIMEOUT_MS: std::ops::Range<u64> = 1_500..3_500;
/// Factors by which two runners of each stage misreport how slow they are.
const MISREPORTS: [f64; 2] = [0.25, 4.0];
/// Time beyond the retention time within which result storage must be free.
const STORAGE_TOLERANCE: Duration = Duration::from_secs(1);
const STORAGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time until all result storage was free or waiting ended, and the bytes still occupied by runner.
pub type StorageCheck = (Duration, BTreeMap<String, u64>);

/// Makes two runners of each stage of the chain misreport how slow they are.
pub fn misreport_load(cluster: &Cluster) {
    for service in CHAIN {
        let targets = cluster.targets.iter();
        let runners = targets.filter(|target| target.service == service);
        let pairs = runners.zip(MISREPORTS);
        pairs.for_each(|(target, factor)| target.runner.set_misreport(factor));
    }
}

/// Sends requests for a time, with a burst. Returns their records.
pub async fn send(state: Arc<SoakState>, seed: u64, time: Duration) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let burst = time.mul_f64(BURST.0)..time.mul_f64(BURST.1);
    let mut callers = JoinSet::new();
    let mut number = 0_u64;
    while begun.elapsed() < time {
        let is_burst = burst.contains(&begun.elapsed());
        let rate = RATE * if is_burst { BURST_FACTOR } else { 1.0 };
        let gap = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
        sleep(Duration::from_secs_f64(gap)).await;
        number += 1;
        let request = draw_request(number, &mut rng);
        if let Some(entry) = state.entries().choose(&mut rng) {
            callers.spawn(send_one(*entry, request));
        }
    }
    callers.join_all().await
}

fn draw_request(number: u64, rng: &mut StdRng) -> ClientRequest {
    let kind = KINDS.choose_weighted(rng, |(_, weight)| *weight);
    ClientRequest {
        id: format!("c{number}"),
        kind: kind.map_or(Kind::Chain, |(kind, _)| *kind),
        key: PERMANENT_KEY.to_owned(),
        timeout: Duration::from_millis(rng.random_range(TIMEOUT_MS)),
        body: USUAL,
        parts: &[],
    }
}

/// Waits until no runner stores results, for the longest retention time and a second at most.
pub async fn await_free_storage(log: &Log) -> StorageCheck {
    let longest = CHAIN_SERVICES.iter().map(|service| service.handle_s).max();
    let limit = Duration::from_secs(longest.unwrap_or(0)) + STORAGE_TOLERANCE;
    let begun = Instant::now();
    loop {
        let occupied = log.used_storage();
        let waited = begun.elapsed();
        if occupied.is_empty() || waited > limit {
            return (waited, occupied);
        }
        sleep(STORAGE_CHECK_INTERVAL).await;
    }
}
