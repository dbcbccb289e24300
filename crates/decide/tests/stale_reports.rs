//! Routing on load reports that are long out of date.
#![allow(clippy::unwrap_used, missing_docs)]

mod common;

use common::{Shape, run};
use decide::route::{RoundRobin, Sampled};

const SHAPE: Shape = Shape {
    entries: 6,
    runners: 18,
    slots: 4,
    service_ms: 40,
    rate: 1_350.0,
    report_lag_ms: 2_000,
    seconds: 20,
};

/// Load reports arrive two seconds late at six entries. An entry that believed them would send
/// everything to the runner that was idle two seconds ago, and so would all the others; the runner
/// then drowns until the next reports turn the crowd elsewhere. Users would see answers that take
/// many times as long as the work, at a load that the pool could carry.
#[test]
fn no_herding() {
    for seed in 1..=5 {
        let sampled = run::<Sampled>(SHAPE, seed, |_, _| 1);
        let robin = run::<RoundRobin>(SHAPE, seed, |_, _| 1);
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
