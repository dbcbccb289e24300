//! Cost of one decision: routing over fleets of increasing size, and admission with 5,000 workspaces.
#![allow(clippy::unwrap_used, missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use decide::admit::{Admission, AdmissionDecision, Call, Predictive};
use decide::route::{self, LoadReport, Pool, ResponseStats, RoundRobin, Router, Sampled, Target};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::hint::black_box;
use std::time::Duration;

const FLEETS: [usize; 3] = [16, 256, 4_096];
const WORKSPACES: usize = 5_000;
const BLOCKS: u64 = 16;
const SLOTS: u32 = 64;

/// A pool whose targets have all reported their load, answered a call and cached a prefix.
fn pool(targets: usize) -> Pool {
    let mut pool = Pool::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for number in 0..targets {
        let id = format!("gen-{number}");
        let domain = ["a", "b", "c", "d"][number % 4];
        pool.insert(Target::new(id.as_str(), domain, 8));
        let report = LoadReport {
            queued: rng.random_range(0..4),
            running: 8,
            limit: 8,
        };
        pool.sent(&id, Duration::ZERO);
        pool.reported(&id, Duration::ZERO, report);
        let stats = ResponseStats {
            busy: Duration::from_millis(rng.random_range(20..80)),
            elapsed: Duration::from_millis(90),
            prefix: &prefix(number as u64 % 64),
            hits: 0,
        };
        pool.answered(&id, Duration::ZERO, &stats);
    }
    pool
}

fn prefix(prompt: u64) -> Vec<u64> {
    (0..BLOCKS).map(|block| prompt * 1_000 + block).collect()
}

fn routing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for fleet in FLEETS {
        let pool = pool(fleet);
        let (plain, cached) = (Vec::new(), prefix(7));
        for (name, prefix) in [("sampled", &plain), ("sampled-prefix", &cached)] {
            let call = call(prefix);
            let mut rng = SmallRng::seed_from_u64(2);
            group.bench_function(BenchmarkId::new(name, fleet), |bencher| {
                bencher.iter(|| Sampled.pick(black_box(&pool), &call, &mut rng));
            });
        }
        let call = call(&plain);
        let mut rng = SmallRng::seed_from_u64(2);
        let mut robin = RoundRobin::default();
        group.bench_function(BenchmarkId::new("round-robin", fleet), |bencher| {
            bencher.iter(|| robin.pick(black_box(&pool), &call, &mut rng));
        });
    }
    group.finish();
}

fn call(prefix: &[u64]) -> route::Call<'_> {
    route::Call {
        now: Duration::from_millis(100),
        domain: "a",
        prefix,
        tried: &[],
        slack: Duration::from_secs(1),
    }
}

fn updates(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pool");
    for fleet in FLEETS {
        let mut pool = pool(fleet);
        let stats = ResponseStats {
            busy: Duration::from_millis(40),
            elapsed: Duration::from_millis(90),
            prefix: &[],
            hits: 0,
        };
        group.bench_function(BenchmarkId::new("sent-answered", fleet), |bencher| {
            bencher.iter(|| {
                pool.sent("gen-3", Duration::from_millis(100));
                pool.answered("gen-3", Duration::from_millis(140), &stats);
            });
        });
    }
    group.finish();
}

/// One request offered, one started and one finished, with calls of all workspaces waiting.
fn admission(criterion: &mut Criterion) {
    let mut admission = Predictive::default();
    let mut rng = SmallRng::seed_from_u64(3);
    let workspaces: Vec<decide::WorkspaceId> = (0..WORKSPACES)
        .map(|number| format!("workspace-{number}").into())
        .collect();
    let mut now = Duration::ZERO;
    let mut next = 0;
    let mut offer_next = |now, admission: &mut Predictive<usize>, rng: &mut SmallRng| {
        next = (next + 7) % WORKSPACES;
        let call = Call {
            workspace: workspaces[next].clone(),
            share: 1,
            latest_start: now + Duration::from_secs(3_600),
            item: next,
        };
        match admission.offer(call, SLOTS, now, rng) {
            AdmissionDecision::Refused { retry_after, .. } => Some(retry_after),
            _ => None,
        }
    };
    for _ in 0..WORKSPACES {
        offer_next(now, &mut admission, &mut rng);
    }
    criterion.bench_function("admit/offer-next-finished/5000", |bencher| {
        bencher.iter(|| {
            now += Duration::from_micros(100);
            let refused = offer_next(now, &mut admission, &mut rng);
            let busy = Duration::from_millis(20);
            admission.finished("workspace-1", busy, Some(busy));
            (refused, admission.next(SLOTS, now))
        });
    });
}

criterion_group!(benches, routing, updates, admission);
criterion_main!(benches);
