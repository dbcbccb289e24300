//! Rate limit of loads from the weight store, across all services.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Limits the number of loads started within any time span.
#[derive(Clone, Debug)]
pub struct Rate {
    loads: usize,
    span: Duration,
    started: VecDeque<Instant>,
}

impl Rate {
    /// Creates a rate limit of `loads` in each `span`.
    #[must_use]
    pub fn new(loads: u32, span: Duration) -> Self {
        Self {
            loads: loads as usize,
            span,
            started: VecDeque::new(),
        }
    }

    /// Uses up the whole rate as of now, since the loads started by an earlier holder are not
    /// known.
    pub fn exhaust(&mut self, now: Instant) {
        self.started = std::iter::repeat_n(now, self.loads).collect();
    }

    /// Counts a load as started now if the rate allows it.
    ///
    /// # Examples
    ///
    /// ```
    /// use entry::placement::rate::Rate;
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let (span, now) = (Duration::from_secs(5), Instant::now());
    /// let mut rate = Rate::new(1, span);
    /// assert!(rate.try_start(now));
    /// assert!(!rate.try_start(now + span / 2));
    /// assert!(rate.try_start(now + span));
    /// ```
    pub fn try_start(&mut self, now: Instant) -> bool {
        while self
            .started
            .front()
            .is_some_and(|then| now >= *then + self.span)
        {
            self.started.pop_front();
        }
        let allowed = self.started.len() < self.loads;
        if allowed {
            self.started.push_back(now);
        }
        allowed
    }
}
