//! Routing with outdated load reports.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Scenario, simulate};
use decide::route::{RoundRobin, Sampled};

const SCENARIO: Scenario = Scenario {
    entries: 6,
    runners: 18,
    slots: 4,
    service_ms: 40,
    rate: 1_350.0,
    report_lag_ms: 2_000,
    seconds: 20,
};

/// Load reports arrive two seconds late at six entry processes. Processes that trusted them would all
/// send to the runner that was idle two seconds ago and overload it until the next reports direct them
/// to another one. Responses would take many times the service time at a load that the pool can handle.
#[test]
fn no_herding() {
    for seed in 1..=5 {
        let sampled = simulate::<Sampled>(SCENARIO, seed, |_, _| 1);
        let robin = simulate::<RoundRobin>(SCENARIO, seed, |_, _| 1);
        let peak = |peaks: &[usize]| peaks.iter().skip(2).max().copied().unwrap();
        let p99 = |times: &[u64]| common::quantile(times, 0.99);
        println!(
            "seed {seed}: peak {} of mean {:.1}, p99 {} ms; round robin: peak {}, p99 {} ms",
            peak(&sampled.peaks),
            sampled.means.iter().sum::<f64>() / sampled.means.len() as f64,
            p99(&sampled.elapsed_ms),
            peak(&robin.peaks),
            p99(&robin.elapsed_ms),
        );
        assert!(p99(&sampled.elapsed_ms) <= p99(&robin.elapsed_ms));
        assert!(peak(&sampled.peaks) <= peak(&robin.peaks));
    }
}
