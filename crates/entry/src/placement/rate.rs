//! Loads that the weight store bears, over all services.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// At most so many loads started in each span.
#[derive(Clone, Debug)]
pub struct Rate {
    loads: usize,
    span: Duration,
    started: VecDeque<Instant>,
}

impl Rate {
    /// A rate of `loads` in each `span`, none of which has been started.
    #[must_use]
    pub fn new(loads: u32, span: Duration) -> Self {
        Self {
            loads: loads as usize,
            span,
            started: VecDeque::new(),
        }
    }

    /// Counts a span's loads as just started: those of an earlier holder are not known.
    pub fn exhaust(&mut self, now: Instant) {
        self.started = std::iter::repeat_n(now, self.loads).collect();
    }

    /// Counts one load as started now, if it may be.
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
