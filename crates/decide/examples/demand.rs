//! Compares the estimators of service time on the same three traces.
//!
//! `cargo run --release -p decide --example demand` prints, for each trace and estimator, the mean
//! relative error of the estimated service time against the true mean of the class at that time
//! (`estimate`), and that of the busy time forecast for the next window (`forecast`).
//!
//! A trace is generated from a fixed seed: windows of 100 ms with a Poisson-distributed number of calls
//! of four classes, whose busy times are log-normally distributed around the mean of their class.

use decide::demand::{Class, EwmaEstimator, KalmanFilter, QuantileEstimator, ServiceTimeEstimator};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

const SEEDS: u64 = 5;
const WINDOWS: usize = 1_200;
const WARM_UP: usize = 50;
/// True mean busy time of each class, in seconds.
const MEANS: [f64; 4] = [0.004, 0.012, 0.040, 0.150];
/// Mean number of calls of each class in a window.
const CALLS: [f64; 4] = [20.0, 10.0, 6.0, 3.0];
/// Standard deviation of the logarithm of one call's busy time.
const SPREAD: f64 = 0.6;

/// One monitoring window.
struct Window {
    calls: Vec<(Class, Duration)>,
    means: [f64; 4],
}

/// Mean busy time and mean number of calls of each class in one window.
type Pattern = fn(usize) -> ([f64; 4], [f64; 4]);

fn steady(_window: usize) -> ([f64; 4], [f64; 4]) {
    (MEANS, CALLS)
}

/// In the middle third, class 1 has ten times as many calls, and its prompts are twice as long.
fn flash(window: usize) -> ([f64; 4], [f64; 4]) {
    let (mut means, mut calls) = (MEANS, CALLS);
    if (WINDOWS / 3..2 * WINDOWS / 3).contains(&window) {
        means[1] *= 2.0;
        calls[1] *= 10.0;
    }
    (means, calls)
}

/// In the middle third, one of the four runners that serve class 2 is ten times slower.
fn straggler(window: usize) -> ([f64; 4], [f64; 4]) {
    let mut means = MEANS;
    if (WINDOWS / 3..2 * WINDOWS / 3).contains(&window) {
        means[2] *= 0.75 + 0.25 * 10.0;
    }
    (means, CALLS)
}

fn trace(pattern: Pattern, seed: u64) -> Vec<Window> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..WINDOWS)
        .map(|number| {
            let (means, calls) = pattern(number);
            let mut window = Window {
                calls: Vec::new(),
                means,
            };
            for class in 0..means.len() {
                let count = poisson(calls[class], &mut rng);
                let busy = (0..count).map(|_| (class, lognormal(means[class], &mut rng)));
                window.calls.extend(busy.collect::<Vec<_>>());
            }
            window
        })
        .collect()
}

fn poisson(mean: f64, rng: &mut SmallRng) -> usize {
    let mut remaining = mean;
    let mut count = 0;
    loop {
        remaining += (1.0 - rng.random::<f64>()).ln();
        if remaining < 0.0 {
            return count;
        }
        count += 1;
    }
}

fn lognormal(mean: f64, rng: &mut SmallRng) -> Duration {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    Duration::from_secs_f64(mean * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp())
}

/// Mean relative errors of the estimate and of the forecast.
fn errors(mut estimator: impl ServiceTimeEstimator, trace: &[Window]) -> (f64, f64) {
    let (mut estimate, mut forecast, mut count) = (0.0, 0.0, 0.0);
    for (number, window) in trace.iter().enumerate() {
        if number >= WARM_UP {
            estimate += estimate_error(&estimator, window);
            forecast += forecast_error(&estimator, window);
            count += 1.0;
        }
        for &(class, busy) in &window.calls {
            estimator.answered(class, busy);
        }
        estimator.close();
    }
    (estimate / count, forecast / count)
}

fn estimate_error(estimator: &impl ServiceTimeEstimator, window: &Window) -> f64 {
    let classes = window.means.iter().enumerate();
    let sum: f64 = classes
        .map(|(class, mean)| (estimator.estimate(class).as_secs_f64() - mean).abs() / mean)
        .sum();
    sum / window.means.len() as f64
}

fn forecast_error(estimator: &impl ServiceTimeEstimator, window: &Window) -> f64 {
    let expected: f64 = window
        .calls
        .iter()
        .map(|(class, _)| window.means[*class])
        .sum();
    let forecast: f64 = window
        .calls
        .iter()
        .map(|(class, _)| estimator.estimate(*class).as_secs_f64())
        .sum();
    (forecast - expected).abs() / expected
}

fn report<D: ServiceTimeEstimator>(name: &str, pattern: Pattern, make: impl Fn() -> D) {
    let (estimate, forecast) = (1..=SEEDS)
        .map(|seed| errors(make(), &trace(pattern, seed)))
        .fold((0.0, 0.0), |sum, error| (sum.0 + error.0, sum.1 + error.1));
    let seeds = SEEDS as f64;
    println!(
        "  {name:<24} {:>9.3} {:>9.3}",
        estimate / seeds,
        forecast / seeds
    );
}

fn main() {
    let traces: [(&str, Pattern); 3] = [
        ("steady", steady),
        ("flash", flash),
        ("straggler", straggler),
    ];
    let first = Duration::from_millis(20);
    for (name, pattern) in traces {
        println!("{name:<26} {:>9} {:>9}", "estimate", "forecast");
        for (drift, noise) in [(200, 10), (1_000, 10), (1_000, 50), (5_000, 50)] {
            let label = format!("kalman {drift} us, {noise} ms");
            let (drift, noise) = (Duration::from_micros(drift), Duration::from_millis(noise));
            report(&label, pattern, || {
                KalmanFilter::new(MEANS.len(), first, drift, noise)
            });
        }
        for weight in [0.02, 0.05, 0.1, 0.2] {
            let label = format!("weighted mean {weight}");
            report(&label, pattern, || EwmaEstimator::new(MEANS.len(), weight));
        }
        for (quantile, size) in [(0.5, 100), (0.6, 100), (0.6, 400), (0.9, 400)] {
            let label = format!("sketch p{:.0} of {size}", quantile * 100.0);
            report(&label, pattern, || {
                QuantileEstimator::new(MEANS.len(), quantile, size)
            });
        }
    }
}
