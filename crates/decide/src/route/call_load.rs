//! Load that the calls of a process put on a target, as processes report it to one another.

use serde::{Deserialize, Serialize};
use std::ops::AddAssign;

/// Seconds by which a call delays each other call at its engine, because steps take longer: about
/// 0.12 ms a step with a context of 9,000 tokens, for some fifty steps.
const SECONDS_PER_CALL: f64 = 0.008;

/// Load of a process's calls on a target.
///
/// # Examples
///
/// ```
/// use decide::route::CallLoad;
///
/// let mut all = CallLoad { calls: 2, reading: 0.1 };
/// all += CallLoad { calls: 1, reading: 0.3 };
/// assert_eq!(all.calls, 3);
/// assert!((all.expected_delay() - 0.424).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallLoad {
    /// Number of unfinished calls.
    pub calls: u32,
    /// Time in seconds to read the prompts of the calls whose responses have not begun.
    pub reading: f64,
}

impl CallLoad {
    /// Time in seconds by which the calls delay a new one.
    #[must_use]
    pub fn expected_delay(&self) -> f64 {
        self.reading + f64::from(self.calls) * SECONDS_PER_CALL
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
