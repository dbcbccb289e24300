//! Long prompts from many processes at many runners.
//!
//! The pattern is a burst of a route with long prompts at a large deployment: 28 processes and 52
//! runners, 188 prompts a second of 2,890 tokens of their own on average, some ten times as long, behind
//! one of 4 first parts of 2,520 tokens and one of 150 second parts of 3,780. A runner that makes
//! tokens for others meanwhile reads 25 in a millisecond, one prompt after the other. Each process
//! sends seven prompts a second. These are the figures of a measured deployment, where the median time
//! to the first event rose from 0.2 to 0.9 s in such a burst.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::route::affinity::PromptPart;
use decide::route::{Call, CallLoad, Pool, PrefixAffinity, Router, Target, TargetId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

const PROCESSES: usize = 28;
const RUNNERS: usize = 52;
const STEP: Duration = Duration::from_millis(1);
const RATE: f64 = 188.0;
const END: Duration = Duration::from_secs(20);
/// Time between two words of the processes to one another.
const TOLD_EVERY: u32 = 100;
/// Seconds that a runner takes for a token.
const TOKEN: f64 = 40e-6;
const FIRST: u32 = 2_520;
const SECOND: u32 = 3_780;

struct Sent {
    process: usize,
    runner: usize,
    reading: f64,
    until: Duration,
}

struct World {
    rng: SmallRng,
    pools: Vec<Pool>,
    free: Vec<Duration>,
    held: HashSet<(usize, u64)>,
    open: Vec<Sent>,
    waits: Vec<Duration>,
}

fn pool() -> Pool {
    let mut pool = Pool::default();
    for runner in 0..RUNNERS {
        pool.insert(Target::new(format!("{runner}"), "a", 96));
    }
    pool
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            pools: (0..PROCESSES).map(|_| pool()).collect(),
            free: vec![Duration::ZERO; RUNNERS],
            held: HashSet::new(),
            open: Vec::new(),
            waits: Vec::new(),
        }
    }

    fn send(&mut self, now: Duration) {
        let process = self.rng.random_range(0..PROCESSES);
        let (first, second) = (self.rng.random_range(0..4), self.rng.random_range(0..150));
        // Exponentially distributed.
        let own = (-2_890.0 * self.rng.random::<f64>().max(1e-6).ln()) as u32;
        let block = 1_000 + second;
        let parts = [
            PromptPart {
                block: first,
                tokens: FIRST,
            },
            PromptPart {
                block,
                tokens: SECOND,
            },
        ];
        let call = Call {
            now,
            domain: "a",
            prefix: &[],
            tried: &[],
            slack: Duration::from_secs(1),
        };
        let pool = &mut self.pools[process];
        let picked = PrefixAffinity::new(PROCESSES, &parts).pick(pool, &call, &mut self.rng);
        let id = picked.unwrap();
        let reading = f64::from(own) * TOKEN;
        pool.sent(&id, now);
        pool.prompt_sent(&id, now, reading);
        let runner: usize = id.parse().unwrap();
        let mut tokens = own;
        for part in parts {
            if self.held.insert((runner, part.block)) {
                tokens += part.tokens;
            }
        }
        let begun = self.free[runner].max(now);
        let until = begun + Duration::from_secs_f64(f64::from(tokens) * TOKEN);
        self.free[runner] = until;
        self.waits.push(begun - now);
        self.open.push(Sent {
            process,
            runner,
            reading,
            until,
        });
    }

    fn end(&mut self, now: Duration) {
        let open = std::mem::take(&mut self.open);
        let (over, open): (Vec<_>, Vec<_>) = open.into_iter().partition(|sent| sent.until <= now);
        self.open = open;
        for sent in over {
            let pool = &mut self.pools[sent.process];
            let id = sent.runner.to_string();
            pool.prompt_read(&id, sent.reading);
            pool.returned(&id);
        }
    }

    /// All processes tell of their calls, and each hears what the others have.
    fn tell(&mut self, now: Duration) {
        let told: Vec<_> = self.pools.iter().map(Pool::call_loads).collect();
        for process in 0..PROCESSES {
            let mut sums: HashMap<TargetId, CallLoad> = HashMap::new();
            let others = told.iter().enumerate().filter(|(from, _)| *from != process);
            for (id, call_load) in others.flat_map(|(_, burdens)| burdens) {
                *sums.entry(id.clone()).or_default() += *call_load;
            }
            self.pools[process].update_peer_loads(now, sums.into_iter().collect());
        }
    }
}

/// Mean wait of a prompt until its runner begins to read it.
fn play(seed: u64, telling: bool) -> Duration {
    let mut world = World::new(seed);
    let (mut now, mut step) = (Duration::ZERO, 0);
    while now < END {
        if world.rng.random_bool(RATE * STEP.as_secs_f64()) {
            world.send(now);
        }
        world.end(now);
        if telling && step % TOLD_EVERY == 0 {
            world.tell(now);
        }
        now += STEP;
        step += 1;
    }
    let count = u32::try_from(world.waits.len()).unwrap();
    world.waits.iter().sum::<Duration>() / count
}

/// A process that sees a thirtieth of the calls takes a runner for free to which the others have just
/// sent a prompt of thirty thousand tokens, and its caller waits behind that. Told what the others
/// have there, if a tenth of a second late, it goes elsewhere.
#[test]
fn told_waits_less() {
    for seed in 1..=3 {
        let (alone, told) = (play(seed, false), play(seed, true));
        assert!(told.mul_f64(1.5) < alone, "seed {seed}: {alone:?} {told:?}");
    }
}
