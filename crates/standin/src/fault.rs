//! Injects faults into the calls to a stand-in.

use crate::options::millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Fraction of calls that a fault affects, from 0 to 1; `true` means all and `false` none.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Fraction {
    /// All calls or none.
    All(bool),
    /// This fraction of the calls.
    Part(f64),
}

/// Responses to lose.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Loss {
    /// Responses to this many of the next calls.
    Next(u64),
    /// Responses to a fraction of the calls.
    Share(Fraction),
}

/// Faults to inject, as set by `POST /standin/faults`.
///
/// # Examples
///
/// ```
/// let faults: standin::Faults = serde_json::from_str(r#"{"down": true, "cut": 0.1}"#).unwrap();
/// assert_eq!(faults.down, standin::fault::Fraction::All(true));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The call is rejected with `503` before it has any effect.
    pub down: Fraction,
    /// The connection is closed before the call has any effect.
    pub reset: Fraction,
    /// Delay before each call is handled, in milliseconds.
    pub slow_ms: f64,
    /// The call is executed, but the connection is closed without a response; affects only calls
    /// that write or run something.
    pub lose_answers: Loss,
    /// Factor by which execution times are multiplied.
    pub factor: f64,
    /// The call is executed, but the response is `500`.
    pub fail: Fraction,
    /// The connection is closed in the middle of the response.
    pub cut: Fraction,
    /// A stream ends cleanly without its `done` event; a JSON response is shorter than its declared
    /// length.
    pub truncate: Fraction,
    /// The response carries the id and the content of another call.
    pub cross: Fraction,
    /// Delay before each finished response is sent, in milliseconds.
    pub late_ms: f64,
    /// Runners: the call is rejected with `503` and `X-Not-Run: 1`.
    pub refuse: Fraction,
    /// Each event of a stream is sent twice.
    pub double: Fraction,
}

const NONE: Fraction = Fraction::All(false);

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: NONE,
            reset: NONE,
            slow_ms: 0.0,
            lose_answers: Loss::Next(0),
            factor: 1.0,
            fail: NONE,
            cut: NONE,
            truncate: NONE,
            cross: NONE,
            late_ms: 0.0,
            refuse: NONE,
            double: NONE,
        }
    }
}

/// Faults drawn for one call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallFaults {
    pub(crate) down: bool,
    pub(crate) reset: bool,
    pub(crate) slow: Duration,
    pub(crate) lose: bool,
    pub(crate) fail: bool,
    pub(crate) cut: bool,
    pub(crate) truncate: bool,
    pub(crate) cross: bool,
    pub(crate) late: Duration,
    pub(crate) refuse: bool,
    pub(crate) double: bool,
}

/// The active faults and the random number generator that draws them.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    /// Set while no fault is active; calls then need no lock.
    inactive: AtomicBool,
    state: Mutex<(Faults, SmallRng)>,
}

impl FaultInjector {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            inactive: AtomicBool::new(true),
            state: Mutex::new((Faults::default(), SmallRng::seed_from_u64(seed))),
        }
    }

    pub(crate) fn get(&self) -> Faults {
        self.state().0.clone()
    }

    pub(crate) fn set(&self, faults: Faults) {
        let inactive = faults == Faults::default();
        self.state().0 = faults;
        self.inactive.store(inactive, Ordering::Release);
    }

    /// Factor by which execution times are multiplied.
    pub(crate) fn factor(&self) -> f64 {
        if self.inactive.load(Ordering::Acquire) {
            return 1.0;
        }
        self.state().0.factor
    }

    /// Draws the faults of one call; `effect` tells whether the call writes or runs something.
    pub(crate) fn draw(&self, effect: bool) -> CallFaults {
        if self.inactive.load(Ordering::Acquire) {
            return CallFaults::default();
        }
        let mut state = self.state();
        let (faults, rng) = &mut *state;
        CallFaults {
            down: faults.down.draw(rng),
            reset: faults.reset.draw(rng),
            slow: millis(faults.slow_ms),
            lose: effect && faults.lose_answers.draw(rng),
            fail: faults.fail.draw(rng),
            cut: faults.cut.draw(rng),
            truncate: faults.truncate.draw(rng),
            cross: faults.cross.draw(rng),
            late: millis(faults.late_ms),
            refuse: faults.refuse.draw(rng),
            double: faults.double.draw(rng),
        }
    }

    fn state(&self) -> MutexGuard<'_, (Faults, SmallRng)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Fraction {
    fn draw(self, rng: &mut SmallRng) -> bool {
        match self {
            Self::All(all) => all,
            Self::Part(share) => share > 0.0 && rng.random_bool(share.min(1.0)),
        }
    }
}

impl Loss {
    fn draw(&mut self, rng: &mut SmallRng) -> bool {
        match self {
            Self::Next(0) => false,
            Self::Next(left) => {
                *left -= 1;
                true
            }
            Self::Share(share) => share.draw(rng),
        }
    }
}
