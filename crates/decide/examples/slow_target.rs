//! Shows how calls are distributed when one target of three is ten times slower: `cargo run -p decide
//! --example slow_target`.

use decide::route::{Call, Pool, ResponseStats, RoundRobin, Router, Sampled, Target, TargetId};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const TARGETS: [&str; 3] = ["gen-1", "gen-2", "gen-3"];
const SLOW: &str = "gen-2";
const CALLS: u32 = 300;
const INTERVAL: Duration = Duration::from_millis(10);

fn main() {
    println!("round robin: {:?}", calls_by_target(RoundRobin::default()));
    println!("sampled:     {:?}", calls_by_target(Sampled));
}

/// Number of calls that each target got.
fn calls_by_target(mut router: impl Router) -> [usize; 3] {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = Pool::default();
    for id in TARGETS {
        pool.insert(Target::new(id, "a", 4));
    }
    let mut running: Vec<(Duration, TargetId, Duration)> = Vec::new();
    let mut counts = [0; 3];
    for call in 0..CALLS {
        let now = INTERVAL * call;
        let (finished, remaining): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(end, ..)| *end <= now);
        running = remaining;
        for (_, id, busy) in finished {
            pool.answered(&id, now, &stats(busy));
        }
        let Some(id) = router.pick(&pool, &call_at(now), &mut rng) else {
            continue;
        };
        let busy = Duration::from_millis(if *id == *SLOW { 400 } else { 40 });
        pool.sent(&id, now);
        if let Some(position) = TARGETS.iter().position(|target| *target == &*id) {
            counts[position] += 1;
        }
        running.push((now + busy, id, busy));
    }
    counts
}

fn call_at(now: Duration) -> Call<'static> {
    Call {
        now,
        domain: "a",
        prefix: &[],
        tried: &[],
        slack: Duration::from_secs(1),
    }
}

fn stats(busy: Duration) -> ResponseStats<'static> {
    ResponseStats {
        busy,
        elapsed: busy,
        prefix: &[],
        hits: 0,
    }
}
