//! Which waiting requests a free runner takes in a burst at a stage whose inputs are large.
//!
//! The service has eight runners in three failure domains. Calls of up to 74 pieces take 200 ms plus
//! 2.3 ms a piece. Each of the ten pieces of a request fetches all results of the previous stage,
//! 3.6 MB in total. 75 requests a second arrive usually, half of what full calls allow, and 2.6 times
//! as many in the burst. Up to nine requests arrive together, from one call of the previous stage.
//! The figures are those of a measured last stage of a chain.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::stage::{Burst, Outcome, Workload, simulate};
use decide::batch::{BatchQueue, FreeRunner, Group, RequiredGroup, Rules, Shape, SlackQueue};
use std::time::Duration;

const SHAPE: Shape = Shape {
    size: 74,
    call: Duration::from_millis(200),
    piece: Duration::from_micros(2_300),
};
const BURST: Workload = Workload {
    shape: SHAPE,
    domains: &["a", "a", "a", "b", "b", "b", "c", "c"],
    rate: 75.0,
    burst: Some(Burst {
        start: Duration::from_secs(5),
        end: Duration::from_secs(11),
        factor: 2.6,
    }),
    together: 1,
    pieces: (6, 14),
    target_time: Duration::from_millis(900),
    max_domain_wait: Duration::from_millis(250),
    room: 163,
    retention: (Duration::from_millis(100), Duration::from_millis(400)),
    end: Duration::from_secs(15),
};
const DUE_ORDER: Rules = Rules {
    near: true,
    near_first: false,
    whole: true,
    small_first: true,
    give_up: true,
};
const SEEDS: u64 = 6;

/// Mean results of several runs.
#[derive(Debug)]
struct Means {
    on_time: f64,
    local: f64,
    burst_pieces: f64,
}

fn run(rules: Rules, workload: &Workload) -> Means {
    let run = |seed| simulate(&mut SlackQueue::with_rules(SHAPE, rules), workload, seed);
    let outcomes: Vec<Outcome> = (1..=SEEDS).map(run).collect();
    let mean =
        |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / SEEDS as f64;
    let means = Means {
        on_time: mean(&Outcome::on_time_fraction),
        local: mean(&Outcome::local_fraction),
        burst_pieces: mean(&|outcome| f64::from(outcome.burst_pieces)),
    };
    println!("{rules:?} {means:.3?}");
    means
}

/// In a burst all runners are busy and most requests have waited for longer than they may wait for a
/// runner near their inputs. In order of due time alone, each would go to whichever runner is free
/// first, and two in five would fetch their inputs from another failure domain.
#[test]
fn stays_near_inputs_in_burst() {
    for together in [1, 9] {
        let workload = Workload { together, ..BURST };
        let due_order = run(DUE_ORDER, &workload);
        let shipped = run(Rules::default(), &workload);
        let message = format!("{together} together: {due_order:?} {shipped:?}");
        assert!(
            (1.0 - shipped.local) * 3.0 < 1.0 - due_order.local,
            "{message}"
        );
        assert!(shipped.on_time > due_order.on_time, "{message}");
        assert!(
            shipped.burst_pieces > due_order.burst_pieces * 0.99,
            "{message}"
        );
    }
}

/// A burst that the runners can just process, and the usual load, lose nothing.
#[test]
fn costs_nothing_below_capacity() {
    for (rate, burst) in [(55.0, BURST.burst), (75.0, None), (20.0, None)] {
        let workload = Workload {
            rate,
            burst,
            ..BURST
        };
        let due_order = run(DUE_ORDER, &workload);
        let shipped = run(Rules::default(), &workload);
        let message = format!("{rate}/s: {due_order:?} {shipped:?}");
        assert!(shipped.on_time > due_order.on_time - 0.005, "{message}");
        assert!(shipped.local > due_order.local - 0.005, "{message}");
    }
}

/// A request from another domain that is due much sooner still goes first, and so does one of a more
/// urgent rank. Otherwise a runner whose own domain never runs out of requests would not take any
/// other, however urgent.
#[test]
fn urgent_requests_go_first() {
    let ms = Duration::from_millis;
    let group = |group_id, domain: &str, due, rank| Group {
        group_id,
        pieces: 10,
        result_bytes: 1,
        due: ms(due),
        expires_at: ms(9_000),
        rank,
        domain: Some(domain.into()),
        arrived_at: Duration::ZERO,
        max_domain_wait: Duration::ZERO,
    };
    let mut queue = SlackQueue::new(SHAPE);
    for group in [
        group(1, "a", 2_000, 1),
        group(2, "b", 1_950, 1),
        group(3, "b", 1_000, 1),
        group(4, "b", 4_000, 0),
    ] {
        queue.push(group);
    }
    let runner = FreeRunner {
        room: 1_000,
        domain: "a",
        required: RequiredGroup::Any,
        free_times: &[],
    };
    let taken = queue.take(Duration::ZERO, &runner);
    let order: Vec<u64> = taken.iter().map(|portion| portion.group_id).collect();
    assert_eq!(order, [4, 3, 1, 2]);
}
