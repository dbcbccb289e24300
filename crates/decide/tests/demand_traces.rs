//! Estimators of service demand on simple traces.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::demand::{EwmaEstimator, KalmanFilter, QuantileEstimator, ServiceTimeEstimator};
use std::time::Duration;

const TRUE: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(50)];

/// Runs windows whose mix of classes changes, as the filter needs to tell them apart.
fn learn(mut demand: impl ServiceTimeEstimator) -> [f64; 2] {
    for window in 0..400_usize {
        for (class, busy) in TRUE.iter().enumerate() {
            let calls = 2 + (window * (class + 3)) % 7;
            (0..calls).for_each(|_| demand.answered(class, *busy));
        }
        demand.close();
    }
    [0, 1].map(|class| demand.estimate(class).as_secs_f64() / TRUE[class].as_secs_f64())
}

#[test]
fn all_converge() {
    let first = Duration::from_millis(20);
    let kalman = KalmanFilter::new(2, first, first / 100, first / 10);
    for ratios in [
        learn(kalman),
        learn(EwmaEstimator::new(2, 0.05)),
        learn(QuantileEstimator::new(2, 0.6, 100)),
    ] {
        println!("{ratios:?}");
        assert!(ratios.iter().all(|ratio| (0.95..1.05).contains(ratio)));
    }
}
