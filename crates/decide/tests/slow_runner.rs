//! Routing around a runner that has become slow.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Scenario, simulate};
use decide::route::{RoundRobin, Sampled};

const SCENARIO: Scenario = Scenario {
    entries: 4,
    runners: 9,
    slots: 4,
    service_ms: 40,
    rate: 550.0,
    report_lag_ms: 100,
    seconds: 30,
};

/// One runner of nine is ten times slower for ten seconds and then recovers. It still answers, so no
/// call fails and it is not ejected; a ninth of the users would wait ten times as long or longer, as
/// the slow runner's queue grows. After its recovery it must get its share again; otherwise the pool's
/// capacity would remain reduced.
#[test]
fn avoided_while_slow() {
    for seed in 1..=5 {
        let slow = |runner, now| {
            if runner == 3 && (8_000..18_000).contains(&now) {
                10
            } else {
                1
            }
        };
        let sampled = simulate::<Sampled>(SCENARIO, seed, slow);
        let robin = simulate::<RoundRobin>(SCENARIO, seed, slow);
        let over = |times: &[u64]| {
            times.iter().filter(|time| **time > 200).count() as f64 / times.len() as f64
        };
        let share =
            sampled.late_calls[3] as f64 * 9.0 / sampled.late_calls.iter().sum::<u64>() as f64;
        println!(
            "seed {seed}: over 200 ms {:.4}, round robin {:.4}; share after recovery {share:.2}",
            over(&sampled.elapsed_ms),
            over(&robin.elapsed_ms),
        );
        // The service time alone exceeds 200 ms in 0.7% of calls.
        assert!(over(&sampled.elapsed_ms) < 0.015);
        assert!(over(&robin.elapsed_ms) > 0.03);
        assert!(share > 0.7);
    }
}
