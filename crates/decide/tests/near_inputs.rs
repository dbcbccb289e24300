//! Pieces that fetch large inputs and should be processed in the failure domain of those inputs.
//!
//! The service has one or two runners in each of four failure domains. Each of the ten pieces of a
//! request fetches all results of the previous stage, 3.6 MB in total, which is free within a failure
//! domain. Calls of 200 ms plus 3.6 ms a piece keep all runners busy at 33 requests a second, so a
//! free runner is rarely in the right domain. The figures are those of a measured rerank stage.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::stage::{Outcome, ROOM, Workload, simulate};
use decide::batch::{
    BatchQueue, FreeRunner, Group, RequiredGroup, Rules, RunnerFreeTime, Shape, SlackQueue,
};
use std::time::Duration;

const SHAPE: Shape = Shape {
    size: 48,
    call: Duration::from_millis(200),
    piece: Duration::from_micros(3_600),
};
const WORKLOAD: Workload = Workload {
    shape: SHAPE,
    domains: &["a", "a", "b", "c", "d"],
    rate: 33.0,
    pieces: (5, 15),
    target_time: Duration::from_millis(900),
    max_domain_wait: Duration::from_millis(360),
    room: ROOM,
    retention: Duration::ZERO,
    end: Duration::from_secs(60),
};

fn run(rules: Rules, seed: u64) -> Outcome {
    simulate(&mut SlackQueue::with_rules(SHAPE, rules), &WORKLOAD, seed)
}

/// Requests wait for a runner in the domain of their inputs if it will be free in time. If any free
/// runner took them, the inputs of two requests in three would be sent to another failure domain,
/// which operators pay for.
#[test]
fn waits_for_local_runner() {
    let any_domain = Rules {
        near: false,
        ..Rules::default()
    };
    for seed in 1..=3 {
        let (naive, shipped) = (run(any_domain, seed), run(Rules::default(), seed));
        assert!(naive.local_fraction() < 0.4, "seed {seed}: {naive:?}");
        assert!(shipped.local_fraction() > 0.9, "seed {seed}: {shipped:?}");
        let loss = naive.on_time_fraction() - shipped.on_time_fraction();
        assert!(loss < 0.01, "seed {seed}: {naive:?} {shipped:?}");
    }
}

/// A request goes to a runner in another domain at once if the local runner will be free too late.
/// Waiting first would cost the time that it needs to finish on time.
#[test]
fn leaves_domain_when_local_runner_is_late() {
    let ms = Duration::from_millis;
    for (local_free_in, waits) in [(ms(150), true), (ms(450), false)] {
        let mut queue = SlackQueue::new(SHAPE);
        queue.push(Group {
            group_id: 1,
            pieces: 10,
            result_bytes: 1,
            due: ms(700),
            expires_at: ms(3_000),
            rank: 0,
            domain: Some("a".into()),
            arrived_at: Duration::ZERO,
            max_domain_wait: ms(360),
        });
        let free = |domain: &str, at| RunnerFreeTime {
            domain: domain.into(),
            at,
        };
        let free_runner = FreeRunner {
            room: 1_000,
            domain: "b",
            required: RequiredGroup::Any,
            free_times: &[free("a", local_free_in), free("b", Duration::ZERO)],
        };
        let taken = queue.take(Duration::ZERO, &free_runner);
        assert_eq!(
            taken.is_empty(),
            waits,
            "near runner free in {local_free_in:?}"
        );
    }
}
