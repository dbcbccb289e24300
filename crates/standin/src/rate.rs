//! Limits the rate of calls.

use std::sync::{Mutex, PoisonError};
use tokio::time::Instant;

/// A token bucket with a capacity of one second of calls, at least one call.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    per_second: f64,
    bucket: Mutex<(Instant, f64)>,
}

impl RateLimiter {
    /// A full bucket; a rate of 0 means no limit.
    pub(crate) fn new(per_second: f64) -> Self {
        Self {
            per_second,
            bucket: Mutex::new((Instant::now(), per_second.max(1.0))),
        }
    }

    /// Takes a token; `false` if there is none.
    pub(crate) fn try_acquire(&self) -> bool {
        if self.per_second <= 0.0 {
            return true;
        }
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let fresh = now.duration_since(bucket.0).as_secs_f64() * self.per_second;
        let tokens = (bucket.1 + fresh).min(self.per_second.max(1.0));
        let taken = tokens >= 1.0;
        *bucket = (now, if taken { tokens - 1.0 } else { tokens });
        taken
    }
}
