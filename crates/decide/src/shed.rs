//! Shedding of new connections by a process that cannot keep up with those that it has.
//!
//! A load balancer may send most new connections to one of many processes. If that process accepts
//! them all, each request waits behind all others until its client gives up. A connection that is
//! closed before anything has been read from it costs its client a round trip, and the next attempt
//! reaches another process.

use std::collections::VecDeque;
use std::time::Duration;

/// Delay of a new connection's task above which the process is behind. A request passes the run
/// queue several times, and each pass takes about as long.
const MAX_DELAY: Duration = Duration::from_millis(25);
/// Minimum length of a measurement. A process with a CPU quota stands still for most of a tenth of
/// a second at a time without being overloaded.
const WINDOW: Duration = Duration::from_millis(100);
/// Minimum number of delays in a measurement, unless the last excessive delay was a window ago: few connections
/// arrive then.
const MIN_SAMPLES: u32 = 3;
/// Largest reduction of the accepted share after one measurement.
const MAX_REDUCTION: f64 = 0.5;
/// Factor by which the accepted share grows after a measurement without excessive delay, and for each further
/// window without one.
const GROWTH: f64 = 1.25;
/// Smallest accepted share.
const MIN_SHARE: f64 = 0.01;

/// Decides which new connections a process accepts.
///
/// The signal is the shortest delay within a window: a burst delays some connections, an overload
/// delays all of them. The accepted share falls with the delays and grows again without them. One
/// connection in each window is accepted in any case: its delay shows when the overload ends.
///
/// # Examples
///
/// ```
/// use decide::shed::ConnectionShedder;
/// use std::time::Duration;
///
/// let mut shedder = ConnectionShedder::default();
/// let at = Duration::from_millis;
/// for turn in 0..10 {
///     assert!(shedder.accepts(at(100 * turn), 0.99));
///     shedder.started(at(100 * turn + 60));
/// }
/// assert!(!shedder.accepts(at(980), 0.99));
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionShedder {
    accepted_share: f64,
    /// When the connections were accepted whose tasks have not run yet, oldest first.
    waiting: VecDeque<Duration>,
    last_accepted: Option<Duration>,
    window_start: Duration,
    last_behind: Duration,
    samples: u32,
    shortest_delay: Duration,
}

impl Default for ConnectionShedder {
    fn default() -> Self {
        Self {
            accepted_share: 1.0,
            waiting: VecDeque::new(),
            last_accepted: None,
            window_start: Duration::ZERO,
            last_behind: Duration::ZERO,
            samples: 0,
            shortest_delay: Duration::MAX,
        }
    }
}

impl ConnectionShedder {
    /// Whether to accept a new connection, in which case [`ConnectionShedder::started`] must follow;
    /// `draw` is uniformly distributed between 0 and 1.
    pub fn accepts(&mut self, now: Duration, draw: f64) -> bool {
        let behind = self
            .waiting
            .front()
            .map(|oldest| now.saturating_sub(*oldest));
        if let Some(behind) = behind.filter(|behind| *behind > MAX_DELAY) {
            self.record(now, behind);
        }
        let is_due = self.last_accepted.is_none_or(|last| last + WINDOW <= now);
        let is_behind = self.accepted_share < 1.0 && behind > Some(MAX_DELAY);
        let is_accepted = is_due || draw < self.accepted_share && !is_behind;
        if is_accepted {
            self.last_accepted = Some(now);
            self.waiting.push_back(now);
        }
        is_accepted
    }

    /// Records that the task of the oldest accepted connection runs for the first time.
    pub fn started(&mut self, now: Duration) {
        if let Some(accepted) = self.waiting.pop_front() {
            self.record(now, now.saturating_sub(accepted));
        }
    }

    /// Share of the new connections that are accepted.
    #[must_use]
    pub fn accepted_share(&self) -> f64 {
        self.accepted_share
    }

    fn record(&mut self, now: Duration, delay: Duration) {
        self.samples += 1;
        self.shortest_delay = delay.min(self.shortest_delay);
        if delay > MAX_DELAY {
            self.last_behind = now;
        }
        let calm = now.saturating_sub(self.window_start.max(self.last_behind));
        let is_enough = self.samples >= MIN_SAMPLES || calm >= WINDOW;
        if !is_enough || now < self.window_start + WINDOW {
            return;
        }
        let share = if self.shortest_delay > MAX_DELAY {
            let ratio = MAX_DELAY.div_duration_f64(self.shortest_delay);
            self.accepted_share * ratio.max(MAX_REDUCTION)
        } else {
            let windows = calm.div_duration_f64(WINDOW).floor().max(1.0);
            self.accepted_share * GROWTH.powf(windows)
        };
        self.accepted_share = share.clamp(MIN_SHARE, 1.0);
        self.window_start = now;
        self.samples = 0;
        self.shortest_delay = Duration::MAX;
    }
}
