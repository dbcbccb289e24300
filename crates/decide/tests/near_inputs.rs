//! Pieces that fetch megabytes from the runners of the stage before, and are best made near those.
//!
//! The pattern is that of a service with one or two runners in each of four failure domains. Each
//! of the ten pieces of a request fetches all results of the stage before, 3.6 MB in all, which cost
//! nothing within a failure domain. Calls of 200 ms and 3.6 ms a piece keep all runners busy at 33
//! requests a second, so that a free runner is rarely the near one. These are the figures of a
//! measured rerank stage.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::stage::{Load, Outcome, ROOM, play};
use decide::batch::{
    BatchQueue, FreeRunner, Group, RequiredGroup, Rules, RunnerFreeTime, Shape, SlackQueue,
};
use std::time::Duration;

const SHAPE: Shape = Shape {
    size: 48,
    call: Duration::from_millis(200),
    piece: Duration::from_micros(3_600),
};
const LOAD: Load = Load {
    shape: SHAPE,
    domains: &["a", "a", "b", "c", "d"],
    rate: 33.0,
    pieces: (5, 15),
    aim: Duration::from_millis(900),
    patience: Duration::from_millis(360),
    room: ROOM,
    held: Duration::ZERO,
    end: Duration::from_secs(60),
};

fn run(rules: Rules, seed: u64) -> Outcome {
    play(&mut SlackQueue::with(SHAPE, rules), &LOAD, seed)
}

/// A request waits for the runner near its inputs when that will be free in time, and all others
/// find a runner at once. Taken by whichever runner is free, two of three requests had their inputs
/// carried to another failure domain, for which operators pay.
#[test]
fn waits_near() {
    let anywhere = Rules {
        near: false,
        ..Rules::default()
    };
    for seed in 1..=3 {
        let (naive, shipped) = (run(anywhere, seed), run(Rules::default(), seed));
        assert!(naive.share_near() < 0.4, "seed {seed}: {naive:?}");
        assert!(shipped.share_near() > 0.9, "seed {seed}: {shipped:?}");
        let lost = naive.share_on_time() - shipped.share_on_time();
        assert!(lost < 0.01, "seed {seed}: {naive:?} {shipped:?}");
    }
}

/// A request goes to a runner far from its inputs at once when the near one will be free too late
/// for it. One that waited first and went there then had lost the time, and its aim with it.
#[test]
fn hurries_elsewhere() {
    let ms = Duration::from_millis;
    for (free_in, waits) in [(ms(150), true), (ms(450), false)] {
        let mut batch_queue = SlackQueue::new(SHAPE);
        batch_queue.push(Group {
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
        let offer = FreeRunner {
            room: 1_000,
            domain: "b",
            need: RequiredGroup::Any,
            free_times: &[free("a", free_in), free("b", Duration::ZERO)],
        };
        let taken = batch_queue.take(Duration::ZERO, &offer);
        assert_eq!(taken.is_empty(), waits, "near runner free in {free_in:?}");
    }
}
