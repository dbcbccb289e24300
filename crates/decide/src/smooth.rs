//! Exponentially weighted means and exponential decay.

use std::time::Duration;

/// Exponentially weighted moving average of a stream of values.
///
/// # Examples
///
/// ```
/// let mut mean = decide::smooth::Ewma::new(0.5);
/// assert_eq!(mean.get(), None);
/// mean.add(10.0);
/// mean.add(20.0);
/// assert_eq!(mean.get(), Some(15.0));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Ewma {
    weight: f64,
    value: Option<f64>,
}

impl Ewma {
    /// An average in which the newest value has this weight, above 0 and up to 1.
    #[must_use]
    pub fn new(weight: f64) -> Self {
        Self {
            weight,
            value: None,
        }
    }

    /// Adds a value.
    pub fn add(&mut self, value: f64) {
        self.value = Some(match self.value {
            Some(old) => old + self.weight * (value - old),
            None => value,
        });
    }

    /// The average, or `None` before the first value.
    #[must_use]
    pub fn get(&self) -> Option<f64> {
        self.value
    }
}

/// Weight from 1 down to 0 that a value of this age keeps; it halves every `half_life`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let share = decide::smooth::decay(Duration::from_secs(2), Duration::from_secs(1));
/// assert!((share - 0.25).abs() < 1e-9);
/// ```
#[must_use]
pub fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64().max(f64::MIN_POSITIVE)).exp2()
}
