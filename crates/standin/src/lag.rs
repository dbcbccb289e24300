//! A value whose changes become visible with a delay.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A value with its recent history.
#[derive(Debug)]
pub(crate) struct Delayed<T> {
    delay: Duration,
    history: Mutex<VecDeque<(Instant, T)>>,
}

impl<T: Clone> Delayed<T> {
    pub(crate) fn new(delay: Duration, value: T) -> Self {
        let history = VecDeque::from([(Instant::now(), value)]);
        Self {
            delay,
            history: Mutex::new(history),
        }
    }

    /// The value as of `delay` ago.
    pub(crate) fn get(&self) -> Option<T> {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        prune(&mut history, self.delay);
        history.front().map(|(_, value)| value.clone())
    }

    /// Replaces the value.
    pub(crate) fn set(&self, value: T) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.push_back((Instant::now(), value));
        prune(&mut history, self.delay);
    }

    /// Updates the newest value.
    pub(crate) fn update(&self, change: impl FnOnce(&mut T)) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let Some((_, mut value)) = history.back().cloned() else {
            return;
        };
        change(&mut value);
        history.push_back((Instant::now(), value));
        prune(&mut history, self.delay);
    }
}

/// Drops all values whose successor is already visible.
fn prune<T>(history: &mut VecDeque<(Instant, T)>, delay: Duration) {
    while history
        .get(1)
        .is_some_and(|(time, _)| time.elapsed() >= delay)
    {
        history.pop_front();
    }
}
