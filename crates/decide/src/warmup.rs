//! How often each process may send to a runner that has just started.
//!
//! Such a runner bears few requests a second for some seconds, and fails under more. To each of many
//! processes it looks idle, and all of them would send to it at once. So only a few may, chosen by
//! names alone, and each keeps a fixed gap between two requests: together they stay under the bound
//! in any second, without a word between them.

pub use crate::share::RateShare;
use std::time::Duration;

/// Longest time from the decision to send a request until it is on its way: that of a connection.
const DELAY: Duration = Duration::from_millis(300);
/// Time over which requests are counted, with the delay of the first one.
const WINDOW: Duration = Duration::from_millis(1_000).saturating_add(DELAY);
/// Requests in a second that each process with a place can send, at least. More places would leave
/// one in some seconds to each; with fewer, one that is gone leaves a larger part unused.
const EACH: u32 = 2;
/// What makes a gap longer than the part of the window that it divides.
const MARGIN: Duration = Duration::from_millis(1);

/// What a runner bears that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second on average.
    pub rate: f64,
    /// Requests in any one second.
    pub max_per_second: u32,
}

impl RateShare {
    /// The part of each of so many processes; `None` if the runner bears nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use decide::warmup::{RateLimit, RateShare};
    /// use std::time::Duration;
    ///
    /// let bound = RateLimit { rate: 8.0, max_per_second: 17 };
    /// let share = RateShare::new(&bound, 27).unwrap();
    /// assert_eq!((share.senders, share.interval), (8, Duration::from_secs(1)));
    /// ```
    #[must_use]
    pub fn new(bound: &RateLimit, processes: usize) -> Option<Self> {
        if bound.max_per_second == 0 || bound.rate <= 0.0 {
            return None;
        }
        let max_per_second = (bound.max_per_second / EACH).max(1);
        let senders = u32::try_from(processes)
            .unwrap_or(max_per_second)
            .clamp(1, max_per_second);
        let each = bound.max_per_second / senders;
        let on_average = Duration::from_secs_f64(f64::from(senders) / bound.rate);
        Some(Self {
            senders: senders as usize,
            interval: on_average.max(WINDOW / each + MARGIN),
        })
    }
}
