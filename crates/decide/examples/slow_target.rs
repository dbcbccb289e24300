//! Where calls go when one target of three is ten times slower: `cargo run -p decide --example
//! slow_target`.

use decide::route::{Call, Pool, ResponseStats, RoundRobin, Router, Sampled, Target, TargetId};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const TARGETS: [&str; 3] = ["gen-1", "gen-2", "gen-3"];
const SLOW: &str = "gen-2";
const CALLS: u32 = 300;
const PACE: Duration = Duration::from_millis(10);

fn main() {
    println!("round robin: {:?}", share(RoundRobin::default()));
    println!("sampled:     {:?}", share(Sampled));
}

/// Calls that each target got.
fn share(mut router: impl Router) -> [usize; 3] {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = Pool::default();
    for id in TARGETS {
        pool.insert(Target::new(id, "a", 4));
    }
    let mut running: Vec<(Duration, TargetId, Duration)> = Vec::new();
    let mut got = [0; 3];
    for call in 0..CALLS {
        let now = PACE * call;
        let (over, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = rest;
        for (_, id, busy) in over {
            pool.answered(&id, now, &answer(busy));
        }
        let Some(id) = router.pick(&pool, &at(now), &mut rng) else {
            continue;
        };
        let busy = Duration::from_millis(if *id == *SLOW { 400 } else { 40 });
        pool.sent(&id, now);
        if let Some(place) = TARGETS.iter().position(|target| *target == &*id) {
            got[place] += 1;
        }
        running.push((now + busy, id, busy));
    }
    got
}

fn at(now: Duration) -> Call<'static> {
    Call {
        now,
        domain: "a",
        prefix: &[],
        tried: &[],
        slack: Duration::from_secs(1),
    }
}

fn answer(busy: Duration) -> ResponseStats<'static> {
    ResponseStats {
        busy,
        elapsed: busy,
        prefix: &[],
        hits: 0,
    }
}
