//! Rate at which each process may send to a runner that has just started.
//!
//! Such a runner handles few requests a second for some seconds, and fails under more. It looks
//! idle to each of many processes, so all of them would send to it at once. Therefore only a few
//! processes send, chosen by names alone, and each keeps a fixed interval between two requests.
//! Together they stay under the limit in any second without communicating.

use crate::bound::MAX_TIME;
pub use crate::share::RateShare;
use std::time::Duration;

/// Longest time from the decision to send a request until it is sent, which includes connecting.
const MAX_SEND_DELAY: Duration = Duration::from_millis(300);
/// Time over which requests are counted, plus the delay of the first one.
const WINDOW: Duration = Duration::from_millis(1_000).saturating_add(MAX_SEND_DELAY);
/// Minimum number of requests a second that each sender can send. With more senders, each would send
/// once in several seconds; with fewer, a process that is gone leaves a larger part of the rate unused.
const MIN_SENT_PER_SENDER: u32 = 2;
/// Time by which an interval exceeds the fraction of the window that it is derived from.
const INTERVAL_MARGIN: Duration = Duration::from_millis(1);

/// Request rate that a runner handles while it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Average requests a second.
    pub rate: f64,
    /// Maximum requests in any one second.
    pub max_per_second: u32,
}

impl RateShare {
    /// The share of each of `processes`; `None` if the runner accepts no requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use decide::warmup::{RateLimit, RateShare};
    /// use std::time::Duration;
    ///
    /// let limit = RateLimit { rate: 8.0, max_per_second: 17 };
    /// let share = RateShare::new(&limit, 27).unwrap();
    /// assert_eq!((share.senders, share.interval), (8, Duration::from_secs(1)));
    /// ```
    #[must_use]
    pub fn new(limit: &RateLimit, processes: usize) -> Option<Self> {
        if limit.max_per_second == 0 || limit.rate <= 0.0 {
            return None;
        }
        let max_senders = (limit.max_per_second / MIN_SENT_PER_SENDER).max(1);
        let senders = u32::try_from(processes)
            .unwrap_or(max_senders)
            .clamp(1, max_senders);
        let per_sender = limit.max_per_second / senders;
        let mean_interval = Duration::try_from_secs_f64(f64::from(senders) / limit.rate);
        let mean_interval = mean_interval.unwrap_or(MAX_TIME);
        Some(Self {
            senders: senders as usize,
            interval: mean_interval.max(WINDOW / per_sender + INTERVAL_MARGIN),
        })
    }
}
