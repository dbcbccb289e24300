//! A value that readers see as it was some time ago.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A value with its recent past.
#[derive(Debug)]
pub(crate) struct Lag<T> {
    delay: Duration,
    past: Mutex<VecDeque<(Instant, T)>>,
}

impl<T: Clone> Lag<T> {
    pub(crate) fn new(delay: Duration, value: T) -> Self {
        let past = VecDeque::from([(Instant::now(), value)]);
        Self {
            delay,
            past: Mutex::new(past),
        }
    }

    /// The value as it was `delay` ago.
    pub(crate) fn get(&self) -> Option<T> {
        let mut past = self.past.lock().unwrap_or_else(PoisonError::into_inner);
        forget(&mut past, self.delay);
        past.front().map(|(_, value)| value.clone())
    }

    /// Replaces the value.
    pub(crate) fn set(&self, value: T) {
        let mut past = self.past.lock().unwrap_or_else(PoisonError::into_inner);
        past.push_back((Instant::now(), value));
        forget(&mut past, self.delay);
    }

    /// Derives the next value from the newest one.
    pub(crate) fn update(&self, change: impl FnOnce(&mut T)) {
        let mut past = self.past.lock().unwrap_or_else(PoisonError::into_inner);
        let Some((_, mut value)) = past.back().cloned() else {
            return;
        };
        change(&mut value);
        past.push_back((Instant::now(), value));
        forget(&mut past, self.delay);
    }
}

/// Drops each value that has a successor old enough to be seen.
fn forget<T>(past: &mut VecDeque<(Instant, T)>, delay: Duration) {
    while past.get(1).is_some_and(|(time, _)| time.elapsed() >= delay) {
        past.pop_front();
    }
}
