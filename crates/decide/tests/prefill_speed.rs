//! Learning how fast engines read prompts, from responses that queues and shared parts delay.
//!
//! The engines are those of two measured deployments. Prompts have 100 to 18,000 tokens, of which up
//! to three quarters are shared; a third of the shared parts are not cached and have to be read.
#![allow(missing_docs)]

use decide::route::prefill::{FirstEvent, PrefillEstimator, PrefillSpeed};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Responses per second of one service at one relay.
const RATE: u32 = 10;
const FAST: PrefillSpeed = PrefillSpeed {
    base: 0.0557,
    per_token: 11e-6,
};
const SLOW: PrefillSpeed = PrefillSpeed {
    base: 0.06,
    per_token: 32e-6,
};

struct Workload {
    rng: SmallRng,
    estimator: PrefillEstimator,
    now: Duration,
}

impl Workload {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            estimator: PrefillEstimator::default(),
            now: Duration::ZERO,
        }
    }

    /// Records responses of an engine; this fraction of them queues for 10 to 300 ms.
    fn respond(&mut self, engine: PrefillSpeed, count: u32, queued: f64) -> PrefillSpeed {
        for _ in 0..count {
            let tokens = self.rng.random_range(100_f64.ln()..18_000_f64.ln()).exp() as u32;
            let shared = (f64::from(tokens) * self.rng.random_range(0.0..0.75)) as u32;
            let read = if self.rng.random_bool(0.33) {
                tokens
            } else {
                tokens - shared
            };
            let is_queued = self.rng.random_bool(queued);
            let queue = if is_queued {
                Duration::from_millis(self.rng.random_range(10..=300))
            } else {
                Duration::ZERO
            };
            let event = FirstEvent {
                elapsed: engine.first_event(read) + queue,
                unshared: tokens - shared,
                tokens,
                in_progress: self.rng.random_range(0..8),
            };
            self.now += Duration::from_secs(1) / RATE;
            self.estimator.record(self.now, &event);
        }
        self.estimator.speed()
    }
}

/// Checks that both values are within these factors of the engine's.
fn assert_close(learnt: PrefillSpeed, engine: PrefillSpeed, low: f64, high: f64) {
    let is_close = |learnt: f64, real: f64| (real * low..=real * high).contains(&learnt);
    assert!(
        is_close(learnt.base, engine.base) && is_close(learnt.per_token, engine.per_token),
        "{learnt:?} {engine:?}"
    );
}

/// Guards against an estimate that counts queues and the reading of shared parts as the engine's
/// speed, for both engines and whether a third, two thirds or all of the prompts queue.
#[test]
fn both_engines_learnt() {
    for seed in 0..10 {
        for engine in [FAST, SLOW] {
            for queued in [0.3, 0.7] {
                let learnt = Workload::new(seed).respond(engine, 400, queued);
                assert_close(learnt, engine, 0.8, 1.25);
            }
            let learnt = Workload::new(seed).respond(engine, 400, 1.0);
            assert_close(learnt, engine, 0.5, 1.6);
        }
    }
}

/// Guards against a few lucky or unlucky responses that replace the initial value, and against an
/// estimate that rises in a burst in which all prompts queue.
#[test]
fn steady_at_start_and_in_burst() {
    let mut workload = Workload::new(1);
    assert_eq!(workload.respond(FAST, 19, 0.5), PrefillSpeed::default());
    workload.respond(FAST, 400, 0.3);
    let slower = |engine: PrefillSpeed| PrefillSpeed {
        base: engine.base + 0.3,
        ..engine
    };
    let learnt = workload.respond(slower(FAST), 70, 1.0);
    assert_close(learnt, FAST, 0.9, 1.1);
}

/// Guards against an estimate that stays where it is when the engines of a service are replaced by
/// faster ones, or by slower ones: it falls within seconds and rises within minutes.
#[test]
fn new_engines_learnt() {
    for seed in 0..10 {
        let mut workload = Workload::new(seed);
        workload.respond(SLOW, 400, 0.5);
        assert_close(workload.respond(FAST, 150, 0.5), FAST, 0.8, 1.25);
        assert_close(workload.respond(SLOW, 100, 0.5), FAST, 0.8, 1.25);
        assert_close(workload.respond(SLOW, 2_000, 0.5), SLOW, 0.8, 1.25);
    }
}

/// Guards against a wrong time for prompts of the only length that has been seen, from which the
/// base and the time per token cannot be told apart.
#[test]
fn equal_prompts() {
    let mut estimator = PrefillEstimator::default();
    for number in 0..200 {
        let event = FirstEvent {
            elapsed: FAST.first_event(6_000),
            unshared: 6_000,
            tokens: 6_000,
            in_progress: 0,
        };
        estimator.record(Duration::from_millis(100) * number, &event);
    }
    let learnt = estimator.speed().first_event(6_000).as_secs_f64();
    let real = FAST.first_event(6_000).as_secs_f64();
    assert!((learnt / real - 1.0).abs() < 0.05, "{learnt} {real}");
}

/// Guards against the first burst after a quiet hour, in which all prompts queue: the estimate must not rise
/// at once by what it could have risen within that hour.
#[test]
fn steady_after_quiet_hour() {
    let mut estimator = PrefillEstimator::default();
    for number in 0..24 {
        let event = FirstEvent {
            elapsed: Duration::from_secs(2),
            unshared: 1_000,
            tokens: 1_000,
            in_progress: 0,
        };
        let now = Duration::from_secs(3_600) + Duration::from_millis(100) * number;
        estimator.record(now, &event);
    }
    let (speed, initial) = (estimator.speed(), PrefillSpeed::default());
    assert!(!speed.differs(&initial, 1.2), "{speed:?}");
}
