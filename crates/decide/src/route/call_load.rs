//! The calls that processes have at a target, as they tell one another.

use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

/// Seconds that a call adds to each other one at its engine, by making its steps longer: about
/// 0.12 ms a step with a context of 9,000 tokens, for some fifty steps.
const CROWDING: f64 = 0.008;

/// Calls that a process has at a target.
///
/// # Examples
///
/// ```
/// use decide::route::CallLoad;
///
/// let mut all = CallLoad { calls: 2, reading: 0.1 };
/// all += CallLoad { calls: 1, reading: 0.3 };
/// assert_eq!(all.calls, 3);
/// assert!((all.wait() - 0.424).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallLoad {
    /// Calls that are not over.
    pub calls: u32,
    /// Seconds that the prompts take to read of those whose answers have not begun.
    pub reading: f64,
}

impl CallLoad {
    /// Seconds for which they hold up a new call.
    #[must_use]
    pub fn wait(&self) -> f64 {
        self.reading + f64::from(self.calls) * CROWDING
    }

    /// Whether there are no calls.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls == 0
    }
}

impl AddAssign for CallLoad {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.reading += other.reading;
    }
}
