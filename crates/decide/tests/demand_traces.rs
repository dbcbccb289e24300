//! Estimators of service time on simple traces.
#![allow(clippy::unwrap_used, missing_docs)]

use decide::demand::{EwmaEstimator, KalmanFilter, QuantileEstimator, ServiceTimeEstimator};
use std::time::Duration;

const TRUE_TIMES: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(50)];

/// Ratios of estimated to true times after windows whose mix of classes varies, which the filter needs
/// to distinguish the classes.
fn estimate_ratios(mut estimator: impl ServiceTimeEstimator) -> [f64; 2] {
    for window in 0..400_usize {
        for (class, busy) in TRUE_TIMES.iter().enumerate() {
            let calls = 2 + (window * (class + 3)) % 7;
            (0..calls).for_each(|_| estimator.answered(class, *busy));
        }
        estimator.close();
    }
    [0, 1].map(|class| estimator.estimate(class).as_secs_f64() / TRUE_TIMES[class].as_secs_f64())
}

#[test]
fn all_converge() {
    let initial = Duration::from_millis(20);
    let kalman = KalmanFilter::new(2, initial, initial / 100, initial / 10);
    for ratios in [
        estimate_ratios(kalman),
        estimate_ratios(EwmaEstimator::new(2, 0.05)),
        estimate_ratios(QuantileEstimator::new(2, 0.6, 100)),
    ] {
        println!("{ratios:?}");
        assert!(ratios.iter().all(|ratio| (0.95..1.05).contains(ratio)));
    }
}
